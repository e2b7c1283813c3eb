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

/** What tenants get of the whole fleet, in made-up time: pilots and a harbour tell each other sums. */
class QuotaSharesTest {

    private int fleet = 5;
    private static final long TELL = 200_000;
    private static final long STEP = 500;

    private final SplittableRandom random = new SplittableRandom(7);
    private final List<QuotaShares> pilots = new ArrayList<>();
    private final DemandAggregator demand = new DemandAggregator();
    private final List<Long> served = new ArrayList<>();
    private int asked;
    private int servedOf;
    /** From here on the first pilot neither tells nor is told. */
    private long cutAt = Long.MAX_VALUE;

    private void tell(long now) {
        for (int i = 0; i < fleet; i++) {
            if (now % TELL == 7_000L * i % TELL / STEP * STEP && (i > 0 || now < cutAt)) {
                pilots.get(i).pilots(now < cutAt + 1_000_000 ? fleet : i == 0 ? fleet : fleet - 1);
                boolean whole = now / TELL % 10 == 0;
                Map<String, Double> its = pilots.get(i).news(now, whole);
                if (!its.isEmpty()) {
                    demand.report(now, "p" + i, its, whole);
                }
            }
        }
        if (now % TELL == 100_000) {
            Map<String, Double> sums = demand.takeChangedTotals(now, now / TELL % 10 == 5);
            for (int i = 0; i < fleet && !sums.isEmpty(); i++) {
                if (i > 0 || now < cutAt) {
                    pilots.get(i).told(now, "h", new HashMap<>(sums));
                }
            }
        }
    }

    /** Runs for so long; of each thousand that the tenant asks, so many come in at each pilot. */
    private void run(long from, long until, double offered, double rate, double burst, int... thousandths) {
        asked = 0;
        servedOf = 0;
        for (long now = from; now < until; now += STEP) {
            tell(now);
            if (random.nextDouble() < offered * STEP / 1e6) {
                int at = 0;
                for (int left = random.nextInt(1000); left >= thousandths[at]; at++) {
                    left -= thousandths[at];
                }
                asked++;
                if (pilots.get(at).ask(now, "t", rate, burst) == 0) {
                    servedOf++;
                    served.add(now);
                }
            }
        }
    }

    private void begin() {
        for (int i = 0; i < fleet; i++) {
            pilots.add(new QuotaShares());
            pilots.get(i).pilots(fleet);
        }
    }

    private void neverMore(double rate, double burst) {
        double most = (rate * 5 + burst) * 1.1 + 20;
        int worst = 0;
        for (int first = 0, last = 0; last < served.size(); last++) {
            while (served.get(last) - served.get(first) >= 5_000_000) {
                first++;
            }
            worst = Math.max(worst, last - first + 1);
        }
        assertThat(worst).as("in the worst 5 s").isLessThanOrEqualTo((int) most);
    }

    private static int[] parts(String text) {
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
        begin();
        run(0, 3_000_000, 3 * rate, rate, burst, parts(parts));
        run(3_000_000, 20_000_000, 3 * rate, rate, burst, parts(parts));
        assertThat(servedOf).isGreaterThanOrEqualTo((int) (0.9 * 17 * rate));
        neverMore(rate, burst);
    }

    @ParameterizedTest
    @CsvSource({"6, 32, 32, 0.8", "10, 32, 32, 0.8", "10, 100, 100, 0.8", "1.5, 32, 32, 0.55"})
    void aLargeFleetLetsInNoMore(double times, double rate, double burst, double least) {
        fleet = 66;
        begin();
        int[] even = new int[fleet];
        java.util.Arrays.fill(even, 15);
        even[0] = 25;
        run(0, 6_000_000, 0.6 * rate, rate, burst, even);
        assertThat(asked - servedOf).isLessThanOrEqualTo((int) (0.03 * asked));
        run(6_000_000, 16_000_000, times * rate, rate, burst, even);
        assertThat(servedOf).isGreaterThanOrEqualTo((int) (least * 10 * rate));
        neverMore(rate, burst);
    }

    @ParameterizedTest
    @CsvSource({"1000 0 0 0 0, 0.1", "200 200 200 200 200, 0.9", "0 1000 0 0 0, 0.9"})
    void aPilotThatIsCutOffLetsInNoMore(String parts, double least) {
        begin();
        cutAt = 6_000_000;
        run(0, cutAt, 180, 60, 60, parts(parts));
        run(cutAt, 30_000_000, 180, 60, 60, parts(parts));
        assertThat(servedOf).isGreaterThan((int) (least * 24 * 60));
        neverMore(60, 60);
    }

    @ParameterizedTest
    @ValueSource(strings = {"1000 0 0 0 0", "200 200 200 200 200", "700 200 50 30 20"})
    void whoAsksLessThanItsRateIsHardlyRefused(String parts) {
        begin();
        run(0, 60_000_000, 36, 60, 60, parts(parts));
        assertThat(asked - servedOf).isLessThanOrEqualTo((int) (0.005 * asked));
        neverMore(60, 60);
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 4})
    void demandThatMovesIsFollowed(int to) {
        begin();
        run(0, 10_000_000, 180, 60, 60, parts("1000 0 0 0 0"));
        int[] parts = new int[fleet];
        parts[to] = 1000;
        run(10_000_000, 13_000_000, 180, 60, 60, parts);
        run(13_000_000, 30_000_000, 180, 60, 60, parts);
        assertThat(servedOf).isGreaterThanOrEqualTo((int) (0.9 * 17 * 60));
        neverMore(60, 60);
    }
}
