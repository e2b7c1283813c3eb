package org.cypressweir.fleet.membership;

import java.util.List;

/**
 * A message between two processes, sent as one datagram.
 *
 * @param from the sender as it identifies itself, whatever address the message came from
 * @param to name of the receiver; empty if only its address is known
 * @param number number of a probe or request, which the response repeats; in a refusal the id of the process that it is
 *        for
 * @param digest digest of all records that the sender knows; in messages about shares the digest of the counted
 *        processes, in messages about endpoint lists the revision of a list
 * @param records updates about members
 * @param reports updates about contacts
 * @param buckets digests of the buckets of records in a comparison; numeric fields in messages about shares and
 *        endpoint lists
 * @param text reason of a refusal; otherwise empty
 * @param payload page of an endpoint list, or an encoded message about leases; otherwise empty
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

    /** Number of buckets that records are divided into for comparison; each has a digest. */
    static final int BUCKET_COUNT = 128;
    /** Space for updates in a message besides its other fields, in bytes. */
    static final int MAX_UPDATE_BYTES = 1_000;
    /** Space for updates that are piggybacked on a probe or its response, in bytes. */
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
     * Purpose of a message. The first four may carry updates. It is sent as its ordinal, so the order must not change,
     * nor may the names.
     */
    public enum Kind {
        /** A probe. */
        PING,
        /** Response to a probe. */
        ACK,
        /** Updates without a probe. */
        NEWS,
        /** Digests of the buckets of records that the sender knows; number 1 requests those of the receiver. */
        COMPARE,
        /** Another process holds the receiver's name. */
        REFUSE,
        /** Request to a share voter to count the sender. */
        COUNT,
        /** Response to {@link #COUNT}, with the count in {@code buckets}. */
        COUNTED,
        /** Request for an offer of an endpoint list, or for a page of the list. */
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
