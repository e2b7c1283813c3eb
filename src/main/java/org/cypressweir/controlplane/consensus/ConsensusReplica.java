package org.cypressweir.controlplane.consensus;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.cypressweir.controlplane.configuration.ConfigurationChange;

/**
 * One replica of the configuration: acceptor, proposer and learner of Paxos in one ("Paxos Made Simple",
 * Lamport 2001), over a single register that holds the whole configuration and the set of voters.
 *
 * <p>There is no log and no elected leader. Any voter proposes: it prepares with a {@link ProposalNumber}
 * above all that it has seen, takes the highest state that a majority of the voters has accepted, applies the
 * waiting changes to it, and asks the voters to accept the result. A state that a majority of its own voters,
 * and of the voters before, has accepted is chosen. Learners hear of it by a message, or work it out from
 * heartbeats, and fetch the state if they don't hold it.
 *
 * <p>The voters change by one at a time, so that a majority before a change shares a voter with any majority
 * after it. How fresh the committed state is follows from echoed heartbeats, see {@link QuorumContact}.
 *
 * <p>Does no I/O and reads no clock: each call returns the {@link Effect}s that the caller has to carry out,
 * in order. Not thread-safe; all calls come from one thread, with a time in microseconds that never goes back.
 * Lives from {@link #start} until the process ends; {@link #leave} announces a graceful shutdown.
 */
public final class ConsensusReplica {

    private static final int MIN_VOTERS = 3;
    private static final long MAX_DISK_ID = 1L << 50;

    private final ReplicaContext context;
    private final Acceptor acceptor;
    private final AcceptorRequestHandler acceptorRequests;
    private final PeerTable peers;
    private final Learner learner;
    private final Proposer proposer;
    private final CommittedState committedState;
    private final VoterChangePlanner planner;
    private final VoterStatus voterStatus;
    private final QuorumContact contact;
    private final HeartbeatSender heartbeats;
    private final ConsensusMessageHandler messages;
    private long heartbeatSentAt;
    private long joinRequestedAt;
    private boolean leaving;

    /** Creates a replica that keeps as many voters as there are seeds, but at least three. */
    public ConsensusReplica(
            ConsensusOptions options,
            String address,
            List<String> seeds,
            boolean initialStart,
            PersistentState loadedOrNull,
            long incarnation,
            SplittableRandom random,
            long now) {
        this(
                options,
                address,
                seeds,
                Math.max(MIN_VOTERS, seeds.size()),
                initialStart,
                loadedOrNull,
                incarnation,
                random,
                now);
    }

    /**
     * @param address where peers reach this replica
     * @param seeds addresses to ask first; the voters of the very first start
     * @param targetVoterCount how many voters there should be
     * @param initialStart whether the whole system starts for the first time
     * @param loadedOrNull what is on the disk, or null for an empty one
     * @param incarnation rises with each start of the process
     */
    public ConsensusReplica(
            ConsensusOptions options,
            String address,
            List<String> seeds,
            int targetVoterCount,
            boolean initialStart,
            PersistentState loadedOrNull,
            long incarnation,
            SplittableRandom random,
            long now) {
        long diskId = loadedOrNull != null ? loadedOrNull.disk() : initialStart ? 0 : 1 + random.nextLong(MAX_DISK_ID);
        context = new ReplicaContext(options, address, diskId, incarnation, random, now);
        acceptor = new Acceptor(context, loadedOrNull);
        peers = new PeerTable(context);
        contact = new QuorumContact(context);
        SnapshotCache snapshots = new SnapshotCache(context);
        planner = new VoterChangePlanner(context, new VoterMonitor(context, peers), targetVoterCount);
        learner = new Learner(context, acceptor, seeds, initialStart);
        committedState = new CommittedState(context, acceptor, peers);
        proposer = new Proposer(context, acceptor, committedState, planner);
        voterStatus = new VoterStatus(context, acceptor, committedState, learner, peers);
        heartbeats = new HeartbeatSender(context, acceptor, committedState, contact, snapshots);
        acceptorRequests = new AcceptorRequestHandler(context, acceptor, committedState, snapshots);
        messages = new ConsensusMessageHandler(
                context,
                new PaxosRoles(acceptor, acceptorRequests, proposer, committedState, learner),
                new QuorumMembership(peers, contact, voterStatus, planner),
                snapshots,
                heartbeats);
        heartbeatSentAt = now - options.heartbeatIntervalMicros();
        joinRequestedAt = now - options.requestIntervalMicros();
    }

