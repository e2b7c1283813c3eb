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
 * How a harbour with an empty disk comes to know what stands. Its disk is no member of any crew, whatever
 * stood at its address before: it takes a decided state, once most of that state's crew have spoken, and may
 * then ask to be let in. Only a system that starts for the first time begins with nothing.
 */
final class Learner {

    /** An answer: what a harbour's copy says. */
    record Told(ProposalNumber accepted, ProposalNumber decided, List<String> crew, boolean blank) {}

    private static final long ASKS_BEFORE = 4;

    private final ReplicaContext desk;
    private final Acceptor copy;
    private final List<String> seeds;
    private final boolean initial;
    private final Map<String, Told> told = new HashMap<>();
    private long askedAt;
    private final long begun;
    private StateTransfer fetch;

    Learner(ReplicaContext desk, Acceptor copy, List<String> seeds, boolean initial) {
        this.desk = desk;
        this.copy = copy;
        this.seeds = seeds.stream().distinct().sorted().toList();
        this.initial = initial;
        begun = desk.now;
        askedAt = begun - desk.plan.askEvery();
    }

    /** Why this harbour may not begin with nothing, or null: who holds something is never passed over. */
    String mayNotBegin(Set<String> abandoned) {
        if (copy.knowing() || initial) {
            return "this harbour is not blank";
        }
        if (desk.now - begun < ASKS_BEFORE * desk.plan.askEvery()) {
            return "this harbour still asks who holds something";
        }
        Set<String> holders = new TreeSet<>();
        knowing().forEach(m -> holders.add(ReplicaKey.address(m)));
        holders.removeAll(abandoned);
        return holders.isEmpty() ? null : "held by " + String.join(", ", holders);
    }

    /**
     * An operator has said so. The round lies above all before, which count up by ones: who still holds what
     * stood before can't be taken to know better.
     */
    void beginAlone(long round) {
        copy.begin(
                new ReplicatedState(new ProposalNumber(round, desk.own), List.of(desk.own), Configuration.EMPTY),
                told::clear);
    }

    boolean initial() {
        return initial;
    }

    List<String> seeds() {
        return seeds;
    }

    /** Addresses of harbours that may know something. */
    Set<String> targets(Collection<String> heard) {
        Set<String> targets = new TreeSet<>(seeds);
        told.values().forEach(t -> t.crew.forEach(m -> targets.add(ReplicaKey.address(m))));
        heard.forEach(m -> targets.add(ReplicaKey.address(m)));
        targets.remove(desk.address);
        return targets;
    }

    void tick(PeerTable peers) {
        if (copy.knowing()) {
            return;
        }
        if (desk.now - askedAt >= desk.plan.askEvery()) {
            askedAt = desk.now;
            if (initial) {
                copy.begin(new ReplicatedState(ProposalNumber.ZERO, seeds, Configuration.EMPTY), () -> {});
                return;
            }
            for (String target : targets(peers.live())) {
                desk.send(target, ConsensusMessages.of(ConsensusMessages.TEACH, "life", desk.life));
            }
            weigh();
        }
        if (fetch != null) {
            fetch.tick();
            if (fetch.failed()) {
                fetch = null;
            }
        }
    }

    void told(String from, long life, Told word) {
        if (copy.knowing() || initial || life != desk.life) {
            return;
        }
        told.put(from, word);
        weigh();
    }

    private void weigh() {
        if (fetch != null || copy.knowing()) {
            return;
        }
        Set<String> knowing = knowing();
        Told top = null;
        ProposalNumber decided = ProposalNumber.ZERO;
        for (String each : knowing) {
            Told word = told.get(each);
            top = top == null || word.accepted.above(top.accepted) ? word : top;
            decided = ProposalNumber.higher(decided, word.decided);
        }
        if (top == null || !ReplicatedState.most(top.crew, knowing)) {
            return;
        }
        if (top.accepted.equals(ProposalNumber.ZERO)) {
            learnt(new ReplicatedState(ProposalNumber.ZERO, top.crew, Configuration.EMPTY));
        } else if (decided.above(ProposalNumber.ZERO)) {
            fetch = new StateTransfer(desk, decided, having(decided));
        }
    }

    private Set<String> knowing() {
        Set<String> knowing = new HashSet<>(told.keySet());
        knowing.removeIf(who -> told.get(who).blank);
        return knowing;
    }

    private Set<String> having(ProposalNumber stamp) {
        Set<String> having = knowing();
        having.removeIf(who ->
                !told.get(who).decided.equals(stamp) && !told.get(who).accepted.equals(stamp));
        return having;
    }

    void piece(ProposalNumber of, Map<?, ?> message) {
        if (fetch != null && fetch.stamp().equals(of)) {
            ReplicatedState whole = fetch.piece(message);
            if (whole != null) {
                learnt(whole);
            }
        }
    }

    void gone(String from, ProposalNumber of) {
        if (fetch != null && fetch.stamp().equals(of)) {
            fetch.gone(from);
        }
    }

    private void learnt(ReplicatedState state) {
        fetch = null;
        if (ReplicatedState.most(state.crew(), knowing())) {
            copy.begin(state, told::clear);
        }
    }
}
