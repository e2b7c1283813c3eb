/**
 * Communication between processes of the mesh: TCP connections that carry framed messages, the pool that keeps
 * one connection to each peer, and the tables of API calls and error kinds that all programs share.
 *
 * <p>A frame is a length of four bytes, the length of the header in four bytes, the header (a JSON object whose
 * field {@code t} names the message) and an optional body of raw bytes. All lengths are big-endian.
 */
package org.cypressweir.common.transport;
