package org.cypressweir.sidecar.cell;

import org.cypressweir.common.util.Hashes;

/**
 * One move, as one sidecar carries it out. Safe requests go over bit by bit; while the new cell is sick they
 * go back and the move begins again later. Once all safe ones are over, writes go over in one go, at a
 * moment when every repeat that may come is known and, with a fence, no write is in hand at the old cell.
 * From then on there is no way back; repeats of what the old cell had still go there for as long as it
 * remembers them.
 */
final class UnitMigration {

    /**
     * WAITING for its time; RAMPING safe requests; writes held by a fence or refused by a freeze; repeats.
     */
    enum State {
        WAITING,
        RAMPING,
        SWITCHING,
        FROZEN,
        SETTLING,
        DONE,
        GIVEN_UP
    }

    /** Steps back, and fences in vain, after which it is given up. */
    static final int TRIES = 6;
    /** First wait before it begins again; doubled each time. */
    static final long BACK_OFF = 5_000_000;

    private static final long RAMP_SALT = 0xA3;

    final MoveConfiguration plan;
    final int from;
    /** Not ordered by operators: a quarantine, or the way back from it. */
    final boolean automatic;

    private final long windowMicros;
    /** Until then writes from before this process may run at the old cell. */
    private final long blindUntil;
    /** Keyed requests of the unit are remembered from then on. */
    private final long watchedSince;
    /** When a freeze ends; later where this process learned of it when it had begun. */
    private final long frozenUntil;

    private State state = State.WAITING;
    private long beganAt;
    private long fenceUntil;
    private long switchedAt;
    private long notBefore;
    private int tries;
    private int writesOut;

    /** @param blindMicros from now on, for which earlier writes may run unknown to this process */
    UnitMigration(MoveConfiguration plan, int from, boolean automatic, long now, long windowMicros, long blindMicros) {
        this.plan = plan;
        this.from = from;
        this.automatic = automatic;
        this.windowMicros = windowMicros;
        blindUntil = now + blindMicros;
        watchedSince = now;
        notBefore = plan.startMicros();
        frozenUntil = Math.max(plan.freezeAt(), now) + plan.freezeMicros();
    }

    State state() {
        return state;
    }

    boolean switched() {
        return state == State.SETTLING || state == State.DONE;
    }

    boolean over() {
        return state == State.DONE || state == State.GIVEN_UP;
    }

    int tries() {
        return tries;
    }

    /** Where the unit's writes go by now. */
    int home() {
        return switched() ? plan.to() : from;
    }

    /** Where a safe request goes; a given one always to the same side while the part is the same. */
    int ofSafe(long now, long requestHash) {
        return switched() || Hashes.uniform(requestHash, RAMP_SALT) < part(now) ? plan.to() : from;
    }

    /** The part of safe requests that have gone over. */
    double part(long now) {
        return switch (state) {
            case WAITING, GIVEN_UP -> 0;
            case RAMPING -> plan.overMicros() == 0 ? 1 : Math.min(1, (now - beganAt) / (double) plan.overMicros());
            default -> 1;
        };
    }

    /** For how long a write is refused from now on; 0 for not at all. */
    long refuses(long now) {
        return state == State.FROZEN ? Math.max(1, frozenUntil - now) : 0;
    }

    /** Whether a write is to be held now. */
    boolean holds(long now) {
        return state == State.SWITCHING && now < fenceUntil;
    }

    /** From when on every keyed request of the unit is known, if those that are remembered are since then. */
    long knownSince(long completeSince) {
        return Math.max(watchedSince, completeSince);
    }

    void writeSent() {
        writesOut++;
    }

    void writeEnded() {
        writesOut--;
    }

    int writesOut() {
        return writesOut;
    }

    /**
     * Goes on as far as it can.
     *
     * @param toSick whether the new cell is sick
     * @param repeatsSince from when on every keyed request is known
     * @return whether its state has changed
     */
    boolean step(long now, boolean toSick, long repeatsSince) {
        State before = state;
        switch (state) {
            case WAITING -> {
                // A freeze is at the same time everywhere, whatever one sidecar finds.
                if (now >= notBefore && (!toSick || plan.freezeMicros() > 0)) {
                    state = State.RAMPING;
                    // What an order says holds for all sidecars, so that one that restarts catches up.
                    beganAt = tries == 0 ? plan.startMicros() : now;
                }
            }
            case RAMPING -> ramp(now, toSick, repeatsSince);
            case SWITCHING -> {
                if (writesOut == 0) {
                    turnOver(now);
                } else if (now >= fenceUntil) {
                    state = State.RAMPING;
                    again(now);
                }
            }
            case FROZEN -> {
                if (now >= frozenUntil) {
                    turnOver(now);
                }
            }
            case SETTLING -> {
                if (now - switchedAt >= windowMicros) {
                    state = State.DONE;
                }
            }
            default -> {}
        }
        return state != before;
    }

    private void ramp(long now, boolean toSick, long repeatsSince) {
        if (plan.freezeMicros() > 0) {
            state = part(now) >= 1 ? State.FROZEN : state;
            return;
        }
        if (toSick) {
            state = State.WAITING;
            again(now);
            return;
        }
        boolean ready = part(now) >= 1 && now >= notBefore && now - repeatsSince >= windowMicros;
        if (!ready) {
            return;
        }
        if (plan.fenceMicros() == 0) {
            turnOver(now);
        } else if (now >= blindUntil) {
            if (writesOut == 0) {
                turnOver(now);
            } else {
                state = State.SWITCHING;
                fenceUntil = now + plan.fenceMicros();
            }
        }
    }

    private void turnOver(long now) {
        state = State.SETTLING;
        switchedAt = now;
    }

    private void again(long now) {
        notBefore = now + (BACK_OFF << Math.min(tries, TRIES));
        if (++tries >= TRIES) {
            state = State.GIVEN_UP;
        }
    }

    /** When to look again; 0 for at any time. */
    long wakeAt() {
        return switch (state) {
            case SWITCHING -> fenceUntil;
            case FROZEN -> frozenUntil;
            case WAITING -> notBefore;
            default -> 0;
        };
    }
}
