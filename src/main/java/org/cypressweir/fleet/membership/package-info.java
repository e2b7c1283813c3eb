/**
 * Who is there among the sidecars of a fleet: pure decisions on time and messages, without sockets, threads
 * or a clock. {@code docs/design/membership.md} has the ways weighed and what each promise assumes.
 */
package org.cypressweir.fleet.membership;
