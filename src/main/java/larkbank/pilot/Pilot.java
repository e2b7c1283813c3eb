package larkbank.pilot;

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
import larkbank.Addresses;
import larkbank.Ids;
import larkbank.Json;
import larkbank.berth.Berth;
import larkbank.berth.ServerDirectory;
import larkbank.berth.Ship;
import larkbank.copies.Ballot;
import larkbank.gangway.Answer;
import larkbank.gangway.Bounds;
import larkbank.gangway.Gangway;
import larkbank.lading.Calls;
import larkbank.lading.Clock;
import larkbank.lading.Fault;
import larkbank.lading.Line;
import larkbank.lading.Logs;
import larkbank.lading.Moorings;
import larkbank.lading.Scribe;
import larkbank.lading.Wharf;
import larkbank.logbook.StateDesk;
import larkbank.logbook.Wake;
import larkbank.manifest.ClientLimits;
import larkbank.manifest.Manifest;
import larkbank.papers.Boot;
import larkbank.papers.NodePapers;
import larkbank.papers.Watched;
import larkbank.quay.Life;
import larkbank.quay.Quay;
import larkbank.quay.QuayPlan;
import larkbank.tally.Quotas;
import org.jboss.logging.Logger;

/** The pilot: puts the data plane together beside one application server. */
public final class Pilot {

    private static final Logger LOG = Logger.getLogger("pilot");
    private static final Moorings.Plan PEERS =
            new Moorings.Plan(3_000_000, 6_000_000, 12_000_000, 100_000, 500_000, 700);
    private static final Bounds OWN_CALLS = new Bounds(16 * 1024, 64 * 1024, 5_000, 60_000);
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

    private NodePapers papers;
    private final Watched file;
    private final Clock clock = new Clock();
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final Wharf wharf = new Wharf(group, clock);
    private final String own;
    private final List<String> zones;
    private final ServerDirectory roster = new ServerDirectory(KEEP_VIEW);
    private final Following following = new Following();
    private final Freshness freshness = new Freshness();
    private final Quotas quotas = new Quotas();
    private final Wake wake = new Wake(clock, Wake.USUAL);
    private final Map<String, Helm> helms = new HashMap<>();
    /** The ways of servers' own calls: what clients press on must not hold them up. */
    private final Map<String, Helm> inner = new HashMap<>();

    private final Set<String> down = new HashSet<>();
    private final ShipDesk ships;
    private final long life = System.currentTimeMillis() * 1000;
    private final Quay quay;
    private final Landing landing;
    private final Moorings peers;
    private final Hops hops;
    private final Lookout lookout;
    private final Front front;
    private final ExecutorService worker = Executors.newSingleThreadExecutor(task -> {
        Thread thread = new Thread(task, "aside");
        thread.setDaemon(true);
        return thread;
    });
    private final Aside aside = new Aside(worker, loop);
    private Bearings bearings = Bearings.none();
    /** What the worker has made last; of the worker alone. */
    private Bearings newest = bearings;

    private boolean listStale = true;
    private boolean leaving;
    private boolean begun;
    private long ticks;
    private Gangway outbound;

