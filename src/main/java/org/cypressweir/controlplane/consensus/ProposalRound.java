package org.cypressweir.controlplane.consensus;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cypressweir.controlplane.configuration.Item;

/**
 * One ballot: promises are asked for, tickets applied to the highest accepted state found, and the result is
 * offered to be accepted.
 *
 * <p>This harbour promises and accepts itself, durably, before it asks any other to.
 */
final class ProposalRound {

    /** How a round ends: decided with a state, or not; then when another may begin. */
    interface End {
        void decided(ReplicatedState state);

        void failed(List<Proposal> tickets, boolean again, String reason);
    }

    /** A whole is large: how soon it is sent again, and how much longer a round takes for each piece. */
    private static final long WHOLE_AGAIN = 300_000;

    private static final long WHOLE_PIECE = 10_000;

    private enum Phase {
        SELF_PROMISE,
        PREPARE,
        FETCH,
        SELF_ACCEPT,
        ACCEPT,
        OVER
    }

    private final ReplicaContext desk;
    private final Acceptor copy;
    private final VoterChangePlanner wish;
    private final ProposalNumber stamp;
    private final End end;
    private final ReplicatedState shown;
    private List<Proposal> tickets;
    private Phase phase = Phase.SELF_PROMISE;
    private long until;
    private long sentAt;
    private final Set<String> asked = new HashSet<>();
    private final PrepareQuorum promises = new PrepareQuorum();
    private final Set<String> nacks = new HashSet<>();
    private final Set<String> acks = new HashSet<>();
    /** Who has said that it has another base, and who has said so again. */
    private final Set<String> otherBase = new HashSet<>();

    private final Set<String> needWhole = new HashSet<>();
    private final Map<String, Long> wholeSentAt = new HashMap<>();
    private StateTransfer fetch;
    private ReplicatedState base;
    private ReplicatedState next;
    private ProposalBatch batch;

    ProposalRound(
            ReplicaContext desk,
            Acceptor copy,
            ReplicatedState shown,
            VoterChangePlanner wish,
            List<Proposal> tickets,
            End end) {
        this.desk = desk;
        this.copy = copy;
        this.shown = shown;
        this.wish = wish;
        this.tickets = tickets;
        this.end = end;
        stamp = new ProposalNumber(desk.highestRound + 1, desk.own);
        until = desk.now + desk.plan.roundMost();
    }

    void begin() {
        copy.promise(
                stamp,
                this::promisedMyself,
                higher -> fail(true, "another round went first"),
                () -> fail(false, "the disk takes no writes"));
    }

    boolean over() {
        return phase == Phase.OVER;
    }

    /** Whether it waits for this harbour's disk. */
    boolean needsDisk() {
        return phase == Phase.SELF_PROMISE || phase == Phase.SELF_ACCEPT;
    }

    private void promisedMyself() {
        if (phase != Phase.SELF_PROMISE) {
            return;
        }
        phase = Phase.PREPARE;
        until = desk.now + desk.plan.roundMost();
        sentAt = desk.now;
        promises.add(desk.own, copy.accepted(), copy.state().crew(), copy.hearsay());
        ask(copy.state().crew());
        weigh();
    }

    private void ask(List<String> crew) {
        for (String member : crew) {
            if (asked.add(member)) {
                prepare(member);
            }
        }
    }

    /** For that disk alone: another one at its address has not promised what this one has. */
    private void prepare(String member) {
        desk.send(member, ConsensusMessages.of(ConsensusMessages.PREPARE, "to", member, "b", stamp));
    }

    void promised(String from, ProposalNumber of, ProposalNumber accepted, List<String> crew, boolean hearsay) {
        if (!of.equals(stamp) || phase == Phase.OVER || !asked.contains(from)) {
            return;
        }
        promises.add(from, accepted, crew, hearsay);
        if (phase == Phase.PREPARE) {
            weigh();
        }
    }

