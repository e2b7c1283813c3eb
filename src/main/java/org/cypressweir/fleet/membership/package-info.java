/**
 * Membership of a fleet, shares of its limits and exchange of endpoint lists among its processes: decisions that depend
 * only on times and messages, without sockets, threads or a clock. {@code docs/design/membership.md} describes the
 * alternatives considered and the assumptions of each guarantee.
 */
package org.cypressweir.fleet.membership;
