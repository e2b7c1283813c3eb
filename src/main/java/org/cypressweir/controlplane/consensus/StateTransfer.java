package org.cypressweir.controlplane.consensus;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.cypressweir.controlplane.configuration.Configuration;
import org.cypressweir.controlplane.configuration.Item;

/**
 * Fetches a state piece by piece: what changed since one that is held here, where the holder knows that, else
 * the whole. Any holder will do for any piece of the whole: equal ballots are equal states. What comes out is
 * compared with the holder's sum over all items.
 */
final class StateTransfer {

    private static final int MOST_ASKS = 6;
    private static final int MOST_BEGINS = 4;

    private final ReplicaContext desk;
    private final ProposalNumber stamp;
    private final List<String> holders;
    private final Map<ProposalNumber, ReplicatedState> held = new LinkedHashMap<>();
    private final List<Item> items = new ArrayList<>();
    /** From which state the pieces lead on; empty for the whole. */
    private String from = "";

    private long part;
    private long askedAt;
    private int holder;
    private int asks;
    /** Tells pieces of a difference apart, which are of one holder: another may have come another way. */
    private long begin;

    /** @param held states that are whole here */
    StateTransfer(ReplicaContext desk, ProposalNumber stamp, Collection<String> holders, ReplicatedState... held) {
        this.desk = desk;
        this.stamp = stamp;
        for (ReplicatedState state : held) {
            this.held.put(state.stamp(), state);
        }
        this.held.remove(ProposalNumber.ZERO);
        this.holders = new ArrayList<>(holders);
        this.holders.remove(desk.own);
        this.holders.sort(null);
        if (!this.holders.isEmpty()) {
            holder = (int) desk.jitter(this.holders.size());
        }
        ask();
    }

    ProposalNumber stamp() {
        return stamp;
    }

    /** Whether nobody is left to ask. */
    boolean failed() {
        return holders.isEmpty() || asks > MOST_ASKS || begin > MOST_BEGINS;
    }

    private void ask() {
        asks++;
        askedAt = desk.now;
        if (!failed()) {
            List<String> has = part > 0 && from.isEmpty()
                    ? List.of()
                    : held.keySet().stream().map(ProposalNumber::toString).toList();
            desk.send(
                    holders.get(holder % holders.size()),
                    ConsensusMessages.of(ConsensusMessages.FETCH, "b", stamp, "ask", begin, "part", part, "has", has));
        }
    }

    private void beginAnew() {
        begin++;
        part = 0;
        from = "";
        items.clear();
    }

    void tick() {
        if (desk.now - askedAt >= desk.plan.resendAfter()) {
            other();
        }
    }

    private void other() {
        holder++;
        if (!from.isEmpty()) {
            beginAnew();
        }
        ask();
    }

    void gone(String who) {
        if (holders.remove(who)) {
            other();
        }
    }

    /** The whole state once its last piece is here, else null. */
    ReplicatedState piece(Map<?, ?> message) {
        long parts = ConsensusMessages.number(message, "parts");
        long sum = ConsensusMessages.number(message, "sum");
        List<String> crew = ConsensusMessages.someCrew(message);
        List<Item> its = ConsensusMessages.items(message);
        if (!(message.get("from") instanceof String base)
                || ConsensusMessages.number(message, "part") != part
                || !base.isEmpty() && ConsensusMessages.number(message, "ask") != begin) {
            return null;
        }
        if (part == 0) {
            from = base;
        }
        ReplicatedState before = base.isEmpty() ? null : held.get(ProposalNumber.of(base));
        if (!base.equals(from) || before == null && !base.isEmpty()) {
            beginAnew();
            ask();
            return null;
        }
        items.addAll(its);
        part++;
        asks = 0;
        if (part >= parts) {
            Configuration all =
                    before == null ? Configuration.of(items) : before.manifest().with(items);
            if (all.sum() == sum) {
                return new ReplicatedState(stamp, crew, all);
            }
            held.clear();
            beginAnew();
        }
        ask();
        return null;
    }
}
