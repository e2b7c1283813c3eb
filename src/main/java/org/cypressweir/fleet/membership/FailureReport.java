package org.cypressweir.fleet.membership;

/**
 * A member's report on its contact with another: lost, or not lost. It counts for these two incarnations only. Of two
 * reports by one member on another that with the higher number counts.
 */
public record FailureReport(
        String reporter, int reporterIncarnation, String subject, int subjectIncarnation, int number, boolean isLost) {

    private static final int BASE_BYTES = 24;
    private static final int MAX_BYTES_PER_CHARACTER = 3;

    /** Bytes that it takes in a datagram, at most. */
    int encodedSize() {
        return BASE_BYTES + MAX_BYTES_PER_CHARACTER * (reporter.length() + subject.length());
    }

    boolean isNewerThan(FailureReport other) {
        return reporterIncarnation > other.reporterIncarnation
                || reporterIncarnation == other.reporterIncarnation && number > other.number;
    }
}
