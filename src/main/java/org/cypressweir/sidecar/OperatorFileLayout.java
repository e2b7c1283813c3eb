package org.cypressweir.sidecar;

import io.netty.handler.codec.http.FullHttpRequest;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.cypressweir.fleet.membership.MembershipOptions;
import org.cypressweir.loadbalancing.LoadBalancer.ListKind;
import org.cypressweir.loadbalancing.LoadBalancer.Server;
import org.cypressweir.loadbalancing.LoadBalancer.Settings;
import org.cypressweir.sidecar.fleetlimits.FleetLimits;
import org.cypressweir.sidecar.fleetlimits.ProbeBudget;
import org.cypressweir.sidecar.fleetlimits.SharedPollPacer;
import org.cypressweir.sidecar.fleetlimits.SlottedPollPacer;
import org.cypressweir.sidecar.operatorconfig.InvalidFileException;
import org.cypressweir.sidecar.operatorconfig.Operators;
import org.cypressweir.sidecar.plugin.InvalidPluginException;
import org.cypressweir.sidecar.plugin.RequestView;
import org.cypressweir.sidecar.route.Listener;
import org.cypressweir.sidecar.route.PoolConfiguration;
import org.cypressweir.sidecar.route.RoutingConfiguration;
import org.cypressweir.sidecar.route.StaticServer;
import org.cypressweir.sidecar.websocket.UpgradeAccount;

/** The layout that an operators' file describes: its addresses, its routes, and its pools with a load balancer each. */
final class OperatorFileLayout implements Layout {

    /** No call of a plug-in may take longer, so replaced plug-ins are closed after this time. */
    private static final long PLUGIN_GRACE_MICROS = 2_000_000;

    private final Context context;
    private final Path file;
    private final Map<String, ManagedCluster> pools = new LinkedHashMap<>();
    /** Clusters of an earlier file whose last requests are still in flight. */
    private final Set<Cluster> retiring = new HashSet<>();
    /** By the address in the file, whose port may be 0. */
    private final Map<InetSocketAddress, ClientListener.ListeningSocket> listeningSockets = new LinkedHashMap<>();

    private RoutingConfiguration routingConfiguration;
    /** The classes and limits in effect. */
    private SidecarConfiguration config;
    /** The limits by which discovery is polled; null for a watch. */
    private FleetLimits polledLimits;
    /** The number of sharing processes as last told to the load balancers; 0 for not yet. */
    private int appliedInstanceCount;

    private OperatorFileRouting routing;
    /** Created once a route has WebSockets, and kept from then on. */
    private WebSocketUpgrades upgrades;

    private record ManagedCluster(Cluster cluster, boolean discovered) {}

    /** Null where there are none. */
    private PluginChain plugins;

    private OperatorFileLayout(Context context, Path file, RoutingConfiguration plan, PluginChain plugins) {
        this.context = context;
        config = context.config();
        this.plugins = plugins;
        if (plugins != null) {
            plugins.attach(context.shared());
        }
        this.file = file;
        this.routingConfiguration = plan;
        plan.pools().forEach(p -> pools.put(p.name(), create(p)));
        routing = createRouting(plan);
        applyFleetLimits(plan.fleet());
    }

    /** Applies the limits that all instances share. A polling schedule that stays the same keeps its slots. */
    private void applyFleetLimits(FleetLimits fleet) {
        Cluster.FleetShare share = fleet == null ? null : new InstanceShare(fleet, context.fleetPortion());
        pools.values().forEach(m -> m.cluster().setFleetShare(share));
        if (fleet == null || fleet.pollIntervalMicros() == 0) {
            if (polledLimits != null) {
                context.pollScheduleConsumer().accept(null);
            }
            polledLimits = null;
        } else if (!fleet.equals(polledLimits)) {
            polledLimits = fleet;
            context.pollScheduleConsumer()
                    .accept(fleet.followsLiveInstances() ? dynamicPollSchedule(fleet) : fixedPollSchedule(fleet));
        }
    }

