package org.cypressweir.dataplane.proxy;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.vavr.control.Option;
import java.io.IOException;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.cypressweir.common.diagnostics.RequestTrace;
import org.cypressweir.common.diagnostics.StateEndpoint;
import org.cypressweir.common.settings.NodeSettings;
import org.cypressweir.common.settings.SettingsLoader;
import org.cypressweir.common.settings.SettingsWatcher;
import org.cypressweir.common.transport.ApiCall;
import org.cypressweir.common.transport.ErrorKind;
import org.cypressweir.common.transport.JsonCodec;
import org.cypressweir.common.transport.LogConfiguration;
import org.cypressweir.common.transport.MonotonicClock;
import org.cypressweir.common.transport.PeerConnection;
import org.cypressweir.common.transport.PeerConnectionPool;
import org.cypressweir.common.transport.PeerTransport;
import org.cypressweir.common.util.Addresses;
import org.cypressweir.common.util.Ids;
import org.cypressweir.common.util.Json;
import org.cypressweir.controlplane.configuration.ClientLimits;
import org.cypressweir.controlplane.configuration.Configuration;
import org.cypressweir.controlplane.consensus.ProposalNumber;
import org.cypressweir.controlplane.registry.ApplicationInstance;
import org.cypressweir.controlplane.registry.EndpointDirectory;
import org.cypressweir.controlplane.registry.ProxyRegistration;
import org.cypressweir.dataplane.http.server.HttpListener;
import org.cypressweir.dataplane.http.server.RequestLimits;
import org.cypressweir.dataplane.http.server.ServerResponse;
import org.cypressweir.dataplane.http.upstream.InstanceIncarnation;
import org.cypressweir.dataplane.http.upstream.UpstreamDispatcher;
import org.cypressweir.dataplane.http.upstream.UpstreamOptions;
import org.cypressweir.dataplane.quota.QuotaShares;
import org.jboss.logging.Logger;

/** The pilot: puts the data plane together beside one application server. */
public final class Proxy {

    private static final Logger LOG = Logger.getLogger(Proxy.class);
    private static final PeerConnectionPool.Options PEERS =
            new PeerConnectionPool.Options(3_000_000, 6_000_000, 12_000_000, 100_000, 500_000, 700);
    private static final RequestLimits OWN_CALLS = new RequestLimits(16 * 1024, 64 * 1024, 5_000, 60_000);
    private static final int TICK_MILLIS = 50;
    private static final int TICKS_A_TALLY = 4;
    private static final int TICKS_A_LOOK = 20;
    /** What is told once and again heals whatever a harbour has missed. */
    private static final int TICKS_A_TELLING = 40;
    /** Requests in hand with one id that are told of at most. */
    private static final int OPEN_TOLD = 16;
    /** How long a pilot that starts waits for a confirmed configuration. */
    private static final long UNCONFIRMED = 3_000_000;

    private static final long KEEP_VIEW = 3_000_000;
    /** Part of the drain's time after which nothing more is handed to a server that drains. */
    private static final double DRAIN_PART = 0.8;
    /** Of what the terms allow for further attempts, in all and for each request. */
    private static final double SLACK_PART = 0.5;

    private static final double RATIO_PART = 0.5;

    private NodeSettings papers;
    private final SettingsWatcher file;
    private final MonotonicClock clock = new MonotonicClock();
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final PeerTransport wharf = new PeerTransport(group, clock);
    private final String own;
    private final List<String> zones;
    private final EndpointDirectory roster = new EndpointDirectory(KEEP_VIEW);
    private final ConfigurationSubscriber following = new ConfigurationSubscriber();
    private final ReadinessGate freshness = new ReadinessGate();
    private final QuotaShares quotas = new QuotaShares();
    private final RequestTrace wake = new RequestTrace(clock, RequestTrace.DEFAULT_CAPACITY);
    private final Map<String, ServiceRequestHandler> helms = new HashMap<>();
    /** The ways of servers' own calls: what clients press on must not hold them up. */
    private final Map<String, ServiceRequestHandler> inner = new HashMap<>();

