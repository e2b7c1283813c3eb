package org.cypressweir.loadbalancing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.cypressweir.common.util.Hashes;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Compares the subset tree with plain matching: after any change a node holds the members with its labels. */
class SubsetTreeTest {

    private static final class Host extends SubsetTree.Member {
        private final int[] labels;
        private boolean inTree;
        private boolean marked;

        Host(int[] labels) {
            this.labels = labels;
        }

        boolean matches(int[] values) {
            for (int k = 0; k < values.length; k++) {
                if (values[k] != SubsetTree.ANY && values[k] != labels[k]) {
                    return false;
                }
            }
            return true;
        }
    }

    private static int[] labels(SplittableRandom random, int keys, int values) {
        return random.ints(keys, SubsetTree.ANY, values).toArray();
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 4})
    void sameMembersAsPlainMatchingAfterAnyChanges(int keys) {
        long seed = 90 + keys;
        SplittableRandom random = new SplittableRandom(seed);
        SubsetTree<Host> tree = new SubsetTree<>(keys);
        List<Host> hosts = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            hosts.add(new Host(labels(random, keys, 3)));
        }
        for (int round = 0; round < 6_000; round++) {
            Host host = hosts.get(random.nextInt(hosts.size()));
            int what = random.nextInt(round % 1_000 == 999 ? 4 : 3);
            if (what == 3) {
                tree.clear();
                hosts.forEach(h -> h.inTree = false);
            } else if (what == 2) {
                host.marked = !host.marked;
                tree.mark(host, host.marked);
            } else if (host.inTree) {
                tree.remove(host);
                host.inTree = false;
            } else {
                // Positions shared by many: hashes of ids may collide.
                tree.add(host, random.nextInt(5), host.labels);
                host.inTree = true;
            }
            int[] values = labels(random, keys, 4);
            IndexedMembers<Host> node = tree.node(values);
            Set<Host> actual = new HashSet<>();
            for (int i = 0; i < node.size(); i++) {
                assertTrue(actual.add(node.get(i)), "seed " + seed + ": twice in a node");
                assertTrue(i == 0 || node.get(i - 1).position <= node.get(i).position, "seed " + seed + ": order");
            }
            Set<Host> expected = new HashSet<>(hosts);
            expected.removeIf(h -> !h.inTree || !h.matches(values));
            assertEquals(expected, actual, "seed " + seed + ", round " + round);
            assertEquals(expected.stream().filter(h -> h.marked).count(), node.markedCount(), "seed " + seed);
            assertEquals(hosts.stream().filter(h -> h.inTree).count(), tree.size());
        }
    }

    @Test
    void markedMembersComeRoundRobin() {
        SubsetTree<Host> tree = new SubsetTree<>(1);
        List<Host> hosts = new ArrayList<>();
        for (int i = 0; i < 9; i++) {
            hosts.add(new Host(new int[] {0}));
            tree.add(hosts.get(i), i, 0);
            tree.mark(hosts.get(i), i % 3 == 0);
        }
        IndexedMembers<Host> node = tree.node(0);
        Set<Host> seen = new HashSet<>();
        for (int i = 0; i < 3; i++) {
            seen.add(node.nextMarked());
        }
        assertEquals(Set.of(hosts.get(0), hosts.get(3), hosts.get(6)), seen);
    }

    @Test
    void ringWalkBeginsAtAnyPosition() {
        SubsetTree<Host> tree = new SubsetTree<>(1);
        for (int i = 0; i < 5; i++) {
            tree.add(new Host(new int[] {0}), 10 * i, 0);
        }
        IndexedMembers<Host> node = tree.node(SubsetTree.ANY);
        assertEquals(0, node.indexFrom(-1));
        assertEquals(2, node.indexFrom(11));
        assertEquals(2, node.indexFrom(20));
        assertEquals(0, node.indexFrom(41));
    }

    /** One more cell takes about its even part of the servers, and none move between the other cells. */
    @Test
    void oneMoreCellMovesFewServers() {
        int servers = 20_000;
        for (int cells : new int[] {10, 100, 400}) {
            int moved = 0;
            int[] sizes = new int[cells];
            for (long id = 0; id < servers; id++) {
                int before = Hashes.jump(Hashes.mix(id, 0), cells);
                int after = Hashes.jump(Hashes.mix(id, 0), cells + 1);
                assertTrue(after == before || after == cells);
                moved += after == before ? 0 : 1;
                sizes[before]++;
            }
            double fair = servers / (cells + 1.0);
            assertTrue(Math.abs(moved - fair) < 5 * Math.sqrt(fair), moved + " moved, fair " + fair);
            double chiSquared = 0;
            for (int size : sizes) {
                chiSquared += Math.pow(size - servers / (double) cells, 2) / (servers / (double) cells);
            }
            assertTrue(chiSquared < cells + 5 * Math.sqrt(2.0 * cells), "uneven: " + chiSquared);
        }
    }
}
