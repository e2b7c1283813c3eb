package org.cypressweir.dataplane.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.SplittableRandom;
import java.util.function.LongFunction;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Requests are divided by their ids into the shares that were asked for, however the ids are made. */
class RequestPositionTest {

    private static final int REQUESTS = 20_000;
    private static final double[] SHARES = {0.01, 0.05, 0.5, 0.9};
    /** Standard deviations of a binomial share; with 64 comparisons a good hash exceeds them once in 2,000 tests. */
    private static final double MAX_DEVIATIONS = 4.5;

    private enum IdForm {
        NUMBERED_HEX(n -> String.format("%016x", n)),
        NUMBERED_DECIMAL(Long::toString),
        NUMBERED_HIGH(n -> String.format("%016x", 0x7fff_0000_0000L + n)),
        NUMBERED_FIRST(n -> n + "-client"),
        PREFIX_AND_NUMBER(n -> "5a1e77c0" + String.format("%08x", n)),
        PREFIXES_OF_FOUR_CLIENTS(n -> "client-" + n % 4 + "-" + n / 4),
        STEPS_OF_256(n -> String.format("%016x", n * 256)),
        RANDOM(n -> String.format("%016x", new SplittableRandom(n).nextLong()));

        private final LongFunction<String> id;

        IdForm(LongFunction<String> id) {
            this.id = id;
        }
    }

    private static long countBelow(RequestPosition position, IdForm form, long first, int requests, double share) {
        return LongStream.range(first, first + requests)
                .filter(n -> position.of(form.id.apply(n)) < share)
                .count();
    }

    private static double deviations(long count, int requests, double share) {
        return Math.abs(count - requests * share) / Math.sqrt(requests * share * (1 - share));
    }

    /** Guards against a split or a rollout without effect, since consecutive ids had nearly the same position. */
    @ParameterizedTest
    @EnumSource
    void sharesAreWithinTheBinomialBound(IdForm form) {
        for (RequestPosition position : RequestPosition.values()) {
            for (double share : SHARES) {
                long count = countBelow(position, form, 1, REQUESTS, share);
                assertThat(deviations(count, REQUESTS, share))
                        .as("%d of %d requests at a share of %s by %s", count, REQUESTS, share, position)
                        .isLessThan(MAX_DEVIATIONS);
            }
        }
    }

    /** Where a route is split and its service has a rollout, each service's requests are divided in the same way. */
    @ParameterizedTest
    @EnumSource
    void purposesAreIndependent(IdForm form) {
        int count = 0;
        for (long n = 1; n <= REQUESTS; n++) {
            String id = form.id.apply(n);
            count += RequestPosition.SERVICE.of(id) < 0.5 && RequestPosition.VERSION.of(id) < 0.5 ? 1 : 0;
        }
        assertThat(deviations(count, REQUESTS, 0.25)).isLessThan(MAX_DEVIATIONS);
    }
}
