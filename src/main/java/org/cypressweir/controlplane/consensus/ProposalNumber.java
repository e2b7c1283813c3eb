package org.cypressweir.controlplane.consensus;

/** Numbers a ballot: a round and the harbour that runs it. Written as {@code round@harbour}. */
public record ProposalNumber(long round, String harbour) implements Comparable<ProposalNumber> {

    public static final ProposalNumber ZERO = new ProposalNumber(0, "");

    @Override
    public int compareTo(ProposalNumber other) {
        return round != other.round ? Long.compare(round, other.round) : harbour.compareTo(other.harbour);
    }

    boolean above(ProposalNumber other) {
        return compareTo(other) > 0;
    }

    static ProposalNumber higher(ProposalNumber a, ProposalNumber b) {
        return a.above(b) ? a : b;
    }

    /** Reads the text; an IllegalArgumentException where it is no stamp. */
    public static ProposalNumber of(String text) {
        int at = text.indexOf('@');
        long round = Long.parseLong(text.substring(0, Math.max(at, 0)));
        // Rounds are counted up: one near the end of numbers is made up.
        if (round < 0 || round > 1L << 60) {
            throw new IllegalArgumentException("no stamp");
        }
        return new ProposalNumber(round, text.substring(at + 1));
    }

    @Override
    public String toString() {
        return round + "@" + harbour;
    }
}
