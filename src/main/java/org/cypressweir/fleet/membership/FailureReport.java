package org.cypressweir.fleet.membership;

/**
 * A member's report on its contact with another: lost, or not lost. It is valid for these two incarnations only. Of two
 * reports by the same incarnation of one member on another, the one with the higher number is valid.
 */
public record FailureReport(
        String reporter, int reporterIncarnation, String subject, int subjectIncarnation, int number, boolean isLost) {

    private static final int BASE_BYTES = 24;
    private static final int MAX_BYTES_PER_CHARACTER = 3;

    /** Upper bound of the encoded size, in bytes. */
    int encodedSize() {
        return BASE_BYTES + MAX_BYTES_PER_CHARACTER * (reporter.length() + subject.length());
    }

    boolean isNewerThan(FailureReport other) {
        return reporterIncarnation > other.reporterIncarnation
                || reporterIncarnation == other.reporterIncarnation && number > other.number;
    }
}
