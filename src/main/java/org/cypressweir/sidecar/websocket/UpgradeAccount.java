package org.cypressweir.sidecar.websocket;

import java.util.EnumMap;
import java.util.Map;

/**
 * What becomes of one upgrade: a state machine that has exactly one way out of each state for each event,
 * and so
 * exactly one final outcome, whichever side breaks when. The counters that it keeps always add up.
 */
public final class UpgradeAccount {

    /** Where an upgrade stands. */
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

        private final boolean last;

        State(boolean last) {
            this.last = last;
        }

        /** Whether nothing changes it any more. */
        public boolean isLast() {
            return last;
        }
    }

    /** What can happen. */
    public enum Event {
        /** An attempt goes to a server. */
        TRY,
        /** The client is told that trying again is harmless. */
        REFUSE,
        /** The client is told anything else but 101. */
        FAIL,
        /** The client has gone before it was told anything. */
        LEAVE,
        /** A server has said 101, and the client is told so. */
        OPEN,
        /** A close frame from the client, from the server, or from the sidecar itself. */
        CLIENT_CLOSES,
        SERVER_CLOSES,
        SIDECAR_CLOSES,
        /** A side has ended without a close frame. */
        BREAK,
        /** Both sides are down. */
        END
    }

    /** How many upgrades stand where; one object for all of a process. */
    public static final class Counters {
        private final Map<State, Long> standing = new EnumMap<>(State.class);
        private long asked;
        private long opened;

        /** All that were ever asked for. */
        public long asked() {
            return asked;
        }

        /** All for which the client was told 101. */
        public long opened() {
            return opened;
        }

        /** How many stand there now; of a last state all that ever came to it. */
        public long in(State state) {
            return standing.getOrDefault(state, 0L);
        }

        /** Whether everything adds up: what was asked for, and what was opened, is somewhere exactly once. */
        public boolean addUp() {
            long before = in(State.ASKED) + in(State.TRIED) + in(State.REFUSED) + in(State.FAILED) + in(State.GONE);
            long after = 0;
            for (State state : State.values()) {
                after += state.ordinal() >= State.OPEN.ordinal() ? in(state) : 0;
            }
            return asked == before + opened && opened == after;
        }

        @Override
        public String toString() {
            return "asked " + asked + ", opened " + opened + ", now " + standing;
        }
    }

    private final Counters counters;
    private State state = State.ASKED;

    /** An upgrade that has been asked for. */
    public UpgradeAccount(Counters counters) {
        this.counters = counters;
        counters.asked++;
        counters.standing.merge(State.ASKED, 1L, Long::sum);
    }

    public State state() {
        return state;
    }

    /** Takes an event; what means nothing in a state leaves it as it is. */
    public State on(Event event) {
        State next = next(state, event);
        if (next != state) {
            counters.standing.merge(state, -1L, Long::sum);
            counters.standing.merge(next, 1L, Long::sum);
            counters.opened += next == State.OPEN ? 1 : 0;
            state = next;
        }
        return next;
    }

    /** The one way out of a state for an event. */
    public static State next(State state, Event event) {
        return switch (state) {
            case ASKED -> event == Event.OPEN ? state : asked(state, event);
            case TRIED -> event == Event.OPEN ? State.OPEN : asked(state, event);
            case OPEN -> switch (event) {
                case CLIENT_CLOSES -> State.CLOSING_BY_CLIENT;
                case SERVER_CLOSES -> State.CLOSING_BY_SERVER;
                case SIDECAR_CLOSES -> State.CLOSING_BY_SIDECAR;
                case BREAK, END -> State.BROKEN;
                default -> state;
            };
                // Once somebody has said good-bye, how the connection ends no longer matters.
            case CLOSING_BY_CLIENT -> event == Event.END ? State.CLOSED_BY_CLIENT : state;
            case CLOSING_BY_SERVER -> event == Event.END ? State.CLOSED_BY_SERVER : state;
            case CLOSING_BY_SIDECAR -> event == Event.END ? State.CLOSED_BY_SIDECAR : state;
            default -> state;
        };
    }

    private static State asked(State state, Event event) {
        return switch (event) {
            case TRY -> State.TRIED;
            case REFUSE -> State.REFUSED;
            case FAIL -> State.FAILED;
            case LEAVE, END -> State.GONE;
            default -> state;
        };
    }
}
