package org.cypressweir.controlplane.controller;

import java.util.Locale;
import org.cypressweir.common.metrics.MetricsPage;
import org.cypressweir.controlplane.consensus.ConsensusReplica;
import org.cypressweir.controlplane.controller.ControllerStatistics.CallResult;

/** Adds a controller's metrics to one metrics page. Used on the event loop. */
final class ControllerMetrics {

    private static final double MICROS_PER_SECOND = 1e6;

    private final MetricsPage page;

    ControllerMetrics(MetricsPage page) {
        this.page = page;
    }

    void addCalls(ControllerStatistics statistics) {
        for (CallResult result : CallResult.values()) {
            String name = result.name().toLowerCase(Locale.ROOT);
            page.counter(
                    "cypressweir_configuration_changes",
                    "Operators' changes by their result.",
                    statistics.changes(result),
                    "result",
                    name);
            page.counter(
                    "cypressweir_configuration_reads",
                    "Operators' reads by their result.",
                    statistics.reads(result),
                    "result",
                    name);
        }
        page.durations(
                "cypressweir_commit_duration_seconds",
                "From the arrival of a change that was committed to its acknowledgement.",
                statistics.commitDurations());
        page.durations(
                "cypressweir_store_write_duration_seconds",
                "Writes to the store, each with its sync.",
                statistics.writeDurations());
        page.counter("cypressweir_store_write_failures", "Writes that the disk refused.", statistics.failedWrites());
    }

    void addReplica(ConsensusReplica replica, long nowMicros) {
        page.gauge(
                "cypressweir_voters",
                "Voters of the state that this replica holds.",
                replica.voters().size());
        page.gauge(
                "cypressweir_standbys",
                "Replicas that wait to be admitted.",
                replica.standbys().size());
        page.flag("cypressweir_is_voter", "Whether this replica has a vote.", replica.isVoter());
        page.flag("cypressweir_is_blank", "Whether it has yet to learn the state.", replica.isBlank());
        page.flag(
                "cypressweir_disk_failed",
                "Whether the disk refuses writes or is silent.",
                replica.diskFailed(nowMicros));
        page.flag(
                "cypressweir_quorum_contact",
                "Whether a majority of the voters is heard.",
                replica.inContact(nowMicros));
        long confirmedAge = replica.confirmedAge(nowMicros);
        if (confirmedAge >= 0) {
            page.gauge(
                    "cypressweir_confirmation_age_seconds",
                    "How long ago the published configuration was known to be the newest; absent: never.",
                    confirmedAge / MICROS_PER_SECOND);
        }
    }

    void addPublisher(UpdatePublisher publisher) {
        page.gauge(
                "cypressweir_registered_proxies",
                "Proxies that are registered.",
                publisher.registry().size());
        page.gauge(
                "cypressweir_configuration_items",
                "Items of the published configuration.",
                publisher.versionLog().configuration().size());
        page.counter("cypressweir_endpoint_changes", "Changes of registrations.", publisher.endpointChanges());
        page.counter("cypressweir_endpoint_updates", "Endpoint updates sent to proxies.", publisher.endpointUpdates());
    }
}
