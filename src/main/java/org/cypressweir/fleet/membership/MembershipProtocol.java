package org.cypressweir.fleet.membership;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.cypressweir.fleet.membership.MembershipMessage.Kind;
import org.cypressweir.fleet.membership.MonitoredPeers.Link;
import org.cypressweir.fleet.membership.UpdateDisseminator.Updates;

/**
 * One process's part in the membership of a fleet. The time is an argument of each event, {@link #tick} is called
 * regularly, and messages leave by {@link Actions}. Confined to one thread.
 *
 * <p>Each member monitors its neighbors in three rings ({@link MonitoringTopology}, {@link Prober}) and tells all when
 * it has lost contact with one or found it again; all decide alike from the same reports ({@link FailureDetector},
 * {@link SuspicionTable}). A process joins as a candidate, and is a member once a neighbor has exchanged messages with
 * it both ways. A process that hears that it was removed comes back under a higher incarnation ({@link LocalMember}).
 * Updates are spread at once and piggybacked ({@link UpdateDisseminator}); what was missed is found by comparison
 * ({@link AntiEntropy}).
 */
public final class MembershipProtocol {

    /** What the process has to do; none of it calls back into this object. */
    public interface Actions {
        void send(InetSocketAddress to, MembershipMessage message);

        /** The view has changed. */
        void changed(Change change);

        /** Another process has the name, and had it first. */
        void refused(String reason);

        void log(String line);
    }

    /** A member as this process sees it; the state is a word for operators. */
    public record MemberView(MemberRecord record, String state) {}

    /** Messages that say that this process leaves, to each monitored peer. */
    private static final int LEAVE_MESSAGES = 3;
    /** Views of other processes in the same memory are shared; a process alone needs its last ones. */
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

    /** With rings that other members in the same memory use too. */
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

    /** Passes changes of the view on to the parts that depend on it. */
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

    /** Begins as an admitted member of a fleet that has been running. */
    public void startWithMembers(long now, Iterable<MemberRecord> members) {
        for (MemberRecord member : members) {
            boolean isSelf = context.isSelf(member.name());
            context.table.put(now, isSelf ? context.ownRecord().merge(member) : member, true);
        }
        localMember.startAdmitted(now);
        topology.invalidate();
    }

    /** Members in the view, this one among them. */
    public int liveCount() {
        return view.liveCount();
    }

    public boolean isInView(String name) {
        return view.contains(name);
    }

    public Peer self() {
        return context.self;
    }

    /** Messages that were not sent because more were wanted than is allowed. */
    public long droppedMessages() {
        return sender.droppedMessages();
    }

    /** All processes that are known, by name. */
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

    /** Takes other options over. */
    public void reconfigure(MembershipOptions options) {
        context.options = options;
        monitoredPeers.reconfigure(options);
        failureDetector.reconfigure();
    }

    /** What this process says of itself; the newest holds everywhere. */
    public void updateFacts(long now, Map<String, String> facts) {
        localMember.updateFacts(now, facts);
    }

    /** Leaves the fleet, and says so. */
    public void leave(long now) {
        if (localMember.leave(now)) {
            tick(now);
        }
    }

    /** Whether the other members have been told often enough that this one leaves. */
    public boolean hasLeft() {
        return localMember.hasLostName() || sentLeaveMessages >= LEAVE_MESSAGES;
    }

    /** Does what is due. A late call means that this process was paused. */
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

    /** A message of another process. */
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
        boolean isStranger = !context.table.isInView(from.name());
        if (localMember.isLeaving() || !nameConflicts.accept(now, message)) {
            return;
        }
        monitoredPeers.receivedUnsolicited(now, from.name());
        receiveUpdates(now, message);
        switch (message.kind()) {
            case PING -> prober.respond(now, message);
            case ACK -> {
                prober.receiveResponse(now, message);
                antiEntropy.compareDigest(now, message, isStranger);
            }
            case COMPARE -> antiEntropy.receiveComparison(now, message);
            default -> {
                // Updates alone.
            }
        }
    }

    private void receiveUpdates(long now, MembershipMessage message) {
        String from = message.from().name();
        message.records().forEach(update -> view.learn(now, update, from));
        message.reports().forEach(report -> failureDetector.receive(now, report, from));
    }

    /** The process was paused if it is called late: deadlines move, since it could not have received anything. */
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
