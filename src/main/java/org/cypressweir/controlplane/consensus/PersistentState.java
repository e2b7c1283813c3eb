package org.cypressweir.controlplane.consensus;

import java.util.List;
import org.cypressweir.controlplane.configuration.Item;

/**
 * All that a copy keeps on its disk. Hearsay tells that the accepted state was learnt from others by a copy
 * that had forgotten, below what it may have promised: it is there for whoever looks for the highest state,
 * but is no vote for it. Only builds before wrote that. Disk is the number of the disk, see {@link ReplicaKey}.
 */
public record PersistentState(
        ProposalNumber promised,
        ProposalNumber accepted,
        List<String> crew,
        List<Item> items,
        boolean hearsay,
        long disk) {

    public PersistentState(
            ProposalNumber promised, ProposalNumber accepted, List<String> crew, List<Item> items, boolean hearsay) {
        this(promised, accepted, crew, items, hearsay, 0);
    }

    public PersistentState {
        crew = List.copyOf(crew);
        items = List.copyOf(items);
    }
}
