package org.cypressweir.sidecar;

import java.nio.file.Files;
import java.nio.file.Path;

/**
 * A crowd of real sidecars, as many as {@code -Dbench} says (2,000), that start at the same moment and are
 * asked once each in three rounds: calls for the list, open connections; without bounds and with them.
 */
public final class QuietBench {

    private static final int SERVERS = 20, THREADS = 4, CLIENTS = 16, ROUNDS = 3, IDLE = 50;
    private static final long WATCHED_MILLIS = 20_000;

    private QuietBench() {}

    public static void main(String[] args) throws Exception {
        int instances = args.length > 0 && args[0].matches("\\d+") ? Integer.parseInt(args[0]) : 2_000;
        double rate = instances / 8.0;
        play("no bounds", instances, "");
        play(
                "bounds",
                instances,
                "[fleet]\ninstances = " + instances + "\nlist_rate = " + rate + "\nidle_per_server = " + IDLE + "\n");
        System.exit(0);
    }

    private static void play(String name, int instances, String bounds) throws Exception {
        Path folder = Files.createTempDirectory("quiet");
        try (QuietFleet fleet = new QuietFleet(folder, instances, SERVERS, THREADS, bounds)) {
            long began = System.nanoTime();
            fleet.start();
            double started = (System.nanoTime() - began) / 1e9;
            fleet.awaitCalls(Integer.MAX_VALUE, WATCHED_MILLIS);
            int watches = fleet.watches();
            int served = 0;
            int most = 0;
            int mostAtOne = 0;
            for (int i = 0; i < ROUNDS; i++) {
                served += fleet.askAll(CLIENTS);
                most = Math.max(most, fleet.connections());
                mostAtOne = Math.max(mostAtOne, fleet.connectionsPeak());
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
                    fleet.callsPeak(),
                    watches,
                    served,
                    ROUNDS * instances,
                    most,
                    mostAtOne);
        }
    }
}
