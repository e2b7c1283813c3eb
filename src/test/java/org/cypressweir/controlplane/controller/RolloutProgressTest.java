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

/** Verdicts on versions in simulated time, over seeds: what a bad one gets, and how often a good one fails. */
class RolloutProgressTest {

    private static final long SECOND = 1_000_000;
    private static final long PERIOD = 16 * SECOND;
    private static final long STEP = 200_000;
    private static final int PROXIES = 5;
    private static final int SEEDS = 40;
    private static final Set<String> NAMES = Set.of("p0", "p1", "p2", "p3", "p4");
    /** As the users count it: a part of all requests that reach the service, and so many more. */
    private static final double CANARY_SHARE = 0.1;

    private static final int CANARY_SLACK = 50;
    private static final double USUAL_ERRORS = 0.004;
    private static final double MEAN_MICROS = 160_000;
    private static final double SPREAD = 0.5;

    /** A service under requests, with a new version that is worse in some way. */
    private static final class Service {
        private final SplittableRandom random;
        private final VersionSamples[] old = new VersionSamples[PROXIES];
        private final VersionSamples[] target = new VersionSamples[PROXIES];
        private double requestsPerSecond = 200;
        private double errors = USUAL_ERRORS;
        private double times = 1;
        private long badFrom;
        private boolean onOneRouteOnly;
        private int requests;
        private int toTarget;

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
            for (int i = (int) (requestsPerSecond * STEP / SECOND); i > 0; i--) {
                int proxy = random.nextInt(PROXIES);
                String route = random.nextInt(4) == 0 ? "rare" : "usual";
                boolean isTarget = random.nextDouble() < share;
                boolean isWorse = isTarget && now >= badFrom && (!onOneRouteOnly || route.equals("rare"));
                double micros = MEAN_MICROS * Math.exp(SPREAD * gaussian()) * (isWorse ? times : 1);
                boolean isBad = random.nextDouble() < (isWorse ? errors : USUAL_ERRORS);
                requests++;
                toTarget += isTarget ? 1 : 0;
                (isTarget ? target : old)[proxy].record(route, isBad, (long) micros);
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

    private static Rollout order() {
        return Rollout.begin(null, "orders", "v2", PERIOD, RolloutStages.share(0));
    }

    /** Runs until the rollout has ended. */
    private static Rollout run(Service service, RolloutProgress progress, long from) {
        for (long now = from; now <= 2 * PERIOD; now += STEP) {
            service.run(now, progress.rollout().shareOfTarget());
            service.report(progress, 1);
            Option<Rollout> next = progress.nextStep(now, NAMES);
            if (next.isDefined() && !next.get().isInProgress()) {
                return next.get();
            }
            for (Rollout step : next) {
                progress.update(now, step);
            }
        }
        throw new AssertionError("not ended");
    }

    private static void assertExposureKept(Service service, Rollout end) {
        double untilTerm = service.requests
                + service.requestsPerSecond * Math.max(0, PERIOD - end.elapsedMicros()) / (double) SECOND;
        assertThat(service.toTarget).isLessThanOrEqualTo((int) (CANARY_SHARE * untilTerm + CANARY_SLACK));
    }

    @ParameterizedTest
    @ValueSource(doubles = {50, 200, 800})
    void aGoodVersionIsCompletedWithinThePeriod(double requestsPerSecond) {
        for (long seed = 0; seed < SEEDS; seed++) {
            Service service = new Service(seed);
            service.requestsPerSecond = requestsPerSecond;
            Rollout end = run(service, new RolloutProgress(0, order()), 0);
            assertThat(end.state()).as("seed %d: %s", seed, end.reason()).isEqualTo(RolloutState.COMPLETED);
            assertThat(end.elapsedMicros()).isLessThan(PERIOD);
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
    void aBadVersionIsRevertedBeforeItHasGotMuch(
            double errors, double times, long badFrom, boolean onOneRouteOnly, double requestsPerSecond) {
        for (long seed = 0; seed < SEEDS; seed++) {
            Service service = new Service(seed);
            service.errors = errors;
            service.times = times;
            service.badFrom = badFrom;
            service.onOneRouteOnly = onOneRouteOnly;
            service.requestsPerSecond = requestsPerSecond;
            Rollout end = run(service, new RolloutProgress(0, order()), 0);
            assertThat(end.state()).as("seed %d", seed).isEqualTo(RolloutState.REVERTED);
            assertExposureKept(service, end);
        }
    }

    @Test
    void withoutAnswersOfTheNewVersionItIsRevertedInTheEnd() {
        RolloutProgress progress = new RolloutProgress(0, order());
        assertThat(progress.nextStep(PERIOD / 2, NAMES)).isEmpty();
        Rollout end = progress.nextStep(PERIOD, NAMES).get();
        assertThat(end.state()).isEqualTo(RolloutState.REVERTED);
        assertThat(end.shareOfTarget()).isZero();
    }

    /** Another controller takes over from the item alone; the proxies report to it all that they have seen. */
    @Test
    void aControllerThatStartsGoesOnWhereTheRolloutIs() {
        Service service = new Service(3);
        RolloutProgress first = new RolloutProgress(0, order());
        long now = 0;
        for (; first.rollout().stage() < 1; now += STEP) {
            service.run(now, first.rollout().shareOfTarget());
            service.report(first, 1);
            for (Rollout step : first.nextStep(now, NAMES)) {
                first.update(now, step);
            }
        }
        Rollout stored = Rollout.of(first.rollout().toItem()).get();
        assertThat(stored).isEqualTo(first.rollout());
        RolloutProgress second = new RolloutProgress(now, stored);
        assertThat(run(service, second, now).state()).isEqualTo(RolloutState.COMPLETED);
    }

    /** A report counts once however often it comes, and what an ended run of a proxy has seen still counts. */
    @Test
    void reportsAreCountedOnce() {
        Service service = new Service(5);
        service.errors = 1;
        service.requestsPerSecond = 40;
        RolloutProgress progress = new RolloutProgress(0, order());
        service.run(0, 1);
        for (int i = 0; i < 20; i++) {
            service.report(progress, 1);
        }
        assertThat(progress.nextStep(STEP, NAMES)).isNotEmpty();
        RolloutProgress few = new RolloutProgress(0, order());
        Service two = new Service(6);
        two.target[0].record("usual", true, 1_000);
        two.old[0].record("usual", false, 1_000);
        for (int i = 0; i < 50; i++) {
            two.report(few, 1);
        }
        assertThat(few.nextStep(STEP, NAMES)).isEmpty();
    }

    @Test
    void itIsCompletedOnlyOnceAllProxiesHaveMoved() {
        Service service = new Service(7);
        RolloutProgress progress = new RolloutProgress(0, order());
        Set<String> withOneMore = Set.of("p0", "p1", "p2", "p3", "p4", "late");
        Rollout end = null;
        for (long now = 0; end == null; now += STEP) {
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
