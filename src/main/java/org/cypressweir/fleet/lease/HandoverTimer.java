package org.cypressweir.fleet.lease;

import java.util.Map;
import java.util.TreeMap;

/**
 * Decides when a lease that this process holds is handed over to its preferred holder: once another member has been
 * preferred for some terms. The wait grows exponentially with consecutive handovers to the same member, since they mean
 * that it did not take the lease over.
 */
final class HandoverTimer {

    private static final int INITIAL_WAIT_TERMS = 2;
    private static final int MAX_DOUBLINGS = 10;
    private static final int DOUBLINGS_PER_FAILURE = 2;

    private final Map<String, Long> otherPreferredSince = new TreeMap<>();
    private final Map<String, String> lastTargetByLease = new TreeMap<>();
    /** Consecutive handovers to the last target. */
    private final Map<String, Integer> consecutiveHandovers = new TreeMap<>();

    void copyTo(HandoverTimer copy) {
        copy.otherPreferredSince.putAll(otherPreferredSince);
        copy.lastTargetByLease.putAll(lastTargetByLease);
        copy.consecutiveHandovers.putAll(consecutiveHandovers);
    }

    /** Appends the state that determines its further behaviour, for model checkers. */
    void describeState(long now, StateText text) {
        otherPreferredSince.forEach((lease, since) -> text.add(lease, now - since));
        consecutiveHandovers.forEach((lease, count) -> text.add(lastTargetByLease.get(lease), count));
    }

    /** Restarts the wait: this process is the preferred holder itself, or no member is known. */
    void reset(String lease) {
        otherPreferredSince.remove(lease);
    }

    /** Whether to hand the lease over to that member now; if so, the handover is recorded. */
    boolean startIfDue(long now, String lease, String preferred, long termMicros) {
        int earlierHandovers =
                preferred.equals(lastTargetByLease.get(lease)) ? consecutiveHandovers.getOrDefault(lease, 0) : 0;
        int doublings = Math.min(DOUBLINGS_PER_FAILURE * earlierHandovers, MAX_DOUBLINGS);
        long waitMicros = INITIAL_WAIT_TERMS * termMicros << doublings;
        long since = otherPreferredSince.computeIfAbsent(lease, name -> now);
        if (now - since <= waitMicros) {
            return false;
        }
        otherPreferredSince.remove(lease);
        lastTargetByLease.put(lease, preferred);
        consecutiveHandovers.put(lease, earlierHandovers + 1);
        return true;
    }
}
