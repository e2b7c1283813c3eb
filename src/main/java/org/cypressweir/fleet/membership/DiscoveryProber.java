package org.cypressweir.fleet.membership;

import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.cypressweir.fleet.membership.MembershipMessage.Kind;
import org.cypressweir.fleet.membership.UpdateDisseminator.Updates;

/**
 * Probes addresses outside the view: seeds, so that a process joins the fleet and groups that do not know each other
 * merge; and removed members, so that the two sides of a partition merge once it has healed.
 */
final class DiscoveryProber {

    /** Periods between probes of seeds while the view contains other members. */
    private static final int SEED_PERIODS = 10;

    private static final int REMOVED_MEMBER_PERIODS = 2;
    /** Expected number of members of the view that probe a removed member in each interval. */
    private static final double PROBING_MEMBERS = 3;

    private final MembershipContext context;
    private final MembershipView view;
    private final MonitoredPeers monitoredPeers;
    private final MessageSender sender;
    private long nextSeedProbeAt;
    private long nextRemovedProbeAt;

    DiscoveryProber(
            MembershipContext context, MembershipView view, MonitoredPeers monitoredPeers, MessageSender sender) {
        this.context = context;
        this.view = view;
        this.monitoredPeers = monitoredPeers;
        this.sender = sender;
    }

    /** Sends the probes that are due. */
    void tick(long now) {
        if (now >= nextSeedProbeAt) {
            probeSeeds(now);
        }
        if (now >= nextRemovedProbeAt) {
            probeRemovedMember(now);
        }
    }

    /** Probes all seeds if no other member is in the view; otherwise one random seed that is not in the view. */
    private void probeSeeds(long now) {
        boolean isAlone = context.table.liveCount() == 1;
        long period = context.options.periodMicros();
        nextSeedProbeAt = now + (isAlone ? period : SEED_PERIODS * period) + context.random.nextLong(period);
        List<InetSocketAddress> unknownSeeds = unknownSeeds(isAlone);
        if (isAlone) {
            unknownSeeds.forEach(seed -> probe(now, seed));
        } else if (!unknownSeeds.isEmpty()) {
            probe(now, unknownSeeds.get(context.random.nextInt(unknownSeeds.size())));
        }
    }

    private List<InetSocketAddress> unknownSeeds(boolean isAlone) {
        Set<InetSocketAddress> known = new HashSet<>();
        known.add(context.self.address());
        if (!isAlone) {
            for (MemberRecord member : context.table.all()) {
                if (context.table.isInView(member.name())) {
                    known.add(member.peer().address());
                }
            }
        }
        return context.options.seeds().stream()
                .filter(seed -> !known.contains(seed))
                .toList();
    }

    private void probeRemovedMember(long now) {
        long period = context.options.periodMicros();
        nextRemovedProbeAt = now + REMOVED_MEMBER_PERIODS * period + context.random.nextLong(period);
        List<MemberRecord> removed = context.table.removedMembers();
        if (!removed.isEmpty() && context.random.nextDouble() < PROBING_MEMBERS / view.liveCount()) {
            MemberRecord member = removed.get(context.random.nextInt(removed.size()));
            probe(now, member.peer().address());
        }
    }

    private void probe(long now, InetSocketAddress address) {
        long number = monitoredPeers.startProbe(now, "");
        sender.send(now, address, Kind.PING, "", number, Updates.of(context.ownRecord()));
    }
}
