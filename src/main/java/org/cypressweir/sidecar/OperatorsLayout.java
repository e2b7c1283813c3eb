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

/** What an operators' file says: its addresses, its routes, and a pool with a module of its own for each. */
final class OperatorsLayout implements Layout {

    /** No call of a plug-in may take longer. */
    private static final long PLUGIN_GRACE_MICROS = 2_000_000;

    private final Parts parts;
    private final Path file;
    private final Map<String, Member> pools = new LinkedHashMap<>();
    /** Pools of an earlier file whose last requests are still in hand. */
    private final Set<Cluster> going = new HashSet<>();
    /** By the address as the file has it, whose port may be 0. */
    private final Map<InetSocketAddress, ClientListener.ListeningSocket> doors = new LinkedHashMap<>();

    private RoutingConfiguration plan;
    /** The classes and limits that hold now. */
    private SidecarConfiguration config;
    /** At whose pace discovery is asked; null for a watch. */
    private FleetLimits paced;
    /** Processes that share, as the modules were told; 0 for not yet. */
    private int counted;

    private OperatorsRouting routing;
    /** Made once a route has WebSockets, and kept from then on. */
    private WebSocketUpgrades upgrades;

    private record Member(Cluster cluster, boolean discovered) {}

    /** Null where there are none. */
    private PluginChain plugins;

    private OperatorsLayout(Parts parts, Path file, RoutingConfiguration plan, PluginChain plugins) {
        this.parts = parts;
        config = parts.config();
        this.plugins = plugins;
        if (plugins != null) {
            plugins.attach(parts.shared());
        }
        this.file = file;
        this.plan = plan;
        plan.pools().forEach(p -> pools.put(p.name(), create(p)));
        routing = route(plan);
        share(plan.fleet());
    }

    /** What all instances share; a pace that stays the same keeps its place. */
    private void share(FleetLimits fleet) {
        Cluster.Shares shares = fleet == null ? null : new Part(fleet, parts.portion());
        pools.values().forEach(m -> m.cluster().share(shares));
        if (fleet == null || fleet.askEveryMicros() == 0) {
            if (paced != null) {
                parts.pace().accept(null);
            }
            paced = null;
        } else if (!fleet.equals(paced)) {
            paced = fleet;
            parts.pace().accept(fleet.living() ? livingPace(fleet) : fixedPace(fleet));
        }
    }

    private static Discovery.Pace fixedPace(FleetLimits fleet) {
        SlottedPollPacer pacer = new SlottedPollPacer(fleet);
        return new Discovery.Pace() {
            @Override
            public long next(long nowMicros) {
                return pacer.next(nowMicros);
            }

            @Override
            public long patienceMicros() {
                return pacer.patienceMicros();
            }
        };
    }

    private Discovery.Pace livingPace(FleetLimits fleet) {
        SharedPollPacer pacer = new SharedPollPacer(
                fleet.listRate(), ThreadLocalRandom.current().nextDouble());
        Portion portion = parts.portion();
        return new Discovery.Pace() {
            @Override
            public long next(long nowMicros) {
                return pacer.next(nowMicros, portion.part());
            }

            @Override
            public long patienceMicros() {
                return pacer.patienceMicros();
            }
        };
    }

    /** Bounds that shrink act at once on what is idle already; uses ask for themselves. */
    @Override
    public void portioned() {
        if (plan.fleet() == null || !plan.fleet().living()) {
            return;
        }
        pools.values().forEach(m -> m.cluster().trim());
        if (parts.portion().count() != counted) {
            counted = parts.portion().count();
            pools.values().forEach(m -> m.cluster().among(counted));
        }
    }

    private int instances(FleetLimits fleet) {
        return fleet.living() && counted > 0 ? counted : fleet.instances();
    }

    /** This instance's part of what all may do. */
    private static final class Part implements Cluster.Shares {
        private final FleetLimits fleet;
        private final ProbeBudget probes;

        private final Portion portion;

        Part(FleetLimits fleet, Portion portion) {
            this.fleet = fleet;
            this.portion = portion;
            probes = new ProbeBudget(fleet);
        }

        @Override
        public int idle(int servers) {
            return fleet.living() ? fleet.idle(servers, portion.part()) : fleet.idle(servers);
        }

