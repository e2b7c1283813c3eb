/**
 * The client side of HTTP/1.1 towards the application instance beside this process. Requests are queued and ordered by
 * priority here rather than in the server. Each gets exactly one outcome: the server's response, the certainty that it
 * was not executed, or that its execution is unknown.
 */
package org.cypressweir.dataplane.http.upstream;
