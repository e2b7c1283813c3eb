package org.cypressweir.sidecar;

import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Many real sidecars (the argument, {@code -Dbench}; 2,000 by default) that start at the same time and get one request
 * each in three rounds: calls for the server list and open connections, without and with fleet limits.
 */
public final class QuietBench {

    private static final int SERVERS = 20, THREADS = 4, CLIENTS = 16, ROUNDS = 3, IDLE_PER_SERVER = 50;
    private static final long OBSERVATION_MILLIS = 20_000;

    private QuietBench() {}

    public static void main(String[] args) throws Exception {
        int instances = args.length > 0 && args[0].matches("\\d+") ? Integer.parseInt(args[0]) : 2_000;
        double rate = instances / 8.0;
        run("no bounds", instances, "");
        run(
                "bounds",
                instances,
                "[fleet]\ninstances = " + instances + "\nlist_rate = " + rate + "\nidle_per_server = " + IDLE_PER_SERVER
                        + "\n");
        System.exit(0);
    }

    private static void run(String name, int instances, String bounds) throws Exception {
        Path folder = Files.createTempDirectory("quiet");
        try (FleetHarness fleet = new FleetHarness(folder, instances, SERVERS, THREADS, bounds)) {
            long startedAt = System.nanoTime();
            fleet.start();
            double started = (System.nanoTime() - startedAt) / 1e9;
            fleet.awaitCalls(Integer.MAX_VALUE, OBSERVATION_MILLIS);
            int watches = fleet.discoveryConnections();
            int served = 0;
            int maxConnections = 0;
            int maxConnectionsAtOneServer = 0;
            for (int i = 0; i < ROUNDS; i++) {
                served += fleet.requestFromAll(CLIENTS);
                maxConnections = Math.max(maxConnections, fleet.connections());
                maxConnectionsAtOneServer = Math.max(maxConnectionsAtOneServer, fleet.maxConnectionsPerServer());
            }
            System.out.printf(
                    "%-9s %d instances, %d servers, started in %.1f s: %d calls for the list, most"
                            + " in a second %d, open at discovery %d; served %d of %d, open at servers %d, most at"
                            + " one %d%n",
                    name,
                    instances,
                    SERVERS,
                    started,
                    fleet.calls(),
                    fleet.maxCallsPerSecond(),
                    watches,
                    served,
                    ROUNDS * instances,
                    maxConnections,
                    maxConnectionsAtOneServer);
        }
    }
}
