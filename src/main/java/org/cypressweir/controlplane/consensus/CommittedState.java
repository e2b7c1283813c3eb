package org.cypressweir.controlplane.consensus;

import java.util.Map;
import java.util.Set;
import org.cypressweir.controlplane.configuration.Configuration;

/**
 * What is known to be decided, and what of it has been shown. Who is behind a decided stamp fetches it, and
 * takes it as accepted where no promise is in the way.
 */
final class CommittedState {

    private final ReplicaContext desk;
    private final Acceptor copy;
    private final PeerTable peers;
    private ProposalNumber stamp = ProposalNumber.ZERO;
    private ReplicatedState shown;
    private long behindSince = -1;
    private StateTransfer fetch;
    private ProposalNumber unsettled = ProposalNumber.ZERO;
    private long settleAt;

    CommittedState(ReplicaContext desk, Acceptor copy, PeerTable peers) {
        this.desk = desk;
        this.copy = copy;
        this.peers = peers;
        shown = new ReplicatedState(ProposalNumber.ZERO, copy.state().crew(), Configuration.EMPTY);
    }

    ProposalNumber stamp() {
        return stamp;
    }

    ReplicatedState shown() {
        return shown;
    }

    /** That stamp is decided. */
    void known(ProposalNumber decided) {
        if (decided.above(stamp)) {
            stamp = decided;
        }
        desk.seen(decided);
        look();
    }

    /** That state is decided. */
    void show(ReplicatedState state) {
        if (state.stamp().above(stamp)) {
            stamp = state.stamp();
        }
        if (state.stamp().above(shown.stamp())) {
            shown = state;
            desk.add(new Effect.Show(state.stamp(), state.manifest(), state.crew()));
        }
    }

    /** A member counts who says to have accepted the same. */
    void told(PeerTable.Word word, boolean member) {
        if (word.blank()) {
            return;
        }
        known(word.decided());
        if (member && word.accepted().above(stamp) && word.crew().contains(desk.own)) {
            Set<String> voters = peers.voters(word.accepted());
            if (copy.accepted().equals(word.accepted()) && !copy.hearsay()) {
                voters.add(desk.own);
            }
            if (ReplicatedState.most(word.crew(), voters)) {
                known(word.accepted());
            }
        }
    }

    /** Shows what this harbour's copy holds, where that is decided. */
    void look() {
        if (copy.accepted().equals(stamp)) {
            show(copy.state());
        }
    }

    void tick() {
        look();
        if (!stamp.above(shown.stamp()) || !copy.knowing()) {
            behindSince = -1;
            fetch = null;
            return;
        }
        if (fetch != null) {
            fetch.tick();
            if (fetch.failed()) {
                fetch = null;
            }
        } else if (behindSince < 0) {
            behindSince = desk.now;
        } else if (desk.now - behindSince >= desk.plan.catchUpAfter()) {
            fetch = new StateTransfer(desk, stamp, peers.knowers(stamp), shown, copy.state());
        }
    }

    void piece(ProposalNumber of, Map<?, ?> message) {
        if (fetch != null && fetch.stamp().equals(of)) {
            ReplicatedState whole = fetch.piece(message);
            if (whole != null) {
                fetch = null;
                behindSince = desk.now;
                show(whole);
                if (!copy.sick()) {
                    copy.adopt(whole);
                }
            }
        }
    }

    void gone(String from, ProposalNumber of) {
        if (fetch != null && fetch.stamp().equals(of)) {
            fetch.gone(from);
        }
    }

    /** Whether it has been open for too long if the highest accepted state is decided. */
    boolean settleDue() {
        ProposalNumber top = copy.accepted();
        for (String member : copy.state().crew()) {
            PeerTable.Word word = peers.word(member);
            if (word != null && !word.blank()) {
                top = ProposalNumber.higher(top, word.accepted());
            }
        }
        if (!top.above(stamp)) {
            unsettled = ProposalNumber.ZERO;
            return false;
        }
        if (!top.equals(unsettled)) {
            unsettled = top;
            settleAt = desk.now + desk.plan.settleAfter() + desk.jitter(desk.plan.settleJitter());
        }
        if (desk.now < settleAt) {
            return false;
        }
        settleAt = desk.now + desk.plan.settleAfter() + desk.jitter(desk.plan.settleJitter());
        return true;
    }
}
