package org.cypressweir.sidecar;

import io.netty.channel.EventLoop;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import org.cypressweir.fleet.FleetCoordination;
import org.cypressweir.fleet.membership.MembershipOptions;
import org.cypressweir.loadbalancing.LoadBalancer;
import org.cypressweir.loadbalancing.LoadBalancer.Actions;
import org.cypressweir.loadbalancing.LoadBalancer.Settings;
import org.cypressweir.loadbalancing.SubsetLoadBalancer;
import org.cypressweir.sidecar.admin.AdminCommandHandler;
import org.cypressweir.sidecar.admin.SidecarLifecycle;
import org.cypressweir.sidecar.admin.SidecarMetrics;

/**
 * A sidecar: client listeners, server pools and discovery, assembled by a {@link Layout}.
 *
 * <p>Everything runs on one event loop, and the object is constructed on it. Life cycle: constructor, {@link #join} if
 * the sidecar belongs to a fleet, {@link #openAdminListener}, {@link #start}, {@link #stop}. {@link #start} and {@link
 * #reload} are called from other threads. {@link SidecarProcess} is the process around it.
 */
public final class Sidecar implements Discovery.Listener, ConfigurationReloader.Listener {

    private final EventLoop loop;
    private final PrintStream log;
    /** The current configuration; replaced only on the event loop, read by any thread. */
    private final AtomicReference<SidecarConfiguration> configuration;

    private final SidecarClock clock = new SidecarClock();
    private final InFlightRequests inFlight = new InFlightRequests();
    private final SidecarLifecycle lifecycle = new SidecarLifecycle();
    private final RequestAdmission admission;
    private final Discovery discovery;
    private final ClientListener clients;
    private final Layout layout;
    private final EndpointListFeed feed;
    private final ConfigurationReloader reloader;
    private final AdminCommandHandler adminCommands;
    private final long startedMillis = System.currentTimeMillis();
    /** Null if the process belongs to no fleet. */
    private FleetParticipation participation;

    Sidecar(EventLoop loop, SidecarConfiguration configuration, PrintStream log) {
        this(loop, configuration, log, SubsetLoadBalancer::new);
    }

    /** Uses the given load balancer. */
    Sidecar(
            EventLoop loop,
            SidecarConfiguration configuration,
            PrintStream log,
            BiFunction<Settings, Actions, LoadBalancer> loadBalancers) {
        this(loop, configuration, log, loadBalancers, SinglePoolLayout::new);
    }

    /** Uses the given load balancer and layout. */
    Sidecar(
            EventLoop loop,
            SidecarConfiguration initial,
            PrintStream log,
            BiFunction<Settings, Actions, LoadBalancer> loadBalancers,
            Layout.Factory layouts) {
        this.loop = loop;
        this.log = log;
        configuration = new AtomicReference<>(initial);
        RequestReader reader = new RequestReader(initial.settings());
        admission = new RequestAdmission(clock, configuration, lifecycle, inFlight, reader, this::log);
        discovery = new Discovery(
                loop,
                initial.discovery(),
                initial.listReader(),
                initial.initialServers().revision(),
                this,
                this::log);
        clients = new ClientListener(loop, admission, initial.clientConnections(), this::log);
        var shared = new Pool.Shared(loop, clock, inFlight, discovery::subscribe, this::log);
        layout = layouts.create(new Layout.Context(
                initial,
                shared,
                loadBalancers,
                reader,
                clients,
                pace -> discovery.setPollSchedule(clock, pace),
                new FleetShare()));
        admission.setLayout(layout);
        feed = new EndpointListFeed(loop, layout);
        reloader = new ConfigurationReloader(loop, configuration, layout, reader, inFlight, discovery, this, log);
        inFlight.metrics().addClasses(initial.classNames());
        adminCommands = new AdminCommandHandler(lifecycle, inFlight.metrics(), new DiscoveredServers(), layout::ready);
    }

    /**
     * This process's share of the fleet's limits; a process outside a fleet has a share of 0 and a member count of 1.
     */
    private final class FleetShare implements Layout.FleetPortion {
        @Override
        public double fraction() {
            return participation == null ? 0 : participation.fraction();
        }

        @Override
        public int processCount() {
            return participation == null ? 1 : participation.processCount();
        }
    }

    /** All pools that use discovery know the same servers, so the largest count is the count for all of them. */
    private final class DiscoveredServers implements SidecarMetrics.Fleet {
        @Override
        public int listedServers() {
            return layout.discoveredClusters().stream()
                    .mapToInt(Cluster::listedServers)
                    .max()
                    .orElse(0);
        }

        @Override
        public int avoidedServers() {
            return layout.discoveredClusters().stream()
                    .mapToInt(Cluster::avoidedServers)
                    .max()
                    .orElse(0);
        }
    }

