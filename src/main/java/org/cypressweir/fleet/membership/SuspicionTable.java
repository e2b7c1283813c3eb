package org.cypressweir.fleet.membership;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Decides from the reports of all members which members are removed. Two neighbors are in contact unless one of them
 * reports the other lost; a member that can be reached through pairs in contact stays, unless most of its neighbors
 * have lost it. The report of a single process removes nobody, and reports of members that can't be reached do not
 * count. So a process that receives nothing removes others only from its own view, and a partition has one result on
 * each of its sides, which stays the same while the partition lasts, since the neighbors stay the same.
 *
 * <p>A member that all its neighbors have lost is removed at once if these neighbors can be reached. A member that
 * can't be reached because its neighbors are gone is probed directly before it is removed. A member that most neighbors
 * have lost, while the others report nothing, is removed after the time that a report takes to arrive: if the others
 * were running, they would contradict.
 */
final class SuspicionTable {

    /** Time of the next decision if none is due as long as the reports do not change. */
    static final long NEVER = Long.MAX_VALUE;

    /** Result of a decision; unreachable members are to be probed directly. */
    record Decision(List<String> removed, Set<String> unreachable) {}

    private long graceMicros;
    /** By name of a member that can be reached: since when most of its neighbors have reported it lost. */
    private final Map<String, Long> suspectedSince = new HashMap<>();
    /** By name of a member that can't be reached: since when. */
    private final Map<String, Long> unreachableSince = new TreeMap<>();

    /** @param graceMicros how long an unreachable member is probed, and others may contradict a report */
    SuspicionTable(long graceMicros) {
        this.graceMicros = graceMicros;
    }

    void reconfigure(long newGraceMicros) {
        graceMicros = newGraceMicros;
    }

    /** When the decision may change by the passing of time alone. */
    long nextDecisionAt() {
        long first = NEVER;
        for (long since : suspectedSince.values()) {
            first = Math.min(first, since + graceMicros);
        }
        for (long since : unreachableSince.values()) {
            first = Math.min(first, since + graceMicros);
        }
        return first;
    }

    /** Defers removals by the time for which this process was paused. */
    void excludePause(long pausedMicros) {
        suspectedSince.replaceAll((name, since) -> since + pausedMicros);
        unreachableSince.replaceAll((name, since) -> since + pausedMicros);
    }

    Decision decide(long now, MonitoringRings rings, String self, MemberTable table, FailureReports reports) {
        ContactGraph graph = new ContactGraph(rings, table, reports);
        boolean[] isReachable = graph.reachableFrom(rings.indexOf(self));
        List<String> removed = new ArrayList<>();
        Set<String> unreachable = new TreeSet<>();
        for (int member = 0; member < rings.size(); member++) {
            String name = rings.name(member);
            if (name.equals(self) || !table.isInView(name)) {
                continue;
            }
            NeighborReports neighbors = NeighborReports.count(member, rings, graph, isReachable);
            boolean isRemoved = isReachable[member]
                    ? isRemovedThoughReachable(now, name, neighbors)
                    : isRemovedAsUnreachable(now, name, neighbors);
            if (isRemoved) {
                removed.add(name);
            } else if (!isReachable[member]) {
                unreachable.add(name);
            }
        }
        removed.forEach(this::forget);
        return new Decision(removed, unreachable);
    }

    private boolean isRemovedThoughReachable(long now, String name, NeighborReports neighbors) {
        unreachableSince.remove(name);
        if (!neighbors.isLostByMost() || neighbors.isConfirmed) {
            suspectedSince.remove(name);
            return false;
        }
        return now - suspectedSince.computeIfAbsent(name, suspected -> now) >= graceMicros;
    }

    private boolean isRemovedAsUnreachable(long now, String name, NeighborReports neighbors) {
        if (neighbors.areAllReachable && neighbors.isLostByAll()) {
            return true;
        }
        return now - unreachableSince.computeIfAbsent(name, lost -> now) >= graceMicros;
    }

    void clear() {
        suspectedSince.clear();
        unreachableSince.clear();
    }

    void forget(String name) {
        suspectedSince.remove(name);
        unreachableSince.remove(name);
    }

    /** What the neighbors of one member report on it; only neighbors that can be reached count. */
    private static final class NeighborReports {
        private final int neighbors;
        private int lost;
        /** Whether a neighbor reports that it is in contact. */
        private boolean isConfirmed;

