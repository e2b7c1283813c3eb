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
 * How a replica with an empty disk learns the committed state. Its disk is no voter, whatever stood at its
 * address before: it takes a committed state once a majority of that state's voters has answered, and may
 * then ask to join. Only a system that starts for the first time begins with an empty configuration.
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

    /** Asks these from now on. At the very first start the seeds are the voters, and stay what they were. */
    void updateSeeds(List<String> next) {
        if (!initialStart) {
            seeds = sorted(next);
        }
    }

    /** Why this replica may not be bootstrapped, or null: a replica that holds a state is never passed over. */
    String bootstrapObstacle(Set<String> abandoned) {
        if (acceptor.initialized() || initialStart) {
            return "this replica is not blank";
        }
        if (context.now - startedAt < REQUESTS_BEFORE_BOOTSTRAP * context.options.requestIntervalMicros()) {
            return "this replica still asks who holds something";
        }
        Set<String> holders = new TreeSet<>();
        initializedPeers().forEach(peer -> holders.add(ReplicaKey.address(peer)));
        holders.removeAll(abandoned);
        return holders.isEmpty() ? null : "held by " + String.join(", ", holders);
    }

    /**
     * Begins with an empty configuration, at an operator's request. The round lies above all before, which
     * count up by ones: a replica that still holds an earlier state can't be taken to know better.
     */
    void bootstrap(long round) {
        acceptor.initialize(
                new ReplicatedState(new ProposalNumber(round, context.own), List.of(context.own), Configuration.EMPTY),
                responses::clear);
    }

    boolean initialStart() {
        return initialStart;
    }

    List<String> seeds() {
        return seeds;
    }

    /** Addresses of replicas that may hold a state. */
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
