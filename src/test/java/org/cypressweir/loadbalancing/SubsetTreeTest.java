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

/** The subset tree against plain matching: whatever changes, a node has who carries its labels. */
class SubsetTreeTest {

    private static final class Host extends SubsetTree.Member {
        private final int[] wanted;
        private boolean in;
        private boolean sick;

        Host(int[] wanted) {
            this.wanted = wanted;
        }

        boolean carries(int[] values) {
            for (int k = 0; k < values.length; k++) {
                if (values[k] != SubsetTree.ANY && values[k] != wanted[k]) {
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
                hosts.forEach(h -> h.in = false);
            } else if (what == 2) {
                host.sick = !host.sick;
                tree.mark(host, host.sick);
            } else if (host.in) {
                tree.remove(host);
                host.in = false;
            } else {
                // Places that many share: ids may collide after hashing.
                tree.add(host, random.nextInt(5), host.wanted);
                host.in = true;
            }
            int[] values = labels(random, keys, 4);
            IndexedMembers<Host> node = tree.node(values);
            Set<Host> actual = new HashSet<>();
            for (int i = 0; i < node.size(); i++) {
                assertTrue(actual.add(node.get(i)), "seed " + seed + ": twice in a node");
                assertTrue(i == 0 || node.get(i - 1).place <= node.get(i).place, "seed " + seed + ": order");
            }
            Set<Host> expected = new HashSet<>(hosts);
            expected.removeIf(h -> !h.in || !h.carries(values));
            assertEquals(expected, actual, "seed " + seed + ", round " + round);
            assertEquals(expected.stream().filter(h -> h.sick).count(), node.marked(), "seed " + seed);
            assertEquals(hosts.stream().filter(h -> h.in).count(), tree.size());
        }
    }

    @Test
    void markedOnesComeInTurn() {
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
    void theRingBeginsAtAnyPlace() {
        SubsetTree<Host> tree = new SubsetTree<>(1);
        for (int i = 0; i < 5; i++) {
            tree.add(new Host(new int[] {0}), 10 * i, 0);
        }
        IndexedMembers<Host> node = tree.node(SubsetTree.ANY);
        assertEquals(0, node.from(-1));
        assertEquals(2, node.from(11));
        assertEquals(2, node.from(20));
        assertEquals(0, node.from(41));
    }

    /** One cell more takes about its own part of the servers, and nothing moves between the others. */
    @Test
    void anotherCountOfCellsMovesFew() {
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