    private static Discovery.PollSchedule fixedPollSchedule(FleetLimits fleet) {
        SlottedPollPacer pacer = new SlottedPollPacer(fleet);
        return new Discovery.PollSchedule() {
            @Override
            public long nextPollMicros(long nowMicros) {
                return pacer.next(nowMicros);
            }

            @Override
            public long timeoutMicros() {
                return pacer.timeoutMicros();
            }
        };
    }

    private Discovery.PollSchedule dynamicPollSchedule(FleetLimits fleet) {
        SharedPollPacer pacer = new SharedPollPacer(
                fleet.listRate(), ThreadLocalRandom.current().nextDouble());
        FleetPortion portion = context.fleetPortion();
        return new Discovery.PollSchedule() {
            @Override
            public long nextPollMicros(long nowMicros) {
                return pacer.next(nowMicros, portion.fraction());
            }

            @Override
            public long timeoutMicros() {
                return pacer.timeoutMicros();
            }
        };
    }

    /** A smaller share closes idle connections at once; probes and polls look up the share each time. */
    @Override
    public void fleetPortionChanged() {
        if (routingConfiguration.fleet() == null
                || !routingConfiguration.fleet().followsLiveInstances()) {
            return;
        }
        pools.values().forEach(m -> m.cluster().closeSurplusIdle());
        if (context.fleetPortion().processCount() != appliedInstanceCount) {
            appliedInstanceCount = context.fleetPortion().processCount();
            pools.values().forEach(m -> m.cluster().setInstanceCount(appliedInstanceCount));
        }
    }

    private int instances(FleetLimits fleet) {
        return fleet.followsLiveInstances() && appliedInstanceCount > 0 ? appliedInstanceCount : fleet.instances();
    }

    /** This instance's share of the limits that all instances have together. */
    private static final class InstanceShare implements Cluster.FleetShare {
        private final FleetLimits fleet;
        private final ProbeBudget probes;

        private final FleetPortion portion;

        InstanceShare(FleetLimits fleet, FleetPortion portion) {
            this.fleet = fleet;
            this.portion = portion;
            probes = new ProbeBudget(fleet);
        }

        @Override
        public int maxIdleConnections(int servers) {
            return fleet.followsLiveInstances()
                    ? fleet.maxIdleConnections(servers, portion.fraction())
                    : fleet.maxIdleConnections(servers);
        }

        @Override
        public boolean tryAcquireProbe(long nowMicros, int servers) {
            return fleet.followsLiveInstances()
                    ? probes.trySpend(nowMicros, servers, portion.fraction())
                    : probes.trySpend(nowMicros, servers);
        }
    }

    /** Reads the file; the layout is created later, on the event loop. */
    static StartupPlan load(Path file, SidecarConfiguration config) throws IOException {
        RoutingConfiguration plan = loadRouting(file, config);
        PluginChain plugins = startPlugins(file, plan, null);
        return new StartupPlan(
                context -> new OperatorFileLayout(context, file, plan, plugins),
                plan.listeners().get(0).address(),
                plan.membership());
    }

    private static RoutingConfiguration loadRouting(Path file, SidecarConfiguration config) throws IOException {
        try {
            return Operators.load(file, config.facts()).configuration();
        } catch (InvalidFileException e) {
            throw new OperatorFileRejectedException(e);
        }
    }

    private ManagedCluster create(PoolConfiguration p) {
        Cluster made =
                p.cells() == null ? pool(p) : new CellCluster(context.shared(), config.settings(), p, this::pool);
        return new ManagedCluster(made, p.discovered());
    }

    private Pool pool(PoolConfiguration p) {
        FleetLimits fleet = routingConfiguration.fleet();
        Settings known = fleet == null ? config.settings() : config.settings().withReplicas(instances(fleet));
        Settings settings = known.with(
                config.settings().limits().with(p.maxRequests(), p.maxQueued(), p.maxConnections()),
                p.discovered() && config.settings().discoveryOnAsk());
        return new Pool(
                context.shared(), config, settings, p.maxConnections(), p.tunnels(), context.loadBalancerFactory());
    }

