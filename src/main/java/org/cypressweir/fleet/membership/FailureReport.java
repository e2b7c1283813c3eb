package org.cypressweir.fleet.membership;

/**
 * One process on its contact with another: lost, or there after all. It holds for just these incarnations,
 * and of two by the same process that with the higher number.
 */
public record FailureReport(
        String reporter, int reporterIncarnation, String about, int aboutIncarnation, int number, boolean lost) {

    int size() {
        return 24 + 3 * (reporter.length() + about.length());
    }
}