    /** The key of this replica: its address, and the number of its disk. */
    public String replicaKey() {
        return context.ownKey;
    }

    /** Replaces the addresses that a replica with an empty disk asks. */
    public void updateSeeds(List<String> seeds) {
        learner.updateSeeds(seeds);
    }

    /** Starts the replica. To be called once, before messages, proposals and ticks. */
    public List<Effect> start(long now) {
        return tick(now);
    }

    /** Handles a message from a peer. One that is malformed or of an unknown kind is ignored. */
    public List<Effect> received(long now, String from, Map<String, Object> message) {
        context.now = now;
        Optional<String> kind = ConsensusMessageCodec.kind(message);
        if (from == null || kind.isEmpty() || from.equals(context.ownKey)) {
            return context.takeEffects();
        }
        try {
            receive(from, ConsensusMessageCodec.decode(kind.get(), message));
        } catch (IllegalArgumentException e) {
            // Malformed: not a message of a replica, so the sender doesn't count as heard either.
            return context.takeEffects();
        }
        return context.takeEffects();
    }

    private void receive(String from, Optional<ConsensusMessage> message) {
        message.ifPresent(known -> known.deliver(from, messages));
        boolean answered = message.isPresent()
                && message.get() instanceof ConsensusMessage.Heartbeat heartbeat
                && heartbeat.replyRequested();
        if (peers.isBack(from) && !answered) {
            // After a partition both replicas confirm at once that they hear each other again.
            heartbeats.send(ReplicaKey.address(from));
        }
        peers.heardFrom(from);
        releasePending();
        proposer.beginIfIdle();
    }

    /** Handles the end of a write, whether it succeeded or failed. */
    public List<Effect> written(long now, long number, boolean ok) {
        context.now = now;
        acceptor.written(number, ok);
        committedState.publishAccepted();
        proposer.beginIfIdle();
        return context.takeEffects();
    }

    /** Proposes a change; the result comes as an {@link Effect.Answer} of that id, by the deadline. */
    public List<Effect> submit(long now, long proposalId, ConfigurationChange change, long deadline) {
        context.now = now;
        submit(new Proposal(proposalId, change, deadline));
        return context.takeEffects();
    }

    /** A linearizable read: answered like a proposal that changes nothing. */
    public List<Effect> read(long now, long proposalId, long deadline) {
        return submit(now, proposalId, null, deadline);
    }

    private void submit(Proposal proposal) {
        Optional<String> unavailable = reasonUnavailable();
        if (unavailable.isPresent()) {
            context.answer(proposal.id(), new ProposalResult.Unavailable(unavailable.get()));
        } else if (contact.isLost(voters())) {
            contact.enqueue(proposal);
            releasePending();
        } else {
            proposer.submit(proposal);
        }
    }

    private Optional<String> reasonUnavailable() {
        if (leaving) {
            return Optional.of("this replica is shutting down");
        }
        if (acceptor.diskFailed()) {
            return Optional.of(Proposer.DISK_FAILED);
        }
        if (isBlank()) {
            return Optional.of("this replica has still to learn the committed state");
        }
        if (acceptor.initialized() && !voterStatus.isVoter()) {
            return Optional.of(Proposer.NOT_A_VOTER);
        }
        return Optional.empty();
    }

    private void releasePending() {
        if (acceptor.initialized()) {
            contact.confirm(committedState.state(), acceptor.accepted(), voters());
        }
        contact.release(voters(), proposer::submit);
        if (contact.probeDue()) {
            voterStatus.heartbeatTargets().forEach(heartbeats::probe);
        }
    }

