package org.cypressweir.fleet.membership;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.cypressweir.fleet.membership.MembershipMessage.Kind;
import org.cypressweir.fleet.membership.MonitoredPeers.Link;
import org.cypressweir.fleet.membership.UpdateDisseminator.Updates;

/**
 * Membership protocol of one process in a fleet. Each event takes the current time as an argument, {@link #tick} must
 * be called regularly, and messages are sent through {@link Actions}. Times are in microseconds. Confined to one
 * thread.
 *
 * <p>Each member monitors its neighbors in three rings ({@link MonitoringTopology}, {@link Prober}) and reports to all
 * members when it has lost or regained contact with one; all reach the same decisions from the same reports ({@link
 * FailureDetector}, {@link SuspicionTable}). A process joins as a candidate, and becomes a member once a neighbor has
 * exchanged messages with it both ways. A process that learns that it was removed rejoins under a higher incarnation
 * ({@link LocalMember}). Updates are sent at once and then piggybacked on other messages ({@link UpdateDisseminator});
 * missed updates are found by comparison of digests ({@link AntiEntropy}).
 */
public final class MembershipProtocol {

    /** Actions that the process carries out for the protocol; none may call back into this object. */
    public interface Actions {
        void send(InetSocketAddress to, MembershipMessage message);

        /** The view has changed. */
        void viewChanged(MembershipChange change);

        /** Another process holds this process's name, and held it first. */
        void nameRefused(String reason);

        void log(String line);
    }

    /** A member as this process sees it, with a state that is shown to operators. */
    public record MemberView(MemberRecord record, String state) {}

    /** Number of messages to each monitored peer that announce that this process leaves. */
    private static final int LEAVE_MESSAGES = 3;
    /**
     * Size of the ring cache of a process that does not share one with others in the same memory; it needs only its
     * latest rings.
     */
    private static final int CACHED_RINGS = 2;

    private static final int CLEANUP_PERIODS = 2;

    private final MembershipContext context;
    private final MonitoredPeers monitoredPeers;
    private final LocalMember localMember;
    private final MembershipView view;
    private final MonitoringTopology topology;
    private final FailureDetector failureDetector;
    private final MessageSender sender;
    private final Prober prober;
    private final DiscoveryProber discoveryProber;
    private final NameConflictResolver nameConflicts;
    private final AntiEntropy antiEntropy;
    private long lastEventAt;
    private long nextCleanupAt;
    private int sentLeaveMessages;

    public MembershipProtocol(
            long now, MembershipOptions options, Peer self, Map<String, String> facts, long seed, Actions actions) {
        this(now, options, self, facts, seed, actions, new MonitoringRings.Cache(CACHED_RINGS));
    }

    /** Creates a member that shares a cache of rings with other members in the same memory. */
    public MembershipProtocol(
            long now,
            MembershipOptions options,
            Peer self,
            Map<String, String> facts,
            long seed,
            Actions actions,
            MonitoringRings.Cache cache) {
        SplittableRandom random = new SplittableRandom(seed);
        context = new MembershipContext(now, options, self, random, actions);
        monitoredPeers = new MonitoredPeers(options, random.split());
        localMember = new LocalMember(now, context, monitoredPeers, facts);
        view = new MembershipView(context, localMember, new ViewListener());
        topology = new MonitoringTopology(context, monitoredPeers, view, cache);
        failureDetector = new FailureDetector(context, localMember, view, monitoredPeers, topology);
        sender = new MessageSender(context);
        prober = new Prober(context, view, monitoredPeers, topology, failureDetector, sender);
        discoveryProber = new DiscoveryProber(context, view, monitoredPeers, sender);
        nameConflicts = new NameConflictResolver(context, localMember, view, monitoredPeers, sender);
        antiEntropy = new AntiEntropy(context, sender);
        lastEventAt = now;
    }

    /** Notifies the parts that depend on the view of its changes. */
    private final class ViewListener implements MembershipView.Listener {
        @Override
        public void incarnationChanged(long now, String name) {
            failureDetector.forget(name);
            monitoredPeers.resetContact(now, name);
        }

        @Override
        public void removed(String name) {
            failureDetector.forget(name);
            topology.removeDirectContact(name);
            topology.invalidate();
        }

        @Override
        public void joined(String name) {
            failureDetector.invalidate();
        }

        @Override
        public void monitoringChanged() {
            topology.invalidate();
        }
    }

    /** Starts as an admitted member of a fleet that is already running. */
    public void startWithMembers(long now, Iterable<MemberRecord> members) {
        for (MemberRecord member : members) {
            boolean isSelf = context.isSelf(member.name());
            context.table.put(now, isSelf ? context.ownRecord().merge(member) : member, true);
        }
        localMember.startAdmitted(now);
        topology.invalidate();
    }

    /** Number of members in the view, including this process. */
    public int liveCount() {
        return view.liveCount();
    }

    public boolean isInView(String name) {
        return view.contains(name);
    }

    public Peer self() {
        return context.self;
    }

    /** Number of messages that were not sent because a rate limit was exceeded. */
    public long droppedMessages() {
        return sender.droppedMessages();
    }

    /** All known processes, by name. */
    public Map<String, MemberView> members() {
        Map<String, MemberView> members = new TreeMap<>();
        for (MemberRecord member : context.table.all()) {
            members.put(member.name(), new MemberView(member, state(member)));
        }
        return members;
    }

