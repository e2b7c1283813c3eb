package org.cypressweir.sidecar.cell;

import org.cypressweir.common.util.Hashes;

/**
 * The migration of one unit by one sidecar. Safe requests move to the new cell gradually; if the new cell becomes
 * unhealthy, they go back to the old one and the migration starts again later. Once all safe requests go to the new
 * cell, writes switch all at once, at a moment when the keys of all requests that may still be retried are known and,
 * with a fence, no write is in flight at the old cell. A switch is final. Retries of keyed requests that the old cell
 * got still go there for as long as it deduplicates them.
 */
final class UnitMigration {

    /**
     * WAITING for its start; RAMPING up safe requests; SWITCHING, with writes held by a fence; FROZEN, with writes
     * rejected; SETTLING, while retries may still go to the old cell; and the two final states.
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

    /** Failed attempts (rollbacks and expired fences) after which the migration is given up. */
    static final int MAX_ATTEMPTS = 6;
    /** Backoff after the first failed attempt; doubled for each further one. */
    static final long INITIAL_BACKOFF_MICROS = 5_000_000;

    private static final long RAMP_SALT = 0xA3;

    final MoveConfiguration move;
    final int fromCell;
    /** Whether this is a move into or out of quarantine, not a configured one. */
    final boolean automatic;

    private final long deduplicationWindowMicros;
    /** Until then, writes that this migration has not counted may be in flight at the old cell. */
    private final long uncountedWritesUntil;
    /** Since when keyed requests of the unit are remembered. */
    private final long keysRecordedSince;
    /** When a freeze ends; later than configured if it had begun when this process learned of it. */
    private final long frozenUntil;

    private State state = State.WAITING;
    private long rampStartedAt;
    private long fenceUntil;
    private long switchedAt;
    private long retryAt;
    private int failedAttempts;
    private int writesInFlight;

    /**
     * @param uncountedWriteMicros for how long from now on writes that this migration has not counted may be in flight
     */
    UnitMigration(
            MoveConfiguration move,
            int fromCell,
            boolean automatic,
            long now,
            long deduplicationWindowMicros,
            long uncountedWriteMicros) {
        this.move = move;
        this.fromCell = fromCell;
        this.automatic = automatic;
        this.deduplicationWindowMicros = deduplicationWindowMicros;
        uncountedWritesUntil = now + uncountedWriteMicros;
        keysRecordedSince = now;
        retryAt = move.startMicros();
        frozenUntil = Math.max(move.freezeAt(), now) + move.freezeMicros();
    }

    State state() {
        return state;
    }

    boolean hasSwitched() {
        return state == State.SETTLING || state == State.DONE;
    }

    boolean isOver() {
        return state == State.DONE || state == State.GIVEN_UP;
    }

    int failedAttempts() {
        return failedAttempts;
    }

    /** The cell to which the unit's writes go now. */
    int home() {
        return hasSwitched() ? move.to() : fromCell;
    }

    /** The cell to which a safe request goes; the same for the same hash as long as the fraction is the same. */
    int cellOfSafeRequest(long now, long requestHash) {
        return hasSwitched() || Hashes.uniform(requestHash, RAMP_SALT) < movedFraction(now) ? move.to() : fromCell;
    }

    /** The fraction of safe requests that go to the new cell. */
    double movedFraction(long now) {
        return switch (state) {
            case WAITING, GIVEN_UP -> 0;
            case RAMPING -> move.rampMicros() == 0
                    ? 1
                    : Math.min(1, (now - rampStartedAt) / (double) move.rampMicros());
            default -> 1;
        };
    }

    /** For how many microseconds from now on writes are rejected; 0 if they are not. */
    long rejectsForMicros(long now) {
        return state == State.FROZEN ? Math.max(1, frozenUntil - now) : 0;
    }

    /** Whether writes are held now. */
    boolean holdsWrites(long now) {
        return state == State.SWITCHING && now < fenceUntil;
    }

    /** Since when all keyed requests of the unit are known, given since when all remembered keys are complete. */
    long keysKnownSince(long completeSince) {
        return Math.max(keysRecordedSince, completeSince);
    }

    void writeSent() {
        writesInFlight++;
    }

    void writeEnded() {
        writesInFlight--;
    }

    int writesInFlight() {
        return writesInFlight;
    }

    /**
     * Advances the migration by at most one state.
     *
     * @param targetUnhealthy whether the new cell is unhealthy
     * @param keysKnownSince since when all keyed requests of the unit are known
     * @return whether the state has changed
     */
    boolean step(long now, boolean targetUnhealthy, long keysKnownSince) {
        State before = state;
        switch (state) {
            case WAITING -> {
                // A freeze takes place at the same time at all sidecars, so it does not wait for a healthy target cell.
                if (now >= retryAt && (!targetUnhealthy || move.freezeMicros() > 0)) {
                    state = State.RAMPING;
                    // The configured start holds for all sidecars, so one that restarts joins the ramp midway.
                    rampStartedAt = failedAttempts == 0 ? move.startMicros() : now;
                }
            }
            case RAMPING -> ramp(now, targetUnhealthy, keysKnownSince);
            case SWITCHING -> {
                if (writesInFlight == 0) {
                    switchWrites(now);
                } else if (now >= fenceUntil) {
                    state = State.RAMPING;
                    backOff(now);
                }
            }
            case FROZEN -> {
                if (now >= frozenUntil) {
                    switchWrites(now);
                }
            }
            case SETTLING -> {
                if (now - switchedAt >= deduplicationWindowMicros) {
                    state = State.DONE;
                }
            }
            default -> {}
        }
        return state != before;
    }

    private void ramp(long now, boolean targetUnhealthy, long keysKnownSince) {
        if (move.freezeMicros() > 0) {
            state = movedFraction(now) >= 1 ? State.FROZEN : state;
            return;
        }
        if (targetUnhealthy) {
            state = State.WAITING;
            backOff(now);
            return;
        }
        boolean ready = movedFraction(now) >= 1 && now >= retryAt && now - keysKnownSince >= deduplicationWindowMicros;
        if (!ready) {
            return;
        }
        if (move.fenceMicros() == 0) {
            switchWrites(now);
        } else if (now >= uncountedWritesUntil) {
            if (writesInFlight == 0) {
                switchWrites(now);
            } else {
                state = State.SWITCHING;
                fenceUntil = now + move.fenceMicros();
            }
        }
    }

    private void switchWrites(long now) {
        state = State.SETTLING;
        switchedAt = now;
    }

    private void backOff(long now) {
        retryAt = now + (INITIAL_BACKOFF_MICROS << Math.min(failedAttempts, MAX_ATTEMPTS));
        if (++failedAttempts >= MAX_ATTEMPTS) {
            state = State.GIVEN_UP;
        }
    }

    /** When to call {@link #step} next; 0 for no particular time. */
    long nextStepAt() {
        return switch (state) {
            case SWITCHING -> fenceUntil;
            case FROZEN -> frozenUntil;
            case WAITING -> retryAt;
            default -> 0;
        };
    }
}
