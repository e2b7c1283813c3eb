/**
 * The client side of HTTP/1.1 towards the application instance beside this process. Requests are queued and ordered by
 * priority here rather than in the server. Each gets exactly one outcome: the server's response,
 * certainly not executed, or unknown.
 */
package org.cypressweir.dataplane.http.upstream;
