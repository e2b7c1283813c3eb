/**
 * The server side of HTTP/1.1 (RFC 9110, RFC 9112): complete requests are received over TCP, and each gets exactly
 * one response. Ambiguous framing is rejected rather than repaired. Routing is not part of this package.
 */
package org.cypressweir.dataplane.http.server;
