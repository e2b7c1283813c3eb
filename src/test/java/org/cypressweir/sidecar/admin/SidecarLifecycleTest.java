package org.cypressweir.sidecar.admin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import org.cypressweir.sidecar.admin.SidecarLifecycle.Event;
import org.cypressweir.sidecar.admin.SidecarLifecycle.State;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class SidecarLifecycleTest {

    private static final Map<State, Event[]> EVENTS_TO_REACH = new EnumMap<>(Map.of(
            State.STARTING,
            new Event[] {},
            State.STARTING_DRAINED,
            new Event[] {Event.DRAIN},
            State.SERVING,
            new Event[] {Event.OPENED},
            State.DRAINING,
            new Event[] {Event.OPENED, Event.DRAIN},
            State.DRAINED,
            new Event[] {Event.OPENED, Event.DRAIN, Event.EMPTY},
            State.STOPPING,
            new Event[] {Event.OPENED, Event.TERMINATE}));

    private static SidecarLifecycle at(State state) {
        SidecarLifecycle lifecycle = new SidecarLifecycle();
        for (Event e : EVENTS_TO_REACH.get(state)) {
            assertTrue(lifecycle.handle(e));
        }
        assertEquals(state, lifecycle.state());
        return lifecycle;
    }

    /** All pairs of a state and an event, with events in the order OPENED, DRAIN, UNDRAIN, EMPTY, CLIENT, TERMINATE. */
    @ParameterizedTest
    @CsvSource({
        "STARTING,SERVING,STARTING_DRAINED,STARTING,STARTING,STARTING,STOPPING",
        "STARTING_DRAINED,DRAINING,STARTING_DRAINED,STARTING,STARTING_DRAINED,STARTING_DRAINED,STOPPING",
        "SERVING,SERVING,DRAINING,SERVING,SERVING,SERVING,STOPPING",
        "DRAINING,DRAINING,DRAINING,SERVING,DRAINED,DRAINING,STOPPING",
        "DRAINED,DRAINED,DRAINED,SERVING,DRAINED,DRAINING,STOPPING",
        "STOPPING,STOPPING,STOPPING,STOPPING,STOPPING,STOPPING,STOPPING"
    })
    void transitionsFollowTheTable(
            State from, State opened, State drain, State undrain, State empty, State client, State terminate) {
        State[] expected = {opened, drain, undrain, empty, client, terminate};
        for (Event e : Event.values()) {
            SidecarLifecycle lifecycle = at(from);
            assertEquals(expected[e.ordinal()] != from, lifecycle.handle(e));
            assertEquals(expected[e.ordinal()], lifecycle.state(), from + " and " + e);
        }
    }

    @Test
    void onlyServingAcceptsClientsAndOnlyDrainingSendsThemAway() {
        for (State state : State.values()) {
            assertEquals(state == State.SERVING, at(state).acceptsClients());
            assertEquals(
                    state == State.DRAINING || state == State.DRAINED, at(state).isDraining());
        }
    }

    private static AdminCommandHandler handler(SidecarLifecycle lifecycle, boolean servers) {
        return handler(lifecycle, new SidecarMetrics(), servers);
    }

    private static AdminCommandHandler handler(SidecarLifecycle lifecycle, SidecarMetrics metrics, boolean servers) {
        return new AdminCommandHandler(
                lifecycle,
                metrics,
                new SidecarMetrics.Fleet() {
                    @Override
                    public int listedServers() {
                        return 3;
                    }

                    @Override
                    public int avoidedServers() {
                        return 1;
                    }
                },
                () -> servers);
    }

    @Test
    void commandsAreAnsweredWithYesOrNo() {
        assertEquals("YES", handler(at(State.SERVING), true).answer("READY\r"));
        assertTrue(handler(at(State.SERVING), false).answer("READY").startsWith("NO "));
        assertEquals("NO drained", handler(at(State.DRAINED), true).answer("READY"));
        assertEquals("YES draining", handler(at(State.SERVING), true).answer("DRAIN"));
        assertEquals("YES serving", handler(at(State.DRAINED), true).answer("UNDRAIN"));
        assertTrue(handler(at(State.STOPPING), true).answer("UNDRAIN").startsWith("NO "));
        assertTrue(handler(at(State.SERVING), true).answer("QUIT").startsWith("NO "));
        assertFalse(handler(at(State.SERVING), true).answer("STATS").startsWith("NO"));
    }

    @Test
    void statsAreOneLineAndAnEndLine() {
        SidecarMetrics metrics = new SidecarMetrics();
        metrics.addClasses(List.of("search"));
        metrics.requestReceived();
        metrics.requestReceived();
        metrics.requestEnded("book", SidecarMetrics.Ending.REFUSED);
        metrics.attemptSent();
        metrics.reconfigured(false);
        AdminCommandHandler handler = handler(at(State.SERVING), metrics, true);
        assertEquals(
                "{\"success\":{\"search\":0,\"book\":0},\"busy\":{\"search\":0,\"book\":1},"
                        + "\"failure\":{\"search\":0,\"book\":0},"
                        + "\"backend_calls\":1,\"inflight\":1,"
                        + "\"hosts_listed\":3,\"hosts_down\":1,\"reconfig_ok\":0,\"reconfig_failed\":1}\nEND",
                handler.answer("STATS"));
    }
}
