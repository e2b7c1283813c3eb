/**
 * The server side of HTTP/1.1 (RFC 9110, RFC 9112): complete requests are received over TCP, and each gets exactly
 * one response. Ambiguous framing is rejected rather than repaired. It knows nothing of where requests are routed.
 */
package org.cypressweir.dataplane.http.server;
