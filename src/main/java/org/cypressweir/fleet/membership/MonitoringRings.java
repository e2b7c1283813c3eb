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
 * Who watches whom: the members in three orders by hash, each watched by those before and behind it in every
 * one. Such a graph has short ways and no thin place, whatever the names; up to seven members all watch all.
 */
public final class MonitoringRings {

    static final int RINGS = 3;
    private static final int FEW = 2 * RINGS + 1;

    /** Rings that were made last, by what a view's fingerprint says: processes in one memory share them. */
    public static final class Cache {
        private final Map<Long, MonitoringRings> made;

        public Cache(int size) {
            made = new LinkedHashMap<>(16, 0.75f, true) {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<Long, MonitoringRings> eldest) {
                    return size() > size;
                }
            };
        }

        MonitoringRings of(long fingerprint, Supplier<Collection<String>> names) {
            MonitoringRings rings = made.get(fingerprint);
            if (rings == null) {
                rings = new MonitoringRings(names.get());
                made.put(fingerprint, rings);
            }
            return rings;
        }
    }

    private final String[] names;
    private final Map<String, Integer> places;
    /** By ring: the hashes in their order, and whose they are. */
    private final long[][] keys = new long[RINGS][];

    private final int[][] order = new int[RINGS][];
    private final int[][] near;

    MonitoringRings(Collection<String> members) {
        names = new TreeSet<>(members).toArray(new String[0]);
        places = new HashMap<>(names.length * 2);
        for (int i = 0; i < names.length; i++) {
            places.put(names[i], i);
        }
        for (int ring = 0; ring < RINGS; ring++) {
            sort(ring);
        }
        near = new int[names.length][];
        for (int ring = 0; ring < RINGS; ring++) {
            for (int i = 0; i < names.length; i++) {
                int member = order[ring][i];
                add(member, order[ring][(i + 1) % names.length]);
                add(member, order[ring][(i + names.length - 1) % names.length]);
            }
        }
        for (int i = 0; names.length <= FEW && i < names.length; i++) {
            for (int j = 0; j < names.length; j++) {
                add(i, j);
            }
        }
    }

    private void sort(int ring) {
        Integer[] sorted = new Integer[names.length];
        long[] hashes = new long[names.length];
        for (int i = 0; i < names.length; i++) {
            sorted[i] = i;
            hashes[i] = hash(names[i], ring);
        }
        Arrays.sort(sorted, (a, b) -> Long.compare(hashes[a], hashes[b]));
        keys[ring] = new long[names.length];
        order[ring] = new int[names.length];
        for (int i = 0; i < names.length; i++) {
            order[ring][i] = sorted[i];
            keys[ring][i] = hashes[sorted[i]];
        }
    }

    private static long hash(String name, int ring) {
        return Hashes.mix(Ids.of(name), ring);
    }

    private void add(int member, int other) {
        int[] has = near[member] == null ? new int[0] : near[member];
        if (member == other || Arrays.stream(has).anyMatch(x -> x == other)) {
            return;
        }
        near[member] = Arrays.copyOf(has, has.length + 1);
        near[member][has.length] = other;
    }

    int size() {
        return names.length;
    }

    /** The place of a name; below 0 where it is none of these. */
    int place(String name) {
        return places.getOrDefault(name, -1);
    }

    String name(int place) {
        return names[place];
    }

    /** Who watches this one and is watched by it. */
    int[] near(int place) {
        return near[place] == null ? new int[0] : near[place];
    }

    /** Who would watch this name if it were one of these; who does, if it is. */
    List<String> around(String name) {
        TreeSet<String> found = new TreeSet<>();
        int place = place(name);
        if (place >= 0) {
            for (int i : near(place)) {
                found.add(names[i]);
            }
        } else if (names.length < FEW) {
            found.addAll(List.of(names));
        } else {
            for (int ring = 0; ring < RINGS; ring++) {
                int at = Arrays.binarySearch(keys[ring], hash(name, ring));
                int behind = (at < 0 ? -at - 1 : at) % names.length;
                found.add(names[order[ring][behind]]);
                found.add(names[order[ring][(behind + names.length - 1) % names.length]]);
            }
        }
        return List.copyOf(found);
    }
}
