package org.cypressweir.fleet.lease;

import java.util.Map;

/**
 * What processes say to each other about leases.
 *
 * @param lease its name; empty in what is about all
 * @param holder who asks, or has it: one life of a process
 * @param token of the grant; in a refusal the highest that the keeper knows
 * @param number of what was asked, rising within a life; an answer repeats it
 * @param micros the term in a question, what is left of another's in a refusal
 * @param set of keepers that the asking process goes by
 * @param tops a page of the highest token of each lease, from one keeper to another that has forgotten them
 */
public record LeaseMessage(
        Kind kind,
        String lease,
        String holder,
        long token,
        long number,
        long micros,
        long set,
        Map<String, Long> tops) {

    /** Tokens in one word, so that it fits into a datagram. */
    public static final int MOST_TOPS = 12;

    /** What a word is for. */
    public enum Kind {
        /** A question to a keeper: grant it, or go on granting it. */
        ASK,
        YES,
        NO,
        /** Its holder, or one that has too few grants, gives a grant back. */
        FREE,
        /** From a holder that goes to the next: it is free. */
        HINT,
        /** From a keeper that has forgotten all to the others. */
        LEARN,
        LEARNED
    }

    static LeaseMessage of(Kind kind, String lease, String holder, long token, long number, long micros, long set) {
        return new LeaseMessage(kind, lease, holder, token, number, micros, set, Map.of());
    }
}
