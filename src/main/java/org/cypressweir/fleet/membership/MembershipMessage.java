package org.cypressweir.fleet.membership;

import java.util.List;

/**
 * What one process tells another, in one datagram.
 *
 * @param from who says it, whatever address it came from
 * @param to the name it is for; empty where only an address is known
 * @param number of a question, which its answer repeats; of a refusal the life that it is for
 * @param digest of all entries that the sender knows
 * @param buckets digests of parts of them; empty but in a comparison
 * @param text why, in a refusal; empty in all else
 * @param load a page of a list that is lent, or a word about leases; empty in all else
 */
public record MembershipMessage(
        Kind kind,
        Peer from,
        String to,
        long number,
        long digest,
        List<MemberRecord> entries,
        List<FailureReport> reports,
        List<Integer> buckets,
        String text,
        byte[] load) {

    private static final byte[] NO_LOAD = {};

    /** All but a page. */
    public MembershipMessage(
            Kind kind,
            Peer from,
            String to,
            long number,
            long digest,
            List<MemberRecord> entries,
            List<FailureReport> reports,
            List<Integer> buckets,
            String text) {
        this(kind, from, to, number, digest, entries, reports, buckets, text, NO_LOAD);
    }

    /** What a message is for; the first three and the comparison may carry news. */
    public enum Kind {
        /** A question that wants an answer. */
        PING,
        ACK,
        /** News alone. */
        NEWS,
        /** What the sender knows, by parts; number 1 asks for the same. */
        COMPARE,
        /** The receiver's name is taken. */
        REFUSE,
        /** A question to an elector: who asks wants to be counted. */
        COUNT,
        /** Its answer, with the count in place of digests of parts. */
        COUNTED,
        /** A question for a list of servers, or a page of it. */
        BORROW,
        /** Its answer. */
        LEND,
        /** A word about leases, in its load. */
        LEASE;

        /** Whether it is about parts of what all share, and not about who is there. */
        public boolean ofShares() {
            return this == COUNT || this == COUNTED;
        }

        /** Whether it is about lists of servers. */
        public boolean ofLists() {
            return this == BORROW || this == LEND;
        }
    }

    /** The same without news. */
    MembershipMessage bare() {
        return new MembershipMessage(kind, from, to, number, digest, List.of(), List.of(), buckets, text);
    }

    /** Bytes of entries and reports that fit beside everything else of a message. */
    static final int ROOM = 1_000;
    /** The same for what rides on a question or an answer. */
    static final int RIDE = 400;
    /** The same in a comparison. */
    static final int PARTS = 128;
}
