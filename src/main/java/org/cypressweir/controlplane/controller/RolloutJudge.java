package org.cypressweir.controlplane.controller;

import io.vavr.control.Option;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.apache.commons.statistics.distribution.BinomialDistribution;
import org.cypressweir.controlplane.registry.VersionSamples;

/**
 * Compares the answers of a new version of a service with those of the old one over the same time, for each route and
 * for all together. The question is how unlikely it is that a version which is no worse gives so many bad or slow
 * answers (a binomial test). A rollout asks some hundred times, so the answer has to be very unlikely. Stateless.
 */
final class RolloutJudge {

    /** Below this probability a version is called bad. */
    private static final double MAX_PROBABILITY = 1e-6;

    /** What is tolerated beyond the old version's rate of bad answers: a factor, and a part of all answers. */
    private static final double ERROR_FACTOR = 1.5;

    private static final double ERROR_ALLOWANCE = 0.01;

    /** An answer is slow if it takes longer than this quantile of the old version's, and so much more. */
    private static final double SLOW_PERCENTILE = 90;

    private static final double SLOW_FACTOR = 1.25;

    /** A new version may have so large a part of slow answers: its instances have just started. */
    private static final double SLOW_ALLOWANCE = 0.2;

    /** With fewer answers of the old version, the new one's times are compared with nothing. */
    private static final long MIN_OLD_SAMPLES = 30;

    private RolloutJudge() {}

    /** Why the new version is bad; none where nothing says so. */
    static Option<String> findFault(VersionSamples old, VersionSamples target) {
        VersionSamples.Outcomes oldTotal = old.total();
        Option<String> fault = findFault("all routes", oldTotal, target.total());
        for (Map.Entry<String, VersionSamples.Outcomes> route : target.byRoute().entrySet()) {
            if (fault.isEmpty()) {
                VersionSamples.Outcomes oldOutcomes = old.byRoute().getOrDefault(route.getKey(), oldTotal);
                fault = findFault("route " + route.getKey(), oldOutcomes, route.getValue());
            }
        }
        return fault;
    }

    private static Option<String> findFault(String what, VersionSamples.Outcomes old, VersionSamples.Outcomes target) {
        double tolerated = Math.min(0.9, ERROR_FACTOR * rate(old.bad(), old.answers()) + ERROR_ALLOWANCE);
        if (isUnlikely(target.answers(), target.bad(), tolerated)) {
            return Option.some(what + ": " + target.bad() + " of " + target.answers() + " answers are bad, " + old.bad()
                    + " of " + old.answers() + " before");
        }
        if (old.answers() < MIN_OLD_SAMPLES) {
            return Option.none();
        }
        long limit = (long) (SLOW_FACTOR * old.millis().getValueAtPercentile(SLOW_PERCENTILE));
        long slow = countAbove(target.millis(), limit);
        if (isUnlikely(target.answers(), slow, SLOW_ALLOWANCE)) {
            return Option.some(
                    what + ": " + slow + " of " + target.answers() + " answers take longer than " + limit + " ms");
        }
        return Option.none();
    }

    private static double rate(long bad, long answers) {
        return answers == 0 ? 0 : bad / (double) answers;
    }

    private static long countAbove(Histogram millis, long limit) {
        long total = millis.getTotalCount();
        return total == 0 ? 0 : total - millis.getCountBetweenValues(0, limit);
    }

    private static boolean isUnlikely(long answers, long found, double probability) {
        if (found == 0 || found <= answers * probability) {
            return false;
        }
        int trials = (int) Math.min(Integer.MAX_VALUE, answers);
        return BinomialDistribution.of(trials, probability).survivalProbability((int) found - 1) < MAX_PROBABILITY;
    }
}
