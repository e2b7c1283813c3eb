package org.cypressweir.controlplane.consensus;

import java.util.Collection;
import java.util.List;
import org.cypressweir.controlplane.configuration.Configuration;

/** The replicated state: configuration and voters, with the number of the proposal that made it. Immutable. */
public record ReplicatedState(ProposalNumber number, List<String> voters, Configuration configuration) {

    /** Whether these replicas include a majority of the voters. */
    static boolean isMajority(List<String> voters, Collection<String> replicas) {
        return 2 * voters.stream().filter(replicas::contains).count() > voters.size();
    }
}
