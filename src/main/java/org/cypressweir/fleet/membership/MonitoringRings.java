package org.cypressweir.fleet.membership;

import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.Supplier;
import org.cypressweir.common.util.Hashes;
import org.cypressweir.common.util.Ids;

/**
 * Determines which members monitor each other: the members are arranged in three rings, ordered by hash, and each is a
 * neighbor of its predecessor and successor in every ring. Such a graph has short paths and no bottleneck, whatever the
 * names are. Up to seven members are all neighbors of each other.
 */
public final class MonitoringRings {

    static final int RING_COUNT = 3;
    private static final int FULL_MESH_SIZE = 2 * RING_COUNT + 1;
    private static final int[] NO_NEIGHBORS = {};

    /**
     * Cache of the most recently used rings, by the fingerprint of the view; may be shared by members in the same
     * memory.
     */
    public static final class Cache {
        private static final int INITIAL_CAPACITY = 16;
        private static final float LOAD_FACTOR = 0.75f;

        private final Map<Long, MonitoringRings> rings;

        public Cache(int maxSize) {
            rings = new LinkedHashMap<>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<Long, MonitoringRings> eldest) {
                    return size() > maxSize;
                }
            };
        }

        MonitoringRings of(long viewFingerprint, Supplier<Collection<String>> names) {
            MonitoringRings cached = rings.get(viewFingerprint);
            if (cached == null) {
                cached = new MonitoringRings(names.get());
                rings.put(viewFingerprint, cached);
            }
            return cached;
        }
    }

    private final String[] names;
    private final Map<String, Integer> indexes = new HashMap<>();
    /** By ring: the hashes in ascending order. */
    private final long[][] hashes = new long[RING_COUNT][];
    /** By ring: the members in the order of their hashes. */
    private final int[][] order = new int[RING_COUNT][];

    private final int[][] neighbors;

    MonitoringRings(Collection<String> members) {
        names = new TreeSet<>(members).toArray(new String[0]);
        neighbors = new int[names.length][];
        Arrays.fill(neighbors, NO_NEIGHBORS);
        for (int i = 0; i < names.length; i++) {
            indexes.put(names[i], i);
        }
        for (int ring = 0; ring < RING_COUNT; ring++) {
            sort(ring);
            connectRing(order[ring]);
        }
        if (names.length <= FULL_MESH_SIZE) {
            connectAll();
        }
    }

    private void sort(int ring) {
        Integer[] sorted = new Integer[names.length];
        long[] hashByMember = new long[names.length];
        for (int i = 0; i < names.length; i++) {
            sorted[i] = i;
            hashByMember[i] = hash(names[i], ring);
        }
        Arrays.sort(sorted, (a, b) -> Long.compare(hashByMember[a], hashByMember[b]));
        hashes[ring] = new long[names.length];
        order[ring] = new int[names.length];
        for (int i = 0; i < names.length; i++) {
            order[ring][i] = sorted[i];
            hashes[ring][i] = hashByMember[sorted[i]];
        }
    }

    private static long hash(String name, int ring) {
        return Hashes.mix(Ids.of(name), ring);
    }

    private void connectRing(int[] ringOrder) {
        int size = ringOrder.length;
        for (int i = 0; i < size; i++) {
            connect(ringOrder[i], ringOrder[(i + 1) % size]);
            connect(ringOrder[i], ringOrder[(i + size - 1) % size]);
        }
    }

    private void connectAll() {
        for (int i = 0; i < names.length; i++) {
            for (int j = 0; j < names.length; j++) {
                connect(i, j);
            }
        }
    }

    private void connect(int member, int other) {
        int[] connected = neighbors[member];
        boolean isConnected = Arrays.stream(connected).anyMatch(neighbor -> neighbor == other);
        if (member != other && !isConnected) {
            neighbors[member] = Arrays.copyOf(connected, connected.length + 1);
            neighbors[member][connected.length] = other;
        }
    }

    int size() {
        return names.length;
    }

    /** Index of a name; -1 if it is not a member. */
    int indexOf(String name) {
        return indexes.getOrDefault(name, -1);
    }

    String name(int index) {
        return names[index];
    }

    /** Indexes of the members that a member monitors and that monitor it. */
    int[] neighbors(int index) {
        return neighbors[index];
    }

    /** The neighbors of a name, or those that it would have if it were a member. */
    List<String> neighborsOf(String name) {
        TreeSet<String> found = new TreeSet<>();
        int index = indexOf(name);
        if (index >= 0) {
            for (int neighbor : neighbors[index]) {
                found.add(names[neighbor]);
            }
        } else if (names.length < FULL_MESH_SIZE) {
            found.addAll(List.of(names));
        } else {
            for (int ring = 0; ring < RING_COUNT; ring++) {
                addNeighborsInRing(ring, name, found);
            }
        }
        return List.copyOf(found);
    }

    private void addNeighborsInRing(int ring, String name, TreeSet<String> found) {
        int position = Arrays.binarySearch(hashes[ring], hash(name, ring));
        int next = (position < 0 ? -position - 1 : position) % names.length;
        int previous = (next + names.length - 1) % names.length;
        found.add(names[order[ring][next]]);
        found.add(names[order[ring][previous]]);
    }
}
