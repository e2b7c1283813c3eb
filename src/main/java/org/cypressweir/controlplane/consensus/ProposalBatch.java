package org.cypressweir.controlplane.consensus;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.cypressweir.controlplane.configuration.Configuration;
import org.cypressweir.controlplane.configuration.Item;
import org.cypressweir.controlplane.configuration.ItemKey;
import org.cypressweir.controlplane.configuration.Rejection;
import org.cypressweir.controlplane.configuration.RejectionKind;

/** Tickets applied to a base one after the other. Each has its own verdict, and a refused one no effect. */
final class ProposalBatch {

    private final List<Proposal> tickets;
    private final Map<Proposal, Rejection> refused = new LinkedHashMap<>();
    private final Map<ItemKey, Item> changed = new LinkedHashMap<>();
    private Configuration result;

    ProposalBatch(List<Proposal> tickets, Configuration base) {
        this.tickets = new ArrayList<>(tickets);
        result = base;
        for (Proposal ticket : tickets) {
            if (ticket.order() == null) {
                continue;
            }
            Either<Rejection, List<Item>> outcome = ticket.order().applyTo(result);
            if (outcome.isLeft()) {
                refused.put(ticket, outcome.getLeft());
            } else {
                result = result.with(outcome.get());
                outcome.get().forEach(i -> changed.put(i.key(), i));
            }
        }
    }

    Configuration result() {
        return result;
    }

    List<Item> changed() {
        return List.copyOf(changed.values());
    }

    /** Leaves tickets unanswered that have been answered otherwise. */
    void drop(List<Proposal> answered) {
        tickets.removeAll(answered);
    }

    /** Answers all tickets, once the result is decided under that stamp. */
    void answer(ReplicaContext desk, ProposalNumber stamp) {
        for (Proposal ticket : tickets) {
            Rejection refusal = refused.get(ticket);
            desk.answer(
                    ticket.number(),
                    ticket.order() == null
                            ? new ProposalResult.Read(result)
                            : refusal == null
                                    ? new ProposalResult.Taken(stamp)
                                    : refusal.kind() == RejectionKind.VERSION_TOO_OLD
                                            ? new ProposalResult.Unavailable(refusal.reason())
                                            : new ProposalResult.Refused(refusal));
        }
    }
}