    private String state(MemberRecord member) {
        String name = member.name();
        if (localMember.isAlone() && !context.isSelf(name)) {
            return "unreachable";
        }
        if (!context.table.isInView(name)) {
            return switch (member.status()) {
                case LEFT -> "left";
                case OUT -> "out";
                default -> "joining";
            };
        }
        boolean isSuspect = view.hasPendingRemoval(name) || failureDetector.isSuspected(member);
        return isSuspect ? "suspect" : "alive";
    }

    /** Applies new options. */
    public void reconfigure(MembershipOptions options) {
        context.options = options;
        monitoredPeers.reconfigure(options);
        failureDetector.reconfigure();
    }

    /** Publishes new facts about this process; the newest version replaces earlier ones in all processes. */
    public void updateFacts(long now, Map<String, String> facts) {
        localMember.updateFacts(now, facts);
    }

    /** Leaves the fleet, and announces it to the other members. */
    public void leave(long now) {
        if (localMember.leave(now)) {
            tick(now);
        }
    }

    /** Whether the leave has been announced often enough, or is not to be announced since the name was lost. */
    public boolean hasLeft() {
        return localMember.hasLostName() || sentLeaveMessages >= LEAVE_MESSAGES;
    }

    /** Performs the actions that are due. A late call means that this process was paused. */
    public void tick(long now) {
        detectPause(now);
        if (localMember.hasLostName()) {
            return;
        }
        if (localMember.isLeaving()) {
            sendLeaveMessages(now);
            return;
        }
        view.applyPendingRemovals(now);
        localMember.updateIsolation(now);
        topology.update(now);
        failureDetector.reportChanges(now);
        failureDetector.repeatReports(now);
        failureDetector.decideIfDue(now);
        topology.update(now);
        prober.tick(now);
        discoveryProber.tick(now);
        if (context.disseminator.hasUnsent()) {
            sendUpdates(now);
        }
        if (now >= nextCleanupAt) {
            cleanUp(now);
        }
    }

    /** Handles a message from another process. */
    public void receive(long now, MembershipMessage message) {
        detectPause(now);
        if (localMember.hasLostName()) {
            return;
        }
        Peer from = message.from();
        if (context.isSelf(from.name())) {
            if (from.processId() != context.self.processId()) {
                nameConflicts.receiveFromRival(now, from);
            }
            return;
        }
        if (message.kind() == Kind.REFUSE) {
            localMember.receiveRefusal(message);
            return;
        }
        boolean isOutsideView = !context.table.isInView(from.name());
        if (localMember.isLeaving() || !nameConflicts.accept(now, message)) {
            return;
        }
        monitoredPeers.receivedUnsolicited(now, from.name());
        receiveUpdates(now, message);
        switch (message.kind()) {
            case PING -> prober.respond(now, message);
            case ACK -> {
                prober.receiveResponse(now, message);
                antiEntropy.compareDigest(now, message, isOutsideView);
            }
            case COMPARE -> antiEntropy.receiveComparison(now, message);
            default -> {
                // Only updates, which were received above.
            }
        }
    }

    private void receiveUpdates(long now, MembershipMessage message) {
        String from = message.from().name();
        message.records().forEach(update -> view.learn(now, update, from));
        message.reports().forEach(report -> failureDetector.receive(now, report, from));
    }

    /**
     * Detects by a late call that this process was paused, and defers deadlines, since it could not have received
     * anything.
     */
    private void detectPause(long now) {
        long lateMicros = now - lastEventAt - context.options.tickMicros();
        lastEventAt = Math.max(lastEventAt, now);
        if (lateMicros <= context.options.periodMicros() / 2) {
            return;
        }
        monitoredPeers.excludePause(now, lateMicros);
        failureDetector.excludePause(lateMicros);
        view.excludePause(lateMicros);
        if (lateMicros > context.options.graceMicros()) {
            context.actions.log("stood still for " + lateMicros / 1_000 + " ms");
        }
    }

    private void sendUpdates(long now) {
        for (Link link : monitoredPeers.links()) {
            for (Updates updates : context.disseminator.unsentFor(now, context.table, link.name)) {
                sendUpdates(now, link, updates);
            }
        }
        context.disseminator.markSent(now);
    }

    private void sendLeaveMessages(long now) {
        sentLeaveMessages++;
        if (sentLeaveMessages > LEAVE_MESSAGES) {
            return;
        }
        Updates ownRecord = Updates.of(context.ownRecord());
        for (Link link : monitoredPeers.links()) {
            sendUpdates(now, link, ownRecord);
        }
    }

    private void sendUpdates(long now, Link link, Updates updates) {
        InetSocketAddress address = context.table.get(link.name).peer().address();
        sender.send(now, address, Kind.NEWS, link.name, 0, updates);
    }

    private void cleanUp(long now) {
        nextCleanupAt = now + CLEANUP_PERIODS * context.options.periodMicros();
        failureDetector.expireReports(now);
        context.disseminator.expire(now);
        monitoredPeers.expireProbes(now);
        context.table.expire(now);
        nameConflicts.expire(now);
        topology.expireDirectContacts(now);
        view.expireCandidates(now);
    }
}
