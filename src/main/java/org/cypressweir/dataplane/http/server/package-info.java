/**
 * The server side of HTTP/1.1: whole requests come in over TCP, and each gets exactly one answer. It knows
 * nothing of where requests go.
 */
package org.cypressweir.dataplane.http.server;
