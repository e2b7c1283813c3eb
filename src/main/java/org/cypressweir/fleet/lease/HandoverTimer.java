package org.cypressweir.fleet.lease;

import java.util.Map;
import java.util.TreeMap;

/**
 * When a lease that this process holds is handed over to its preferred holder: once another member has been preferred
 * for some terms. A member that did not take a lease the last time is waited for longer, each time.
 */
final class HandoverTimer {

    private static final int SETTLED_TERMS = 2;
    private static final int MAX_DOUBLINGS = 10;
    private static final int DOUBLINGS_PER_FAILURE = 2;

    private final Map<String, Long> otherPreferredSince = new TreeMap<>();
    private final Map<String, String> lastTarget = new TreeMap<>();
    /** Handovers in a row to the last target. */
    private final Map<String, Integer> handovers = new TreeMap<>();

    void copyTo(HandoverTimer copy) {
        copy.otherPreferredSince.putAll(otherPreferredSince);
        copy.lastTarget.putAll(lastTarget);
        copy.handovers.putAll(handovers);
    }

    /** Appends what decides its further behaviour, for model checkers. */
    void describeState(long now, StateText text) {
        otherPreferredSince.forEach((lease, since) -> text.add(lease, now - since));
        handovers.forEach((lease, count) -> text.add(lastTarget.get(lease), count));
    }

    /** This process is the preferred holder itself, or no member is known. */
    void reset(String lease) {
        otherPreferredSince.remove(lease);
    }

    /** Whether the lease is to be handed over to that member now; if so, this counts as done. */
    boolean isDue(long now, String lease, String preferred, long termMicros) {
        int earlierHandovers = preferred.equals(lastTarget.get(lease)) ? handovers.getOrDefault(lease, 0) : 0;
        int doublings = Math.min(DOUBLINGS_PER_FAILURE * earlierHandovers, MAX_DOUBLINGS);
        long settledMicros = SETTLED_TERMS * termMicros << doublings;
        long since = otherPreferredSince.computeIfAbsent(lease, name -> now);
        if (now - since <= settledMicros) {
            return false;
        }
        otherPreferredSince.remove(lease);
        lastTarget.put(lease, preferred);
        handovers.put(lease, earlierHandovers + 1);
        return true;
    }
}