    private OperatorFileRouting createRouting(RoutingConfiguration next) {
        Map<String, Cluster> byName = new LinkedHashMap<>();
        pools.forEach((name, managed) -> byName.put(name, managed.cluster()));
        if (next.webSockets() && upgrades == null) {
            upgrades = new WebSocketUpgrades(
                    context.shared().loop(),
                    context.shared().clock(),
                    context.config().settings().seed(),
                    context.config().clientConnections() / 2);
        }
        return new OperatorFileRouting(next.router(), byName, next.webSockets() ? upgrades : null);
    }

    /** Starts plug-ins that are new and keeps unchanged ones; returns null if the file has none. */
    private static PluginChain startPlugins(Path file, RoutingConfiguration next, PluginChain before)
            throws IOException {
        try {
            return next.plugins().isEmpty() ? null : PluginChain.of(next.plugins(), before);
        } catch (InvalidPluginException e) {
            throw new OperatorFileRejectedException(new IOException(file + ":" + e.getMessage(), e));
        }
    }

    @Override
    public PluginChain plugins() {
        return plugins;
    }

    @Override
    public RequestView view(FullHttpRequest http) throws RequestReader.BadRequest {
        return routing.view(http, config.settings().classes());
    }

    @Override
    public boolean supportsUpgrades() {
        return routingConfiguration.webSockets();
    }

    @Override
    public void stopping() {
        if (upgrades != null) {
            upgrades.stopping();
        }
    }

    /** The counters of upgrades; null where no route has ever accepted any. */
    UpgradeAccount.Counters counters() {
        return upgrades == null ? null : upgrades.counters();
    }

    /** Number of tunnels that have been moved to another server. */
    long movedTunnels() {
        return upgrades == null ? 0 : upgrades.movedTunnels();
    }

    @Override
    public void open() {
        routingConfiguration
                .pools()
                .forEach(p -> sendFirstList(
                        p, pools.get(p.name()).cluster(), context.config().initialServers()));
    }

    private void sendFirstList(PoolConfiguration p, Cluster pool, ServerList known) {
        if (p.discovered()) {
            pool.updateServers(ListKind.CACHED, known);
        } else {
            pool.updateServers(ListKind.COMPLETE, staticServers(p));
        }
    }

    private ServerList staticServers(PoolConfiguration p) {
        ServerList.Reader lists = context.config().listReader();
        List<ServerList.Entry> entries = new ArrayList<>();
        for (StaticServer s : p.servers()) {
            Server line = s.toServer(lists.zones(), lists.models());
            entries.add(new ServerList.Entry(line, s.endpoint()));
        }
        return new ServerList(0, true, entries);
    }

    @Override
    public CompletableFuture<InetSocketAddress> listen() {
        return openSockets(routingConfiguration.listeners()).thenApply(opened -> {
            listeningSockets.putAll(opened);
            return listeningSockets.values().iterator().next().address();
        });
    }

    /** Opens all of these sockets, or none. */
    private CompletableFuture<Map<InetSocketAddress, ClientListener.ListeningSocket>> openSockets(
            List<Listener> listeners) {
        Map<InetSocketAddress, CompletableFuture<ClientListener.ListeningSocket>> opening = new LinkedHashMap<>();
        listeners.forEach(l -> opening.put(l.address(), context.clientListener().listen(l.address())));
        return CompletableFuture.allOf(opening.values().toArray(CompletableFuture[]::new))
                .handle((v, e) -> {
                    Map<InetSocketAddress, ClientListener.ListeningSocket> opened = new LinkedHashMap<>();
                    opening.forEach((address, socket) -> {
                        if (!socket.isCompletedExceptionally()) {
                            opened.put(address, socket.join());
                        }
                    });
                    if (e != null) {
                        opened.values()
                                .forEach(socket -> context.clientListener().end(socket, () -> {}));
                        throw new IllegalStateException(
                                "can't listen: " + e.getCause().getMessage(), e);
                    }
                    return opened;
                });
    }

    @Override
    public RouteDecision route(FullHttpRequest http) throws RequestReader.BadRequest {
        return routing.route(http);
    }

    @Override
    public boolean ready() {
        return pools.values().stream().anyMatch(m -> m.cluster().ready());
    }

