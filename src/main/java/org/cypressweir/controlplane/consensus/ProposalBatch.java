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

/** Proposals applied to a base one after the other. Each has its own result; a rejected one has no effect. */
final class ProposalBatch {

    private final List<Proposal> proposals;
    private final Map<Proposal, Rejection> rejections = new LinkedHashMap<>();
    private final Map<ItemKey, Item> changed = new LinkedHashMap<>();
    private Configuration result;

    ProposalBatch(List<Proposal> proposals, Configuration base) {
        this.proposals = new ArrayList<>(proposals);
        result = base;
        proposals.forEach(this::apply);
    }

    private void apply(Proposal proposal) {
        if (proposal.change() == null) {
            return;
        }
        Either<Rejection, List<Item>> outcome = proposal.change().applyTo(result);
        if (outcome.isLeft()) {
            rejections.put(proposal, outcome.getLeft());
            return;
        }
        result = result.with(outcome.get());
        outcome.get().forEach(item -> changed.put(item.key(), item));
    }

    Configuration result() {
        return result;
    }

    List<Item> changed() {
        return List.copyOf(changed.values());
    }

    /** Removes proposals that have been answered already. */
    void drop(List<Proposal> answered) {
        proposals.removeAll(answered);
    }

    /** Answers all proposals, once the result is committed under that number. */
    void answer(ReplicaContext context, ProposalNumber number) {
        proposals.forEach(proposal -> context.answer(proposal.id(), resultOf(proposal, number)));
    }

    private ProposalResult resultOf(Proposal proposal, ProposalNumber number) {
        if (proposal.change() == null) {
            return new ProposalResult.Read(result);
        }
        Rejection rejection = rejections.get(proposal);
        if (rejection == null) {
            return new ProposalResult.Committed(number);
        }
        // The contents of that version are no longer known, so it can't be told whether they were accepted.
        return rejection.kind() == RejectionKind.VERSION_TOO_OLD
                ? new ProposalResult.Unavailable(rejection.reason())
                : new ProposalResult.Rejected(rejection);
    }
}
