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
 * Decides on the next step of one rollout from the reports of all proxies. Each controller with a vote does so by
 * itself; the step that is committed first counts. No I/O; times are microseconds of the controller's clock.
 */
final class RolloutProgress {

    /** A report, and the run of the proxy that sent it. */
    private record ProxyReport(long incarnation, RolloutReport report) {}

    private Rollout rollout;
    /** When the rollout would have been ordered, by this clock. */
    private long startedAt;

    private final Map<String, ProxyReport> reports = new HashMap<>();
    /** The outcomes that runs of proxies which have ended had reported. */
    private final VersionSamples endedOld = new VersionSamples();

    private final VersionSamples endedTarget = new VersionSamples();

    RolloutProgress(long nowMicros, Rollout rollout) {
        this.rollout = rollout;
        startedAt = nowMicros - rollout.elapsedMicros();
    }

    Rollout rollout() {
        return rollout;
    }

    /** A further step was committed. */
    void update(long nowMicros, Rollout next) {
        // This clock is the better one: the step says how much had passed when it was proposed.
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
            endedOld.add(before.report.old());
            endedTarget.add(before.report.target());
        }
        reports.put(proxy, new ProxyReport(incarnation, report));
    }

    private VersionSamples pooledOld() {
        VersionSamples pooled = new VersionSamples();
        pooled.add(endedOld);
        reports.values().forEach(each -> pooled.add(each.report.old()));
        return pooled;
    }

    private VersionSamples pooledTarget() {
        VersionSamples pooled = new VersionSamples();
        pooled.add(endedTarget);
        reports.values().forEach(each -> pooled.add(each.report.target()));
        return pooled;
    }

    /**
     * The next step that is due, if any.
     *
     * @param proxies the names of the proxies that are registered
     */
    Option<Rollout> nextStep(long nowMicros, Set<String> proxies) {
        long elapsed = Math.max(rollout.elapsedMicros(), nowMicros - startedAt);
        double part = elapsed / (double) rollout.periodMicros();
        VersionSamples target = pooledTarget();
        Option<String> fault = RolloutJudge.findFault(pooledOld(), target);
        if (fault.isDefined()) {
            return Option.some(rollout.end(RolloutState.REVERTED, elapsed, fault.get()));
        }
        if (part >= RolloutStages.REVERT_AT) {
            return Option.some(rollout.end(RolloutState.REVERTED, elapsed, "not decided within the period"));
        }
        boolean isJudged = target.total().answers() >= RolloutStages.MIN_SAMPLES;
        if (isJudged && RolloutStages.mayAdvance(rollout.stage(), part)) {
            int next = rollout.stage() + 1;
            return Option.some(rollout.toStage(next, RolloutStages.share(next), elapsed));
        }
        boolean mayComplete = isJudged && RolloutStages.isLast(rollout.stage()) && part >= RolloutStages.COMPLETE_FROM;
        if (mayComplete && haveAllMoved(proxies)) {
            return Option.some(rollout.end(RolloutState.COMPLETED, elapsed, "no fault found"));
        }
        return Option.none();
    }

    /** Whether all proxies act by the last stage and have nothing in flight at the old version. */
    private boolean haveAllMoved(Set<String> proxies) {
        Set<String> missing = new HashSet<>(proxies);
        reports.forEach((proxy, each) -> {
            if (each.report.seenVersion() >= rollout.itemVersion() && each.report.oldInFlight() == 0) {
                missing.remove(proxy);
            }
        });
        return missing.isEmpty();
    }
}
