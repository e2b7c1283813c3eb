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

    private static final Map<State, Event[]> WAYS = new EnumMap<>(Map.of(
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
        SidecarLifecycle standing = new SidecarLifecycle();
        for (Event e : WAYS.get(state)) {
            assertTrue(standing.on(e));
        }
        assertEquals(state, standing.state());
        return standing;
    }

    /** All pairs of a state and an event: OPENED, DRAIN, UNDRAIN, EMPTY, CLIENT, TERMINATE. */
    @ParameterizedTest
    @CsvSource({
        "STARTING,SERVING,STARTING_DRAINED,STARTING,STARTING,STARTING,STOPPING",
        "STARTING_DRAINED,DRAINING,STARTING_DRAINED,STARTING,STARTING_DRAINED,STARTING_DRAINED,STOPPING",
        "SERVING,SERVING,DRAINING,SERVING,SERVING,SERVING,STOPPING",
        "DRAINING,DRAINING,DRAINING,SERVING,DRAINED,DRAINING,STOPPING",
        "DRAINED,DRAINED,DRAINED,SERVING,DRAINED,DRAINING,STOPPING",
        "STOPPING,STOPPING,STOPPING,STOPPING,STOPPING,STOPPING,STOPPING"
    })
    void eachEventLeadsWhereTheTableSays(
            State from, State opened, State drain, State undrain, State empty, State client, State terminate) {
        State[] wanted = {opened, drain, undrain, empty, client, terminate};
        for (Event e : Event.values()) {
            SidecarLifecycle standing = at(from);
            assertEquals(wanted[e.ordinal()] != from, standing.on(e));
            assertEquals(wanted[e.ordinal()], standing.state(), from + " and " + e);
        }
    }

    @Test
    void onlyAServingOneTakesClientsAndOnlyADrainSendsThemAway() {
        for (State state : State.values()) {
            assertEquals(state == State.SERVING, at(state).serves());
            assertEquals(
                    state == State.DRAINING || state == State.DRAINED, at(state).drains());
        }
    }

    private static AdminCommandHandler desk(SidecarLifecycle standing, boolean servers) {
        return desk(standing, new SidecarMetrics(), servers);
    }

    private static AdminCommandHandler desk(SidecarLifecycle standing, SidecarMetrics figures, boolean servers) {
        return new AdminCommandHandler(
                standing,
                figures,
                new SidecarMetrics.Fleet() {
                    @Override
                    public int listed() {
                        return 3;
                    }

                    @Override
                    public int avoided() {
                        return 1;
                    }
                },
                () -> servers);
    }

    @Test
    void operatorsHearYesOrNo() {
        assertEquals("YES", desk(at(State.SERVING), true).answer("READY\r"));
        assertTrue(desk(at(State.SERVING), false).answer("READY").startsWith("NO "));
        assertEquals("NO drained", desk(at(State.DRAINED), true).answer("READY"));
        assertEquals("YES draining", desk(at(State.SERVING), true).answer("DRAIN"));
        assertEquals("YES serving", desk(at(State.DRAINED), true).answer("UNDRAIN"));
        assertTrue(desk(at(State.STOPPING), true).answer("UNDRAIN").startsWith("NO "));
        assertTrue(desk(at(State.SERVING), true).answer("QUIT").startsWith("NO "));
        assertFalse(desk(at(State.SERVING), true).answer("STATS").startsWith("NO"));
    }

    @Test
    void theFiguresAreOneLineAndItsEnd() {
        SidecarMetrics figures = new SidecarMetrics();
        figures.show(List.of("search"));
        figures.taken();
        figures.taken();
        figures.ended("book", SidecarMetrics.Ending.REFUSED);
        figures.attempted();
        figures.reconfigured(false);
        AdminCommandHandler desk = desk(at(State.SERVING), figures, true);
        assertEquals(
                "{\"success\":{\"search\":0,\"book\":0},\"busy\":{\"search\":0,\"book\":1},"
                        + "\"failure\":{\"search\":0,\"book\":0},"
                        + "\"backend_calls\":1,\"inflight\":1,"
                        + "\"hosts_listed\":3,\"hosts_down\":1,\"reconfig_ok\":0,\"reconfig_failed\":1}\nEND",
                desk.answer("STATS"));
    }
}
