package org.cypressweir.controlplane.consensus;

import java.util.Collection;
import java.util.List;
import org.cypressweir.controlplane.configuration.Configuration;

/** The whole agreed state under the stamp that names it. */
public record ReplicatedState(ProposalNumber stamp, List<String> crew, Configuration manifest) {

    static boolean most(List<String> crew, Collection<String> of) {
        return 2 * crew.stream().filter(of::contains).count() > crew.size();
    }
}