    /**
     * Joins a fleet; see {@link FleetParticipation#join}.
     *
     * @return completes once the fleet socket is open; fails if it cannot be opened
     */
    CompletableFuture<Void> join(
            FleetCoordination.Factory maker,
            MembershipOptions options,
            boolean socketMayBeHeld,
            Consumer<String> rejected) {
        var lists = new PeerEndpointLists(clock, configuration.get(), layout, feed, discovery, this::log);
        participation =
                new FleetParticipation(loop, configuration, lifecycle, inFlight, lists, this::log, startedMillis);
        return participation
                .join(maker, options, socketMayBeHeld, rejected, this::shareChanged)
                .thenAccept(joined ->
                        adminCommands.setFleetStatus(joined::membersJson, joined::leasesStatus, joined::leaseStatus));
    }

    private void shareChanged() {
        layout.fleetPortionChanged();
        discovery.reschedule();
    }

    /** Passes the initial endpoint lists to the load balancers. */
    void open() {
        layout.open();
        if (participation != null) {
            participation.lists().open();
        }
    }

    /** Opens the admin listener, which also answers before the client listeners are open. */
    CompletableFuture<AdminListener> openAdminListener(InetSocketAddress address) {
        return CompletableFuture.supplyAsync(
                        () -> {
                            AdminListener admin = new AdminListener(loop, this::execute);
                            return admin.listen(address).thenApply(open -> admin);
                        },
                        loop)
                .thenCompose(open -> open);
    }

    /** Executes one admin command on the event loop; its changes are in effect when the response is sent. */
    private String execute(String line) {
        String answer = adminCommands.answer(line);
        applyLifecycle();
        return answer;
    }

    private void applyLifecycle() {
        if (lifecycle.isDraining()) {
            clients.drain();
        } else {
            clients.undrain();
        }
        if (participation != null) {
            participation.publishFacts();
        }
    }

    /**
     * Passes the initial endpoint lists to the load balancers and opens the client listeners; completes with the
     * listening address once clients can connect.
     */
    CompletableFuture<InetSocketAddress> start() {
        // Waits for the peers' list: with an outdated list, requests could go to a server that the peers know is gone.
        CompletableFuture<Void> peerList =
                participation == null ? CompletableFuture.completedFuture(null) : participation.firstList();
        return peerList.thenApplyAsync(v -> listen(), loop)
                .thenCompose(address -> address)
                .thenApplyAsync(this::opened, loop);
    }

    private CompletableFuture<InetSocketAddress> listen() {
        open();
        if (!configuration.get().settings().discoveryOnAsk()
                && !layout.discoveredClusters().isEmpty()) {
            // A discovery agent holds pushed lists and answers a watch; the load balancer itself requests none in this
            // mode.
            discovery.subscribe();
        }
        return layout.listen();
    }

    private InetSocketAddress opened(InetSocketAddress address) {
        lifecycle.handle(SidecarLifecycle.Event.OPENED);
        if (participation != null) {
            participation.setClientAddress(address);
        }
        applyLifecycle();
        return address;
    }

    /** Makes the next client listener use this socket, which another process listens on too. */
    void inherit(ServerSocketChannel listening) {
        clients.inherit(listening);
    }

    /** Raises the connection limits once the process that ran beside this one has ended. */
    void raiseConnectionLimits(SidecarConfiguration wider) {
        log("alone now, with " + wider.clientConnections() + " connections of clients");
        clients.setMaxConnections(wider.clientConnections());
        layout.raiseLimits(wider);
    }

    /** See {@link ConfigurationReloader#reload}. */
    CompletableFuture<Void> reload(Map<String, String> environment) {
        return reloader.reload(environment);
    }

    ConfigurationReloader reloader() {
        return reloader;
    }

    RequestAdmission admission() {
        return admission;
    }

    /** Number of servers known to the pools that use discovery. */
    int knownServers() {
        return layout.discoveredClusters().stream()
                .mapToInt(Cluster::knownServers)
                .max()
                .orElse(0);
    }

    /** Bytes not yet written to client and server sockets. */
    long pendingWriteBytes() {
        return clients.pendingWriteBytes() + layout.waitingBytes();
    }

    /** Buffer space that large requests occupy or have reserved, in bytes. */
    long largeRequestBytes() {
        return clients.largeRequests().used();
    }

    /** Completes all requests in flight, then stops and runs the callback; later calls have no effect. */
    void stop(Runnable ended) {
        if (!lifecycle.handle(SidecarLifecycle.Event.TERMINATE)) {
            return;
        }
        if (participation != null) {
            participation.leave();
        }
        layout.stopping();
        clients.end(() -> {
            discovery.close();
            layout.close();
            ended.run();
        });
    }

    @Override
    public void listReceived(ServerList list) {
        if (participation != null) {
            participation.lists().discoveryUpdated(list.revision());
        }
        feed.apply(list);
    }

    @Override
    public void failed(String reason) {
        feed.failed();
    }

    @Override
    public void reloading(Layout.Change change) {
        if (participation != null && change.membership() != null) {
            participation.reconfigure(change.membership());
        }
    }

    private void log(String line) {
        log.println(configuration.get().name() + " " + line);
    }
}