    /** Why this replica may not be bootstrapped at an operator's request, or null. */
    public String bootstrapObstacle(long now, Set<String> abandoned) {
        context.now = now;
        return learner.bootstrapObstacle(abandoned);
    }

    /** Begins with an empty configuration, as the only voter, at that round. */
    public List<Effect> bootstrap(long now, long round) {
        context.now = now;
        learner.bootstrap(round);
        return context.takeEffects();
    }

    /**
     * Begins a graceful shutdown. The peers are told, and replace this replica by a standby; it takes no more
     * proposals. It may be started again later: with its disk it is the same replica, still a voter or waiting
     * to join.
     */
    public List<Effect> leave(long now) {
        context.now = now;
        leaving = true;
        planner.stop();
        sendHeartbeats();
        return context.takeEffects();
    }

    /**
     * Whether this replica may stop: a majority of the other voters, and every one of them that responds, is
     * known to have accepted its state, and no standby is waiting to replace it.
     */
    public boolean handedOver() {
        List<String> others =
                voters().stream().filter(voter -> !voter.equals(context.ownKey)).toList();
        if (!voterStatus.isVoter() || others.isEmpty()) {
            return true;
        }
        Set<String> upToDate = new HashSet<>(others);
        upToDate.removeIf(voter -> !peers.hasAccepted(voter, acceptor.accepted()));
        return ReplicatedState.isMajority(others, upToDate)
                && upToDate.containsAll(peers.responsive(others))
                && !planner.hasStandby(voters());
    }

    /** To be called about every 50 ms. */
    public List<Effect> tick(long now) {
        context.now = now;
        acceptor.tick();
        learner.tick(peers);
        if (now - heartbeatSentAt >= context.options.heartbeatIntervalMicros()) {
            heartbeatSentAt = now;
            sendHeartbeats();
            peers.prune(voters());
            contact.prune(voters(), peers.live());
            acceptorRequests.prune(peers.live());
        }
        if (acceptor.initialized()) {
            planner.noteCommitted(committedState.number());
            requestToJoin();
        }
        committedState.tick();
        releasePending();
        proposer.tick(voterStatus.isVoter());
        return context.takeEffects();
    }

    private void requestToJoin() {
        boolean due = context.now - joinRequestedAt >= context.options.requestIntervalMicros();
        if (voterStatus.isVoter() || leaving || !due) {
            return;
        }
        joinRequestedAt = context.now;
        voterStatus
                .joinTargets()
                .forEach(target -> context.send(target, new ConsensusMessage.JoinRequest(acceptor.accepted())));
    }

    private void sendHeartbeats() {
        for (String target : voterStatus.heartbeatTargets()) {
            heartbeats.send(target);
            if (leaving) {
                context.send(target, new ConsensusMessage.LeaveNotice(context.incarnation));
            }
        }
    }

    /** The last committed state; before the first one, an empty one under {@link ProposalNumber#ZERO}. */
    public ReplicatedState committed() {
        return committedState.state();
    }

    /** How long ago the committed state was last known to be the newest, in microseconds; below 0 for never. */
    public long confirmedAge(long now) {
        long at = contact.confirmedAt();
        return at == QuorumContact.NEVER ? -1 : Math.max(0, now - at);
    }

    /** Whether a majority of the voters has answered this replica recently. */
    public boolean inContact(long now) {
        context.now = Math.max(context.now, now);
        return !contact.isLost(voters());
    }

    /** Whether the last write failed, or a write has not finished in time. */
    public boolean diskFailed(long now) {
        context.now = Math.max(context.now, now);
        return acceptor.diskFailed();
    }

    /** Whether this replica has an empty disk and has still to learn the committed state. */
    public boolean isBlank() {
        return !acceptor.initialized() && !learner.initialStart();
    }

    /** Whether this replica votes, as far as it knows. */
    public boolean isVoter() {
        return voterStatus.isVoter() && !leaving;
    }

    /** The replicas that have recently asked this one to become voters. */
    public List<String> standbys() {
        return planner.standbys();
    }

    /** The voters as this replica knows them. */
    public List<String> voters() {
        return voterStatus.voters();
    }
}
