package org.cypressweir.dataplane.quota;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** What tenants get of the whole fleet, in simulated time: proxies report demand to a controller that sums it. */
class QuotaSharesTest {

    private int proxyCount = 5;
    private static final long REPORT_MICROS = 200_000;
    private static final long STEP_MICROS = 500;

    private final SplittableRandom random = new SplittableRandom(7);
    private final List<QuotaShares> proxies = new ArrayList<>();
    private final DemandAggregator demand = new DemandAggregator();
    private final List<Long> admittedTimes = new ArrayList<>();
    private int requested;
    private int admitted;
    /** From this time on the first proxy neither sends nor receives. */
    private long partitionedAt = Long.MAX_VALUE;

    private void exchange(long now) {
        for (int i = 0; i < proxyCount; i++) {
            if (now % REPORT_MICROS == 7_000L * i % REPORT_MICROS / STEP_MICROS * STEP_MICROS
                    && (i > 0 || now < partitionedAt)) {
                proxies.get(i)
                        .setProxyCount(
                                now < partitionedAt + 1_000_000 ? proxyCount : i == 0 ? proxyCount : proxyCount - 1);
                boolean complete = now / REPORT_MICROS % 10 == 0;
                Map<String, Double> changed = proxies.get(i).takeChangedDemand(now, complete);
                if (!changed.isEmpty()) {
                    demand.report(now, "p" + i, changed, complete);
                }
            }
        }
        if (now % REPORT_MICROS == 100_000) {
            Map<String, Double> totals = demand.takeChangedTotals(now, now / REPORT_MICROS % 10 == 5);
            for (int i = 0; i < proxyCount && !totals.isEmpty(); i++) {
                if (i > 0 || now < partitionedAt) {
                    proxies.get(i).updateTotals(now, "controller", new HashMap<>(totals));
                }
            }
        }
    }

    /** Sends requests at the offered rate; the last numbers are the thousandths of them that reach each proxy. */
    private void run(long from, long until, double offered, double rate, double burst, int... thousandths) {
        requested = 0;
        admitted = 0;
        for (long now = from; now < until; now += STEP_MICROS) {
            exchange(now);
            if (random.nextDouble() < offered * STEP_MICROS / 1e6) {
                int proxy = 0;
                for (int left = random.nextInt(1000); left >= thousandths[proxy]; proxy++) {
                    left -= thousandths[proxy];
                }
                requested++;
                if (proxies.get(proxy).tryAcquire(now, "t", rate, burst) == 0) {
                    admitted++;
                    admittedTimes.add(now);
                }
            }
        }
    }

    private void start() {
        for (int i = 0; i < proxyCount; i++) {
            proxies.add(new QuotaShares());
            proxies.get(i).setProxyCount(proxyCount);
        }
    }

    private void assertLimitKept(double rate, double burst) {
        double allowed = (rate * 5 + burst) * 1.1 + 20;
        int worst = 0;
        for (int first = 0, last = 0; last < admittedTimes.size(); last++) {
            while (admittedTimes.get(last) - admittedTimes.get(first) >= 5_000_000) {
                first++;
            }
            worst = Math.max(worst, last - first + 1);
        }
        assertThat(worst).as("in the worst 5 s").isLessThanOrEqualTo((int) allowed);
    }

    private static int[] thousandths(String text) {
        return java.util.Arrays.stream(text.split(" "))
                .mapToInt(Integer::parseInt)
                .toArray();
    }

    @ParameterizedTest
    @CsvSource({
        "1000 0 0 0 0, 60, 60",
        "200 200 200 200 200, 60, 60",
        "700 200 50 30 20, 60, 60",
        "1000 0 0 0 0, 400, 200",
        "200 200 200 200 200, 400, 200",
        "900 25 25 25 25, 400, 200"
    })
    void aHotTenantGetsItsRateAndNoMore(String parts, double rate, double burst) {
        start();
        run(0, 3_000_000, 3 * rate, rate, burst, thousandths(parts));
        run(3_000_000, 20_000_000, 3 * rate, rate, burst, thousandths(parts));
        assertThat(admitted).isGreaterThanOrEqualTo((int) (0.9 * 17 * rate));
        assertLimitKept(rate, burst);
    }

    @ParameterizedTest
    @CsvSource({"6, 32, 32, 0.8", "10, 32, 32, 0.8", "10, 100, 100, 0.8", "1.5, 32, 32, 0.55"})
    void aLargeFleetAdmitsNoMore(double times, double rate, double burst, double least) {
        proxyCount = 66;
        start();
        int[] even = new int[proxyCount];
        java.util.Arrays.fill(even, 15);
        even[0] = 25;
        run(0, 6_000_000, 0.6 * rate, rate, burst, even);
        assertThat(requested - admitted).isLessThanOrEqualTo((int) (0.03 * requested));
        run(6_000_000, 16_000_000, times * rate, rate, burst, even);
        assertThat(admitted).isGreaterThanOrEqualTo((int) (least * 10 * rate));
        assertLimitKept(rate, burst);
    }

    @ParameterizedTest
    @CsvSource({"1000 0 0 0 0, 0.1", "200 200 200 200 200, 0.9", "0 1000 0 0 0, 0.9"})
    void aPartitionedProxyAdmitsNoMore(String parts, double least) {
        start();
        partitionedAt = 6_000_000;
        run(0, partitionedAt, 180, 60, 60, thousandths(parts));
        run(partitionedAt, 30_000_000, 180, 60, 60, thousandths(parts));
        assertThat(admitted).isGreaterThan((int) (least * 24 * 60));
        assertLimitKept(60, 60);
    }

    @ParameterizedTest
    @ValueSource(strings = {"1000 0 0 0 0", "200 200 200 200 200", "700 200 50 30 20"})
    void aTenantBelowItsRateIsHardlyRejected(String parts) {
        start();
        run(0, 60_000_000, 36, 60, 60, thousandths(parts));
        assertThat(requested - admitted).isLessThanOrEqualTo((int) (0.005 * requested));
        assertLimitKept(60, 60);
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 4})
    void sharesFollowDemandThatMoves(int to) {
        start();
        run(0, 10_000_000, 180, 60, 60, thousandths("1000 0 0 0 0"));
        int[] thousandths = new int[proxyCount];
        thousandths[to] = 1000;
        run(10_000_000, 13_000_000, 180, 60, 60, thousandths);
        run(13_000_000, 30_000_000, 180, 60, 60, thousandths);
        assertThat(admitted).isGreaterThanOrEqualTo((int) (0.9 * 17 * 60));
        assertLimitKept(60, 60);
    }
}
