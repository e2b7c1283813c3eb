package org.cypressweir.fleet.membership;

import java.util.HashMap;
import java.util.Map;

/**
 * Names that a second process asks for while another has them. The one that has it is asked at its address:
 * its answer refuses the newcomer, the newcomer's own answer from there shows that the other is gone.
 */
final class NameConflicts {

    /** Names at most that are contested at the same time. */
    private static final int MOST = 64;

    private static final class Contest {
        Peer newcomer;
        long number;
        long askedAt = Long.MIN_VALUE;
        long since;
    }

    private final Map<String, Contest> open = new HashMap<>();

    /** A newcomer asks for a name; whether whoever has it is to be asked now. */
    boolean open(long now, Peer newcomer, long periodMicros) {
        Contest c = open.get(newcomer.name());
        if (c == null) {
            if (open.size() >= MOST) {
                return false;
            }
            c = new Contest();
            c.since = now;
            open.put(newcomer.name(), c);
        }
        c.newcomer = newcomer;
        return c.askedAt == Long.MIN_VALUE || now - c.askedAt >= periodMicros;
    }

    void asked(long now, String name, long number) {
        open.get(name).number = number;
        open.get(name).askedAt = now;
    }

    /** Whether this answers the last question of a contest. */
    boolean answers(String name, long number) {
        Contest c = open.get(name);
        return c != null && c.askedAt != Long.MIN_VALUE && c.number == number;
    }

    /** The contest is over; the newcomer. */
    Peer close(String name) {
        return open.remove(name).newcomer;
    }

    void expire(long now, long micros) {
        open.values().removeIf(c -> now - c.since > micros);
    }
}
