package org.cypressweir.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import org.HdrHistogram.Histogram;

/**
 * Measures message and CPU cost of leases, and how long a lease has no holder after a crash, in simulated time.
 * Argument: processes, grantors, leases and seeds, such as {@code 100:5:50:5}.
 */
public final class LeaseBench {

    private static final long TERM_MICROS = SimulatedLeaseFleet.TERM_MICROS;
    /** Interval at which holders are checked: the resolution of times without a holder. */
    private static final long CHECK_INTERVAL_MICROS = 50_000;

    private static final int KILLS = 10;

    private LeaseBench() {}

    public static void main(String[] args) {
        String[] parts = args[0].split(":");
        int processes = Integer.parseInt(parts[0]);
        int grantors = Integer.parseInt(parts[1]);
        int leases = Integer.parseInt(parts[2]);
        Histogram takeoverMillis = new Histogram(60_000, 3);
        double steadyMessages = 0;
        double startupMessages = 0;
        double nanos = 0;
        long moved = 0;
        long maxLeasesOfOne = 0;
        int seeds = Integer.parseInt(parts[3]);
        for (int seed = 1; seed <= seeds; seed++) {
            SimulatedLeaseFleet fleet =
                    new SimulatedLeaseFleet(seed, processes, grantors, leases, SimulatedLeaseFleet.CLOCK_DRIFT, false);
            fleet.checkIntervalMicros = CHECK_INTERVAL_MICROS;
            fleet.updateMembers();
            fleet.run(LeaseChecks.STARTUP_MICROS);
            startupMessages += messagesPerGrantor(fleet, grantors, 4 * TERM_MICROS);
            fleet.run(6 * TERM_MICROS);
            long startedAt = System.nanoTime();
            steadyMessages += messagesPerGrantor(fleet, grantors, 10 * TERM_MICROS);
            nanos += (System.nanoTime() - startedAt) / (10.0 * TERM_MICROS / 1e6) / processes;
            for (int i = 0; i < processes; i++) {
                int place = i;
                maxLeasesOfOne = Math.max(
                        maxLeasesOfOne,
                        fleet.options.termMicrosByLease().keySet().stream()
                                .filter(l -> fleet.holder(l) == place)
                                .count());
            }
            moved += killHolders(fleet, new SplittableRandom(seed), grantors, takeoverMillis);
            if (!fleet.history.violations().isEmpty()) {
                throw new AssertionError(fleet.history.violations() + ", seed " + seed);
            }
        }
        System.out.println(String.format(
                Locale.ROOT,
                "%d processes, %d keepers, %d leases, term %d ms:"
                        + " words at a keeper %.1f a second, %.1f while all claim at once; %.3f ms of processor a"
                        + " second and process with the network's; at most %d leases at one process; after a kill"
                        + " without a holder for median %d ms, 99%% %d, worst %d; moved for each kill and return %.1f",
                processes,
                grantors,
                leases,
                TERM_MICROS / 1_000,
                steadyMessages / seeds,
                startupMessages / seeds,
                nanos / seeds / 1e6,
                maxLeasesOfOne,
                takeoverMillis.getValueAtPercentile(50),
                takeoverMillis.getValueAtPercentile(99),
                takeoverMillis.getMaxValue(),
                1.0 * moved / seeds / KILLS));
    }

    /** Messages that one grantor receives per second. */
    private static double messagesPerGrantor(SimulatedLeaseFleet fleet, int grantors, long micros) {
        long received = 0;
        for (int k = 0; k < grantors; k++) {
            received -= fleet.receivedCounts[k];
        }
        fleet.run(micros);
        for (int k = 0; k < grantors; k++) {
            received += fleet.receivedCounts[k];
        }
        return received / (micros / 1e6) / grantors;
    }

    /** Kills and restarts ten holders in turn; returns the number of lease acquisitions. */
    private static long killHolders(
            SimulatedLeaseFleet fleet, SplittableRandom random, int grantors, Histogram takeoverMillis) {
        List<String> names = new ArrayList<>(fleet.options.termMicrosByLease().keySet());
        fleet.acquisitions.clear();
        for (int kill = 0; kill < KILLS; kill++) {
            String lease = names.get(random.nextInt(names.size()));
            int holder = fleet.holder(lease);
            if (holder < 0) {
                throw new AssertionError("nobody holds " + lease);
            }
            long at = fleet.network.now();
            fleet.network.kill(holder);
            while (fleet.holder(lease) < 0) {
                fleet.run(SimulatedLeaseFleet.TICK_MICROS);
            }
            takeoverMillis.recordValue((fleet.network.now() - at) / 1_000);
            fleet.updateMembers();
            fleet.run(2 * TERM_MICROS);
            fleet.start(holder);
            fleet.updateMembers();
            fleet.run(6 * TERM_MICROS);
        }
        return fleet.acquisitions.size();
    }
}
