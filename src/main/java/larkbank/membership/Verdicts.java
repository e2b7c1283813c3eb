package larkbank.membership;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
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
final class Verdicts {

    /** What follows from the reports as they are. */
    record Ruling(List<String> out, Set<String> missing) { }

    private final long settleMicros;
    /** Since when most of a member's neighbours have lost it; since when it can't be reached. */
    private final Map<String, Long> doubted = new HashMap<>();
    private final Map<String, Long> missing = new TreeMap<>();

    /** @param settleMicros for which a member is looked for, and others may speak up for it */
    Verdicts(long settleMicros) {
        this.settleMicros = settleMicros;
    }

    /** Whether time alone may bring another ruling. */
    boolean pending() {
        return !doubted.isEmpty() || !missing.isEmpty();
    }

    /** Time in which this process slept counts against nobody. */
    void slept(long micros) {
        doubted.replaceAll((name, since) -> since + micros);
        missing.replaceAll((name, since) -> since + micros);
    }

    Ruling rule(long now, Rings rings, String self, Roster roster, Reports reports) {
        Graph graph = new Graph(rings, roster, reports);
        boolean[] reached = graph.from(rings.place(self));
        List<String> out = new ArrayList<>();
        Set<String> looked = new TreeSet<>();
        for (int i = 0; i < rings.size(); i++) {
            String name = rings.name(i);
            if (name.equals(self)) {
                continue;
            }
            int lost = 0;
            boolean vouched = false;
            boolean allThere = true;
            if (!reached[i] || graph.accused.contains(i)) {
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

    void forget(String name) {
        doubted.remove(name);
        missing.remove(name);
    }

    /** Pairs of members in touch: neighbours, and those that have found each other otherwise. */
    private static final class Graph {
        private final Rings rings;
        private final Set<Long> cut = new HashSet<>();
        private final Set<Long> lostBy = new HashSet<>();
        private final Set<Long> vouchedBy = new HashSet<>();
        private final Map<Integer, List<Integer>> found = new HashMap<>();
        private final Set<Integer> accused = new HashSet<>();

        Graph(Rings rings, Roster roster, Reports reports) {
            this.rings = rings;
            for (String name : reports.subjects()) {
                int on = rings.place(name);
                Entry entry = roster.get(name);
                for (Report r : on < 0 ? List.<Report>of() : reports.on(name)) {
                    int by = rings.place(r.reporter());
                    if (by < 0 || r.aboutIncarnation() != entry.incarnation()
                            || r.reporterIncarnation() != roster.get(r.reporter()).incarnation()) {
                        continue;
                    }
                    if (r.lost()) {
                        cut.add(pair(by, on));
                        cut.add(pair(on, by));
                        lostBy.add(pair(by, on));
                        accused.add(on);
                    } else {
                        vouchedBy.add(pair(by, on));
                        found.computeIfAbsent(by, n -> new ArrayList<>()).add(on);
                        found.computeIfAbsent(on, n -> new ArrayList<>()).add(by);
                    }
                }
            }
        }

        private static long pair(int from, int to) {
            return (long) from << 32 | to;
        }

        boolean says(int by, int on, boolean lost) {
            return (lost ? lostBy : vouchedBy).contains(pair(by, on));
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
                for (int other : found.getOrDefault(at, List.of())) {
                    walk(at, other, reached, next);
                }
            }
            return reached;
        }

        private void walk(int at, int other, boolean[] reached, ArrayDeque<Integer> next) {
            if (!reached[other] && !cut.contains(pair(at, other))) {
                reached[other] = true;
                next.add(other);
            }
        }
    }
}
