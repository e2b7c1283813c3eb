package org.cypressweir.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** A crowd of real sidecars that start at the same moment: calls for the list and connections are counted. */
@Timeout(120)
class QuietFleetTest {

    private static final int INSTANCES = 160;
    private static final int SERVERS = 8;

    @TempDir
    Path folder;

    @Test
    void aCrowdKeepsItsBounds() throws Exception {
        int rate = 40;
        int idle = 10;
        try (QuietFleet fleet = new QuietFleet(
                folder,
                INSTANCES,
                SERVERS,
                2,
                "[fleet]\ninstances = " + INSTANCES + "\nlist_rate = " + rate + "\nidle_per_server = " + idle + "\n")) {
            fleet.start();
            // Two rounds of four seconds, whatever instances did meanwhile.
            assertTrue(fleet.awaitCalls(2 * INSTANCES, 30_000), "only " + fleet.calls() + " calls");
            // A machine that stalls runs late timers together; slots as such are tested by themselves.
            assertTrue(fleet.callsPeak() <= rate * 5 / 2, "calls in one second: " + fleet.callsPeak());
            for (int round = 0; round < 3; round++) {
                assertEquals(INSTANCES, fleet.askAll(8));
            }
            // A server closes its end once it has seen that of the sidecar; a few are still on the way.
            assertTrue(fleet.connections() <= SERVERS * idle + 40, "open connections: " + fleet.connections());
            assertTrue(fleet.watches() <= rate, "open at discovery: " + fleet.watches());
        }
    }

    /** Without bounds all ask at once and keep what they have: that is what the bounds are for. */
    @Test
    void withoutBoundsAllAskAtOnce() throws Exception {
        try (QuietFleet fleet = new QuietFleet(folder, INSTANCES, SERVERS, 2, "")) {
            fleet.start();
            assertTrue(fleet.awaitCalls(INSTANCES, 15_000), "only " + fleet.calls() + " calls");
            assertEquals(INSTANCES, fleet.watches());
            for (int round = 0; round < 3; round++) {
                assertEquals(INSTANCES, fleet.askAll(8));
            }
            assertTrue(fleet.connections() >= INSTANCES, "open connections: " + fleet.connections());
        }
    }
}
