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
 * A sidecar: client listeners, server pools and discovery, put together by a {@link Layout}.
 *
 * <p>All of it runs on one event loop, and it is made there. Life cycle: constructor, {@link #join} where it is in
 * a fleet, {@link #openAdminListener}, {@link #start}, {@link #stop}. {@link #start} and {@link #reload} are called
 * by other threads. {@link SidecarProcess} is the process around it.
 */
public final class Sidecar implements Discovery.Listener, ConfigurationReloader.Listener {

    private final EventLoop loop;
    private final PrintStream log;
    /** In force; replaced on the event loop only, read by any thread. */
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
    /** Null where the process is in no fleet. */
    private FleetParticipation participation;

    Sidecar(EventLoop loop, SidecarConfiguration configuration, PrintStream log) {
        this(loop, configuration, log, SubsetLoadBalancer::new);
    }

    /** With another load balancer. */
    Sidecar(
            EventLoop loop,
            SidecarConfiguration configuration,
            PrintStream log,
            BiFunction<Settings, Actions, LoadBalancer> loadBalancers) {
        this(loop, configuration, log, loadBalancers, PlainLayout::new);
    }

    /** With another layout. */
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
                loop, initial.discovery(), initial.lists(), initial.known().revision(), this, this::log);
        clients = new ClientListener(loop, admission, initial.clientConnections(), this::log);
        var shared = new Pool.Shared(loop, clock, inFlight, discovery::subscribe, this::log);
        layout = layouts.create(new Layout.Parts(
                initial,
                shared,
                loadBalancers,
                reader,
                clients,
                pace -> discovery.pace(clock, pace),
                new ShareOfFleet()));
        admission.setLayout(layout);
        feed = new EndpointListFeed(loop, layout);
        reloader = new ConfigurationReloader(loop, configuration, layout, reader, inFlight, discovery, this, log);
        inFlight.figures().show(initial.classNames());
        adminCommands = new AdminCommandHandler(lifecycle, inFlight.figures(), new DiscoveredServers(), layout::ready);
    }

    /** The share of the fleet's limits; a process in no fleet has none of them. */
    private final class ShareOfFleet implements Layout.Portion {
        @Override
        public double part() {
            return participation == null ? 0 : participation.part();
        }

        @Override
        public int count() {
            return participation == null ? 1 : participation.count();
        }
    }

    /** Pools with discovery know the same servers, so the largest count holds for all. */
    private final class DiscoveredServers implements SidecarMetrics.Fleet {
        @Override
        public int listed() {
            return layout.discovered().stream().mapToInt(Cluster::listed).max().orElse(0);
        }

        @Override
        public int avoided() {
            return layout.discovered().stream().mapToInt(Cluster::avoided).max().orElse(0);
        }
    }

    /**
     * Joins a fleet; see {@link FleetParticipation#join}.
     *
     * @return done once its socket is open; it fails where that can't be
     */
    CompletableFuture<Void> join(
            FleetCoordination.Maker maker, MembershipOptions options, boolean beside, Consumer<String> rejected) {
        var lists = new PeerEndpointLists(clock, configuration.get(), layout, feed, discovery, this::log);
        participation =
                new FleetParticipation(loop, configuration, lifecycle, inFlight, lists, this::log, startedMillis);
        return participation
                .join(maker, options, beside, rejected, this::shareChanged)
                .thenAccept(joined -> adminCommands.tell(joined::members, joined::leases, joined::lease));
    }

    private void shareChanged() {
        layout.portioned();
        discovery.repace();
    }

    /** Hands the load balancers their first lists. */
    void open() {
        layout.open();
        if (participation != null) {
            participation.lists().open();
        }
    }

    /** Opens the admin listener, which answers also while nothing else is open. */
    CompletableFuture<AdminListener> openAdminListener(InetSocketAddress address) {
        return CompletableFuture.supplyAsync(
                        () -> {
                            AdminListener admin = new AdminListener(loop, this::execute);
                            return admin.listen(address).thenApply(open -> admin);
                        },
                        loop)
                .thenCompose(open -> open);
    }

    /** Executes one line of an operator, on the loop; what it changes holds when the answer goes out. */
    private String execute(String line) {
        String answer = adminCommands.answer(line);
        applyLifecycle();
        return answer;
    }

    private void applyLifecycle() {
        if (lifecycle.drains()) {
            clients.drain();
        } else {
            clients.undrain();
        }
        if (participation != null) {
            participation.publishFacts();
        }
    }

    /** Hands out the first lists and opens the client listeners; gives an address once clients can connect. */
    CompletableFuture<InetSocketAddress> start() {
        // With an old list, requests could go to a server that the peers know is gone.
        CompletableFuture<Void> peerList =
                participation == null ? CompletableFuture.completedFuture(null) : participation.firstList();
        return peerList.thenApplyAsync(v -> listen(), loop)
                .thenCompose(address -> address)
                .thenApplyAsync(this::opened, loop);
    }

    private CompletableFuture<InetSocketAddress> listen() {
        open();
        if (!configuration.get().settings().discoveryOnAsk()
                && !layout.discovered().isEmpty()) {
            // Pushed lists wait at an agent, which answers a watch; the load balancer asks for nothing then.
            discovery.subscribe();
        }
        return layout.listen();
    }

    private InetSocketAddress opened(InetSocketAddress address) {
        lifecycle.on(SidecarLifecycle.Event.OPENED);
        if (participation != null) {
            participation.setClientAddress(address);
        }
        applyLifecycle();
        return address;
    }

    /** The next client listener uses this socket, which is another process's too. */
    void inherit(ServerSocketChannel listening) {
        clients.inherit(listening);
    }

    /** The process that ran beside this one has ended, so more connections are allowed. */
    void widen(SidecarConfiguration wider) {
        log("alone now, with " + wider.clientConnections() + " connections of clients");
        clients.bound(wider.clientConnections());
        layout.widen(wider);
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

    /** Servers that some pool with discovery knows. */
    int knownServers() {
        return layout.discovered().stream()
                .mapToInt(Cluster::knownServers)
                .max()
                .orElse(0);
    }

    /** Bytes that wait to be written to clients and servers. */
    long waitingBytes() {
        return clients.waitingBytes() + layout.waitingBytes();
    }

    /** Bytes of large requests that are kept or have room. */
    long keptBytes() {
        return clients.uploads().used();
    }

    /** Answers all requests in flight, then ends; a second call does nothing. */
    void stop(Runnable ended) {
        if (!lifecycle.on(SidecarLifecycle.Event.TERMINATE)) {
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
    public void listed(ServerList list) {
        if (participation != null) {
            participation.lists().discovered(list.revision());
        }
        feed.take(list);
    }

    @Override
    public void failed(String reason) {
        feed.failed();
    }

    @Override
    public void reloading(Layout.Change change) {
        if (participation != null && change.membership() != null) {
            participation.retune(change.membership());
        }
    }

    private void log(String line) {
        log.println(configuration.get().name() + " " + line);
    }
}
