package org.cypressweir.sidecar.websocket;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.EnumSet;
import java.util.Set;
import java.util.SplittableRandom;
import org.cypressweir.sidecar.websocket.UpgradeAccount.Counters;
import org.cypressweir.sidecar.websocket.UpgradeAccount.Event;
import org.cypressweir.sidecar.websocket.UpgradeAccount.State;
import org.junit.jupiter.api.Test;

/** Each state has one transition per event, and the counters stay consistent for any order of events. */
class UpgradeAccountTest {

    @Test
    void finalStatesStayAndOnlyTriedOpens() {
        for (State state : State.values()) {
            for (Event event : Event.values()) {
                State next = UpgradeAccount.next(state, event);
                assertTrue(!state.isFinal() || next == state, state + " on " + event);
                if (next == State.OPEN && state != State.OPEN) {
                    assertEquals(State.TRIED, state);
                    assertEquals(Event.OPEN, event);
                }
                boolean opened = state.ordinal() >= State.OPEN.ordinal();
                assertTrue(!opened || next.ordinal() >= State.OPEN.ordinal(), state + " on " + event);
            }
        }
    }

    /** Each state reaches a final one once the client leaves and both connections are closed. */
    @Test
    void everyStateReachesAFinalOne() {
        for (State state : State.values()) {
            State end = UpgradeAccount.next(UpgradeAccount.next(state, Event.LEAVE), Event.END);
            assertTrue(end.isFinal(), state + " stays at " + end);
        }
    }

    @Test
    void countersStayConsistentInRandomWalks() {
        long seed = 12;
        SplittableRandom random = new SplittableRandom(seed);
        Counters counters = new Counters();
        Set<State> seen = EnumSet.noneOf(State.class);
        for (int i = 0; i < 20_000; i++) {
            UpgradeAccount account = new UpgradeAccount(counters);
            for (int n = random.nextInt(12); n > 0; n--) {
                Event event = Event.values()[random.nextInt(Event.values().length)];
                boolean last = account.state().isFinal();
                State before = account.state();
                seen.add(account.apply(event));
                assertTrue(!last || account.state() == before, "seed " + seed);
            }
            account.apply(Event.LEAVE);
            account.apply(Event.END);
            assertTrue(account.state().isFinal());
            assertTrue(counters.isConsistent(), "seed " + seed + ": " + counters);
        }
        assertEquals(20_000, counters.asked());
        long ended = 0;
        for (State state : State.values()) {
            ended += state.isFinal() ? counters.count(state) : 0;
            assertTrue(state.isFinal() || counters.count(state) == 0, state.toString());
        }
        assertEquals(20_000, ended);
        assertEquals(EnumSet.allOf(State.class), seen);
    }
}
