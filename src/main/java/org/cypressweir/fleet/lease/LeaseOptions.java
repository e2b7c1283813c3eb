package org.cypressweir.fleet.lease;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Stream;
import org.cypressweir.common.util.Hashes;
import org.cypressweir.common.util.Ids;

/**
 * The configured leases, and the processes that grant them.
 *
 * @param grantors 3, 5 or 7 addresses, the same in every process
 * @param previousGrantors the grantors that are being replaced, of which a quorum is needed as well; null for none
 * @param maxTermMicros longest term that a grantor grants; a restarted grantor grants nothing for that time, extended
 *        by the clock drift
 * @param clockDrift largest relative error of a clock's rate, such as 0.01
 * @param trustsWallClock whether a grantor that has lost its state, and can't reach a quorum of the others, may
 *        assume that the wall clock has advanced since, so that tokens derived from it exceed the earlier ones
 * @param termMicrosByLease term of each lease by its name, in microseconds of the holder's clock
 */
public record LeaseOptions(
        List<InetSocketAddress> grantors,
        List<InetSocketAddress> previousGrantors,
        long maxTermMicros,
        double clockDrift,
        boolean trustsWallClock,
        Map<String, Long> termMicrosByLease) {

    private static final String CHANGE_IN_PROGRESS = "the change of keepers in progress has to be completed first";

    private static final String QUORUMS_MAY_BE_DISJOINT =
            "most of the new keepers and most of the old ones may have none in common: set 'before' in [keepers] to"
                    + " the old ones first, in all processes, and remove it once all have it";

    /** How long a grantor keeps a grant by its own clock, so that it outlasts the holder's term despite clock drift. */
    public long grantMicros(long termMicros) {
        return (long) Math.ceil(termMicros * (1 + clockDrift) / (1 - clockDrift)) + 1;
    }

    /** Identifies the set of grantors, regardless of their order. It is sent, so its computation must not change. */
    public long grantorSetId() {
        return setId(grantors) ^ (previousGrantors == null ? 0 : Hashes.mix(setId(previousGrantors), 1));
    }

    private static long setId(List<InetSocketAddress> addresses) {
        TreeSet<String> sorted = new TreeSet<>();
        addresses.forEach(address -> sorted.add(address.toString()));
        return Hashes.mix(Ids.of(String.join(",", sorted)), 0);
    }

    /** Whether requests made under that set of grantors are answered: the current set, or the one it replaces. */
    public boolean acceptsGrantorSet(long setId) {
        return setId == grantorSetId() || previousGrantors != null && setId == setId(previousGrantors);
    }

    /** Why these options can't replace the current ones while other processes still use those; null if they can. */
    public String findUnsafeChange(LeaseOptions current) {
        boolean sameGrantors = setId(grantors) == setId(current.grantors);
        if (sameGrantors && (previousGrantors == null || hasPreviousGrantorsOf(current))) {
            return null;
        }
        if (current.previousGrantors != null) {
            return CHANGE_IN_PROGRESS;
        }
        boolean startsChange = previousGrantors != null && setId(previousGrantors) == setId(current.grantors);
        return startsChange ? null : QUORUMS_MAY_BE_DISJOINT;
    }

    private boolean hasPreviousGrantorsOf(LeaseOptions current) {
        return current.previousGrantors != null && setId(previousGrantors) == setId(current.previousGrantors);
    }

    /** Whether these are a majority of the grantors, and of the previous grantors if there are any. */
    boolean isQuorum(Set<InetSocketAddress> members) {
        return isMajority(grantors, members) && (previousGrantors == null || isMajority(previousGrantors, members));
    }

    private static boolean isMajority(List<InetSocketAddress> all, Set<InetSocketAddress> members) {
        return 2 * all.stream().filter(members::contains).count() > all.size();
    }

    /** All grantors that requests are sent to, including the previous ones. */
    List<InetSocketAddress> allGrantors() {
        return previousGrantors == null
                ? grantors
                : Stream.concat(grantors.stream(), previousGrantors.stream())
                        .distinct()
                        .toList();
    }
}
