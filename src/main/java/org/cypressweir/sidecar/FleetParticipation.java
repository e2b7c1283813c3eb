package org.cypressweir.sidecar;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.cypressweir.common.util.Addresses;
import org.cypressweir.fleet.FleetCoordination;
import org.cypressweir.fleet.membership.MembershipOptions;
import org.cypressweir.sidecar.admin.SidecarLifecycle;

/**
 * A sidecar's participation in its fleet: it joins and leaves, publishes this process's metadata to its peers, and
 * knows this process's share of the fleet's limits.
 *
 * <p>Created when the process joins; never if the operators' file names no membership. Confined to the event loop;
 * {@link #firstList} may be called by the thread that starts the sidecar, once {@link #join} has completed.
 */
final class FleetParticipation implements Layout.FleetPortion {

    private static final int LOAD_STEPS = 4;
    private static final int PERCENT = 100;
    private static final int FACTS_INTERVAL_SECONDS = 10;

    private final EventLoop loop;
    private final AtomicReference<SidecarConfiguration> configuration;
    private final SidecarLifecycle lifecycle;
    private final InFlightRequests inFlight;
    private final PeerEndpointLists lists;
    private final Consumer<String> log;
    private final long startedMillis;
    /** The address where clients connect now or will connect. */
    private InetSocketAddress clientAddress;
    /** Null until the process has joined. */
    private FleetCoordination coordination;

    FleetParticipation(
            EventLoop loop,
            AtomicReference<SidecarConfiguration> configuration,
            SidecarLifecycle lifecycle,
            InFlightRequests inFlight,
            PeerEndpointLists lists,
            Consumer<String> log,
            long startedMillis) {
        this.loop = loop;
        this.configuration = configuration;
        this.lifecycle = lifecycle;
        this.inFlight = inFlight;
        this.lists = lists;
        this.log = log;
        this.startedMillis = startedMillis;
        clientAddress = configuration.get().listen();
    }

    /**
     * Joins the fleet.
     *
     * @param socketMayBeHeld whether another process may still hold the fleet's socket for a while
     * @param rejected receives the reason if the process may not join at all
     * @param shareChanged run when this process's share of the limits changes
     */
    CompletableFuture<FleetCoordination> join(
            FleetCoordination.Factory maker,
            MembershipOptions options,
            boolean socketMayBeHeld,
            Consumer<String> rejected,
            Runnable shareChanged) {
        return maker.open(new FleetCoordination.Parameters(
                        loop,
                        configuration.get().name(),
                        options,
                        socketMayBeHeld,
                        facts(),
                        log,
                        rejected,
                        shareChanged,
                        lists))
                .thenApply(joined -> {
                    coordination = joined;
                    shareChanged.run();
                    loop.scheduleWithFixedDelay(
                            () -> joined.updateFacts(facts()),
                            FACTS_INTERVAL_SECONDS,
                            FACTS_INTERVAL_SECONDS,
                            TimeUnit.SECONDS);
                    return joined;
                });
    }

    PeerEndpointLists lists() {
        return lists;
    }

    /** Completes once the peers' newest endpoint list is here, or if none is expected. */
    CompletableFuture<Void> firstList() {
        return coordination == null ? CompletableFuture.completedFuture(null) : coordination.initialBorrowingDone();
    }

    @Override
    public double fraction() {
        return coordination == null ? 0 : coordination.shareFraction();
    }

    @Override
    public int processCount() {
        return coordination == null ? 1 : coordination.processCount();
    }

    void setClientAddress(InetSocketAddress address) {
        clientAddress = address;
    }

    void publishFacts() {
        if (coordination != null) {
            coordination.updateFacts(facts());
        }
    }

    void reconfigure(MembershipOptions next) {
        if (coordination != null) {
            coordination.reconfigure(next);
        }
    }

    void leave() {
        if (coordination != null) {
            coordination.leave();
        }
    }

    /** The metadata published to the peers; the keys and value formats are fixed by the fleet's messages. */
    private Map<String, String> facts() {
        Map<String, String> facts = new TreeMap<>();
        facts.put("front", Addresses.text(clientAddress));
        facts.put("state", lifecycle.state().name().toLowerCase(Locale.ROOT));
        facts.put("start", String.valueOf(startedMillis));
        facts.put("load", loadStep() * PERCENT / LOAD_STEPS + "%");
        return facts;
    }

    /** Load in coarse steps, published rarely: each change is an update to the whole fleet. */
    private int loadStep() {
        int maxInFlight = Math.max(1, configuration.get().settings().limits().maxOpen());
        return Math.min(LOAD_STEPS, LOAD_STEPS * inFlight.count() / maxInFlight);
    }
}