    private final Set<String> down = new HashSet<>();
    private final ApplicationLifecycleHandler ships;
    private final long life = System.currentTimeMillis() * 1000;
    private final UpstreamDispatcher quay;
    private final PeerRequestReceiver landing;
    private final PeerConnectionPool peers;
    private final PeerForwarder hops;
    private final ControllerClient lookout;
    private final OutboundListener front;
    private final ExecutorService worker = Executors.newSingleThreadExecutor(task -> {
        Thread thread = new Thread(task, "aside");
        thread.setDaemon(true);
        return thread;
    });
    private final BackgroundTask aside = new BackgroundTask(worker, loop);
    private RoutingTable bearings = RoutingTable.none();
    /** What the worker has made last; of the worker alone. */
    private RoutingTable newest = bearings;

    private boolean listStale = true;
    private boolean leaving;
    private boolean begun;
    private long ticks;
    private HttpListener outbound;

    private Proxy(NodeSettings papers, SettingsWatcher file) {
        this.papers = papers;
        this.file = file;
        own = papers.peerAddress(papers.ip());
        zones = List.copyOf(papers.zones().keySet());
        ships = new ApplicationLifecycleHandler(clock, papers, life, this::shipChanged);
        quay = new UpstreamDispatcher(
                loop,
                Addresses.parse(papers.application()),
                clock,
                UpstreamOptions.defaults(),
                line -> Logger.getLogger(Proxy.class).info(line));
        landing = new PeerRequestReceiver(clock, quay, ships::berth);
        peers = new PeerConnectionPool(wharf, clock, PEERS, this::hello, new Peers());
        hops = new PeerForwarder(clock, own, life, quay, peers::connection);
        lookout = new ControllerClient(
                wharf,
                clock,
                papers.name(),
                ships::berth,
                roster,
                following,
                freshness,
                quotas,
                aside,
                this::newBearings);
        front = new OutboundListener(
                clock,
                () -> bearings,
                () -> this.papers.service(),
                quotas,
                (service, calls) -> calls ? helm(inner, service) : helm(helms, service),
                wake);
    }

    private Map<String, Object> hello() {
        return hops.hello(papers.name());
    }

    /** Runs until the process is ended; a status above 0 where it can't start. */
    public static int run(Map<String, String> env, PrintStream err) {
        LogConfiguration.install(err, false);
        return SettingsLoader.run("pilot", env, err, Proxy::lacks, (papers, file) -> new Proxy(papers, file).serve());
    }

    private static Option<String> lacks(NodeSettings papers) {
        for (String listen : List.of("outbound", "readiness", "controlPlane")) {
            if (!papers.listen().containsKey(listen) || papers.application() == null) {
                return Option.some("localNode.application and network.listenAddresses." + listen);
            }
        }
        return Option.none();
    }

