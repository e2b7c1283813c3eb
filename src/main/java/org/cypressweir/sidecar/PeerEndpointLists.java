package org.cypressweir.sidecar;

import java.io.IOException;
import java.util.Locale;
import java.util.function.Consumer;
import org.cypressweir.fleet.FleetCoordination;
import org.cypressweir.fleet.membership.Lending;

/**
 * Endpoint lists that the sidecars of a fleet lend each other. A peer's list takes the place of discovery's until
 * discovery itself has sent this process a list.
 *
 * <p>Confined to the event loop. A list that arrives before {@link #open} is kept until then, because the load
 * balancers have not had their first list yet.
 */
final class PeerEndpointLists implements FleetCoordination.EndpointListAccess {

    private static final double MICROS_PER_SECOND = 1e6;

    private final Layout layout;
    private final EndpointListFeed feed;
    private final Discovery discovery;
    private final Consumer<String> log;
    private final EndpointListCache cache;
    private boolean heardFromDiscovery;
    /** A peer's list that arrived before {@link #open}; null for none. */
    private ServerList pending;

    private boolean isOpen;

    PeerEndpointLists(
            SidecarClock clock,
            SidecarConfiguration configuration,
            Layout layout,
            EndpointListFeed feed,
            Discovery discovery,
            Consumer<String> log) {
        this.layout = layout;
        this.feed = feed;
        this.discovery = discovery;
        this.log = log;
        cache = new EndpointListCache(
                clock,
                configuration.listReader(),
                configuration.initialServers().revision(),
                () -> layout.discoveredClusters().stream()
                        .findFirst()
                        .map(Cluster::serverList)
                        .orElse(configuration.initialServers()),
                () -> isOpen && feed.isSettled());
    }

    /** The load balancers have received their first list. */
    void open() {
        isOpen = true;
        if (pending != null) {
            feed.apply(pending);
        }
        pending = null;
    }

    /** Discovery has sent a list of this revision. */
    void discoveryUpdated(long revision) {
        heardFromDiscovery = true;
        cache.update(revision, 0);
    }

    @Override
    public Lending.EndpointListSource source() {
        return cache;
    }

    @Override
    public boolean isDiscoveryComplete() {
        return heardFromDiscovery || layout.discoveredClusters().isEmpty();
    }

    @Override
    public boolean acceptBorrowed(Lending.Loan loan) {
        try {
            ServerList list = cache.read(loan);
            log.accept(String.format(
                    Locale.ROOT,
                    "discovery is silent: list of revision %d from %s, %.1f s old," + " %d servers",
                    loan.revision(),
                    loan.from(),
                    loan.ageMicros() / MICROS_PER_SECOND,
                    list.entries().size()));
            cache.update(loan.revision(), loan.ageMicros());
            discovery.requireCompleteList();
            if (isOpen) {
                feed.apply(list);
            } else {
                pending = list;
            }
            return true;
        } catch (IOException e) {
            log.accept("malformed endpoint list from " + loan.from() + ": " + e.getMessage());
            return false;
        }
    }
}
