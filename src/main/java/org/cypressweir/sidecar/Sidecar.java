package org.cypressweir.sidecar;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import org.cypressweir.common.util.Addresses;
import org.cypressweir.common.util.ReloadSignal;
import org.cypressweir.fleet.FleetCoordination;
import org.cypressweir.fleet.membership.Lending;
import org.cypressweir.fleet.membership.MembershipOptions;
import org.cypressweir.loadbalancing.LoadBalancer;
import org.cypressweir.loadbalancing.LoadBalancer.Actions;
import org.cypressweir.loadbalancing.LoadBalancer.RequestClass;
import org.cypressweir.loadbalancing.LoadBalancer.Settings;
import org.cypressweir.loadbalancing.SubsetLoadBalancer;
import org.cypressweir.sidecar.admin.AdminCommandHandler;
import org.cypressweir.sidecar.admin.RequestClassSlots;
import org.cypressweir.sidecar.admin.SidecarLifecycle;
import org.cypressweir.sidecar.admin.SidecarMetrics;
import org.cypressweir.sidecar.plugin.RequestView;
import org.cypressweir.sidecar.websocket.Handshake;

/**
 * The real host of the module: fronts, pools and discovery, put together by a layout. All of it runs on one
 * event loop.
 */
public final class Sidecar implements ClientListener.Service, Discovery.Listener {

    /** Requests of the rehearsal, and its longest time. */
    private static final int REHEARSED = 250;

    private static final long REHEARSAL_MILLIS = 1_500;
    /** A change that is not done by then no longer holds up those behind it. */
    /** For which files that are read again are waited for. */
    static final long RELOAD_SECONDS = 30;

    private final EventLoop loop;
    private static final int LOAD_PARTS = 4;
    private static final int LOAD_SECONDS = 10;

    private final PrintStream log;
    private final SidecarClock clock = new SidecarClock();
    /** Requests that plug-ins are asked about. */
    private final Map<ClientRequest.Client, FullHttpRequest> asked = new HashMap<>();

    private final InFlightRequests inHand = new InFlightRequests();
    private final RequestReader reader;
    private final Discovery discovery;
    private final ClientListener clients;
    /** As last taken over; written on the loop. */
    private volatile SidecarConfiguration config;

    private final Layout layout;
    private final EndpointListFeed feed;
    private final SidecarLifecycle standing = new SidecarLifecycle();
    private final AdminCommandHandler desk;
    /** Null where it takes no part among others. */
    private FleetCoordination coordination;

    private Lists lending;
    private final Layout.Portion portion = new Layout.Portion() {
        @Override
        public double part() {
            return coordination == null ? 0 : coordination.part();
        }

        @Override
        public int count() {
            return coordination == null ? 1 : coordination.count();
        }
    };
    private InetSocketAddress front;
    private final long startedMillis = System.currentTimeMillis();

    /** Makes the layout of a sidecar out of its parts. */
    interface Layouts {
        Layout of(Layout.Parts parts);
    }

    /** How to make the layout, an address at which it will listen, and its part among others or null. */
    record Arrangement(Layouts layouts, InetSocketAddress stage, MembershipOptions membership) {}

    Sidecar(EventLoop loop, SidecarConfiguration config, PrintStream log) {
        this(loop, config, log, SubsetLoadBalancer::new);
    }

    /** With another module. */
    Sidecar(
            EventLoop loop,
            SidecarConfiguration config,
            PrintStream log,
            BiFunction<Settings, Actions, LoadBalancer> modules) {
        this(loop, config, log, modules, PlainLayout::new);
    }

    /** With another layout. */
    Sidecar(
            EventLoop loop,
            SidecarConfiguration config,
            PrintStream log,
            BiFunction<Settings, Actions, LoadBalancer> modules,
            Layouts layouts) {
        this.loop = loop;
        this.config = config;
        this.log = log;
        reader = new RequestReader(config.settings());
        discovery = new Discovery(
                loop, config.discovery(), config.lists(), config.known().revision(), this, this::log);
        clients = new ClientListener(loop, this, config.clientConnections(), this::log);
        var shared = new Pool.Shared(loop, clock, inHand, discovery::subscribe, this::log);
        layout = layouts.of(new Layout.Parts(
                config, shared, modules, reader, clients, pace -> discovery.pace(clock, pace), portion));
        feed = new EndpointListFeed(loop, layout);
        inHand.figures().show(names(config));
        desk = new AdminCommandHandler(standing, inHand.figures(), new Fleet(), layout::ready);
    }

