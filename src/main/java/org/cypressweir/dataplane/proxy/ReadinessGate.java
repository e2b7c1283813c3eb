package org.cypressweir.dataplane.proxy;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.cypressweir.controlplane.consensus.ProposalNumber;

/**
 * Whether a pilot that starts may begin with the configuration that it has: a harbour has to confirm that
 * nothing newer was agreed as of a moment not long ago. Where nobody confirms it for a while, the core has no
 * majority, or this pilot doesn't reach it; it begins then with what there is. Once it has begun it stays so.
 *
 * <p>Each question carries this pilot's own time, which the answer repeats, so that an answer that was held
 * up counts as of the question.
 */
final class ReadinessGate {

    /** A harbour whose confirmation is older is taken for cut off. */
    static final long MOST_AGE = 2_000_000;

    private static final long ASK_EVERY = 200_000;

    private record Confirmed(ProposalNumber stamp, long asOf) {}

    private final Map<String, Confirmed> confirmed = new HashMap<>();
    private final Set<String> cutOff = new HashSet<>();
    private long askedAt = Long.MIN_VALUE / 2;
    private long havingSince = -1;
    private boolean begun;
    private boolean isConfirmed;

    /** Whether harbours are to be asked now. */
    boolean asks(long now) {
        if (begun || now - askedAt < ASK_EVERY) {
            return false;
        }
        askedAt = now;
        return true;
    }

    /** A harbour answers what was asked at that time. An age below 0 says that it can confirm nothing. */
    void answered(long now, String harbour, long asked, ProposalNumber stamp, long age) {
        if (stamp != null && age >= 0 && asked <= now) {
            confirmed.put(harbour, new Confirmed(stamp, asked - age));
        }
        told(harbour, age);
    }

    /** A harbour says how long ago it was in contact with a majority. */
    void told(String harbour, long age) {
        if (age < 0 || age > MOST_AGE) {
            cutOff.add(harbour);
        } else {
            cutOff.remove(harbour);
        }
    }

    void lost(String harbour) {
        confirmed.remove(harbour);
        cutOff.remove(harbour);
    }

    /** Those of them that are in contact with a majority, as far as they have said. */
    Set<String> inContact(Set<String> harbours) {
        Set<String> all = new HashSet<>(harbours);
        all.removeAll(cutOff);
        return all.isEmpty() ? harbours : all;
    }

    /**
     * Whether it may begin, with the configuration of this stamp in force.
     *
     * @param patience how long it waits for a confirmation once it has a configuration
     */
    boolean begins(long now, ProposalNumber own, long patience) {
        if (begun || own.equals(ProposalNumber.ZERO)) {
            return begun;
        }
        if (havingSince < 0) {
            havingSince = now;
        }
        isConfirmed = confirmed.values().stream()
                .anyMatch(one -> now - one.asOf <= MOST_AGE && own.compareTo(one.stamp) >= 0);
        begun = isConfirmed || now - havingSince >= patience;
        return begun;
    }

    /** Whether what it began with had been confirmed. */
    boolean isConfirmed() {
        return isConfirmed;
    }
}
