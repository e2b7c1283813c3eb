package org.cypressweir.sidecar.websocket;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.cypressweir.sidecar.websocket.TunnelMigration.Event;
import org.cypressweir.sidecar.websocket.TunnelMigration.State;
import org.junit.jupiter.api.Test;

/** State transitions of a tunnel's move to another server. */
class TunnelMigrationTest {

    @Test
    void transitionsInOrder() {
        State s = TunnelMigration.next(State.NONE, Event.ASK);
        assertEquals(State.ASKING, s);
        assertEquals(State.NONE, TunnelMigration.next(s, Event.REFUSED));
        assertEquals(State.SWITCHING, TunnelMigration.next(s, Event.AGREED_BETWEEN));
        s = TunnelMigration.next(s, Event.AGREED_WITHIN);
        assertEquals(State.WAITING, s);
        s = TunnelMigration.next(s, Event.MESSAGE_ENDS);
        assertEquals(State.SWITCHING, s);
        assertEquals(State.NONE, TunnelMigration.next(s, Event.OLD_CLOSED));
    }

    /** A move waits or switches only after a new server has accepted, so nothing is held back before. */
    @Test
    void randomWalksKeepTheOrder() {
        for (long seed = 0; seed < 500; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            State state = State.NONE;
            boolean agreed = false;
            List<Event> walk = new ArrayList<>();
            for (int i = 0; i < 60; i++) {
                Event event = Event.values()[random.nextInt(Event.values().length)];
                walk.add(event);
                State next = TunnelMigration.next(state, event);
                boolean agrees = event == Event.AGREED_BETWEEN || event == Event.AGREED_WITHIN;
                agreed = next != State.NONE && next != State.ASKING && (agreed || state == State.ASKING && agrees);
                assertEquals(next == State.WAITING || next == State.SWITCHING, agreed, "seed " + seed + ": " + walk);
                if (event == Event.CALLED_OFF) {
                    assertEquals(State.NONE, next);
                }
                state = next;
            }
        }
    }
}
