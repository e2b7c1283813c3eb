package org.cypressweir.sidecar.admin;

import java.util.Map;

/**
 * State machine of a sidecar's life cycle, as reported to operators and to the load balancer in front of it. It uses no
 * sockets and no clock: events are passed in, and what has to be done follows from the state.
 */
public final class SidecarLifecycle {

    /** DRAINED is DRAINING with no client connected any more. */
    public enum State {
        STARTING,
        STARTING_DRAINED,
        SERVING,
        DRAINING,
        DRAINED,
        STOPPING
    }

    /**
     * Commands of operators (DRAIN, UNDRAIN) and events of the process: start completed, last client gone, a client
     * connected, termination requested.
     */
    public enum Event {
        OPENED,
        DRAIN,
        UNDRAIN,
        EMPTY,
        CLIENT,
        TERMINATE
    }

    /** Transitions by state and event; events that are not listed leave the state unchanged. */
    private static final Map<State, Map<Event, State>> TRANSITIONS = Map.of(
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

    /** Processes an event; returns whether the state has changed. */
    public boolean handle(Event event) {
        State next = TRANSITIONS.get(state).getOrDefault(event, state);
        boolean changed = next != state;
        state = next;
        return changed;
    }

    /** Whether clients should connect. */
    public boolean acceptsClients() {
        return state == State.SERVING;
    }

    /** Whether connected clients should leave while the process keeps running. */
    public boolean isDraining() {
        return state == State.DRAINING || state == State.DRAINED;
    }
}
