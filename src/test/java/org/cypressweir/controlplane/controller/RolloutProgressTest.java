package org.cypressweir.controlplane.controller;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Option;
import java.util.Set;
import java.util.SplittableRandom;
import org.cypressweir.controlplane.configuration.Rollout;
import org.cypressweir.controlplane.configuration.RolloutState;
import org.cypressweir.controlplane.registry.RolloutReport;
import org.cypressweir.controlplane.registry.VersionSamples;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Rollouts in simulated time, over several seeds. A worse version must be reverted before it has had too many requests,
 * and a healthy version must never be reverted.
 */
class RolloutProgressTest {

    private static final long MICROS_PER_SECOND = 1_000_000;
    private static final long PERIOD_MICROS = 16 * MICROS_PER_SECOND;
    private static final long STEP_MICROS = 200_000;
    private static final int PROXIES = 5;
    private static final int SEEDS = 40;
    private static final Set<String> PROXY_NAMES = Set.of("p0", "p1", "p2", "p3", "p4");
    /**
     * A worse version may get at most this share of the requests to the service in the rollout period, plus
     * {@link #TARGET_SLACK_REQUESTS}.
     */
    private static final double MAX_TARGET_SHARE = 0.1;

    private static final int TARGET_SLACK_REQUESTS = 50;
    private static final double BASE_ERROR_RATE = 0.004;
    private static final double MEDIAN_LATENCY_MICROS = 160_000;
    private static final double LATENCY_SIGMA = 0.5;

    /** A simulated service under load; its new version may have more errors or a higher latency. */
    private static final class Service {
        private final SplittableRandom random;
        private final VersionSamples[] old = new VersionSamples[PROXIES];
        private final VersionSamples[] target = new VersionSamples[PROXIES];
        private double requestsPerSecond = 200;
        private double errorRate = BASE_ERROR_RATE;
        private double latencyFactor = 1;
        private long worseFromMicros;
        private boolean onOneRouteOnly;
        private int requests;
        private int requestsToTarget;

        private Service(long seed) {
            random = new SplittableRandom(seed);
            for (int i = 0; i < PROXIES; i++) {
                restart(i);
            }
        }

        private void restart(int proxy) {
            old[proxy] = new VersionSamples();
            target[proxy] = new VersionSamples();
        }

        private void run(long now, double share) {
            for (int i = (int) (requestsPerSecond * STEP_MICROS / MICROS_PER_SECOND); i > 0; i--) {
                int proxy = random.nextInt(PROXIES);
                String route = random.nextInt(4) == 0 ? "rare" : "usual";
                boolean isTarget = random.nextDouble() < share;
                boolean isWorse = isTarget && now >= worseFromMicros && (!onOneRouteOnly || route.equals("rare"));
                double micros =
                        MEDIAN_LATENCY_MICROS * Math.exp(LATENCY_SIGMA * gaussian()) * (isWorse ? latencyFactor : 1);
                boolean isFailure = random.nextDouble() < (isWorse ? errorRate : BASE_ERROR_RATE);
                requests++;
                requestsToTarget += isTarget ? 1 : 0;
                (isTarget ? target : old)[proxy].record(route, isFailure, (long) micros);
            }
        }

        private double gaussian() {
            double radius = Math.sqrt(-2 * Math.log(1 - random.nextDouble()));
            return radius * Math.cos(2 * Math.PI * random.nextDouble());
        }

        private void report(RolloutProgress progress, long incarnation) {
            for (int i = 0; i < PROXIES; i++) {
                Rollout rollout = progress.rollout();
                VersionSamples oldCopy = VersionSamples.of(old[i].toMap());
                VersionSamples targetCopy = VersionSamples.of(target[i].toMap());
                progress.reported(
                        "p" + i,
                        incarnation,
                        new RolloutReport(
                                rollout.service(),
                                rollout.targetVersion(),
                                rollout.itemVersion(),
                                0,
                                oldCopy,
                                targetCopy));
            }
        }
    }

    private static Rollout newRollout() {
        return Rollout.begin(null, "orders", "v2", PERIOD_MICROS, RolloutStages.share(0));
    }

    /** Runs until the rollout has ended; returns its last step. */
    private static Rollout run(Service service, RolloutProgress progress, long from) {
        for (long now = from; now <= 2 * PERIOD_MICROS; now += STEP_MICROS) {
            service.run(now, progress.rollout().shareOfTarget());
            service.report(progress, 1);
            Option<Rollout> next = progress.nextStep(now, PROXY_NAMES);
            if (next.isDefined() && !next.get().isInProgress()) {
                return next.get();
            }
            for (Rollout step : next) {
                progress.update(now, step);
            }
        }
        throw new AssertionError("the rollout has not ended after twice its period");
    }

    private static void assertExposureBounded(Service service, Rollout end) {
        double requestsInPeriod = service.requests
                + service.requestsPerSecond
                        * Math.max(0, PERIOD_MICROS - end.elapsedMicros())
                        / (double) MICROS_PER_SECOND;
        assertThat(service.requestsToTarget)
                .isLessThanOrEqualTo((int) (MAX_TARGET_SHARE * requestsInPeriod + TARGET_SLACK_REQUESTS));
    }

