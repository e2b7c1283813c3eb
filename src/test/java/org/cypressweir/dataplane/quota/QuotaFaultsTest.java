package org.cypressweir.dataplane.quota;

import static org.assertj.core.api.Assertions.assertThat;
import static org.cypressweir.dataplane.quota.QuotaFleet.SECOND;

import java.lang.reflect.Method;
import java.nio.file.Path;
import org.cypressweir.testkit.PlantedFault;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** A tenant's limit over the whole fleet while proxies are partitioned or restarted and controllers come and go. */
class QuotaFaultsTest {

    private static final int PROXIES = 11;
    private static final int CONTROLLERS = 3;
    private static final double RATE = 32;
    private static final double BURST = 32;
    private static final long WINDOW_MICROS = 5 * SECOND;
    /** What operators tolerate beyond the limit within a window: this fraction of the limit ... */
    private static final double TOLERATED_OVERRUN = 0.1;

    /** ... and this number of requests. */
    private static final int TOLERATED_SLACK = 20;

    private static final double USUAL_DEMAND = 20;
    private static final double HOT_DEMAND = 150;
    private static final int RANDOM_RUNS = 50;

    @TempDir
    Path folder;

    private static QuotaFleet fleet(long seed) {
        QuotaFleet fleet = new QuotaFleet(seed, PROXIES, CONTROLLERS, RATE, BURST);
        fleet.demandPerSecond = USUAL_DEMAND;
        return fleet;
    }

    private static void assertLimitKept(QuotaFleet fleet) {
        double limit = RATE * WINDOW_MICROS / SECOND + BURST;
        assertThat(fleet.mostAdmittedWithin(WINDOW_MICROS))
                .as("admitted in the worst window")
                .isLessThanOrEqualTo((int) (limit * (1 + TOLERATED_OVERRUN) + TOLERATED_SLACK));
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void bothSidesOfAPartitionTogetherKeepTheLimit(long seed) {
        QuotaFleet fleet = fleet(seed);
        fleet.runUntil(10_500_000);
        fleet.partition(2, 4, 8);
        fleet.runUntil(12 * SECOND);
        fleet.demandPerSecond = HOT_DEMAND;
        fleet.runUntil(12_300_000);
        fleet.restartController(0, 1_760_000);
        fleet.runUntil(19 * SECOND);
        fleet.demandPerSecond = USUAL_DEMAND;
        fleet.runUntil(20_500_000);
        fleet.join(2, 4, 8);
        fleet.runUntil(30 * SECOND);
        assertLimitKept(fleet);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void risingDemandKeepsTheLimit(long seed) {
        QuotaFleet fleet = fleet(seed);
        fleet.runUntil(12 * SECOND);
        fleet.demandPerSecond = HOT_DEMAND;
        fleet.runUntil(19 * SECOND);
        assertLimitKept(fleet);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void restartedControllersKeepTheLimit(long seed) {
        QuotaFleet fleet = fleet(seed);
        fleet.runUntil(12 * SECOND);
        fleet.demandPerSecond = HOT_DEMAND;
        fleet.runUntil(12_300_000);
        for (int controller = 0; controller < CONTROLLERS; controller++) {
            fleet.restartController(controller, SECOND);
            fleet.runUntil(fleet.now() + 2 * SECOND);
        }
        fleet.runUntil(25 * SECOND);
        assertLimitKept(fleet);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void repeatedProxyRestartsKeepTheLimit(long seed) {
        QuotaFleet fleet = fleet(seed);
        fleet.runUntil(12 * SECOND);
        fleet.demandPerSecond = HOT_DEMAND;
        for (int round = 0; round < 8; round++) {
            fleet.runUntil(fleet.now() + 600_000);
            for (int proxy = round % 2; proxy < PROXIES; proxy += 2) {
                fleet.restartProxy(proxy, 300_000);
            }
        }
        fleet.runUntil(20 * SECOND);
        assertLimitKept(fleet);
    }

    @Test
    void withoutControllersTheLimitIsKept() {
        QuotaFleet fleet = fleet(1);
        fleet.runUntil(12 * SECOND);
        for (int controller = 0; controller < CONTROLLERS; controller++) {
            fleet.restartController(controller, 5 * SECOND);
        }
        fleet.demandPerSecond = HOT_DEMAND;
        fleet.runUntil(25 * SECOND);
        assertLimitKept(fleet);
    }

    /** Random faults, one after another and overlapping, while the demand and the limit change. */
    @ParameterizedTest
    @ValueSource(ints = {3, 11, 40})
    void randomFaultsKeepTheLimit(int proxies) {
        for (long seed = 1; seed <= RANDOM_RUNS; seed++) {
            assertThat(RandomQuotaFaults.excess(seed, proxies))
                    .as("seed %d", seed)
                    .isLessThanOrEqualTo(0);
        }
    }

    /** Checks that the random runs detect faults: each of these planted faults must exceed the limit. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "TokenPool.java | tokensByTenant.put(tenant, tokens(tenant) - taken); | taken += 0;",
                "TokenAccount.java | tokens -= surplus; | tokens -= 0;",
                "TokenAccount.java | return limit.ratePerSecond() / proxyCount; | return limit.ratePerSecond();",
                "QuotaGate.java | proxyCount, random.nextDouble()) | proxyCount, limit.burst())"
            })
    void plantedFaultsAreFound(String file, String text, String replacement) throws Exception {
        ClassLoader planted = new PlantedFault(
                folder,
                Path.of("src/main/java/org/cypressweir/dataplane/quota"),
                file,
                text,
                replacement,
                name -> name.startsWith("org.cypressweir.dataplane.quota."));
        Method excess = planted.loadClass(RandomQuotaFaults.class.getName()).getMethod("excess", long.class, int.class);
        int worst = 0;
        for (long seed = 1; seed <= RANDOM_RUNS && worst <= 0; seed++) {
            worst = Math.max(worst, (int) excess.invoke(null, seed, PROXIES));
        }
        assertThat(worst).isPositive();
    }
}