        @Override
        public boolean probe(long nowMicros, int servers) {
            return fleet.living() ? probes.spend(nowMicros, servers, portion.part()) : probes.spend(nowMicros, servers);
        }
    }

    /** Reads the file; the layout is made later, on the loop. */
    static StartupPlan of(Path file, SidecarConfiguration config) throws IOException {
        RoutingConfiguration plan = read(file, config);
        PluginChain plugins = chain(file, plan, null);
        return new StartupPlan(
                parts -> new OperatorsLayout(parts, file, plan, plugins),
                plan.listeners().get(0).address(),
                plan.membership());
    }

    private static RoutingConfiguration read(Path file, SidecarConfiguration config) throws IOException {
        try {
            return Operators.load(file, config.facts()).plan();
        } catch (InvalidFileException e) {
            throw new OperatorsRejected(e);
        }
    }

    private Member create(PoolConfiguration p) {
        Cluster made = p.cells() == null ? pool(p) : new CelledPool(parts.shared(), config.settings(), p, this::pool);
        return new Member(made, p.discovered());
    }

    private Pool pool(PoolConfiguration p) {
        FleetLimits fleet = plan.fleet();
        Settings known = fleet == null ? config.settings() : config.settings().among(instances(fleet));
        Settings settings = known.with(
                config.settings().limits().with(p.requests(), p.queue(), p.connections()),
                p.discovered() && config.settings().discoveryOnAsk());
        return new Pool(parts.shared(), config, settings, p.connections(), p.tunnels(), parts.modules());
    }

    private OperatorsRouting route(RoutingConfiguration next) {
        Map<String, Cluster> byName = new LinkedHashMap<>();
        pools.forEach((name, member) -> byName.put(name, member.cluster()));
        if (next.webSockets() && upgrades == null) {
            upgrades = new WebSocketUpgrades(
                    parts.shared().loop(),
                    parts.shared().clock(),
                    parts.config().settings().seed(),
                    parts.config().clientConnections() / 2);
        }
        return new OperatorsRouting(next.router(), byName, next.webSockets() ? upgrades : null);
    }