        private boolean areAllReachable = true;

        private NeighborReports(int neighbors) {
            this.neighbors = neighbors;
        }

        static NeighborReports count(int member, MonitoringRings rings, ContactGraph graph, boolean[] isReachable) {
            int[] neighbors = rings.neighbors(member);
            NeighborReports counted = new NeighborReports(neighbors.length);
            if (isReachable[member] && !graph.isReportedLost(member)) {
                return counted;
            }
            for (int neighbor : neighbors) {
                if (!isReachable[neighbor]) {
                    counted.areAllReachable = false;
                    continue;
                }
                counted.lost += graph.reportsLost(neighbor, member) ? 1 : 0;
                counted.isConfirmed |= graph.confirms(neighbor, member);
            }
            return counted;
        }

        boolean isLostByMost() {
            return 2 * lost > neighbors;
        }

        boolean isLostByAll() {
            return lost == neighbors;
        }
    }

    /** The pairs of members in contact: neighbors, and members that have reached each other directly. */
    private static final class ContactGraph {
        private static final int[] NONE = {};

        private final MonitoringRings rings;
        /** By member: the reporters that have lost it. */
        private final int[][] lostBy;
        /** By member: the members that are in contact with it, by a report of either side. */
        private final int[][] confirmedBy;
        /** By member: whether it is no longer in the view although the rings still contain it. */
        private final boolean[] isRemoved;

        ContactGraph(MonitoringRings rings, MemberTable table, FailureReports reports) {
            this.rings = rings;
            lostBy = new int[rings.size()][];
            confirmedBy = new int[rings.size()][];
            isRemoved = new boolean[rings.size()];
            for (int member = 0; member < isRemoved.length; member++) {
                isRemoved[member] = !table.isInView(rings.name(member));
            }
            for (String name : reports.subjects()) {
                int subject = rings.indexOf(name);
                if (subject >= 0) {
                    reports.about(name).forEach(report -> add(subject, report, table));
                }
            }
        }

        private void add(int subject, FailureReport report, MemberTable table) {
            int reporter = rings.indexOf(report.reporter());
            if (reporter < 0 || !isOfPresentIncarnations(report, table)) {
                return;
            }
            if (report.isLost()) {
                append(lostBy, subject, reporter);
            } else {
                append(confirmedBy, subject, reporter);
                append(confirmedBy, reporter, subject);
            }
        }

        private static boolean isOfPresentIncarnations(FailureReport report, MemberTable table) {
            return report.subjectIncarnation() == table.get(report.subject()).incarnation()
                    && report.reporterIncarnation()
                            == table.get(report.reporter()).incarnation();
        }

        private static void append(int[][] lists, int index, int added) {
            int[] old = list(lists, index);
            lists[index] = Arrays.copyOf(old, old.length + 1);
            lists[index][old.length] = added;
        }

        private static int[] list(int[][] lists, int index) {
            return lists[index] == null ? NONE : lists[index];
        }

        private static boolean contains(int[][] lists, int index, int searched) {
            for (int element : list(lists, index)) {
                if (element == searched) {
                    return true;
                }
            }
            return false;
        }

        boolean isReportedLost(int member) {
            return lostBy[member] != null;
        }

        boolean reportsLost(int reporter, int subject) {
            return contains(lostBy, subject, reporter);
        }

        boolean confirms(int reporter, int subject) {
            return contains(confirmedBy, subject, reporter);
        }

        /** By member: whether it can be reached from the start through pairs in contact. */
        boolean[] reachableFrom(int start) {
            boolean[] isReachable = new boolean[rings.size()];
            ArrayDeque<Integer> open = new ArrayDeque<>();
            isReachable[start] = true;
            open.add(start);
            while (!open.isEmpty()) {
                int member = open.poll();
                visitAll(member, rings.neighbors(member), isReachable, open);
                visitAll(member, list(confirmedBy, member), isReachable, open);
            }
            return isReachable;
        }

        private void visitAll(int from, int[] members, boolean[] isReachable, ArrayDeque<Integer> open) {
            for (int member : members) {
                boolean isInContact = !contains(lostBy, member, from) && !contains(lostBy, from, member);
                if (!isReachable[member] && !isRemoved[member] && isInContact) {
                    isReachable[member] = true;
                    open.add(member);
                }
            }
        }
    }
}
