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
 * Who is out, by what neighbours say. A pair of neighbours is in touch unless one of them says otherwise; who
 * can be reached over pairs in touch is in. One word against a member never ends it, nor do those of any who
 * can't be reached themselves. So whoever hears nobody accuses nobody but to itself, and a cut has one answer
 * on each of its sides that stays the same while it lasts, since neighbours stay the same.
 *
 * <p>At once out is whom all its neighbours have lost while they themselves are in touch. Who is only out of
 * reach because those around it are gone is looked for first. And where most have lost it and the others say
 * nothing, which they would if they were awake, it is out after the time that a word takes.
 */
final class SuspicionTable {

    /** What follows from the reports as they are. */
    record Ruling(List<String> out, Set<String> missing) {}

    private long settleMicros;
    /** Since when most of a member's neighbours have lost it; since when it can't be reached. */
    private final Map<String, Long> doubted = new HashMap<>();

    private final Map<String, Long> missing = new TreeMap<>();

    /** @param settleMicros for which a member is looked for, and others may speak up for it */
    SuspicionTable(long settleMicros) {
        this.settleMicros = settleMicros;
    }

    void retune(long nextSettleMicros) {
        settleMicros = nextSettleMicros;
    }

    /** When time alone may bring another ruling; the largest number for never. */
    long dueAt() {
        long first = Long.MAX_VALUE;
        for (long since : doubted.values()) {
            first = Math.min(first, since + settleMicros);
        }
        for (long since : missing.values()) {
            first = Math.min(first, since + settleMicros);
        }
        return first;
    }

    /** Time in which this process slept counts against nobody. */
    void slept(long micros) {
        doubted.replaceAll((name, since) -> since + micros);
        missing.replaceAll((name, since) -> since + micros);
    }

    Ruling rule(long now, MonitoringRings rings, String self, MemberTable roster, FailureReports reports) {
        Graph graph = new Graph(rings, roster, reports);
        boolean[] reached = graph.from(rings.place(self));
        List<String> out = new ArrayList<>();
        Set<String> looked = new TreeSet<>();
        for (int i = 0; i < rings.size(); i++) {
            String name = rings.name(i);
            if (name.equals(self) || !roster.isIn(name)) {
                continue;
            }
            int lost = 0;
            boolean vouched = false;
            boolean allThere = true;
            if (!reached[i] || graph.isAccused(i)) {
                for (int neighbour : rings.near(i)) {
                    allThere &= reached[neighbour];
                    lost += reached[neighbour] && graph.says(neighbour, i, true) ? 1 : 0;
                    vouched |= reached[neighbour] && graph.says(neighbour, i, false);
                }
            }
            if (reached[i]) {
                missing.remove(name);
                if (2 * lost <= rings.near(i).length || vouched) {
                    doubted.remove(name);
                } else if (now - doubted.computeIfAbsent(name, n -> now) >= settleMicros) {
                    out.add(name);
                }
            } else if (allThere && lost == rings.near(i).length
                    || now - missing.computeIfAbsent(name, n -> now) >= settleMicros) {
                out.add(name);
            } else {
                looked.add(name);
            }
        }
        out.forEach(this::forget);
        return new Ruling(out, looked);
    }

    void clear() {
        doubted.clear();
        missing.clear();
    }

    void forget(String name) {
        doubted.remove(name);
        missing.remove(name);
    }

    /** Pairs of members in touch: neighbours, and those that have found each other otherwise. */
    private static final class Graph {
        private static final int[] NOBODY = {};

        private final MonitoringRings rings;
        /** By member, who has lost it, and who says that it is there. */
        private final int[][] lostBy;

        private final int[][] vouchedBy;
        /** Those that are in no view any more, though their neighbours have no others yet. */
        private final boolean[] gone;

        Graph(MonitoringRings rings, MemberTable roster, FailureReports reports) {
            this.rings = rings;
            lostBy = new int[rings.size()][];
            vouchedBy = new int[rings.size()][];
            gone = new boolean[rings.size()];
            for (int i = 0; i < gone.length; i++) {
                gone[i] = !roster.isIn(rings.name(i));
            }
            for (String name : reports.subjects()) {
                int on = rings.place(name);
                MemberRecord entry = roster.get(name);
                for (FailureReport r : on < 0 ? List.<FailureReport>of() : reports.on(name)) {
                    int by = rings.place(r.reporter());
                    if (by < 0
                            || r.aboutIncarnation() != entry.incarnation()
                            || r.reporterIncarnation()
                                    != roster.get(r.reporter()).incarnation()) {
                        continue;
                    }
                    add(r.lost() ? lostBy : vouchedBy, on, by);
                    if (!r.lost()) {
                        add(vouchedBy, by, on);
                    }
                }
            }
        }

        private static void add(int[][] to, int on, int by) {
            int[] has = of(to, on);
            to[on] = Arrays.copyOf(has, has.length + 1);
            to[on][has.length] = by;
        }

        private static int[] of(int[][] all, int place) {
            return all[place] == null ? NOBODY : all[place];
        }

        private static boolean has(int[][] all, int on, int by) {
            for (int i : of(all, on)) {
                if (i == by) {
                    return true;
                }
            }
            return false;
        }

        boolean isAccused(int place) {
            return lostBy[place] != null;
        }

        boolean says(int by, int on, boolean lost) {
            return has(lost ? lostBy : vouchedBy, on, by);
        }

        boolean[] from(int start) {
            boolean[] reached = new boolean[rings.size()];
            ArrayDeque<Integer> next = new ArrayDeque<>();
            reached[start] = true;
            next.add(start);
            while (!next.isEmpty()) {
                int at = next.poll();
                for (int other : rings.near(at)) {
                    walk(at, other, reached, next);
                }
                for (int other : of(vouchedBy, at)) {
                    walk(at, other, reached, next);
                }
            }
            return reached;
        }

        private void walk(int at, int other, boolean[] reached, ArrayDeque<Integer> next) {
            if (!reached[other] && !gone[other] && !has(lostBy, other, at) && !has(lostBy, at, other)) {
                reached[other] = true;
                next.add(other);
            }
        }
    }
}