    /** Starts what is new; null for no plug-ins. */
    private static PluginChain chain(Path file, RoutingConfiguration next, PluginChain before) throws IOException {
        try {
            return next.plugins().isEmpty() ? null : PluginChain.of(next.plugins(), before);
        } catch (InvalidPluginException e) {
            throw new OperatorsRejected(new IOException(file + ":" + e.getMessage(), e));
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
    public boolean upgrades() {
        return plan.webSockets();
    }

    @Override
    public void stopping() {
        if (upgrades != null) {
            upgrades.stopping();
        }
    }

    /** What has been counted of upgrades; null where no route ever had any. */
    UpgradeAccount.Counters counters() {
        return upgrades == null ? null : upgrades.counters();
    }

    /** Tunnels that have gone on at another server. */
    long movedTunnels() {
        return upgrades == null ? 0 : upgrades.moved();
    }

    @Override
    public void open() {
        plan.pools()
                .forEach(p ->
                        begin(p, pools.get(p.name()).cluster(), parts.config().known()));
    }

    private void begin(PoolConfiguration p, Cluster pool, ServerList known) {
        if (p.discovered()) {
            pool.listed(ListKind.CACHED, known);
        } else {
            pool.listed(ListKind.COMPLETE, list(p));
        }
    }

    private ServerList list(PoolConfiguration p) {
        ServerList.Reader lists = parts.config().lists();
        List<ServerList.Entry> entries = new ArrayList<>();
        for (StaticServer s : p.servers()) {
            Server line = s.line(lists.zones(), lists.models());
            entries.add(new ServerList.Entry(line, s.endpoint()));
        }
        return new ServerList(0, true, entries);
    }

    @Override
    public CompletableFuture<InetSocketAddress> listen() {
        return doors(plan.listeners()).thenApply(opened -> {
            doors.putAll(opened);
            return doors.values().iterator().next().address();
        });
    }

    /** Opens all of these doors or none. */
    private CompletableFuture<Map<InetSocketAddress, ClientListener.ListeningSocket>> doors(List<Listener> listeners) {
        Map<InetSocketAddress, CompletableFuture<ClientListener.ListeningSocket>> opening = new LinkedHashMap<>();
        listeners.forEach(l -> opening.put(l.address(), parts.clients().listen(l.address())));
        return CompletableFuture.allOf(opening.values().toArray(CompletableFuture[]::new))
                .handle((v, e) -> {
                    Map<InetSocketAddress, ClientListener.ListeningSocket> opened = new LinkedHashMap<>();
                    opening.forEach((address, door) -> {
                        if (!door.isCompletedExceptionally()) {
                            opened.put(address, door.join());
                        }
                    });
                    if (e != null) {
                        opened.values().forEach(door -> parts.clients().end(door, () -> {}));
                        throw new IllegalStateException(
                                "can't listen: " + e.getCause().getMessage(), e);
                    }
                    return opened;
                });
    }

    @Override
    public RouteDecision way(FullHttpRequest http) throws RequestReader.BadRequest {
        return routing.way(http);
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
    public Collection<Cluster> discovered() {
        return pools.values().stream()
                .filter(Member::discovered)
                .map(Member::cluster)
                .toList();
    }

    @Override
    public Change reread(SidecarConfiguration nextConfig) throws IOException {
        RoutingConfiguration next = read(file, nextConfig);
        PluginChain before = plugins;
        PluginChain chain = chain(file, next, before);
        return new Change() {
            @Override
            public CompletableFuture<Void> take() {
                return OperatorsLayout.this
                        .take(next, nextConfig)
                        .thenRun(() -> swap(before, chain))
                        .whenComplete((v, e) -> {
                            if (e != null && chain != null) {
                                chain.closeAllBut(before);
                            }
                        });
            }

            @Override
            public MembershipOptions membership() {
                return next.membership();
            }
        };
    }

    /** The doors first, since only they can fail; the rest is taken over in one turn of the loop. */
    private CompletableFuture<Void> take(RoutingConfiguration next, SidecarConfiguration nextConfig) {
        List<Listener> missing = next.listeners().stream()
                .filter(l -> !doors.containsKey(l.address()))
                .toList();
        return doors(missing).thenAccept(opened -> {
            doors.putAll(opened);
            swap(next, nextConfig);
        });
    }

    private void swap(RoutingConfiguration next, SidecarConfiguration nextConfig) {
        config = nextConfig;
        ServerList known = discovered().stream()
                .findFirst()
                .map(Cluster::list)
                .orElse(parts.config().known());
        Map<String, Member> before = new LinkedHashMap<>(pools);
        plan = next;
        pools.clear();
        for (PoolConfiguration p : next.pools()) {
            Member member = before.get(p.name());
            if (member != null
                    && member.discovered() == p.discovered()
                    && member.cluster().fits(p)) {
                before.remove(p.name());
                pools.put(p.name(), member);
                member.cluster().retune(config.settings());
                member.cluster().limit(p);
                if (!p.discovered()) {
                    member.cluster().listed(ListKind.COMPLETE, list(p));
                }
            } else {
                pools.put(p.name(), create(p));
                begin(p, pools.get(p.name()).cluster(), known);
            }
        }
        routing = route(next);
        share(next.fleet());
        before.values().forEach(member -> member.cluster().retune(config.settings()));
        before.values().forEach(member -> retire(member.cluster()));
        Set<InetSocketAddress> kept = new HashSet<>();
        next.listeners().forEach(l -> kept.add(l.address()));
        for (InetSocketAddress address : List.copyOf(doors.keySet())) {
            if (!kept.contains(address)) {
                parts.clients().end(doors.remove(address), () -> {});
            }
        }
    }

    /** What is asked of the old ones by now is still heard. */
    private void swap(PluginChain before, PluginChain chain) {
        plugins = chain;
        if (chain != null) {
            chain.attach(parts.shared());
        }
        if (before != null) {
            parts.shared().loop().schedule(() -> before.closeAllBut(chain), PLUGIN_GRACE_MICROS, TimeUnit.MICROSECONDS);
        }
    }

    /** Requests that it has taken may still go out within the grace that a drain gives. */
    private void retire(Cluster pool) {
        going.add(pool);
        parts.shared()
                .loop()
                .schedule(
                        () -> pool.retire(() -> going.remove(pool)), config.drainGraceMicros(), TimeUnit.MICROSECONDS);
    }

    @Override
    public void close() {
        pools.values().forEach(m -> m.cluster().close());
        going.forEach(Cluster::close);
        if (plugins != null) {
            plugins.closeAllBut(null);
        }
    }
}