    /** Pools with discovery know the same servers, so one of them tells for all. */
    private final class Fleet implements SidecarMetrics.Fleet {
        @Override
        public int listed() {
            return layout.discovered().stream().mapToInt(Cluster::listed).max().orElse(0);
        }

        @Override
        public int avoided() {
            return layout.discovered().stream().mapToInt(Cluster::avoided).max().orElse(0);
        }
    }

    /** Runs a sidecar until it is told to end; the exit status. */
    public static int serve(Map<String, String> environment, PrintStream log) {
        return serve(environment, null, log, null);
    }

    /** The same with an operators' file and how to take part among others; null for none. */
    public static int serve(
            Map<String, String> environment,
            Path operators,
            PrintStream errors,
            FleetCoordination.Maker coordinationMaker) {
        SidecarConfiguration config;
        Arrangement arrangement;
        String descriptor = environment.get("LB_SOCKET_FD");
        PrintStream log = InheritedSocket.promised(descriptor) ? InheritedSocket.keep(errors) : errors;
        ServerSocketChannel inherited = null;
        try {
            config = SidecarConfiguration.read(environment);
            arrangement = operators == null
                    ? new Arrangement(PlainLayout::new, config.listen(), null)
                    : OperatorsLayout.of(operators, config);
            if (InheritedSocket.promised(descriptor)) {
                inherited = InheritedSocket.take(descriptor);
            }
        } catch (IOException e) {
            log.println(plain(e));
            return 2;
        }
        var group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        EventLoop loop = group.next();
        ProcessLock others = inherited == null ? null : ProcessLock.in(environment.get("TMPDIR"));
        boolean alone = others == null || others.alone();
        SidecarConfiguration within = alone ? config : config.beside();
        CountDownLatch ended = new CountDownLatch(1);
        try {
            Sidecar sidecar = loop.submit(
                            () -> new Sidecar(loop, within, log, SubsetLoadBalancer::new, arrangement.layouts()))
                    .get();
            if (!alone) {
                others.whenAlone(() -> loop.execute(() -> sidecar.widen(config)));
            }
            // One after the other, so that the last file read is the last one taken over.
            ExecutorService reading = Executors.newSingleThreadExecutor(new DefaultThreadFactory("reading", true));
            ReloadSignal.handle(() -> reading.execute(() -> sidecar.readAgain(environment)));
            if (ReloadSignal.isIgnored()) {
                log.println("cypressweir-sidecar: SIGHUP is ignored by what started this process, and so by it: files"
                        + " are not read again; 'env --default-signal=HUP COMMAND' undoes that");
            }
            boolean promised = inherited != null;
            Thread end = new Thread(() -> {
                loop.execute(() -> sidecar.stop(ended::countDown));
                awaitQuietly(ended);
                // The runtime would report the signal as its exit status.
                Runtime.getRuntime().halt(0);
            });
            Runtime.getRuntime().addShutdownHook(end);
            AtomicBoolean refused = new AtomicBoolean();
            if (arrangement.membership() != null) {
                try {
                    loop.submit(() -> sidecar.join(coordinationMaker, arrangement.membership(), promised, why -> {
                                refused.set(true);
                                log.println("cypressweir-sidecar: " + why);
                                sidecar.stop(ended::countDown);
                            }))
                            .get()
                            .get();
                } catch (ExecutionException e) {
                    Runtime.getRuntime().removeShutdownHook(end);
                    throw e;
                }
            }
            AdminListener door = config.operator() == null
                    ? null
                    : sidecar.openToOperators(config.operator()).get();
            sidecar.rehearse(config, arrangement.stage(), inherited, door);
            try {
                sidecar.start().get();
            } catch (ExecutionException e) {
                Runtime.getRuntime().removeShutdownHook(end);
                throw e;
            }
            ended.await();
            if (refused.get()) {
                Runtime.getRuntime().removeShutdownHook(end);
                return 2;
            }
            return 0;
        } catch (InterruptedException e) {
            return 1;
        } catch (ExecutionException | ReflectiveOperationException e) {
            log.println("cypressweir-sidecar: cannot start: " + e.getCause());
            return 1;
        }
    }

    /** One line, but for the reasons of an operators' file, which have a line each. */
    private static String plain(Exception e) {
        return e instanceof OperatorsRejected
                ? e.getMessage()
                : "cypressweir-sidecar: " + String.valueOf(e.getMessage()).replaceAll("\\s+", " ");
    }

