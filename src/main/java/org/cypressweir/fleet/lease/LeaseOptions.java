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
 * What leases there are and who keeps them.
 *
 * @param keepers 3, 5 or 7 addresses, the same in every process
 * @param before the keepers that are being replaced, of whom most are needed as well; null for none
 * @param mostTermMicros no keeper grants for longer, and one that has forgotten says nothing for that time
 * @param drift by which part a clock's rate may differ from the true one, such as 0.01
 * @param wallClock whether a keeper that has forgotten all, and can't ask most others, may take it that
 *        clocks of the wall have gone on since, so that tokens begin above those of before
 * @param terms of each lease, in microseconds of the holder's clock, by name
 */
public record LeaseOptions(
        List<InetSocketAddress> keepers,
        List<InetSocketAddress> before,
        long mostTermMicros,
        double drift,
        boolean wallClock,
        Map<String, Long> terms) {

    /** For how long a keeper grants by its own clock what a holder uses for a term by its own. */
    public long kept(long termMicros) {
        return (long) Math.ceil(termMicros * (1 + drift) / (1 - drift)) + 1;
    }

    /** Tells these keepers from others, whatever their order. */
    public long set() {
        return set(keepers) ^ (before == null ? 0 : Hashes.mix(set(before), 1));
    }

    private static long set(List<InetSocketAddress> addresses) {
        TreeSet<String> sorted = new TreeSet<>();
        addresses.forEach(a -> sorted.add(a.toString()));
        return Hashes.mix(Ids.of(String.join(",", sorted)), 0);
    }

    /** The same keepers alone, or before them. */
    private long setOf(List<InetSocketAddress> alone) {
        return new LeaseOptions(alone, null, mostTermMicros, drift, wallClock, terms).set();
    }

    /** Whether a question by that set may be answered: it is the same, or one that this one replaces. */
    public boolean knows(long set) {
        return set == set() || before != null && set == setOf(before);
    }

    /** Why this one can't take the place of that one while others still go by it; null where it can. */
    public String unsafeAfter(LeaseOptions now) {
        boolean same = set(keepers) == set(now.keepers);
        if (same && (before == null || now.before != null && set(before) == set(now.before))) {
            return null;
        }
        if (now.before == null && before != null && set(before) == set(now.keepers)) {
            return null;
        }
        return now.before != null
                ? "the change of keepers that is under way has to end first"
                : "most of the new keepers and most of the old ones need not meet: set 'keepers_before' to"
                        + " the old ones first, in all processes, and take it out again when all have it";
    }

    /** Whether these answers are most of the keepers, and most of those before, if there are any. */
    boolean most(Set<InetSocketAddress> yes) {
        return most(keepers, yes) && (before == null || most(before, yes));
    }

    private static boolean most(List<InetSocketAddress> of, Set<InetSocketAddress> yes) {
        return 2 * of.stream().filter(yes::contains).count() > of.size();
    }

    /** All that are to be asked. */
    List<InetSocketAddress> all() {
        return before == null
                ? keepers
                : Stream.concat(keepers.stream(), before.stream()).distinct().toList();
    }
}
