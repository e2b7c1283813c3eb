package org.cypressweir.controlplane.consensus;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.cypressweir.controlplane.configuration.Configuration;

/**
 * The learner of a replica with an empty disk. Such a replica is not a voter, even if another disk at its address
 * was one: it takes a committed state once a majority of that state's voters has answered, and may then ask to
 * join. It begins with an empty configuration only if the whole system starts for the first time, or if an
 * operator bootstraps it.
 */
final class Learner {

    private static final long REQUESTS_BEFORE_BOOTSTRAP = 4;

    private final ReplicaContext context;
    private final Acceptor acceptor;
    private List<String> seeds;
    private final boolean initialStart;
    private final Map<String, ConsensusMessage.LearnResponse> responses = new HashMap<>();
    private long requestedAt;
    private final long startedAt;
    private StateTransfer transfer;

    Learner(ReplicaContext context, Acceptor acceptor, List<String> seeds, boolean initialStart) {
        this.context = context;
        this.acceptor = acceptor;
        this.seeds = sorted(seeds);
        this.initialStart = initialStart;
        startedAt = context.now;
        requestedAt = startedAt - context.options.requestIntervalMicros();
    }

    private static List<String> sorted(List<String> seeds) {
        return seeds.stream().distinct().sorted().toList();
    }

    /** Replaces the seeds, except at the very first start: there they are the voters and stay as they are. */
    void updateSeeds(List<String> next) {
        if (!initialStart) {
            seeds = sorted(next);
        }
    }

    /** Why this replica may not be bootstrapped, or null. Peers that hold a state must be named as abandoned. */
    String bootstrapObstacle(Set<String> abandoned) {
        if (acceptor.initialized() || initialStart) {
            return "this replica is not blank";
        }
        if (context.now - startedAt < REQUESTS_BEFORE_BOOTSTRAP * context.options.requestIntervalMicros()) {
            return "this replica still asks which peers hold a state";
        }
        Set<String> holders = new TreeSet<>();
        initializedPeers().forEach(peer -> holders.add(ReplicaKey.address(peer)));
        holders.removeAll(abandoned);
        return holders.isEmpty() ? null : "held by " + String.join(", ", holders);
    }

    /**
     * Begins with an empty configuration, at an operator's request. The round is far above all earlier ones,
     * which count up by one, so that a replica which still holds an earlier state never has the higher number.
     */
    void bootstrap(long round) {
        acceptor.initialize(
                new ReplicatedState(
                        new ProposalNumber(round, context.ownKey), List.of(context.ownKey), Configuration.EMPTY),
                responses::clear);
    }

    boolean initialStart() {
        return initialStart;
    }

    List<String> seeds() {
        return seeds;
    }

    /** Addresses to ask: seeds, live peers, and the voters that peers have named. */
    Set<String> targets(Collection<String> live) {
        Set<String> targets = new TreeSet<>(seeds);
        responses.values().forEach(response -> response.voters()
                .forEach(voter -> targets.add(ReplicaKey.address(voter))));
        live.forEach(peer -> targets.add(ReplicaKey.address(peer)));
        targets.remove(context.address);
        return targets;
    }

    void tick(PeerTable peers) {
        if (acceptor.initialized()) {
            return;
        }
        if (context.now - requestedAt >= context.options.requestIntervalMicros()) {
            requestedAt = context.now;
            if (initialStart) {
                acceptor.initialize(new ReplicatedState(ProposalNumber.ZERO, seeds, Configuration.EMPTY), () -> {});
                return;
            }
            for (String target : targets(peers.live())) {
                context.send(target, new ConsensusMessage.LearnRequest(context.incarnation));
            }
            evaluateResponses();
        }
        if (transfer != null) {
            transfer.tick();
            if (transfer.failed()) {
                transfer = null;
            }
        }
    }

    void onResponse(String from, ConsensusMessage.LearnResponse response) {
        if (acceptor.initialized() || initialStart || response.incarnation() != context.incarnation) {
            return;
        }
        responses.put(from, response);
        evaluateResponses();
    }

    /** Begins a transfer once a majority of the voters of the highest accepted state has answered. */
    private void evaluateResponses() {
        if (transfer != null || acceptor.initialized()) {
            return;
        }
        Set<String> initializedPeers = initializedPeers();
        ConsensusMessage.LearnResponse highest = null;
        ProposalNumber committed = ProposalNumber.ZERO;
        for (String peer : initializedPeers) {
            ConsensusMessage.LearnResponse response = responses.get(peer);
            highest = highest == null || response.accepted().above(highest.accepted()) ? response : highest;
            committed = ProposalNumber.higher(committed, response.committed());
        }
        if (highest == null || !ReplicatedState.isMajority(highest.voters(), initializedPeers)) {
            return;
        }
        if (highest.accepted().equals(ProposalNumber.ZERO)) {
            learned(new ReplicatedState(ProposalNumber.ZERO, highest.voters(), Configuration.EMPTY));
        } else if (committed.above(ProposalNumber.ZERO)) {
            transfer = new StateTransfer(context, committed, holdersOf(committed));
        }
    }

    private Set<String> initializedPeers() {
        Set<String> peers = new HashSet<>(responses.keySet());
        peers.removeIf(peer -> responses.get(peer).blank());
        return peers;
    }

    private Set<String> holdersOf(ProposalNumber number) {
        Set<String> holders = initializedPeers();
        holders.removeIf(peer -> !responses.get(peer).committed().equals(number)
                && !responses.get(peer).accepted().equals(number));
        return holders;
    }

    void onStateChunk(ConsensusMessage.StateChunk chunk) {
        if (transfer != null && transfer.number().equals(chunk.number())) {
            ReplicatedState state = transfer.onStateChunk(chunk);
            if (state != null) {
                learned(state);
            }
        }
    }

    void onStateUnavailable(String from, ConsensusMessage.StateUnavailable unavailable) {
        if (transfer != null && transfer.number().equals(unavailable.number())) {
            transfer.onStateUnavailable(from);
        }
    }

    private void learned(ReplicatedState state) {
        transfer = null;
        if (ReplicatedState.isMajority(state.voters(), initializedPeers())) {
            acceptor.initialize(state, responses::clear);
        }
    }
}
