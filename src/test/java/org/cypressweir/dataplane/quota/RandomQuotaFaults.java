package org.cypressweir.dataplane.quota;

import static org.cypressweir.dataplane.quota.QuotaFleet.SECOND;

import java.util.SplittableRandom;
import java.util.stream.IntStream;

/** Runs a fleet under changing demand with random, overlapping faults, reproducible by seed. */
public final class RandomQuotaFaults {

    private static final int CONTROLLERS = 3;
    private static final double RATE = 32;
    private static final double BURST = 32;
    private static final int SLACK = 20;
    private static final double USUAL_DEMAND = 20;
    private static final double HOT_DEMAND = 150;
    private static final long WINDOW_MICROS = 5 * SECOND;
    private static final long RUN_MICROS = 40 * SECOND;

    private RandomQuotaFaults() {}

    /** By how many requests the worst window exceeded rate, burst and slack; negative if there was room left. */
    public static int excess(long seed, int proxies) {
        QuotaFleet fleet = new QuotaFleet(seed, proxies, CONTROLLERS, RATE, BURST);
        SplittableRandom random = new SplittableRandom(seed);
        while (fleet.now() < RUN_MICROS) {
            fleet.demandPerSecond = random.nextBoolean() ? HOT_DEMAND : USUAL_DEMAND;
            inject(fleet, random);
            fleet.runUntil(fleet.now() + random.nextLong(50_000, 2 * SECOND));
        }
        int allowed = (int) (RATE * WINDOW_MICROS / SECOND + BURST + SLACK);
        return fleet.mostAdmittedWithin(WINDOW_MICROS) - allowed;
    }

    private static void inject(QuotaFleet fleet, SplittableRandom random) {
        int proxy = random.nextInt(fleet.size());
        switch (random.nextInt(6)) {
            case 0 -> fleet.partition(proxy, random.nextInt(fleet.size()));
            case 1 -> fleet.join(IntStream.range(0, fleet.size()).toArray());
            case 2 -> fleet.restartProxy(proxy, random.nextLong(SECOND));
            case 3 -> fleet.restartController(random.nextInt(CONTROLLERS), random.nextLong(3 * SECOND));
            case 4 -> IntStream.range(0, fleet.size()).forEach(each -> fleet.restartProxy(each, SECOND));
            default -> fleet.setLimit(random.nextBoolean() ? RATE : RATE / 4, random.nextBoolean() ? BURST : 4);
        }
    }
}
