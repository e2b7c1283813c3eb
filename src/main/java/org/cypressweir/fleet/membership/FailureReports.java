package org.cypressweir.fleet.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The latest reports of all members on their contacts. A report that is not repeated expires. */
final class FailureReports {

    /** Periods after which a report that still holds is repeated. */
    static final int REPEAT_PERIODS = 12;

    private static final int EXPIRY_PERIODS = 3 * REPEAT_PERIODS;
    /** Maximum number of reporters on one member: its neighbors, and members that have probed it directly. */
    private static final int MAX_REPORTERS = 64;

    private record ReceivedReport(FailureReport report, long receivedAt) {}

    /** By subject, then by reporter. */
    private final Map<String, Map<String, ReceivedReport>> reports = new TreeMap<>();

    /**
     * Adds a report if it is newer than the last one by the same reporter. Returns whether it was added; reports by
     * more than {@link #MAX_REPORTERS} members on one subject are not.
     */
    boolean add(long now, FailureReport report) {
        Map<String, ReceivedReport> ofSubject = reports.computeIfAbsent(report.subject(), name -> new HashMap<>());
        ReceivedReport last = ofSubject.get(report.reporter());
        boolean isAccepted = last == null ? ofSubject.size() < MAX_REPORTERS : report.isNewerThan(last.report);
        if (isAccepted) {
            ofSubject.put(report.reporter(), new ReceivedReport(report, now));
        }
        return isAccepted;
    }

    boolean isEmpty() {
        return reports.isEmpty();
    }

    /** Names of the members that reports are about. */
    List<String> subjects() {
        return new ArrayList<>(reports.keySet());
    }

    List<FailureReport> about(String subject) {
        List<FailureReport> about = new ArrayList<>();
        reports.getOrDefault(subject, Map.of()).values().forEach(received -> about.add(received.report));
        return about;
    }

    /** The latest report by one member on another; null if there is none. */
    FailureReport findBy(String reporter, String subject) {
        ReceivedReport received = reports.getOrDefault(subject, Map.of()).get(reporter);
        return received == null ? null : received.report;
    }

    void forget(String subject) {
        reports.remove(subject);
    }

    /** Removes expired reports; returns whether there were any. */
    boolean expire(long now, long periodMicros) {
        boolean hasExpired = false;
        for (Map<String, ReceivedReport> ofSubject : reports.values()) {
            hasExpired |=
                    ofSubject.values().removeIf(received -> now - received.receivedAt > EXPIRY_PERIODS * periodMicros);
        }
        reports.values().removeIf(Map::isEmpty);
        return hasExpired;
    }
}