    private void weigh() {
        ProposalNumber top = promises.top();
        List<String> crew = promises.crew();
        // One that was let in may have its promise in the way of the state that says so: others tell.
        ask(crew);
        if (!ReplicatedState.most(crew, promises.from())) {
            return;
        }
        if (!crew.contains(desk.own)) {
            fail(false, "this harbour has been taken out of the crew");
            return;
        }
        if (copy.accepted().equals(top)) {
            apply(copy.state());
        } else if (shown.stamp().equals(top)) {
            apply(shown);
        } else {
            phase = Phase.FETCH;
            until = desk.now + 2 * desk.plan.roundMost();
            fetch = new StateTransfer(desk, top, promises.having(top), shown, copy.state());
        }
    }

    /** Takes a piece of the base. */
    void piece(ProposalNumber of, Map<?, ?> message) {
        if (phase == Phase.FETCH && fetch.stamp().equals(of)) {
            until = Math.max(until, desk.now + desk.plan.roundMost());
            ReplicatedState whole = fetch.piece(message);
            if (whole != null) {
                apply(whole);
            }
        }
    }

    void gone(String from, ProposalNumber of) {
        if (phase == Phase.FETCH && fetch.stamp().equals(of)) {
            fetch.gone(from);
        }
    }

    private void apply(ReplicatedState found) {
        // After a stop of this process a promise may come before the clock does: their callers are elsewhere.
        endLate();
        base = found;
        base.manifest().sum(); // Known here, it is kept up with what changes.
        batch = new ProposalBatch(tickets, base.manifest());
        // A crew may change only where the one before it is known to be agreed, or two crews could part.
        boolean settled = ReplicatedState.most(base.crew(), promises.voted(base.stamp()));
        List<String> crew = settled ? wish.of(base.crew()) : base.crew();
        List<Item> changed = batch.changed();
        if (settled && changed.isEmpty() && crew.equals(base.crew())) {
            decided(base);
            return;
        }
        next = new ReplicatedState(stamp, crew, batch.result());
        phase = Phase.SELF_ACCEPT;
        boolean whole = !copy.accepted().equals(base.stamp());
        copy.accept(
                stamp,
                base.stamp(),
                whole,
                crew,
                whole ? next.manifest().items() : changed,
                this::acceptedMyself,
                higher -> fail(true, "another round went first"),
                () -> fail(true, "the copy has moved on"),
                () -> fail(false, "the disk takes no writes"));
    }

    private void acceptedMyself() {
        if (phase != Phase.SELF_ACCEPT) {
            return;
        }
        phase = Phase.ACCEPT;
        until = desk.now + desk.plan.roundMost();
        sentAt = desk.now;
        desk.history.step(base.stamp(), stamp, batch.changed());
        acks.add(desk.own);
        offer();
        count();
    }

    /** The members of the crews before and after. */
    Set<String> voters() {
        Set<String> voters = new HashSet<>(base.crew());
        if (next != null) {
            voters.addAll(next.crew());
        }
        return voters;
    }

    private void offer() {
        for (String voter : voters().stream().sorted().toList()) {
            if (!acks.contains(voter)) {
                offer(voter);
            }
        }
    }

    /** Who has another state than the base gets what changed since a state that it holds, or the whole. */
    private void offer(String to) {
        ChangeHistory.Difference difference = new ChangeHistory.Difference(base.stamp(), batch.changed());
        if (needWhole.contains(to)) {
            difference = null;
        } else if (otherBase.contains(to) || !promises.mayHave(to, base.stamp())) {
            difference = desk.history.since(desk.held(to), next);
        }
        if (difference != null) {
            send(to, difference.from(), false, difference.items());
        } else if (desk.now - wholeSentAt.getOrDefault(to, -WHOLE_AGAIN) >= WHOLE_AGAIN) {
            List<Item> all = next.manifest().items();
            wholeSentAt.put(to, desk.now);
            until = Math.max(
                    until,
                    desk.now
                            + desk.plan.roundMost()
                            + WHOLE_PIECE * SnapshotCache.parts(all.size(), desk.plan.pieceItems()));
            send(to, base.stamp(), true, all);
        }
    }

