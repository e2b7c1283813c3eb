package org.cypressweir.dataplane.proxy;

import org.cypressweir.controlplane.configuration.Configuration;
import org.cypressweir.controlplane.consensus.ProposalNumber;

/**
 * Holds the routing table in force, and builds the tables of newer versions in the background: until a new table is
 * ready, requests use the previous one. Used on the event loop alone.
 */
final class RoutingTableLoader {

    private final BackgroundTask background;
    private final Runnable onChange;
    private RoutingTable current = RoutingTable.empty();
    /** The newest table that the worker has built; accessed by the worker alone. */
    private RoutingTable newest = current;

    RoutingTableLoader(BackgroundTask background, Runnable onChange) {
        this.background = background;
        this.onChange = onChange;
    }

    RoutingTable current() {
        return current;
    }

    /** Builds the table of a newer version in the background, then puts it in force. */
    void load(ProposalNumber version, Configuration configuration) {
        background.run(
                () -> {
                    newest = newest.next(version, configuration);
                    return newest;
                },
                table -> {
                    current = table;
                    onChange.run();
                });
    }
}
