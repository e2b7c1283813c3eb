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
 * Which leases there are and which processes grant them.
 *
 * @param grantors 3, 5 or 7 addresses, the same in every process
 * @param previousGrantors the grantors that are being replaced, of which a quorum is needed as well; null for none
 * @param maxTermMicros no grantor grants for longer, and one that has restarted grants nothing for that time
 * @param clockDrift by which part a clock's rate may differ from the true one, such as 0.01
 * @param trustsWallClock whether a grantor that has lost its state, and can't reach a quorum of the others, may
 *        assume that wall clocks have gone on, so that its tokens begin above the earlier ones
 * @param termMicrosByLease term of each lease by its name, in microseconds of the holder's clock
 */
public record LeaseOptions(
        List<InetSocketAddress> grantors,
        List<InetSocketAddress> previousGrantors,
        long maxTermMicros,
        double clockDrift,
        boolean trustsWallClock,
        Map<String, Long> termMicrosByLease) {

    private static final String CHANGE_UNDER_WAY = "the change of keepers that is under way has to end first";

    private static final String QUORUMS_NEED_NOT_MEET =
            "most of the new keepers and most of the old ones need not meet: set 'keepers_before' to"
                    + " the old ones first, in all processes, and take it out again when all have it";

    /** For how long a grantor keeps a grant by its own clock so that it outlasts the holder's term by any clock. */
    public long grantMicros(long termMicros) {
        return (long) Math.ceil(termMicros * (1 + clockDrift) / (1 - clockDrift)) + 1;
    }

    /** Identifies the set of grantors, whatever their order. The number is sent, so its computation is fixed. */
    public long grantorSetId() {
        return setId(grantors) ^ (previousGrantors == null ? 0 : Hashes.mix(setId(previousGrantors), 1));
    }

    private static long setId(List<InetSocketAddress> addresses) {
        TreeSet<String> sorted = new TreeSet<>();
        addresses.forEach(address -> sorted.add(address.toString()));
        return Hashes.mix(Ids.of(String.join(",", sorted)), 0);
    }

    /** Whether a request by that set of grantors may be answered: it is this one, or one that this one replaces. */
    public boolean acceptsGrantorSet(long setId) {
        return setId == grantorSetId() || previousGrantors != null && setId == setId(previousGrantors);
    }

    /** Why these options can't replace the current ones while other processes still use those; null where they can. */
    public String findUnsafeChange(LeaseOptions current) {
        boolean sameGrantors = setId(grantors) == setId(current.grantors);
        if (sameGrantors && (previousGrantors == null || hasPreviousGrantorsOf(current))) {
            return null;
        }
        if (current.previousGrantors != null) {
            return CHANGE_UNDER_WAY;
        }
        boolean startsChange = previousGrantors != null && setId(previousGrantors) == setId(current.grantors);
        return startsChange ? null : QUORUMS_NEED_NOT_MEET;
    }

    private boolean hasPreviousGrantorsOf(LeaseOptions current) {
        return current.previousGrantors != null && setId(previousGrantors) == setId(current.previousGrantors);
    }

    /** Whether these are a majority of the grantors, and of the previous ones if there are any. */
    boolean isQuorum(Set<InetSocketAddress> members) {
        return isMajority(grantors, members) && (previousGrantors == null || isMajority(previousGrantors, members));
    }

    private static boolean isMajority(List<InetSocketAddress> all, Set<InetSocketAddress> members) {
        return 2 * all.stream().filter(members::contains).count() > all.size();
    }

    /** All grantors that have to be asked, the previous ones among them. */
    List<InetSocketAddress> allGrantors() {
        return previousGrantors == null
                ? grantors
                : Stream.concat(grantors.stream(), previousGrantors.stream())
                        .distinct()
                        .toList();
    }
}
