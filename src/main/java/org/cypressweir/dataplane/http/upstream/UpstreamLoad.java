package org.cypressweir.dataplane.http.upstream;

/** How busy the server is, as seen from here. */
public record UpstreamLoad(int running, int waiting, int slots) {}
