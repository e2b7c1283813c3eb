package org.cypressweir.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import org.HdrHistogram.Histogram;

/**
 * What leases cost and how long a task is without one, in made-up time. Its argument: processes, keepers,
 * leases and seeds, such as {@code 100:5:50:5}.
 */
public final class LeaseBench {

    private static final long TERM = LeaseWorld.TERM;
    /** So often it is looked who holds: what a time without a holder is told to. */
    private static final long LOOK = 50_000;

    private static final int KILLS = 10;

    private LeaseBench() {}

    public static void main(String[] args) {
        String[] parts = args[0].split(":");
        int processes = Integer.parseInt(parts[0]);
        int keepers = Integer.parseInt(parts[1]);
        int leases = Integer.parseInt(parts[2]);
        Histogram gaps = new Histogram(60_000, 3);
        double quiet = 0;
        double storm = 0;
        double nanos = 0;
        long moved = 0;
        long most = 0;
        int seeds = Integer.parseInt(parts[3]);
        for (int seed = 1; seed <= seeds; seed++) {
            LeaseWorld w = new LeaseWorld(seed, processes, keepers, leases, LeaseWorld.DRIFT, false);
            w.lookMicros = LOOK;
            w.members();
            w.run(LeaseChecks.STARTED);
            storm += heard(w, keepers, 4 * TERM);
            w.run(6 * TERM);
            long begun = System.nanoTime();
            quiet += heard(w, keepers, 10 * TERM);
            nanos += (System.nanoTime() - begun) / (10.0 * TERM / 1e6) / processes;
            for (int i = 0; i < processes; i++) {
                int place = i;
                most = Math.max(
                        most,
                        w.options.termMicrosByLease().keySet().stream()
                                .filter(l -> w.holder(l) == place)
                                .count());
            }
            moved += kills(w, new SplittableRandom(seed), keepers, gaps);
            if (!w.acts.wrong().isEmpty()) {
                throw new AssertionError(w.acts.wrong() + ", seed " + seed);
            }
        }
        System.out.println(String.format(
                Locale.ROOT,
                "%d processes, %d keepers, %d leases, term %d ms:"
                        + " words at a keeper %.1f a second, %.1f while all claim at once; %.3f ms of processor a"
                        + " second and process with the network's; at most %d leases at one process; after a kill"
                        + " without a holder for median %d ms, 99%% %d, worst %d; moved for each kill and return %.1f",
                processes,
                keepers,
                leases,
                TERM / 1_000,
                quiet / seeds,
                storm / seeds,
                nanos / seeds / 1e6,
                most,
                gaps.getValueAtPercentile(50),
                gaps.getValueAtPercentile(99),
                gaps.getMaxValue(),
                1.0 * moved / seeds / KILLS));
    }

    /** Words that one keeper gets in a second. */
    private static double heard(LeaseWorld w, int keepers, long micros) {
        long before = 0;
        for (int k = 0; k < keepers; k++) {
            before -= w.heard[k];
        }
        w.run(micros);
        for (int k = 0; k < keepers; k++) {
            before += w.heard[k];
        }
        return before / (micros / 1e6) / keepers;
    }

    /** Ten holders are killed, one after the other, and started anew; how often leases began elsewhere. */
    private static long kills(LeaseWorld w, SplittableRandom random, int keepers, Histogram gaps) {
        List<String> names = new ArrayList<>(w.options.termMicrosByLease().keySet());
        w.changes.clear();
        for (int kill = 0; kill < KILLS; kill++) {
            String lease = names.get(random.nextInt(names.size()));
            int holder = w.holder(lease);
            if (holder < 0) {
                throw new AssertionError("nobody holds " + lease);
            }
            long at = w.net.now();
            w.net.kill(holder);
            while (w.holder(lease) < 0) {
                w.run(LeaseWorld.BEAT);
            }
            gaps.recordValue((w.net.now() - at) / 1_000);
            w.members();
            w.run(2 * TERM);
            w.start(holder);
            w.members();
            w.run(6 * TERM);
        }
        return w.changes.size();
    }
}
