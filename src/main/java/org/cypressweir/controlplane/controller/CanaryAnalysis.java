package org.cypressweir.controlplane.controller;

import io.vavr.control.Option;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.apache.commons.statistics.distribution.BinomialDistribution;
import org.cypressweir.controlplane.registry.VersionSamples;

/**
 * Compares the failures and response times of a new version of a service with those of the old version over the same
 * time, for each route and for all routes together. A one-sided binomial test gives the probability that a version no
 * worse than tolerated shows at least as many failures or slow responses. The test is repeated some hundred times
 * during a rollout, so its significance level has to be very small. Stateless.
 */
final class CanaryAnalysis {

    /** Below this probability of the observed outcome the new version is rejected. */
    private static final double SIGNIFICANCE_LEVEL = 1e-6;

    /** The tolerated error rate is the old version's times this factor, plus {@link #ERROR_ALLOWANCE}. */
    private static final double ERROR_FACTOR = 1.5;

    private static final double ERROR_ALLOWANCE = 0.01;

    /** A response is slow if it takes longer than {@link #SLOW_FACTOR} times this percentile of the old version. */
    private static final double SLOW_PERCENTILE = 90;

    private static final double SLOW_FACTOR = 1.25;

    /** Tolerated fraction of slow responses of the new version, whose instances have only just started. */
    private static final double SLOW_ALLOWANCE = 0.2;

    /** With fewer attempts at the old version, response times are not compared. */
    private static final long MIN_OLD_ATTEMPTS = 30;

    private CanaryAnalysis() {}

    /** Why the new version is significantly worse than the old one; none if it is not. */
    static Option<String> findRegression(VersionSamples old, VersionSamples target) {
        VersionSamples.Outcomes oldTotal = old.total();
        Option<String> regression = findRegression("all routes", oldTotal, target.total());
        for (Map.Entry<String, VersionSamples.Outcomes> route : target.byRoute().entrySet()) {
            if (regression.isEmpty()) {
                VersionSamples.Outcomes oldOutcomes = old.byRoute().getOrDefault(route.getKey(), oldTotal);
                regression = findRegression("route " + route.getKey(), oldOutcomes, route.getValue());
            }
        }
        return regression;
    }

    private static Option<String> findRegression(
            String scope, VersionSamples.Outcomes old, VersionSamples.Outcomes target) {
        double toleratedErrorRate =
                Math.min(0.9, ERROR_FACTOR * rate(old.failures(), old.attempts()) + ERROR_ALLOWANCE);
        if (isSignificant(target.attempts(), target.failures(), toleratedErrorRate)) {
            return Option.some(scope + ": " + target.failures() + " of " + target.attempts() + " requests failed, "
                    + old.failures() + " of " + old.attempts() + " with the old version");
        }
        if (old.attempts() < MIN_OLD_ATTEMPTS) {
            return Option.none();
        }
        long limit = (long) (SLOW_FACTOR * old.millis().getValueAtPercentile(SLOW_PERCENTILE));
        long slow = countAbove(target.millis(), limit);
        if (isSignificant(target.attempts(), slow, SLOW_ALLOWANCE)) {
            return Option.some(
                    scope + ": " + slow + " of " + target.attempts() + " requests took longer than " + limit + " ms");
        }
        return Option.none();
    }

    private static double rate(long failures, long attempts) {
        return attempts == 0 ? 0 : failures / (double) attempts;
    }

    private static long countAbove(Histogram millis, long limit) {
        long total = millis.getTotalCount();
        return total == 0 ? 0 : total - millis.getCountBetweenValues(0, limit);
    }

    private static boolean isSignificant(long attempts, long observed, double toleratedRate) {
        if (observed == 0 || observed <= attempts * toleratedRate) {
            return false;
        }
        int trials = (int) Math.min(Integer.MAX_VALUE, attempts);
        return BinomialDistribution.of(trials, toleratedRate).survivalProbability((int) observed - 1)
                < SIGNIFICANCE_LEVEL;
    }
}
