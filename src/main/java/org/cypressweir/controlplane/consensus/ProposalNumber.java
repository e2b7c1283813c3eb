package org.cypressweir.controlplane.consensus;

/**
 * The number of a proposal: a round, and the replica that runs it, which breaks ties. Ordered; no two
 * proposals share one, so equal numbers mean equal states. Written as {@code round@replica}.
 */
public record ProposalNumber(long round, String replica) implements Comparable<ProposalNumber> {

    private static final long MAX_ROUND = 1L << 60;

    /** Below all others: the number of the state before the first proposal. */
    public static final ProposalNumber ZERO = new ProposalNumber(0, "");

    @Override
    public int compareTo(ProposalNumber other) {
        return round != other.round ? Long.compare(round, other.round) : replica.compareTo(other.replica);
    }

    boolean above(ProposalNumber other) {
        return compareTo(other) > 0;
    }

    static ProposalNumber higher(ProposalNumber a, ProposalNumber b) {
        return a.above(b) ? a : b;
    }

    /**
     * Parses {@code round@replica}.
     *
     * @throws IllegalArgumentException if the text is not a proposal number
     */
    public static ProposalNumber of(String text) {
        int at = text.indexOf('@');
        long round = Long.parseLong(text.substring(0, Math.max(at, 0)));
        // Rounds are counted up: one near the end of the range cannot be genuine.
        if (round < 0 || round > MAX_ROUND) {
            throw new IllegalArgumentException("not a proposal number");
        }
        return new ProposalNumber(round, text.substring(at + 1));
    }

    @Override
    public String toString() {
        return round + "@" + replica;
    }
}
