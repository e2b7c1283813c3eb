package org.cypressweir.fleet.membership;

import java.util.List;

/**
 * A message between two processes, one datagram.
 *
 * @param from the sender by its own account, whatever address the message came from
 * @param to name of the receiver; empty where only an address is known
 * @param number of a probe or request, which the response repeats; of a refusal the process that it is for
 * @param digest of all records that the sender knows
 * @param records updates about members
 * @param reports updates about contacts
 * @param buckets digests of the parts of the records in a comparison; numbers of a share or a list in their messages
 * @param text the reason in a refusal; else empty
 * @param payload a page of an endpoint list, or a message about leases; else empty
 */
public record MembershipMessage(
        Kind kind,
        Peer from,
        String to,
        long number,
        long digest,
        List<MemberRecord> records,
        List<FailureReport> reports,
        List<Integer> buckets,
        String text,
        byte[] payload) {

    /** Parts of the records that have a digest each. */
    static final int BUCKETS = 128;
    /** Bytes of updates that fit into a message beside everything else. */
    static final int MAX_UPDATE_BYTES = 1_000;
    /** The same for updates that are piggybacked on a probe or its response. */
    static final int MAX_PIGGYBACK_BYTES = 400;

    private static final byte[] NO_PAYLOAD = {};

    /** Without a payload. */
    public MembershipMessage(
            Kind kind,
            Peer from,
            String to,
            long number,
            long digest,
            List<MemberRecord> records,
            List<FailureReport> reports,
            List<Integer> buckets,
            String text) {
        this(kind, from, to, number, digest, records, reports, buckets, text, NO_PAYLOAD);
    }

    /**
     * What a message is for. The first four may carry updates. It is sent as its ordinal, so the order is fixed; so are
     * the names.
     */
    public enum Kind {
        /** A probe. */
        PING,
        /** Response to a probe. */
        ACK,
        /** Updates alone. */
        NEWS,
        /** Digests of the records that the sender knows; number 1 asks for those of the receiver. */
        COMPARE,
        /** Another process has the receiver's name. */
        REFUSE,
        /** Request to a share voter: count the sender. */
        COUNT,
        /** Response to {@link #COUNT}, with the count in place of digests. */
        COUNTED,
        /** Request for an endpoint list, or a page of it. */
        BORROW,
        /** Response to {@link #BORROW}. */
        LEND,
        /** A message about leases, in the payload. */
        LEASE;

        /** Whether it is about shares. */
        public boolean isAboutShares() {
            return this == COUNT || this == COUNTED;
        }

        /** Whether it is about endpoint lists. */
        public boolean isAboutEndpointLists() {
            return this == BORROW || this == LEND;
        }
    }

    MembershipMessage withoutUpdates() {
        return new MembershipMessage(kind, from, to, number, digest, List.of(), List.of(), buckets, text);
    }
}
