package larkbank.copies;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import larkbank.manifest.Item;
import larkbank.manifest.Key;
import larkbank.manifest.Kind;
import larkbank.manifest.Manifest;
import larkbank.manifest.Refusal;

/** Tickets applied to a base one after the other. Each has its own verdict, and a refused one no effect. */
final class Batch {

    private final List<Proposal> tickets;
    private final Map<Proposal, Refusal> refused = new LinkedHashMap<>();
    private final Map<Key, Item> changed = new LinkedHashMap<>();
    private Manifest result;

    Batch(List<Proposal> tickets, Manifest base) {
        this.tickets = new ArrayList<>(tickets);
        result = base;
        for (Proposal ticket : tickets) {
            if (ticket.order() == null) {
                continue;
            }
            Either<Refusal, List<Item>> outcome = ticket.order().against(result);
            if (outcome.isLeft()) {
                refused.put(ticket, outcome.getLeft());
            } else {
                result = result.with(outcome.get());
                outcome.get().forEach(i -> changed.put(i.key(), i));
            }
        }
    }

    Manifest result() {
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
    void answer(Desk desk, Ballot stamp) {
        for (Proposal ticket : tickets) {
            Refusal refusal = refused.get(ticket);
            desk.answer(
                    ticket.number(),
                    ticket.order() == null
                            ? new ProposalResult.Read(result)
                            : refusal == null
                                    ? new ProposalResult.Taken(stamp)
                                    : refusal.kind() == Kind.FORGOTTEN
                                            ? new ProposalResult.Unavailable(refusal.reason())
                                            : new ProposalResult.Refused(refusal));
        }
    }
}