    private void send(String to, ProposalNumber from, boolean whole, List<Item> items) {
        int size = desk.plan.pieceItems();
        int parts = SnapshotCache.parts(items.size(), size);
        for (int part = 0; part < parts; part++) {
            desk.send(
                    to,
                    ConsensusMessages.of(
                            ConsensusMessages.ACCEPT,
                            "to",
                            to,
                            "b",
                            stamp,
                            "base",
                            from,
                            "whole",
                            whole,
                            "sum",
                            next.manifest().sum(),
                            "crew",
                            next.crew(),
                            "part",
                            (long) part,
                            "parts",
                            (long) parts,
                            "items",
                            ConsensusMessages.maps(SnapshotCache.piece(items, part, size))));
        }
    }

    void mismatch(String from, ProposalNumber of) {
        if (of.equals(stamp)
                && phase == Phase.ACCEPT
                && voters().contains(from)
                && (otherBase.add(from) || needWhole.add(from))) {
            offer(from);
        }
    }

    void accepted(String from, ProposalNumber of) {
        if (of.equals(stamp) && phase == Phase.ACCEPT && acks.add(from)) {
            count();
        }
    }

    private void count() {
        if (ReplicatedState.most(base.crew(), acks) && ReplicatedState.most(next.crew(), acks)) {
            decided(next);
        }
    }

    private void decided(ReplicatedState state) {
        phase = Phase.OVER;
        batch.answer(desk, state.stamp());
        end.decided(state);
    }

    /** Somebody has promised higher. If the others are too few or too slow, this round is given up. */
    void nack(String from, ProposalNumber of) {
        if (!of.equals(stamp) || phase != Phase.PREPARE && phase != Phase.ACCEPT) {
            return;
        }
        nacks.add(from);
        List<String> crew = phase == Phase.ACCEPT ? base.crew() : promises.crewOf(desk.own);
        if (2 * crew.stream().filter(m -> !nacks.contains(m)).count() <= crew.size()) {
            fail(true, "another round went first");
        } else {
            until = Math.min(until, desk.now + desk.plan.afterNack());
        }
    }

    private void endLate() {
        List<Proposal> late =
                tickets.stream().filter(t -> t.deadline() <= desk.now).toList();
        for (Proposal ticket : late) {
            desk.answer(
                    ticket.number(),
                    new ProposalResult.Unavailable(
                            next != null ? "not agreed in time, the outcome is open" : "not agreed in time"));
        }
        if (!late.isEmpty()) {
            // What was offered stays as it is; only nobody waits for it any more.
            tickets = new ArrayList<>(tickets);
            tickets.removeAll(late);
            if (batch != null) {
                batch.drop(late);
            }
        }
    }

    void tick() {
        endLate();
        if (phase != Phase.SELF_PROMISE && phase != Phase.SELF_ACCEPT && desk.now >= until) {
            fail(true, "not agreed in time");
        } else if (phase == Phase.FETCH) {
            fetch.tick();
            if (fetch.failed()) {
                fail(true, "the base is gone");
            }
        } else if (phase == Phase.PREPARE && resendDue()) {
            asked.stream().sorted().filter(m -> !promises.from().contains(m)).forEach(this::prepare);
        } else if (phase == Phase.ACCEPT && resendDue()) {
            offer();
        }
    }

    private boolean resendDue() {
        if (desk.now - sentAt < desk.plan.resendAfter()) {
            return false;
        }
        sentAt = desk.now;
        return true;
    }

    void fail(boolean again, String reason) {
        if (phase != Phase.OVER) {
            phase = Phase.OVER;
            end.failed(tickets, again, reason + (next != null ? ", the outcome is open" : ""));
        }
    }
}