    private void serve() throws IOException {
        CountDownLatch ended = new CountDownLatch(1);
        SettingsLoader.onReloadSignal(() -> loop.execute(() -> file.poll(true, this::newPapers)));
        Runtime.getRuntime().addShutdownHook(new Thread(() -> leave(ended), "end"));
        Map<String, String> listen = papers.listen();
        HttpListener.open(
                group,
                Addresses.parse(listen.get("controlPlane")),
                () -> OWN_CALLS,
                clock,
                new StateEndpoint(ships, new Told()));
        wharf.listen(Addresses.parse(own), landing);
        loop.execute(() -> lookout.seeds(papers.seedPeerAddresses()));
        HttpListener.open(
                group,
                Addresses.parse(listen.get("readiness")),
                () -> OWN_CALLS,
                clock,
                call -> call.answer(
                        ApiCall.READINESS.pathParameter(call.uri()).isEmpty()
                                ? LocalResponses.of(ErrorKind.NO_CALL)
                                : isReady()
                                        ? ServerResponse.of(200)
                                        : LocalResponses.of(ErrorKind.NOT_READY, 500_000)));
        outbound = HttpListener.open(group, Addresses.parse(listen.get("outbound")), this::bounds, clock, front);
        loop.scheduleAtFixedRate(this::tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
        LOG.info("Pilot " + papers.name() + " listens.");
        try {
            ended.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private RequestLimits bounds() {
        ClientLimits limits = bearings.limits();
        return new RequestLimits(
                limits.maxHeaderBytes(),
                limits.maxBodyBytes(),
                limits.headerTimeoutMicros() / 1000,
                limits.idleTimeoutMicros() / 1000);
    }

    private boolean isReady() {
        return !leaving
                && !bearings.manifest().items().isEmpty()
                && isFresh()
                && helms.values().stream().anyMatch(ServiceRequestHandler::hasServers);
    }

    /** Whether the configuration is new enough to begin with, or nobody says so. */
    private boolean isFresh() {
        if (!begun) {
            begun = freshness.begins(
                    clock.getAsLong(), bearings.stamp(), papers.durationMicros("contact", UNCONFIRMED));
            if (begun && !freshness.isConfirmed()) {
                LOG.warn(
                        "No harbour confirms the configuration at " + bearings.stamp() + "; the pilot begins with it.");
            }
        }
        return begun;
    }

    private ServiceRequestHandler helm(Map<String, ServiceRequestHandler> ways, String service) {
        return ways.computeIfAbsent(service, s -> {
            listStale = true;
            double slack = SLACK_PART / 2 * papers.number("retrySlack", 0) / Math.max(1, roster.size());
            return new ServiceRequestHandler(
                    s,
                    loop,
                    clock,
                    hops,
                    papers.name(),
                    Math.max(0, zones.indexOf(papers.zone())),
                    zones,
                    ServiceRequestHandler.budget(
                            papers.durationMicros("retryWindow", 10_000_000),
                            Math.max(1, slack),
                            RATIO_PART * papers.number("retryBudgetRatio", 0)));
        });
    }

    /** The configuration is made ready beside the loop; requests go by the one before until then. */
    private void newBearings() {
        ProposalNumber stamp = following.stamp();
        Configuration manifest = following.manifest();
        aside.run(() -> newest = newest.next(stamp, manifest), next -> {
            bearings = next;
            boundConnections(ships.ship());
        });
    }

    private void boundConnections(ApplicationInstance ship) {
        if (ship != null && bearings.connections(ship.service()) > 0) {
            quay.maxConnections(bearings.connections(ship.service()));
        }
    }

    private void shipChanged(ApplicationInstance ship) {
        quay.life(
                ship == null
                        ? null
                        : new InstanceIncarnation(
                                ship.id(), ship.service(), ship.slots(), ship.draining(), ship.warmAt()));
        boundConnections(ship);
        roster.told(ships.berth());
        landing.tell();
        lookout.tell();
        listStale = true;
    }

    private void tick() {
        try {
            ticks++;
            long now = clock.getAsLong();
            ships.tick();
            if (ships.drainedAt() != 0
                    && now - ships.drainedAt() > DRAIN_PART * papers.durationMicros("drain", 2_500_000)) {
                quay.life(null);
            }
            lookout.tick();
            isFresh();
            peers.tick();
            hops.tick();
            if (roster.merge(now) || listStale) {
                listStale = false;
                newList();
            }
            if (ticks % TICKS_A_TALLY == 0) {
                quotas.pilots(roster.size());
                lookout.tellAsked();
            }
            if (ticks % TICKS_A_TELLING == 0) {
                lookout.tell();
            }
            if (ticks % TICKS_A_LOOK == 0) {
                file.poll(false, this::newPapers);
            }
        } catch (RuntimeException | Error e) {
            LOG.error("A tick failed.", e);
        }
    }

    private void newPapers(NodeSettings next) {
        papers = next;
        ships.papers(next);
        lookout.seeds(next.seedPeerAddresses());
        shipChanged(ships.ship());
    }

    /** Whether this is the own machine, or there is a line to it. */
    private boolean reaches(ProxyRegistration berth) {
        return berth.address().equals(own)
                || peers.connection(berth.address()) != null && !down.contains(berth.address());
    }

    /** Another list of servers: each service's way learns of it; peers get their lines. */
    private void newList() {
        Set<String> addresses = new HashSet<>();
        Map<String, List<Endpoint>> targets = new HashMap<>();
        Map<String, Long> warm = new HashMap<>();
        for (ProxyRegistration told : roster.all()) {
            boolean mine = told.name().equals(papers.name());
            ProxyRegistration berth = mine ? ships.berth() : told;
            if (!mine) {
                addresses.add(berth.address());
            }
            if (berth.ship() != null) {
                helm(helms, berth.ship().service());
                helm(inner, berth.ship().service());
            }
            if (berth.takes() && reaches(berth)) {
                targets.computeIfAbsent(berth.ship().service(), s -> new ArrayList<>())
                        .add(new Endpoint(
                                Ids.of(berth.ship().id()),
                                berth.name(),
                                berth.life(),
                                berth.address(),
                                berth.ship().id(),
                                berth.zone()));
                warm.put(berth.ship().id(), berth.ship().warmAt());
            }
        }
        peers.setAddresses(addresses);
        for (Map<String, ServiceRequestHandler> ways : List.of(helms, inner)) {
            ways.forEach((service, helm) -> helm.servers(targets.getOrDefault(service, List.of()), zones, warm));
        }
    }

    /** What operators are told of this pilot. */
    private final class Told implements StateEndpoint.StateSource {
        @Override
        public Map<String, Object> state(boolean items) {
            return Proxy.this.state(items);
        }

        @Override
        public List<Object> requestTraces(String id) {
            List<Object> all = new ArrayList<>(wake.findById(id));
            RequestTrace open = new RequestTrace(clock, OPEN_TOLD);
            helms.values().forEach(helm -> helm.tell(id, open));
            inner.values().forEach(helm -> helm.tell(id, open));
            all.addAll(open.findById(id));
            return all;
        }
    }

    private Map<String, Object> state(boolean items) {
        ProxyStatus its = new ProxyStatus(clock.getAsLong(), papers.name(), papers.controlAddress(), own, bearings);
        its.harbours(lookout);
        its.pilots(roster);
        its.peers(peers, down);
        its.servers(roster, ships.berth(), this::reaches, hops);
        its.own(ships.berth(), quay.load());
        its.requests(outbound == null ? 0 : outbound.requestsOpen(), hops.size(), helms);
        its.refusals(front.counts(), helms);
        its.tenants(quotas);
        return its.map(items);
    }

    /** SIGTERM: nothing new is taken by and by, what is in hand is answered. */
    private void leave(CountDownLatch ended) {
        long grace = papers.durationMicros("gracePeriod", 6_000_000);
        long until = clock.getAsLong() + (long) (grace * 0.85);
        loop.execute(() -> {
            LOG.info("Pilot " + papers.name() + " leaves.");
            leaving = true;
            ships.leave();
            quay.leave();
            hops.leave();
        });
        CountDownLatch done = new CountDownLatch(1);
        long quiet = clock.getAsLong() + Math.min(3_000_000, grace / 2);
        loop.scheduleAtFixedRate(
                () -> {
                    long now = clock.getAsLong();
                    if (now > quiet) {
                        // Those who have connected are still answered, each with its connection's last answer.
                        outbound.stopListening();
                        outbound.drain();
                    }
                    boolean idle = outbound.connections() == 0 && quay.idle() && hops.size() == 0;
                    if (now > until || now > quiet && idle) {
                        done.countDown();
                    }
                },
                20,
                20,
                TimeUnit.MILLISECONDS);
        try {
            done.await(grace, TimeUnit.MICROSECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        ended.countDown();
    }

    /** Lines to other pilots. */
    private final class Peers implements PeerConnectionPool.Listener {
        @Override
        public void connected(String address, PeerConnection line) {
            down.remove(address);
            listStale = true;
        }

        @Override
        public void received(String address, PeerConnection line, Map<String, Object> head, byte[] body) {
            if (JsonCodec.text(head, "t").equals("end")) {
                hops.heard(line, head, body);
            } else if (JsonCodec.text(head, "t").equals("berth")) {
                ProxyRegistration berth = ProxyRegistration.of(Json.object(head, "berth"), clock.getAsLong());
                if (berth != null) {
                    hops.greeted(line, berth.life());
                    roster.told(berth);
                }
            }
        }

        @Override
        public void disconnected(String address, PeerConnection line) {
            hops.lost(line);
            if (peers.connection(address) == null) {
                down.add(address);
                listStale = true;
            }
        }

        @Override
        public void connectFailed(String address) {
            down.add(address);
            listStale = true;
        }
    }
}