    /** Whatever goes wrong with one change is told, and the next one is read all the same. */
    private void readAgain(Map<String, String> environment) {
        try {
            reload(environment).get(RELOAD_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException | TimeoutException | RuntimeException e) {
            turnDown("cypressweir-sidecar: the files were not taken over: " + e);
        }
    }

    /**
     * Reads the files again, off the loop, and takes over the operators' file, if there is one, the classes
     * and attempts of the settings, and the address of discovery, which goes before what the environment said
     * at the start. Files that are wrong anywhere change nothing.
     *
     * @return done once all is taken over or refused
     */
    CompletableFuture<Void> reload(Map<String, String> environment) {
        try {
            SidecarConfiguration read = SidecarConfiguration.reread(environment, config);
            SidecarConfiguration next = read.with(CompletableFuture.supplyAsync(
                            () -> RequestClassSlots.place(
                                    config.settings().classes(), read.settings().classes(), inHand.classes()),
                            loop)
                    .join());
            Layout.Change change = layout.reread(next);
            // All in one turn of the loop: no request finds one part of it as it was and another anew. It is
            // a later turn than the one that numbered the classes, which holds for what has come since.
            return CompletableFuture.supplyAsync(() -> change.take().thenRun(() -> adopt(next, change)), loop)
                    .thenCompose(taken -> taken)
                    .exceptionally(e -> {
                        turnDown("cypressweir-sidecar: "
                                + (e.getCause() == null ? e : e.getCause().getMessage()));
                        return null;
                    });
        } catch (IOException | RuntimeException e) {
            turnDown(plain(e));
            return CompletableFuture.completedFuture(null);
        }
    }

    private void adopt(SidecarConfiguration next, Layout.Change change) {
        if (coordination != null && change.membership() != null) {
            coordination.retune(change.membership());
        }
        config = next;
        reader.retune(next.settings());
        inHand.figures().show(names(next));
        inHand.figures().reconfigured(true);
        discovery.move(next.discovery());
    }

    private void turnDown(String why) {
        log.println(why + "; the old configuration stays");
        loop.execute(() -> inHand.figures().reconfigured(false));
    }

    private static List<String> names(SidecarConfiguration config) {
        return config.settings().classes().stream()
                .filter(c -> c != RequestClass.GONE)
                .map(RequestClass::name)
                .toList();
    }

    private static void awaitQuietly(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Takes part among others from now on. */
    private CompletableFuture<Void> join(
            FleetCoordination.Maker coordinationMaker,
            MembershipOptions plan,
            boolean beside,
            Consumer<String> refused) {
        front = config.listen();
        lending = new Lists();
        return coordinationMaker
                .open(new FleetCoordination.Opening(
                        loop, config.name(), plan, beside, facts(), this::log, refused, this::portioned, lending))
                .thenAccept(joined -> {
                    coordination = joined;
                    portioned();
                    loop.scheduleWithFixedDelay(
                            () -> joined.facts(facts()), LOAD_SECONDS, LOAD_SECONDS, TimeUnit.SECONDS);
                    desk.tell(joined::members, joined::leases, joined::lease);
                });
    }

    /** Lists of other sidecars: in place of discovery until that has told this one something itself. */
    private final class Lists implements FleetCoordination.Lists {
        private final EndpointListCache shelf;
        private boolean told;
        /** Has come before the modules had any list. */
        private ServerList waiting;

        private boolean open;

        Lists() {
            shelf = new EndpointListCache(
                    clock,
                    config.lists(),
                    config.known().revision(),
                    () -> layout.discovered().stream()
                            .findFirst()
                            .map(Cluster::list)
                            .orElse(config.known()),
                    () -> open && feed.settled());
        }

        void open() {
            open = true;
            if (waiting != null) {
                feed.take(waiting);
            }
            waiting = null;
        }

        void told(long revision) {
            told = true;
            shelf.told(revision, 0);
        }

        @Override
        public Lending.EndpointListSource shelf() {
            return shelf;
        }

        @Override
        public boolean told() {
            return told || layout.discovered().isEmpty();
        }

        @Override
        public boolean borrowed(Lending.Loan loan) {
            try {
                ServerList list = shelf.read(loan);
                log(String.format(
                        Locale.ROOT,
                        "discovery is silent: list of revision %d from %s, %.1f s old," + " %d servers",
                        loan.revision(),
                        loan.from(),
                        loan.ageMicros() / 1e6,
                        list.entries().size()));
                shelf.told(loan.revision(), loan.ageMicros());
                discovery.distrust();
                if (open) {
                    feed.take(list);
                } else {
                    waiting = list;
                }
                return true;
            } catch (IOException e) {
                log("the list that " + loan.from() + " lent is none: " + e.getMessage());
                return false;
            }
        }
    }

    private void portioned() {
        layout.portioned();
        discovery.repace();
    }

    /** What the others hear of this process. */
    private Map<String, String> facts() {
        Map<String, String> facts = new TreeMap<>();
        facts.put("front", Addresses.text(front));
        facts.put("state", standing.state().name().toLowerCase(Locale.ROOT));
        facts.put("start", String.valueOf(startedMillis));
        // In quarters and seldom: each change is news to the whole fleet.
        int quarters = Math.min(
                LOAD_PARTS,
                LOAD_PARTS
                        * inHand.count()
                        / Math.max(1, config.settings().limits().open()));
        facts.put("load", quarters * 100 / LOAD_PARTS + "%");
        return facts;
    }

    /** Hands the modules their first lists. */
    void open() {
        layout.open();
        if (lending != null) {
            lending.open();
        }
    }

    /** Opens the operators' door, which tells how things stand also while nothing else is open. */
    CompletableFuture<AdminListener> openToOperators(InetSocketAddress address) {
        return CompletableFuture.supplyAsync(
                        () -> {
                            AdminListener door = new AdminListener(loop, this::asked);
                            return door.listen(address).thenApply(open -> door);
                        },
                        loop)
                .thenCompose(open -> open);
    }

    /**
     * Rehearses at an address that it listens on. Where others listen on the clients' socket too, a rehearsal
     * there would meet them, and take clients that it can't serve; then the operators' door lends its own.
     */
    private void rehearse(
            SidecarConfiguration at, InetSocketAddress stage, ServerSocketChannel inherited, AdminListener door)
            throws InterruptedException {
        if (inherited == null) {
            WarmUp.run(at, stage, REHEARSED, REHEARSAL_MILLIS);
            return;
        }
        loop.execute(() -> clients.inherit(inherited));
        if (door != null) {
            WarmUp.run(at, new LentStage(loop, door), REHEARSED, REHEARSAL_MILLIS);
        }
    }

    /** A rehearsal by way of the operators' door. */
    private record LentStage(EventLoop loop, AdminListener door) implements WarmUp.Stage {
        @Override
        public CompletableFuture<InetSocketAddress> open(ClientListener to) {
            return CompletableFuture.supplyAsync(
                    () -> {
                        door.lend(to::adopt);
                        return door.address();
                    },
                    loop);
        }

        @Override
        public void close() {
            loop.execute(() -> door.lend(null));
        }
    }

    /** A line of an operator, on the loop; what it changes holds when the answer goes out. */
    private String asked(String line) {
        String answer = desk.answer(line);
        followStanding();
        return answer;
    }

    private void followStanding() {
        if (standing.drains()) {
            clients.drain();
        } else {
            clients.undrain();
        }
        if (coordination != null) {
            coordination.facts(facts());
        }
    }

    /** Hands out the first lists and opens the doors; gives an address once clients can connect. */
    CompletableFuture<InetSocketAddress> start() {
        // Nothing goes by an old list to a server that others know is gone.
        CompletableFuture<Void> lists =
                coordination == null ? CompletableFuture.completedFuture(null) : coordination.lent();
        return lists.thenApplyAsync(
                        v -> {
                            open();
                            if (!config.settings().discoveryOnAsk()
                                    && !layout.discovered().isEmpty()) {
                                // Pushed lists wait at an agent, which answers a watch; the module asks for nothing
                                // then.
                                discovery.subscribe();
                            }
                            return layout.listen();
                        },
                        loop)
                .thenCompose(address -> address)
                .thenApplyAsync(
                        address -> {
                            standing.on(SidecarLifecycle.Event.OPENED);
                            front = address;
                            followStanding();
                            return address;
                        },
                        loop);
    }

    /** The process that ran beside this one has ended. */
    private void widen(SidecarConfiguration wider) {
        log("alone now, with " + wider.clientConnections() + " connections of clients");
        clients.bound(wider.clientConnections());
        layout.widen(wider);
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

    /** Answers all in hand, then ends. */
    void stop(Runnable ended) {
        if (!standing.on(SidecarLifecycle.Event.TERMINATE)) {
            return;
        }
        if (coordination != null) {
            coordination.leave();
        }
        layout.stopping();
        clients.end(() -> {
            discovery.close();
            layout.close();
            ended.run();
        });
    }

    @Override
    public void clients(int count) {
        standing.on(count == 0 ? SidecarLifecycle.Event.EMPTY : SidecarLifecycle.Event.CLIENT);
    }

    @Override
    public void listed(ServerList list) {
        if (lending != null) {
            lending.told(list.revision());
        }
        feed.take(list);
    }

    @Override
    public void failed(String why) {
        feed.failed();
    }

    @Override
    public boolean upgrades() {
        return layout.upgrades();
    }

    @Override
    public boolean ready() {
        return standing.serves() && layout.ready();
    }

    @Override
    public void take(FullHttpRequest http, ClientRequest.Client client) throws RequestReader.BadRequest {
        RequestReader.check(http);
        PluginChain chain = layout.plugins();
        if (chain == null) {
            admit(clock.micros(), http, client, layout.way(http));
            return;
        }
        if (layout.upgrades() && Handshake.isAsked(http.headers())) {
            // What comes behind it meanwhile is none of HTTP, if it is agreed to.
            client.upgrading();
        }
        long now = clock.micros();
        RequestView view = layout.view(http);
        asked.put(client, http.retain());
        chain.ask(view, result -> heard(now, chain, result, http, client));
    }

    /** Plug-ins have been asked about a request that came then; its time runs from there. */
    private void heard(
            long since,
            PluginChain chain,
            PluginChain.Result result,
            FullHttpRequest http,
            ClientRequest.Client client) {
        if (!asked.remove(client, http)) {
            // It has left, which has been seen to.
            return;
        }
        try {
            if (result.refusal() != null) {
                long advice = config.settings().limits().retryAdvice()
                        ? Math.min(
                                result.retryAfterMillis() * 1_000,
                                config.settings().limits().maxRetryAdviceMicros())
                        : 0;
                client.answer(HttpResponseStatus.SERVICE_UNAVAILABLE, Pool.comeBack(advice), Unpooled.EMPTY_BUFFER);
                return;
            }
            result.headers().forEach((name, value) -> {
                http.headers().remove(name);
                if (!value.isEmpty()) {
                    http.headers().set(name, value);
                }
            });
            admit(since, http, client, classed(chain, result, layout.way(http)));
        } catch (RequestReader.BadRequest e) {
            client.reject(e);
        } finally {
            http.release();
        }
    }

    /** Stricter is always allowed; less strict only where it was granted for just these two. */
    private RouteDecision classed(PluginChain chain, PluginChain.Result result, RouteDecision way) {
        if (result.requestClass() == null) {
            return way;
        }
        List<RequestClass> classes = config.settings().classes();
        RequestClass own = classes.get(way.requestClass());
        int other = IntStream.range(0, classes.size())
                .filter(i -> classes.get(i).name().equals(result.requestClass()))
                .findFirst()
                .orElse(-1);
        if (other < 0) {
            log("plug-in " + result.classFrom() + " names class " + result.requestClass() + ", which was dropped");
            return way;
        }
        boolean weaker = classes.get(other).effect().ordinal() < own.effect().ordinal();
        String pair = own.name() + ">" + result.requestClass();
        if (weaker && !chain.plan(result.classFrom()).grant().weaken().contains(pair)) {
            log("plug-in " + result.classFrom() + " may not make class " + own.name() + " " + result.requestClass()
                    + ": it is less strict");
            return way;
        }
        return way.ofClass(other);
    }

    private void admit(long now, FullHttpRequest http, ClientRequest.Client client, RouteDecision way)
            throws RequestReader.BadRequest {
        if (way.upgrade() != null && !standing.serves()) {
            client.answer(
                    HttpResponseStatus.SERVICE_UNAVAILABLE,
                    new DefaultHttpHeaders().set(HttpHeaderNames.RETRY_AFTER, "1"),
                    Unpooled.EMPTY_BUFFER);
            return;
        }
        ClientRequest call = reader.read(now, http, way, client);
        if (call.upgrade == null && !client.isAlone()) {
            call.body.release();
            throw new RequestReader.BadRequest("more than one request");
        }
        if (!inHand.add(call)) {
            call.body.release();
            throw new RequestReader.BadRequest("this " + Headers.REQUEST_ID + " is in hand");
        }
        if (call.upgrade != null) {
            client.upgrading();
            call.upgrade.taken(call);
        }
        call.cluster.take(call);
    }

    @Override
    public void left(ClientRequest.Client client) {
        FullHttpRequest waits = asked.remove(client);
        if (waits != null) {
            waits.release();
            return;
        }
        ClientRequest call = inHand.of(client);
        if (call != null) {
            call.cluster.left(call);
        }
    }

    private void log(String line) {
        log.println(config.name() + " " + line);
    }
}
