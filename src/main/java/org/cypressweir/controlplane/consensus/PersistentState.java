package org.cypressweir.controlplane.consensus;

import java.util.List;
import org.cypressweir.controlplane.configuration.Item;

/**
 * All that an acceptor keeps on its disk. Immutable.
 *
 * @param learnedSecondHand whether the accepted state was learned from others by a replica that had lost its
 *     own, and may have promised a higher number before. A proposer that looks for the highest state finds it,
 *     but does not count it as a vote for that state. Only earlier builds wrote this.
 * @param disk the number of the disk, see {@link ReplicaKey}
 */
public record PersistentState(
        ProposalNumber promised,
        ProposalNumber accepted,
        List<String> voters,
        List<Item> items,
        boolean learnedSecondHand,
        long disk) {

    public PersistentState(
            ProposalNumber promised,
            ProposalNumber accepted,
            List<String> voters,
            List<Item> items,
            boolean learnedSecondHand) {
        this(promised, accepted, voters, items, learnedSecondHand, 0);
    }

    public PersistentState {
        voters = List.copyOf(voters);
        items = List.copyOf(items);
    }
}
