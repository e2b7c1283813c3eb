package org.cypressweir.controlplane.consensus;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/** Runs rounds, one at a time: for tickets that wait, to settle what is open, and to change the crew. */
final class Proposer implements ProposalRound.End {

    private static final int MOST_DOUBLINGS = 5;

    private final ReplicaContext desk;
    private final Acceptor copy;
    private final CommittedState decided;
    private final VoterChangePlanner wish;
    private final Deque<Proposal> waiting = new ArrayDeque<>();
    private ProposalRound round;
    private long notBefore;
    private int failures;

    Proposer(ReplicaContext desk, Acceptor copy, CommittedState decided, VoterChangePlanner wish) {
        this.desk = desk;
        this.copy = copy;
        this.decided = decided;
        this.wish = wish;
    }

    void submit(Proposal ticket) {
        if (ticket.deadline() <= desk.now) {
            late(ticket);
            return;
        }
        waiting.add(ticket);
        next();
    }

    private void late(Proposal ticket) {
        desk.answer(ticket.number(), new ProposalResult.Unavailable("not agreed in time"));
    }

    /** Begins a round for what waits, if none is on. */
    void next() {
        if (round == null && !waiting.isEmpty() && ready()) {
            begin();
        }
    }

    private boolean ready() {
        return desk.now >= notBefore && copy.knowing() && !copy.sick();
    }

    private void begin() {
        List<Proposal> tickets = new ArrayList<>(waiting);
        waiting.clear();
        round = new ProposalRound(desk, copy, decided.shown(), wish, tickets, this);
        round.begin();
    }

    void tick(boolean member) {
        waiting.removeIf(ticket -> {
            boolean late = ticket.deadline() <= desk.now;
            if (late) {
                late(ticket);
            }
            return late;
        });
        if (copy.sick()) {
            if (round != null && round.needsDisk()) {
                round.fail(false, "the disk of this harbour takes no writes");
            }
            refuse("the disk of this harbour takes no writes");
        }
        if (round != null) {
            round.tick();
        }
        if (!copy.knowing()) {
            return;
        }
        if (!member) {
            refuse("this harbour is not in the crew");
            return;
        }
        boolean settle = decided.settleDue();
        List<String> crew = copy.state().crew();
        if (round == null
                && ready()
                && (settle || !waiting.isEmpty() || !wish.of(crew).equals(crew))) {
            begin();
        }
    }

    private void refuse(String reason) {
        for (Proposal ticket; (ticket = waiting.poll()) != null; ) {
            desk.answer(ticket.number(), new ProposalResult.Unavailable(reason));
        }
    }

    @Override
    public void decided(ReplicatedState state) {
        ProposalRound done = round;
        round = null;
        failures = 0;
        if (state.stamp().above(decided.stamp())) {
            TreeSet<String> others = new TreeSet<>(state.crew());
            others.addAll(copy.state().crew());
            others.addAll(done.voters());
            others.forEach(o -> desk.send(o, ConsensusMessages.of(ConsensusMessages.DECIDED, "b", state.stamp())));
        }
        decided.show(state);
        next();
    }

    @Override
    public void failed(List<Proposal> tickets, boolean again, String reason) {
        round = null;
        if (!again) {
            tickets.forEach(t -> desk.answer(t.number(), new ProposalResult.Unavailable(reason)));
        } else {
            for (int i = tickets.size() - 1; i >= 0; i--) {
                waiting.addFirst(tickets.get(i));
            }
        }
        long most = desk.plan.backoffLeast() << Math.min(failures++, MOST_DOUBLINGS);
        notBefore = desk.now + desk.plan.backoffLeast() + desk.jitter(Math.min(desk.plan.backoffMost(), 2 * most));
    }

    void promised(String from, ProposalNumber of, ProposalNumber accepted, List<String> crew, boolean hearsay) {
        if (round != null) {
            round.promised(from, of, accepted, crew, hearsay);
        }
    }

    void nack(String from, ProposalNumber of, ProposalNumber promised) {
        desk.seen(promised);
        if (round != null) {
            round.nack(from, of);
        }
    }

    void accepted(String from, ProposalNumber of) {
        if (round != null) {
            round.accepted(from, of);
        }
    }

    void mismatch(String from, ProposalNumber of) {
        if (round != null) {
            round.mismatch(from, of);
        }
    }

    void piece(ProposalNumber of, Map<?, ?> message) {
        if (round != null) {
            round.piece(of, message);
        }
    }

    void gone(String from, ProposalNumber of) {
        if (round != null) {
            round.gone(from, of);
        }
    }
}
