package org.cypressweir.controlplane.controller;

import io.vavr.control.Option;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.cypressweir.controlplane.configuration.Rollout;
import org.cypressweir.controlplane.configuration.RolloutState;
import org.cypressweir.controlplane.registry.RolloutReport;
import org.cypressweir.controlplane.registry.VersionSamples;

/**
 * Decides on the next step of one rollout from the reports of all proxies. Each voter decides independently; the step
 * that is committed first takes effect. No I/O; times are microseconds of the controller's clock.
 */
final class RolloutProgress {

    /** The latest report of a proxy, and the incarnation of the proxy that sent it. */
    private record ProxyReport(long incarnation, RolloutReport report) {}

    private Rollout rollout;
    /** Estimate of when the rollout was ordered, by this controller's clock. */
    private long startedAt;

    private final Map<String, ProxyReport> reports = new HashMap<>();
    /** Outcomes in the last reports of proxy incarnations that have been replaced by later ones. */
    private final VersionSamples oldOfEarlierIncarnations = new VersionSamples();

    private final VersionSamples targetOfEarlierIncarnations = new VersionSamples();

    RolloutProgress(long nowMicros, Rollout rollout) {
        this.rollout = rollout;
        startedAt = nowMicros - rollout.elapsedMicros();
    }

    Rollout rollout() {
        return rollout;
    }

    /** A further step was committed. */
    void update(long nowMicros, Rollout next) {
        // The elapsed time in the step dates from its proposal, so the start derived from it may be too late.
        startedAt = Math.min(startedAt, nowMicros - next.elapsedMicros());
        rollout = next;
    }

    /** Takes in a proxy's report. */
    void reported(String proxy, long incarnation, RolloutReport report) {
        if (!report.targetVersion().equals(rollout.targetVersion())) {
            return;
        }
        ProxyReport before = reports.get(proxy);
        if (before != null && before.incarnation > incarnation) {
            return;
        }
        if (before != null && before.incarnation < incarnation) {
            oldOfEarlierIncarnations.add(before.report.old());
            targetOfEarlierIncarnations.add(before.report.target());
        }
        reports.put(proxy, new ProxyReport(incarnation, report));
    }

    private VersionSamples pooledOld() {
        VersionSamples pooled = new VersionSamples();
        pooled.add(oldOfEarlierIncarnations);
        reports.values().forEach(proxyReport -> pooled.add(proxyReport.report.old()));
        return pooled;
    }

    private VersionSamples pooledTarget() {
        VersionSamples pooled = new VersionSamples();
        pooled.add(targetOfEarlierIncarnations);
        reports.values().forEach(proxyReport -> pooled.add(proxyReport.report.target()));
        return pooled;
    }

    /**
     * The next step that is due, if any.
     *
     * @param proxies the names of the proxies that are registered
     */
    Option<Rollout> nextStep(long nowMicros, Set<String> proxies) {
        long elapsed = Math.max(rollout.elapsedMicros(), nowMicros - startedAt);
        double partOfPeriod = elapsed / (double) rollout.periodMicros();
        VersionSamples target = pooledTarget();
        Option<String> regression = CanaryAnalysis.findRegression(pooledOld(), target);
        if (regression.isDefined()) {
            return Option.some(rollout.end(RolloutState.REVERTED, elapsed, regression.get()));
        }
        if (partOfPeriod >= RolloutStages.REVERT_AT) {
            return Option.some(rollout.end(RolloutState.REVERTED, elapsed, "not decided within the period"));
        }
        boolean hasEnoughSamples = target.total().attempts() >= RolloutStages.MIN_SAMPLES;
        if (hasEnoughSamples && RolloutStages.mayAdvance(rollout.stage(), partOfPeriod)) {
            int next = rollout.stage() + 1;
            return Option.some(rollout.toStage(next, RolloutStages.share(next), elapsed));
        }
        boolean mayComplete = hasEnoughSamples
                && RolloutStages.isLast(rollout.stage())
                && partOfPeriod >= RolloutStages.COMPLETE_FROM;
        if (mayComplete && haveAllProxiesSwitched(proxies)) {
            return Option.some(rollout.end(RolloutState.COMPLETED, elapsed, "no fault found"));
        }
        return Option.none();
    }

    /** Whether all proxies apply the last stage and have no requests in flight at the old version. */
    private boolean haveAllProxiesSwitched(Set<String> proxies) {
        Set<String> missing = new HashSet<>(proxies);
        reports.forEach((proxy, proxyReport) -> {
            if (proxyReport.report.seenVersion() >= rollout.itemVersion() && proxyReport.report.oldInFlight() == 0) {
                missing.remove(proxy);
            }
        });
        return missing.isEmpty();
    }
}
