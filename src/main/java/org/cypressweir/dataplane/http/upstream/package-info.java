/**
 * The client side of HTTP/1.1 towards the one application server beside this process. Requests are queued and
 * ordered here rather than in the server. Each gets exactly one outcome: not run, responded, or may have run.
 */
package org.cypressweir.dataplane.http.upstream;
