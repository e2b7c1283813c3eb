package org.cypressweir.sidecar.websocket;

import java.util.EnumMap;
import java.util.Map;

/**
 * State machine of one WebSocket upgrade. Each state has exactly one transition per event, and so each upgrade has
 * exactly one final outcome, whichever side breaks when. The counters it maintains are always consistent.
 */
public final class UpgradeAccount {

    /** The state of an upgrade. */
    public enum State {
        ASKED(false),
        TRIED(false),
        REFUSED(true),
        FAILED(true),
        GONE(true),
        OPEN(false),
        CLOSING_BY_CLIENT(false),
        CLOSING_BY_SERVER(false),
        CLOSING_BY_SIDECAR(false),
        CLOSED_BY_CLIENT(true),
        CLOSED_BY_SERVER(true),
        CLOSED_BY_SIDECAR(true),
        BROKEN(true);

        private final boolean finalState;

        State(boolean finalState) {
            this.finalState = finalState;
        }

        /** Whether no event changes this state. */
        public boolean isFinal() {
            return finalState;
        }
    }

    /** An event of an upgrade or its tunnel. */
    public enum Event {
        /** An attempt is sent to a server. */
        TRY,
        /** The client is told that a retry is safe. */
        REFUSE,
        /** The client is sent any other response than 101. */
        FAIL,
        /** The client disconnected before it was sent a response. */
        LEAVE,
        /** A server responded 101, which is forwarded to the client. */
        OPEN,
        /** A close frame from the client, from the server, or from the sidecar itself. */
        CLIENT_CLOSES,
        SERVER_CLOSES,
        SIDECAR_CLOSES,
        /** A connection ended without a close frame. */
        BREAK,
        /** Both connections are closed. */
        END
    }

    /** Counts upgrades by state; one object per process. */
    public static final class Counters {
        private final Map<State, Long> countByState = new EnumMap<>(State.class);
        private long asked;
        private long opened;

        /** Number of upgrades requested since the start. */
        public long asked() {
            return asked;
        }

        /** Number of upgrades for which the client was sent a 101 response. */
        public long opened() {
            return opened;
        }

        /** Number of upgrades in this state now; for a final state, all that ever reached it. */
        public long count(State state) {
            return countByState.getOrDefault(state, 0L);
        }

        /** Whether each requested and each opened upgrade is counted in exactly one state. */
        public boolean isConsistent() {
            long notOpened = count(State.ASKED)
                    + count(State.TRIED)
                    + count(State.REFUSED)
                    + count(State.FAILED)
                    + count(State.GONE);
            long everOpened = 0;
            for (State state : State.values()) {
                everOpened += state.ordinal() >= State.OPEN.ordinal() ? count(state) : 0;
            }
            return asked == notOpened + opened && opened == everOpened;
        }

        @Override
        public String toString() {
            return "asked " + asked + ", opened " + opened + ", now " + countByState;
        }
    }

    private final Counters counters;
    private State state = State.ASKED;

    /** Creates the account of a newly requested upgrade. */
    public UpgradeAccount(Counters counters) {
        this.counters = counters;
        counters.asked++;
        counters.countByState.merge(State.ASKED, 1L, Long::sum);
    }

    public State state() {
        return state;
    }

    /** Applies an event; an event without meaning in the current state leaves it unchanged. */
    public State apply(Event event) {
        State next = next(state, event);
        if (next != state) {
            counters.countByState.merge(state, -1L, Long::sum);
            counters.countByState.merge(next, 1L, Long::sum);
            counters.opened += next == State.OPEN ? 1 : 0;
            state = next;
        }
        return next;
    }

    /** The next state after an event. */
    public static State next(State state, Event event) {
        return switch (state) {
            case ASKED -> event == Event.OPEN ? state : nextBeforeOpen(state, event);
            case TRIED -> event == Event.OPEN ? State.OPEN : nextBeforeOpen(state, event);
            case OPEN -> switch (event) {
                case CLIENT_CLOSES -> State.CLOSING_BY_CLIENT;
                case SERVER_CLOSES -> State.CLOSING_BY_SERVER;
                case SIDECAR_CLOSES -> State.CLOSING_BY_SIDECAR;
                case BREAK, END -> State.BROKEN;
                default -> state;
            };
                // After the first close frame, how the connection ends no longer matters.
            case CLOSING_BY_CLIENT -> event == Event.END ? State.CLOSED_BY_CLIENT : state;
            case CLOSING_BY_SERVER -> event == Event.END ? State.CLOSED_BY_SERVER : state;
            case CLOSING_BY_SIDECAR -> event == Event.END ? State.CLOSED_BY_SIDECAR : state;
            default -> state;
        };
    }

    private static State nextBeforeOpen(State state, Event event) {
        return switch (event) {
            case TRY -> State.TRIED;
            case REFUSE -> State.REFUSED;
            case FAIL -> State.FAILED;
            case LEAVE, END -> State.GONE;
            default -> state;
        };
    }
}
