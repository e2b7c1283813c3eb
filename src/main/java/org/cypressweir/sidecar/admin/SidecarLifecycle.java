package org.cypressweir.sidecar.admin;

import java.util.Map;

/**
 * Where a sidecar stands between its start and its end, as operators and the front see it. It knows of no
 * socket and no clock: what happens is told, and what is to be done is read from the state.
 */
public final class SidecarLifecycle {

    /** From the start to the end; drained is a drain with no client left. */
    public enum State {
        STARTING,
        STARTING_DRAINED,
        SERVING,
        DRAINING,
        DRAINED,
        STOPPING
    }

    /** What operators ask for, and what is seen of clients and of the process. */
    public enum Event {
        OPENED,
        DRAIN,
        UNDRAIN,
        EMPTY,
        CLIENT,
        TERMINATE
    }

    /** What is not named leaves the state as it is. */
    private static final Map<State, Map<Event, State>> TABLE = Map.of(
            State.STARTING,
                    Map.of(
                            Event.OPENED, State.SERVING,
                            Event.DRAIN, State.STARTING_DRAINED,
                            Event.TERMINATE, State.STOPPING),
            State.STARTING_DRAINED,
                    Map.of(
                            Event.OPENED, State.DRAINING,
                            Event.UNDRAIN, State.STARTING,
                            Event.TERMINATE, State.STOPPING),
            State.SERVING,
                    Map.of(
                            Event.DRAIN, State.DRAINING,
                            Event.TERMINATE, State.STOPPING),
            State.DRAINING,
                    Map.of(
                            Event.UNDRAIN, State.SERVING,
                            Event.EMPTY, State.DRAINED,
                            Event.TERMINATE, State.STOPPING),
            State.DRAINED,
                    Map.of(
                            Event.UNDRAIN, State.SERVING,
                            Event.CLIENT, State.DRAINING,
                            Event.TERMINATE, State.STOPPING),
            State.STOPPING, Map.of());

    private State state = State.STARTING;

    public State state() {
        return state;
    }

    /** Takes an event; whether the state is another now. */
    public boolean on(Event event) {
        State next = TABLE.get(state).getOrDefault(event, state);
        boolean other = next != state;
        state = next;
        return other;
    }

    /** Whether clients are to come. */
    public boolean serves() {
        return state == State.SERVING;
    }

    /** Whether the clients that are there are to go, and the process stays. */
    public boolean drains() {
        return state == State.DRAINING || state == State.DRAINED;
    }
}
