package org.cypressweir.fleet.membership;

import java.util.ArrayList;
import java.util.List;
import org.cypressweir.fleet.membership.MembershipMessage.Kind;
import org.cypressweir.fleet.membership.MonitoredPeers.Link;
import org.cypressweir.fleet.membership.UpdateDisseminator.Updates;

/**
 * Probes monitored peers and members that can't be reached through neighbors, and responds to the probes of others. A
 * response admits a candidate that this process monitors, since messages have been exchanged both ways.
 */
final class Prober {

    /** Maximum number of unreachable members that are probed at a time. */
    private static final int MAX_DIRECT_PROBES = 4;
    /** Maximum number of updates for a process that may not know that it was removed, besides its own record. */
    private static final int MAX_UPDATES_FOR_REMOVED = 4;

    private final MembershipContext context;
    private final MembershipView view;
    private final MonitoredPeers monitoredPeers;
    private final MonitoringTopology topology;
    private final FailureDetector failureDetector;
    private final MessageSender sender;
    private long nextDirectProbesAt;

    Prober(
            MembershipContext context,
            MembershipView view,
            MonitoredPeers monitoredPeers,
            MonitoringTopology topology,
            FailureDetector failureDetector,
            MessageSender sender) {
        this.context = context;
        this.view = view;
        this.monitoredPeers = monitoredPeers;
        this.topology = topology;
        this.failureDetector = failureDetector;
        this.sender = sender;
    }

    /** Sends the probes that are due. */
    void tick(long now) {
        for (Link link : List.copyOf(monitoredPeers.links())) {
            if (now >= link.nextProbeAt) {
                probe(now, link.name);
            }
        }
        List<String> unreachable = List.copyOf(failureDetector.unreachable());
        if (!unreachable.isEmpty() && now >= nextDirectProbesAt) {
            nextDirectProbesAt = now + 2 * context.options.tickMicros();
            int probes = Math.min(MAX_DIRECT_PROBES, unreachable.size());
            for (int i = 0; i < probes; i++) {
                probe(now, unreachable.get(context.random.nextInt(unreachable.size())));
            }
        }
    }

    private void probe(long now, String name) {
        MemberRecord member = context.table.get(name);
        if (member != null) {
            long number = monitoredPeers.startProbe(now, name);
            Updates updates = context.disseminator.piggyback(now, context.table, name);
            sender.send(now, member.peer().address(), Kind.PING, name, number, updates);
        }
    }

    /** Responds to a probe of another process. */
    void respond(long now, MembershipMessage probe) {
        Peer from = probe.from();
        MemberRecord known = context.table.get(from.name());
        Updates updates = context.disseminator.piggyback(now, context.table, from.name());
        if (known != null && known.status().isEnded() && known.incarnation() >= from.incarnation()) {
            updates = updatesForRemoved(now, known, updates);
        }
        sender.send(now, from.address(), Kind.ACK, from.name(), probe.number(), updates);
    }

    /** Updates for a process that may not know that it was removed; its own record comes first. */
    private Updates updatesForRemoved(long now, MemberRecord removed, Updates updates) {
        List<MemberRecord> records = new ArrayList<>();
        records.add(context.table.withAge(now, removed));
        updates.records().stream().limit(MAX_UPDATES_FOR_REMOVED).forEach(records::add);
        return new Updates(records, List.of());
    }

    /** Handles a response to a probe of this process. */
    void receiveResponse(long now, MembershipMessage response) {
        String name = response.from().name();
        boolean isExpected = monitoredPeers.completeProbe(response.number(), name);
        MemberRecord known = context.table.get(name);
        if (!isExpected
                || known == null
                || known.incarnation() != response.from().incarnation()) {
            return;
        }
        if (known.status() == MemberStatus.CANDIDATE && monitoredPeers.find(name) != null) {
            view.learn(now, known.withStatus(MemberStatus.MEMBER), "");
        }
        if (failureDetector.unreachable().contains(name) && context.table.isInView(name)) {
            long until = now + FailureReports.REPEAT_PERIODS * context.options.periodMicros();
            topology.addDirectContact(name, until);
            topology.update(now);
            failureDetector.report(now, name, false);
        }
    }
}
