package org.cypressweir.fleet.lease;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import org.cypressweir.common.util.Hashes;
import org.cypressweir.common.util.Ids;

/**
 * The preferred holders of each lease, by rendezvous hashing with bounded loads (Mirrokni, Thorup and Zadimoghaddam,
 * 2018). The result is the same in all processes that know the same members. It is only a hint: the grantors decide
 * which process holds a lease.
 */
final class Preference {

    /** Bound on a member's leases as a multiple of the mean; above 1, so that few leases move when members change. */
    private static final double MAX_LOAD_FACTOR = 1.25;

    /**
     * Preferences for one lease.
     *
     * @param first member that should hold the lease
     * @param scores hash scores of the members, by member index
     */
    private record Ranking(String first, long[] scores) {}

    private final List<String> members;
    private final Map<String, Ranking> rankings = new HashMap<>();
    private final int maxLeasesPerMember;

    /** @param members names without duplicates */
    Preference(Collection<String> leases, Collection<String> members) {
        this.members = List.copyOf(new TreeSet<>(members));
        double maxLoad = MAX_LOAD_FACTOR * leases.size() / Math.max(1, members.size());
        maxLeasesPerMember = Math.max(1, (int) Math.ceil(maxLoad));
        long[] memberIds = this.members.stream().mapToLong(Ids::of).toArray();
        int[] loads = new int[memberIds.length];
        // Sorted by name, so that all processes with the same members compute the same loads.
        for (String lease : new TreeSet<>(leases)) {
            long[] scores = scores(lease, memberIds);
            int first = findFirst(scores, loads);
            if (first >= 0) {
                loads[first]++;
            }
            rankings.put(lease, new Ranking(first < 0 ? "" : this.members.get(first), scores));
        }
    }

    private static long[] scores(String lease, long[] memberIds) {
        long salt = Ids.of(lease);
        long[] scores = new long[memberIds.length];
        for (int i = 0; i < memberIds.length; i++) {
            scores[i] = Hashes.mix(memberIds[i], salt) >>> 1;
        }
        return scores;
    }

    /** Index of the member with the highest score among those below their bound; -1 if there is none. */
    private int findFirst(long[] scores, int[] loads) {
        int first = -1;
        for (int i = 0; i < scores.length; i++) {
            if (loads[i] < maxLeasesPerMember && (first < 0 || scores[i] > scores[first])) {
                first = i;
            }
        }
        return first;
    }

    /** The member that should hold the lease; empty if no member is known. */
    String first(String lease) {
        return rankings.get(lease).first;
    }

    /** Number of members that come before this one; 0 for the preferred member, whatever its score. */
    int rank(String lease, String member) {
        Ranking ranking = rankings.get(lease);
        if (ranking.first.equals(member)) {
            return 0;
        }
        int index = members.indexOf(member);
        if (index < 0) {
            return members.size();
        }
        int rank = 1;
        for (int i = 0; i < members.size(); i++) {
            boolean isBefore = ranking.scores[i] > ranking.scores[index];
            if (isBefore && !members.get(i).equals(ranking.first)) {
                rank++;
            }
        }
        return rank;
    }

    /** The first members in the order of preference, beginning with the preferred holder. */
    List<String> ranked(String lease, int count) {
        List<String> ranked = new ArrayList<>(members);
        ranked.sort(Comparator.comparingInt(member -> rank(lease, member)));
        return ranked.subList(0, Math.min(count, ranked.size()));
    }

    /** Maximum number of leases that one member is preferred for, and holds while all members are connected. */
    int maxLeasesPerMember() {
        return maxLeasesPerMember;
    }
}
