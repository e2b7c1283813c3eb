package org.cypressweir.dataplane.proxy;

import org.cypressweir.controlplane.configuration.Configuration;
import org.cypressweir.controlplane.consensus.ProposalNumber;

/**
 * Holds the routing table in force, and makes those of newer versions in the background: until one is ready,
 * requests go by the one before. Used on the event loop alone.
 */
final class RoutingTableLoader {

    private final BackgroundTask background;
    private final Runnable onChange;
    private RoutingTable current = RoutingTable.empty();
    /** The newest that the worker has made; accessed by the worker alone. */
    private RoutingTable newest = current;

    RoutingTableLoader(BackgroundTask background, Runnable onChange) {
        this.background = background;
        this.onChange = onChange;
    }

    RoutingTable current() {
        return current;
    }

    /** Makes the table of a newer version and puts it in force. */
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
