package org.cypressweir.controlplane.controller;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.cypressweir.controlplane.configuration.Configuration;
import org.cypressweir.controlplane.configuration.ConfigurationChange;
import org.cypressweir.controlplane.configuration.Rollout;
import org.cypressweir.controlplane.consensus.ProposalResult;
import org.cypressweir.controlplane.registry.RolloutReport;
import org.jboss.logging.Logger;

/**
 * Drives the rollouts that are in progress: collects the proxies' reports and proposes the steps that are due. Used by
 * the event loop only; times are microseconds.
 */
final class RolloutDriver {

    private static final Logger LOG = Logger.getLogger(RolloutDriver.class);
    private static final long TIMEOUT_MICROS = 850_000;

    private final LongSupplier clock;
    private final Supplier<ReplicaDriver> driver;
    private final Map<String, RolloutProgress> inProgress = new HashMap<>();
    /** Services whose next step has been proposed and is still pending. */
    private final Set<String> pendingProposals = new HashSet<>();

    /** @param driver gives null until the store is open */
    RolloutDriver(LongSupplier clock, Supplier<ReplicaDriver> driver) {
        this.clock = clock;
        this.driver = driver;
    }

    /** A configuration has been committed. */
    void committed(Configuration configuration) {
        long now = clock.getAsLong();
        Set<String> services = new HashSet<>();
        for (Rollout rollout : Rollout.all(configuration)) {
            if (rollout.isInProgress()) {
                services.add(rollout.service());
                update(now, rollout);
            }
        }
        inProgress.keySet().retainAll(services);
    }

    private void update(long now, Rollout rollout) {
        RolloutProgress progress = inProgress.get(rollout.service());
        if (progress == null || rollout.stage() == 0 && progress.rollout().itemVersion() != rollout.itemVersion()) {
            inProgress.put(rollout.service(), new RolloutProgress(now, rollout));
        } else if (rollout.itemVersion() > progress.rollout().itemVersion()) {
            progress.update(now, rollout);
        }
    }

    /** Takes in a proxy's report, if a rollout of its service is in progress. */
    void reported(String proxy, long incarnation, RolloutReport report) {
        RolloutProgress progress = inProgress.get(report.service());
        if (progress != null) {
            progress.reported(proxy, incarnation, report);
        }
    }

    /** Proposes due steps. To be called several times a second while this controller is a voter in quorum contact. */
    void tick(Set<String> proxies) {
        long now = clock.getAsLong();
        for (RolloutProgress progress : inProgress.values()) {
            if (!pendingProposals.contains(progress.rollout().service())) {
                progress.nextStep(now, proxies).forEach(this::propose);
            }
        }
    }

    private void propose(Rollout next) {
        pendingProposals.add(next.service());
        long deadline = clock.getAsLong() + TIMEOUT_MICROS;
        driver.get().submit(ConfigurationChange.of(next.toItem()), deadline, result -> {
            pendingProposals.remove(next.service());
            if (result instanceof ProposalResult.Committed) {
                LOG.info("rollout step service=" + next.service() + " targetVersion=" + next.targetVersion() + " state="
                        + next.state().wireName() + " share=" + next.shareOfTarget() + " reason=\"" + next.reason()
                        + "\"");
            }
        });
    }
}
