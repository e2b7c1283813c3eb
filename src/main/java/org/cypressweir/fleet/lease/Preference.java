package org.cypressweir.fleet.lease;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import org.cypressweir.common.util.Hashes;
import org.cypressweir.common.util.Ids;

/**
 * Which process comes first for which lease: rendezvous hashing with bounded loads (Mirrokni, Thorup and
 * Zadimoghaddam, 2018), the same wherever the same processes are known. A hint alone: who holds is up to the
 * keepers.
 */
final class Preference {

    /** More than an equal part, so that few move when one comes or goes. */
    private static final double SLACK = 1.25;

    private record Place(String first, long[] scores) {}

    private final List<String> members;
    private final Map<String, Place> places = new HashMap<>();
    private final int most;

    /** @param members without doubles */
    Preference(Collection<String> leases, Collection<String> members) {
        this.members = List.copyOf(new TreeSet<>(members));
        most = Math.max(1, (int) Math.ceil(SLACK * leases.size() / Math.max(1, members.size())));
        long[] ids = this.members.stream().mapToLong(Ids::of).toArray();
        int[] loads = new int[ids.length];
        // In the order of names, so that all who know the same count alike.
        for (String lease : new TreeSet<>(leases)) {
            long salt = Ids.of(lease);
            long[] scores = new long[ids.length];
            int first = -1;
            for (int i = 0; i < ids.length; i++) {
                scores[i] = Hashes.mix(ids[i], salt) >>> 1;
                if (loads[i] < most && (first < 0 || scores[i] > scores[first])) {
                    first = i;
                }
            }
            if (first >= 0) {
                loads[first]++;
            }
            places.put(lease, new Place(first < 0 ? "" : this.members.get(first), scores));
        }
    }

    /** Who should have it; empty where nobody is known. */
    String first(String lease) {
        return places.get(lease).first;
    }

    /** How many come before this one: none before whoever should have it, and that one before all others. */
    int rank(String lease, String member) {
        Place place = places.get(lease);
        if (place.first.equals(member)) {
            return 0;
        }
        int own = members.indexOf(member);
        int before = 1;
        for (int i = 0; i < members.size(); i++) {
            before += own >= 0
                            && place.scores[i] > place.scores[own]
                            && !members.get(i).equals(place.first)
                    ? 1
                    : 0;
        }
        return own < 0 ? members.size() : before;
    }

    /** Who should have it, and who would come next. */
    List<String> firsts(String lease, int count) {
        List<String> all = new ArrayList<>(members);
        all.sort((a, b) -> Integer.compare(rank(lease, a), rank(lease, b)));
        return all.subList(0, Math.min(count, all.size()));
    }

    /** Leases that one process has, at most, where all are in touch. */
    int most() {
        return most;
    }
}
