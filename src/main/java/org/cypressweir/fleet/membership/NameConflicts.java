package org.cypressweir.fleet.membership;

import java.util.HashMap;
import java.util.Map;

/** Names that are used by a second process, and the probes that were sent to their holders. */
final class NameConflicts {

    /** Maximum number of concurrent conflicts. */
    private static final int MAX_CONFLICTS = 64;

    private static final class Conflict {
        private static final long NEVER = Long.MIN_VALUE;

        final long startedAt;
        Peer newcomer;
        long probeNumber;
        long probeSentAt = NEVER;

        Conflict(long startedAt) {
            this.startedAt = startedAt;
        }

        boolean isProbed() {
            return probeSentAt != NEVER;
        }
    }

    private final Map<String, Conflict> open = new HashMap<>();

    /**
     * Records that a newcomer uses a name that another process holds; returns whether the holder is to be probed now.
     */
    boolean recordNewcomer(long now, Peer newcomer, long periodMicros) {
        String name = newcomer.name();
        if (!open.containsKey(name) && open.size() >= MAX_CONFLICTS) {
            return false;
        }
        Conflict conflict = open.computeIfAbsent(name, added -> new Conflict(now));
        conflict.newcomer = newcomer;
        return !conflict.isProbed() || now - conflict.probeSentAt >= periodMicros;
    }

    void probeSent(long now, String name, long probeNumber) {
        Conflict conflict = open.get(name);
        conflict.probeNumber = probeNumber;
        conflict.probeSentAt = now;
    }

    /** Whether this is the number of the last probe of a conflict. */
    boolean isResponse(String name, long probeNumber) {
        Conflict conflict = open.get(name);
        return conflict != null && conflict.isProbed() && conflict.probeNumber == probeNumber;
    }

    /** Closes a conflict; returns the newcomer. */
    Peer close(String name) {
        return open.remove(name).newcomer;
    }

    void expire(long now, long maxAgeMicros) {
        open.values().removeIf(conflict -> now - conflict.startedAt > maxAgeMicros);
    }
}