    private Pilot(NodePapers papers, Watched file) {
        this.papers = papers;
        this.file = file;
        own = papers.lines(papers.ip());
        zones = List.copyOf(papers.zones().keySet());
        ships = new ShipDesk(clock, papers, life, this::shipChanged);
        quay = new Quay(
                loop, Addresses.parse(papers.application()), clock, QuayPlan.defaults(), line -> Logger.getLogger(
                                "quay")
                        .info(line));
        landing = new Landing(clock, quay, ships::berth);
        peers = new Moorings(wharf, clock, PEERS, this::hello, new Peers());
        hops = new Hops(clock, own, life, quay, peers::line);
        lookout = new Lookout(
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
        front = new Front(
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
        Logs.open(err, false);
        return Boot.run("pilot", env, err, Pilot::lacks, (papers, file) -> new Pilot(papers, file).serve());
    }

    private static Option<String> lacks(NodePapers papers) {
        for (String listen : List.of("outbound", "readiness", "controlPlane")) {
            if (!papers.listen().containsKey(listen) || papers.application() == null) {
                return Option.some("localNode.application and network.listenAddresses." + listen);
            }
        }
        return Option.none();
    }

    private void serve() throws IOException {
        CountDownLatch ended = new CountDownLatch(1);
        Boot.onHangup(() -> loop.execute(() -> file.look(true, this::newPapers)));
        Runtime.getRuntime().addShutdownHook(new Thread(() -> leave(ended), "end"));
        Map<String, String> listen = papers.listen();
        Gangway.open(
                group,
                Addresses.parse(listen.get("controlPlane")),
                () -> OWN_CALLS,
                clock,
                new StateDesk(ships, new Told()));
        wharf.listen(Addresses.parse(own), landing);
        loop.execute(() -> lookout.seeds(papers.seedLines()));
        Gangway.open(
                group,
                Addresses.parse(listen.get("readiness")),
                () -> OWN_CALLS,
                clock,
                call -> call.answer(
                        Calls.READINESS.name(call.uri()).isEmpty()
                                ? Answers.of(Fault.NO_CALL)
                                : isReady() ? Answer.of(200) : Answers.of(Fault.NOT_READY, 500_000)));
        outbound = Gangway.open(group, Addresses.parse(listen.get("outbound")), this::bounds, clock, front);
        loop.scheduleAtFixedRate(this::tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
        LOG.info("Pilot " + papers.name() + " listens.");
        try {
            ended.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private Bounds bounds() {
        ClientLimits limits = bearings.limits();
        return new Bounds(
                limits.maxHeaderBytes(),
                limits.maxBodyBytes(),
                limits.headerTimeoutMicros() / 1000,
                limits.idleTimeoutMicros() / 1000);
    }

    private boolean isReady() {
        return !leaving
                && !bearings.manifest().items().isEmpty()
                && isFresh()
                && helms.values().stream().anyMatch(Helm::hasServers);
    }

    /** Whether the configuration is new enough to begin with, or nobody says so. */
    private boolean isFresh() {
        if (!begun) {
            begun = freshness.begins(clock.getAsLong(), bearings.stamp(), papers.bound("contact", UNCONFIRMED));
            if (begun && !freshness.isConfirmed()) {
                LOG.warn(
                        "No harbour confirms the configuration at " + bearings.stamp() + "; the pilot begins with it.");
            }
        }
        return begun;
    }

    private Helm helm(Map<String, Helm> ways, String service) {
        return ways.computeIfAbsent(service, s -> {
            listStale = true;
            double slack = SLACK_PART / 2 * papers.figure("retrySlack", 0) / Math.max(1, roster.size());
            return new Helm(
                    s,
                    loop,
                    clock,
                    hops,
                    papers.name(),
                    Math.max(0, zones.indexOf(papers.zone())),
                    zones,
                    Helm.budget(
                            papers.bound("retryWindow", 10_000_000),
                            Math.max(1, slack),
                            RATIO_PART * papers.figure("retryBudgetRatio", 0)));
        });
    }

    /** The configuration is made ready beside the loop; requests go by the one before until then. */
    private void newBearings() {
        Ballot stamp = following.stamp();
        Manifest manifest = following.manifest();
        aside.run(() -> newest = newest.next(stamp, manifest), next -> {
            bearings = next;
            boundConnections(ships.ship());
        });
    }

    private void boundConnections(Ship ship) {
        if (ship != null && bearings.connections(ship.service()) > 0) {
            quay.maxConnections(bearings.connections(ship.service()));
        }
    }

    private void shipChanged(Ship ship) {
        quay.life(
                ship == null
                        ? null
                        : new Life(ship.id(), ship.service(), ship.slots(), ship.draining(), ship.warmAt()));
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
            if (ships.drainedAt() != 0 && now - ships.drainedAt() > DRAIN_PART * papers.bound("drain", 2_500_000)) {
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
                file.look(false, this::newPapers);
            }
        } catch (RuntimeException | Error e) {
            LOG.error("A tick failed.", e);
        }
    }

    private void newPapers(NodePapers next) {
        papers = next;
        ships.papers(next);
        lookout.seeds(next.seedLines());
        shipChanged(ships.ship());
    }

    /** Whether this is the own machine, or there is a line to it. */
    private boolean reaches(Berth berth) {
        return berth.address().equals(own) || peers.line(berth.address()) != null && !down.contains(berth.address());
    }

    /** Another list of servers: each service's way learns of it; peers get their lines. */
    private void newList() {
        Set<String> addresses = new HashSet<>();
        Map<String, List<Target>> targets = new HashMap<>();
        Map<String, Long> warm = new HashMap<>();
        for (Berth told : roster.all()) {
            boolean mine = told.name().equals(papers.name());
            Berth berth = mine ? ships.berth() : told;
            if (!mine) {
                addresses.add(berth.address());
            }
            if (berth.ship() != null) {
                helm(helms, berth.ship().service());
                helm(inner, berth.ship().service());
            }
            if (berth.takes() && reaches(berth)) {
                targets.computeIfAbsent(berth.ship().service(), s -> new ArrayList<>())
                        .add(new Target(
                                Ids.of(berth.ship().id()),
                                berth.name(),
                                berth.life(),
                                berth.address(),
                                berth.ship().id(),
                                berth.zone()));
                warm.put(berth.ship().id(), berth.ship().warmAt());
            }
        }
        peers.want(addresses);
        for (Map<String, Helm> ways : List.of(helms, inner)) {
            ways.forEach((service, helm) -> helm.servers(targets.getOrDefault(service, List.of()), zones, warm));
        }
    }

    /** What operators are told of this pilot. */
    private final class Told implements StateDesk.Teller {
        @Override
        public Map<String, Object> state(boolean items) {
            return Pilot.this.state(items);
        }

        @Override
        public List<Object> why(String id) {
            List<Object> all = new ArrayList<>(wake.of(id));
            Wake open = new Wake(clock, OPEN_TOLD);
            helms.values().forEach(helm -> helm.tell(id, open));
            inner.values().forEach(helm -> helm.tell(id, open));
            all.addAll(open.of(id));
            return all;
        }
    }

    private Map<String, Object> state(boolean items) {
        PilotState its = new PilotState(clock.getAsLong(), papers.name(), papers.control(), own, bearings);
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
        long grace = papers.bound("gracePeriod", 6_000_000);
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
    private final class Peers implements Moorings.Owner {
        @Override
        public void up(String address, Line line) {
            down.remove(address);
            listStale = true;
        }

        @Override
        public void heard(String address, Line line, Map<String, Object> head, byte[] body) {
            if (Scribe.text(head, "t").equals("end")) {
                hops.heard(line, head, body);
            } else if (Scribe.text(head, "t").equals("berth")) {
                Berth berth = Berth.of(Json.object(head, "berth"), clock.getAsLong());
                if (berth != null) {
                    hops.greeted(line, berth.life());
                    roster.told(berth);
                }
            }
        }

        @Override
        public void lost(String address, Line line) {
            hops.lost(line);
            if (peers.line(address) == null) {
                down.add(address);
                listStale = true;
            }
        }

        @Override
        public void refused(String address) {
            down.add(address);
            listStale = true;
        }
    }
}
