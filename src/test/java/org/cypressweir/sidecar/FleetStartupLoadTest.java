package org.cypressweir.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Many real sidecars start at the same moment; counts their calls for the list and their connections. */
@Timeout(120)
class FleetStartupLoadTest {

    private static final int INSTANCES = 160;
    private static final int SERVERS = 8;

    @TempDir
    Path folder;

    @Test
    void limitsHoldWhenAllInstancesStartAtOnce() throws Exception {
        int rate = 40;
        int idle = 10;
        try (FleetHarness fleet = new FleetHarness(
                folder,
                INSTANCES,
                SERVERS,
                2,
                "[fleet]\ninstances = " + INSTANCES + "\nlist_rate = " + rate + "\nidle_per_server = " + idle + "\n")) {
            fleet.start();
            // Two rounds of four seconds, whatever else the instances did meanwhile.
            assertTrue(fleet.awaitCalls(2 * INSTANCES, 30_000), "only " + fleet.calls() + " calls");
            // A stalled machine runs late timers together; the slots themselves are tested elsewhere.
            assertTrue(fleet.maxCallsPerSecond() <= rate * 5 / 2, "calls in one second: " + fleet.maxCallsPerSecond());
            for (int round = 0; round < 3; round++) {
                assertEquals(INSTANCES, fleet.requestFromAll(8));
            }
            // A server closes its end once it has seen the sidecar close; a few of these are still in transit.
            assertTrue(fleet.connections() <= SERVERS * idle + 40, "open connections: " + fleet.connections());
            assertTrue(fleet.discoveryConnections() <= rate, "open at discovery: " + fleet.discoveryConnections());
        }
    }

    /** Without limits all instances poll at once and keep their connections, which is what the limits prevent. */
    @Test
    void withoutLimitsAllInstancesPollAtOnce() throws Exception {
        try (FleetHarness fleet = new FleetHarness(folder, INSTANCES, SERVERS, 2, "")) {
            fleet.start();
            assertTrue(fleet.awaitCalls(INSTANCES, 15_000), "only " + fleet.calls() + " calls");
            assertEquals(INSTANCES, fleet.discoveryConnections());
            for (int round = 0; round < 3; round++) {
                assertEquals(INSTANCES, fleet.requestFromAll(8));
            }
            assertTrue(fleet.connections() >= INSTANCES, "open connections: " + fleet.connections());
        }
    }
}
