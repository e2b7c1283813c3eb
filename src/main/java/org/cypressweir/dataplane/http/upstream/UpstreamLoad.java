package org.cypressweir.dataplane.http.upstream;

/**
 * The load of the server, as seen by this process.
 *
 * @param running requests that were dispatched and have no outcome yet
 * @param waiting requests in the queue
 * @param concurrency how many requests the server can execute at once, zero without a server
 */
public record UpstreamLoad(int running, int waiting, int concurrency) {}