    @Override
    public long waitingBytes() {
        return pools.values().stream()
                .mapToLong(m -> m.cluster().waitingBytes())
                .sum();
    }

    @Override
    public Collection<Cluster> discoveredClusters() {
        return pools.values().stream()
                .filter(ManagedCluster::discovered)
                .map(ManagedCluster::cluster)
                .toList();
    }

    @Override
    public Change reload(SidecarConfiguration nextConfig) throws IOException {
        RoutingConfiguration next = loadRouting(file, nextConfig);
        PluginChain before = plugins;
        PluginChain chain = startPlugins(file, next, before);
        return new Change() {
            @Override
            public CompletableFuture<Void> apply() {
                return OperatorFileLayout.this
                        .apply(next, nextConfig)
                        .thenRun(() -> replacePlugins(before, chain))
                        .whenComplete((v, e) -> {
                            if (e != null && chain != null) {
                                chain.closeAllExcept(before);
                            }
                        });
            }

            @Override
            public MembershipOptions membership() {
                return next.membership();
            }
        };
    }

    /** Opens the new sockets first, because only they can fail; the rest is applied in one task of the event loop. */
    private CompletableFuture<Void> apply(RoutingConfiguration next, SidecarConfiguration nextConfig) {
        List<Listener> missing = next.listeners().stream()
                .filter(l -> !listeningSockets.containsKey(l.address()))
                .toList();
        return openSockets(missing).thenAccept(opened -> {
            listeningSockets.putAll(opened);
            activate(next, nextConfig);
        });
    }

    private void activate(RoutingConfiguration next, SidecarConfiguration nextConfig) {
        config = nextConfig;
        ServerList known = discoveredClusters().stream()
                .findFirst()
                .map(Cluster::serverList)
                .orElse(context.config().initialServers());
        Map<String, ManagedCluster> before = new LinkedHashMap<>(pools);
        routingConfiguration = next;
        pools.clear();
        for (PoolConfiguration p : next.pools()) {
            ManagedCluster managed = before.get(p.name());
            if (managed != null
                    && managed.discovered() == p.discovered()
                    && managed.cluster().isCompatibleWith(p)) {
                before.remove(p.name());
                pools.put(p.name(), managed);
                managed.cluster().updateSettings(config.settings());
                managed.cluster().applyLimits(p);
                if (!p.discovered()) {
                    managed.cluster().updateServers(ListKind.COMPLETE, staticServers(p));
                }
            } else {
                pools.put(p.name(), create(p));
                sendFirstList(p, pools.get(p.name()).cluster(), known);
            }
        }
        routing = createRouting(next);
        applyFleetLimits(next.fleet());
        before.values().forEach(managed -> managed.cluster().updateSettings(config.settings()));
        before.values().forEach(managed -> retire(managed.cluster()));
        Set<InetSocketAddress> kept = new HashSet<>();
        next.listeners().forEach(l -> kept.add(l.address()));
        for (InetSocketAddress address : List.copyOf(listeningSockets.keySet())) {
            if (!kept.contains(address)) {
                context.clientListener().end(listeningSockets.remove(address), () -> {});
            }
        }
    }

    /** Calls that the replaced plug-ins have already received may still complete. */
    private void replacePlugins(PluginChain before, PluginChain chain) {
        plugins = chain;
        if (chain != null) {
            chain.attach(context.shared());
        }
        if (before != null) {
            context.shared()
                    .loop()
                    .schedule(() -> before.closeAllExcept(chain), PLUGIN_GRACE_MICROS, TimeUnit.MICROSECONDS);
        }
    }

    /** Retires a cluster once the drain grace is over, within which requests that it has accepted may still be sent. */
    private void retire(Cluster pool) {
        retiring.add(pool);
        context.shared()
                .loop()
                .schedule(
                        () -> pool.retire(() -> retiring.remove(pool)),
                        config.drainGraceMicros(),
                        TimeUnit.MICROSECONDS);
    }

    @Override
    public void close() {
        pools.values().forEach(m -> m.cluster().close());
        retiring.forEach(Cluster::close);
        if (plugins != null) {
            plugins.closeAllExcept(null);
        }
    }
}