    @ParameterizedTest
    @ValueSource(doubles = {50, 200, 800})
    void aHealthyVersionIsCompletedWithinThePeriod(double requestsPerSecond) {
        for (long seed = 0; seed < SEEDS; seed++) {
            Service service = new Service(seed);
            service.requestsPerSecond = requestsPerSecond;
            Rollout end = run(service, new RolloutProgress(0, newRollout()), 0);
            assertThat(end.state()).as("seed %d: %s", seed, end.reason()).isEqualTo(RolloutState.COMPLETED);
            assertThat(end.elapsedMicros()).isLessThan(PERIOD_MICROS);
        }
    }

    @ParameterizedTest
    @CsvSource({
        "0.1, 1, 0, false, 200",
        "0.3, 1, 0, false, 200",
        "0.5, 1, 0, false, 50",
        "0.5, 1, 0, true, 200",
        "0.004, 3, 0, false, 200",
        "0.004, 6, 0, false, 50",
        "0.004, 4, 0, true, 200",
        "0.3, 1, 6000000, false, 200",
        "0.5, 1, 12100000, false, 200",
        "0.004, 5, 10000000, false, 400"
    })
    void aWorseVersionIsRevertedAfterFewRequests(
            double errorRate,
            double latencyFactor,
            long worseFromMicros,
            boolean onOneRouteOnly,
            double requestsPerSecond) {
        for (long seed = 0; seed < SEEDS; seed++) {
            Service service = new Service(seed);
            service.errorRate = errorRate;
            service.latencyFactor = latencyFactor;
            service.worseFromMicros = worseFromMicros;
            service.onOneRouteOnly = onOneRouteOnly;
            service.requestsPerSecond = requestsPerSecond;
            Rollout end = run(service, new RolloutProgress(0, newRollout()), 0);
            assertThat(end.state()).as("seed %d", seed).isEqualTo(RolloutState.REVERTED);
            assertExposureBounded(service, end);
        }
    }

    @Test
    void aVersionWithoutRequestsIsRevertedAtTheEndOfThePeriod() {
        RolloutProgress progress = new RolloutProgress(0, newRollout());
        assertThat(progress.nextStep(PERIOD_MICROS / 2, PROXY_NAMES)).isEmpty();
        Rollout end = progress.nextStep(PERIOD_MICROS, PROXY_NAMES).get();
        assertThat(end.state()).isEqualTo(RolloutState.REVERTED);
        assertThat(end.shareOfTarget()).isZero();
    }

    /** Another controller needs only the stored item and the proxies' cumulative reports to take over. */
    @Test
    void anotherControllerContinuesTheRollout() {
        Service service = new Service(3);
        RolloutProgress first = new RolloutProgress(0, newRollout());
        long now = 0;
        for (; first.rollout().stage() < 1; now += STEP_MICROS) {
            service.run(now, first.rollout().shareOfTarget());
            service.report(first, 1);
            for (Rollout step : first.nextStep(now, PROXY_NAMES)) {
                first.update(now, step);
            }
        }
        Rollout stored = Rollout.of(first.rollout().toItem()).get();
        assertThat(stored).isEqualTo(first.rollout());
        RolloutProgress second = new RolloutProgress(now, stored);
        assertThat(run(service, second, now).state()).isEqualTo(RolloutState.COMPLETED);
    }

    /** A repeated report counts once: one failure that is reported fifty times does not revert a rollout. */
    @Test
    void reportsAreCountedOnce() {
        Service service = new Service(5);
        service.errorRate = 1;
        service.requestsPerSecond = 40;
        RolloutProgress progress = new RolloutProgress(0, newRollout());
        service.run(0, 1);
        for (int i = 0; i < 20; i++) {
            service.report(progress, 1);
        }
        assertThat(progress.nextStep(STEP_MICROS, PROXY_NAMES)).isNotEmpty();
        RolloutProgress progressWithTwoSamples = new RolloutProgress(0, newRollout());
        Service serviceWithTwoSamples = new Service(6);
        serviceWithTwoSamples.target[0].record("usual", true, 1_000);
        serviceWithTwoSamples.old[0].record("usual", false, 1_000);
        for (int i = 0; i < 50; i++) {
            serviceWithTwoSamples.report(progressWithTwoSamples, 1);
        }
        assertThat(progressWithTwoSamples.nextStep(STEP_MICROS, PROXY_NAMES)).isEmpty();
    }

    @Test
    void aRolloutIsNotCompletedWhileAProxyHasNotReported() {
        Service service = new Service(7);
        RolloutProgress progress = new RolloutProgress(0, newRollout());
        Set<String> withOneMore = Set.of("p0", "p1", "p2", "p3", "p4", "late");
        Rollout end = null;
        for (long now = 0; end == null; now += STEP_MICROS) {
            service.run(now, progress.rollout().shareOfTarget());
            service.report(progress, 1);
            Option<Rollout> next = progress.nextStep(now, withOneMore);
            end = next.filter(step -> !step.isInProgress()).getOrNull();
            for (Rollout step : next.filter(Rollout::isInProgress)) {
                progress.update(now, step);
            }
        }
        assertThat(end.state()).isEqualTo(RolloutState.REVERTED);
    }
}
