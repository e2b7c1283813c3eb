package org.cypressweir.dataplane.proxy;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.cypressweir.common.transport.JsonCodec;
import org.cypressweir.common.transport.MonotonicClock;
import org.cypressweir.common.transport.PeerConnection;
import org.cypressweir.common.transport.PeerConnectionPool;
import org.cypressweir.common.transport.PeerTransport;
import org.cypressweir.controlplane.configuration.Item;
import org.cypressweir.controlplane.distribution.ItemChunks;
import org.cypressweir.dataplane.quota.QuotaShares;
import org.cypressweir.loadbalancing.HollowFleet;
import org.cypressweir.testkit.ApplicationStubs;

/**
 * Three controllers as processes with the settings that they run with, real proxies with an application each, and
 * many hollow proxies in this process: these have no application and keep no endpoint list, but their own
 * connections, registrations, demand and configuration versions; they accept the connections of real proxies and
 * open none to their peers. Loopback only; it ends what it has started.
 */
public final class HollowFleetBench {

    /** The plan of a proxy's connections to controllers. */
    private static final PeerConnectionPool.Options CONNECTION_PLAN =
            new PeerConnectionPool.Options(500_000, 1_200_000, 4_000_000, 100_000, 500_000, 800);

    private static final int LOOPS = 6;
    private static final int CONTROLLERS = 3;
    private static final int REAL_PROXIES = 2;
    private static final int QUIET_SECONDS = 15;
    private static final int CHANGES = 30;
    private static final int TENANTS = 3;
    private static final long TIMEOUT_MILLIS = 90_000;
    private static final List<String> FLAGS = List.of(
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-XX:CompileThresholdScaling=0.1",
            "-XX:-UsePerfData",
            "-Xms32m",
            "-Xss256k",
            "-XX:MaxDirectMemorySize=24m",
            "-XX:ReservedCodeCacheSize=24m",
            "-Dio.netty.allocator.type=unpooled",
            "-Dio.netty.leakDetectionLevel=disabled");

    /** A change that is awaited, and when each hollow proxy received it first. */
    private static final class AwaitedChange {
        private final String name;
        private final long version;
        private final Map<Integer, Long> receivedAt = new ConcurrentHashMap<>();

        private AwaitedChange(String name, long version) {
            this.name = name;
            this.version = version;
        }
    }

    private final Path folder;
    private final int n;
    private final int second;
    private final int third;
    private final String net;
    private final SplittableRandom random;
    private final MonotonicClock clock = new MonotonicClock();
    private final HttpClient http = HttpClient.newHttpClient();
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(LOOPS, NioIoHandler.newFactory());
    private final Map<String, Process> processes = new TreeMap<>();
    private final List<ApplicationStubs> applications = new ArrayList<>();
    private final List<HollowProxy> proxies = new ArrayList<>();
    private final AtomicReference<AwaitedChange> awaited = new AtomicReference<>(new AwaitedChange("", 0));
    /** By proxy, the controllers that have sent it a complete endpoint list on the connection that is open. */
    private final Map<Integer, Set<String>> complete = new ConcurrentHashMap<>();

    private final Map<String, Object> found = new LinkedHashMap<>();
    /** The longest time between two ticks of a hollow proxy, which are due each 50 ms. */
    private final AtomicLong latest = new AtomicLong();

    private HollowFleetBench(Path folder, long seed, int n) {
        this.folder = folder;
        this.n = n;
        random = new SplittableRandom(seed);
        second = 1 + random.nextInt(250);
        third = random.nextInt(200);
        net = "127." + second + "." + third + ".";
    }

    private String ip(int index) {
        return "127." + second + "." + (third + 1 + index / 250) + "." + (1 + index % 250);
    }

    /** A hollow proxy; used on its event loop alone. */
    private final class HollowProxy implements PeerConnectionPool.Listener {
        private final int index;
        private final EventLoop loop;
        private final ConfigurationSubscriber configuration = new ConfigurationSubscriber();
        private final QuotaShares quotas = new QuotaShares();
        private final PeerConnectionPool connections;
        private final Map<String, ControllerMessage.EndpointUpdate> lastUpdates = new HashMap<>();
        private long registrationNumber;
        private long ticks;
        private long tickedAt;
        private PeerConnection totalsConnection;

        private HollowProxy(int index, EventLoop loop) {
            this.index = index;
            this.loop = loop;
            connections = new PeerConnectionPool(
                    new PeerTransport(loop, clock),
                    clock,
                    CONNECTION_PLAN,
                    () -> ControllerMessageCodec.hello("side-" + index),
                    this);
            loop.execute(() -> connections.setAddresses(IntStream.rangeClosed(1, CONTROLLERS)
                    .mapToObj(controller -> net + controller + ":21700")
                    .collect(Collectors.toSet())));
            loop.scheduleAtFixedRate(this::tick, random.nextInt(50), 50, TimeUnit.MILLISECONDS);
        }

        private void tick() {
            ticks++;
            long now = clock.getAsLong();
            latest.accumulateAndGet(tickedAt == 0 ? 0 : now - tickedAt, Math::max);
            tickedAt = now;
            connections.tick();
            requestConfiguration();
            if (ticks % 4 == 0) {
                publishDemand();
            }
            if (ticks % 40 == 0) {
                publishRegistration();
            }
        }

        private void requestConfiguration() {
            String address = configuration.nextRequestTarget(clock.getAsLong());
            if (address != null) {
                connections.send(address, ControllerMessageCodec.configurationRequest(configuration.version()));
            }
        }

        private void publishDemand() {
            for (int k = 0; k < TENANTS; k++) {
                quotas.tryAcquire(clock.getAsLong(), "tenant-" + (index * 7 + k * 13) % 200, 50, 20);
            }
            boolean isComplete = ticks % 40 == 0;
            Map<String, Double> demand = quotas.takeChangedDemand(clock.getAsLong(), isComplete);
            if (!demand.isEmpty()) {
                sendToAll(ControllerMessageCodec.demand(demand, isComplete));
            }
            PeerConnection connection = connections.connection(net + (1 + index % CONTROLLERS) + ":21700");
            if (connection != null && connection != totalsConnection) {
                totalsConnection = connection;
                connection.send(ControllerMessageCodec.totalsSubscription(true));
            }
        }

        private Map<String, Object> registration() {
            return ControllerMessageCodec.registration(
                    HollowFleet.berth(index, registrationNumber, ip(index)), clock.getAsLong());
        }

        private void publishRegistration() {
            sendToAll(registration());
        }

        private void sendToAll(Map<String, Object> message) {
            connections.addresses().forEach(address -> connections.send(address, message));
        }

        @Override
        public void connected(String address, PeerConnection connection) {
            connection.send(registration());
            ControllerMessage.EndpointUpdate last = lastUpdates.get(address);
            connection.send(
                    last == null
                            ? ControllerMessageCodec.subscription(0, -1)
                            : ControllerMessageCodec.subscription(last.controllerIncarnation(), last.offset()));
        }

        @Override
        public void received(String address, PeerConnection connection, Map<String, Object> head, byte[] body) {
            ControllerMessage message = ControllerMessageCodec.decode(head, clock.getAsLong());
            if (message instanceof ControllerMessage.VersionAnnouncement announcement) {
                configuration.versionAnnounced(address, announcement.version());
                requestConfiguration();
            } else if (message instanceof ControllerMessage.EndpointUpdate update) {
                receive(address, update);
            } else if (message instanceof ControllerMessage.ConfigurationChunk chunk) {
                receive(address, chunk, body);
            } else if (message instanceof ControllerMessage.DemandTotals totals) {
                quotas.updateTotals(clock.getAsLong(), address, totals.demandByTenant());
            }
        }

        private void receive(String address, ControllerMessage.EndpointUpdate update) {
            lastUpdates.put(
                    address,
                    new ControllerMessage.EndpointUpdate(
                            update.controllerIncarnation(), update.offset(), false, List.of(), List.of()));
            if (update.isComplete()) {
                complete.computeIfAbsent(index, i -> ConcurrentHashMap.newKeySet())
                        .add(address);
            }
            update.registrations().forEach(registration -> received(registration.name(), registration.number()));
        }

        private void receive(String address, ControllerMessage.ConfigurationChunk chunk, byte[] body) {
            try {
                List<Item> items = ItemChunks.unpack(body);
                if (configuration.chunkReceived(clock.getAsLong(), address, chunk, items)) {
                    items.forEach(item -> received(item.key().name(), item.version()));
                }
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }

        private void received(String name, long version) {
            AwaitedChange change = awaited.get();
            if (change.version == version && change.name.equals(name)) {
                change.receivedAt.putIfAbsent(index, clock.getAsLong());
            }
        }

        @Override
        public void disconnected(String address, PeerConnection connection) {
            if (connections.connection(address) == null) {
                configuration.controllerLost(address);
                quotas.removeController(address);
                complete.computeIfAbsent(index, i -> ConcurrentHashMap.newKeySet())
                        .remove(address);
            }
        }

        @Override
        public void connectFailed(String address) {}
    }

    /** Accepts the connections of real proxies. */
    private static final class IgnoringListener implements PeerConnection.Listener {
        @Override
        public void opened(PeerConnection connection) {}

        @Override
        public void received(PeerConnection connection, Map<String, Object> head, byte[] body) {}

        @Override
        public void closed(PeerConnection connection) {}
    }

    // ---- Processes

    private void start(String name, String service) throws IOException {
        String ip = net + (service == null ? name.substring(1) : "10" + name.substring(1));
        String listen = "\"controlPlane\":\"" + ip + ":21790\""
                + (service == null ? "" : ",\"outbound\":\"" + ip + ":21780\",\"readiness\":\"" + ip + ":21781\"");
        String own = service == null
                ? "\"dataDirectory\":\"" + folder.resolve(name) + "\""
                : "\"application\":\"" + ip + ":21800\",\"service\":\"" + service + "\"";
        String seeds = IntStream.rangeClosed(1, CONTROLLERS)
                .mapToObj(h -> "\"" + net + h + ":21700\"")
                .collect(Collectors.joining(","));
        Files.writeString(
                folder.resolve(name + ".json"),
                "{\"localNode\":{\"nodeName\":\"" + name
                        + "\",\"ipAddress\":\"" + ip + "\",\"zone\":\"z1\",\"region\":\"r1\",\"initialStart\":true,"
                        + own + "},\"network\":{\"listenAddresses\":{" + listen
                        + "},\"internalPortRange\":[21700,21709],\"seedNodes\":[" + seeds
                        + "],\"zones\":{\"z1\":\"r1\"}},\"platform\":{\"heartbeat\":\"500ms\"},"
                        + "\"termTable\":{\"timingBounds\":{\"drain\":\"2500ms\",\"gracePeriod\":\"4s\","
                        + "\"retrySlack\":200,\"retryBudgetRatio\":0.5}}}");
        List<String> command = new ArrayList<>(List.of(System.getProperty("java.home") + "/bin/java"));
        command.addAll(FLAGS);
        command.addAll(List.of(
                service == null ? "-Xmx128m" : "-Xmx96m",
                service == null ? "-XX:MaxMetaspaceSize=64m" : "-XX:MaxMetaspaceSize=48m",
                "-cp",
                System.getProperty("java.class.path"),
                "org.cypressweir.Main",
                service == null ? "harbour" : "pilot"));
        ProcessBuilder builder = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(
                        folder.resolve(name + ".log").toFile()));
        builder.environment()
                .put("CYPRESSWEIR_NODE_FILE", folder.resolve(name + ".json").toString());
        processes.put(name, builder.start());
        if (service != null && applications.size() < REAL_PROXIES) {
            applications.add(new ApplicationStubs(
                    ApplicationStubs.at(ip, 21800),
                    ApplicationStubs.at(ip, 21790),
                    service + "-" + name,
                    service,
                    "z1",
                    8));
        }
    }

    private boolean submit(int controller, String change) {
        try {
            return http.send(
                                    HttpRequest.newBuilder(URI.create(
                                                    "http://" + net + controller + ":21790/cypressweir/config/modify"))
                                            .timeout(Duration.ofSeconds(5))
                                            .POST(HttpRequest.BodyPublishers.ofString(change.replace('\'', '"')))
                                            .build(),
                                    HttpResponse.BodyHandlers.discarding())
                            .statusCode()
                    == 200;
        } catch (IOException e) {
            return false;
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Waits until the condition holds, checking each 5 ms; whether it did. */
    private static boolean await(BooleanSupplier condition) throws InterruptedException {
        long until = System.currentTimeMillis() + TIMEOUT_MILLIS;
        while (!condition.getAsBoolean()) {
            if (System.currentTimeMillis() > until) {
                return false;
            }
            TimeUnit.MILLISECONDS.sleep(5);
        }
        return true;
    }

    /** Processor time in seconds, bytes read and written, and resident kB now and at most. */
    private Map<String, double[]> resourceUse() {
        Map<String, double[]> use = new TreeMap<>();
        processes.forEach((name, process) -> {
            Path proc = Path.of("/proc/" + process.pid());
            try {
                String[] stat =
                        Files.readString(proc.resolve("stat")).split("\\) ")[1].split(" ");
                Map<String, Long> figures = new HashMap<>();
                for (String file : List.of("io", "status")) {
                    for (String line : Files.readAllLines(proc.resolve(file))) {
                        String[] parts = line.split("[:\\s]+");
                        if (parts.length > 1 && parts[1].matches("\\d+")) {
                            figures.put(parts[0], Long.parseLong(parts[1]));
                        }
                    }
                }
                use.put(name, new double[] {
                    (Long.parseLong(stat[11]) + Long.parseLong(stat[12])) / 100.0,
                    figures.get("rchar"),
                    figures.get("wchar"),
                    figures.get("VmRSS"),
                    figures.get("VmHWM")
                });
            } catch (IOException e) {
                use.put(name, new double[5]);
            }
        });
        return use;
    }

    private void recordUse(String phase, Map<String, double[]> before, double seconds) {
        found.put(phase + "_hollow_late_ms", rounded(latest.getAndSet(0) / 1e3));
        resourceUse().forEach((name, now) -> {
            double[] then = before.get(name);
            found.put(
                    phase + "_" + name,
                    JsonCodec.map(
                            "cpu_percent",
                            rounded((now[0] - then[0]) / seconds * 100),
                            "read_kB_s",
                            rounded((now[1] - then[1]) / seconds / 1e3),
                            "written_kB_s",
                            rounded((now[2] - then[2]) / seconds / 1e3),
                            "rss_MB",
                            rounded(now[3] / 1e3),
                            "most_MB",
                            rounded(now[4] / 1e3)));
        });
    }

    private static double rounded(double value) {
        return Math.round(value * 10) / 10.0;
    }

    // ---- The run

    private void run() throws IOException, InterruptedException {
        found.put("hollow", n);
        for (int h = 1; h <= CONTROLLERS; h++) {
            start("h" + h, null);
        }
        for (int p = 1; p <= REAL_PROXIES; p++) {
            start("p" + p, "orders");
        }
        String routes = IntStream.range(0, 200).mapToObj(i -> route(i, 1)).collect(Collectors.joining(","));
        if (!await(() -> submit(
                1,
                "{'upsert':{'serviceTable':{'orders':{'healthPath':'/health',"
                        + "'maxConnections':32,'configVersion':'r1'}},'routeTable':{" + routes + "}}}"))) {
            throw new IllegalStateException("no change was accepted");
        }
        long startedAt = clock.getAsLong();
        Map<String, double[]> before = resourceUse();
        for (int i = 0; i < n; i++) {
            // Real proxies keep a connection to each.
            new PeerTransport(group, clock).listen(new InetSocketAddress(ip(i), 21_700), new IgnoringListener());
            proxies.add(new HollowProxy(i, group.next()));
            // Each is announced to all before it, and one process receives that for all.
            TimeUnit.MILLISECONDS.sleep(Math.max(20, 80 * n / 1_000));
        }
        found.put("all_whole", await(() -> count(CONTROLLERS) == n));
        double seconds = (clock.getAsLong() - startedAt) / 1e6;
        found.put("arrivals_s", rounded(seconds));
        recordUse("arrivals", before, seconds);
        TimeUnit.SECONDS.sleep(4);
        before = resourceUse();
        TimeUnit.SECONDS.sleep(QUIET_SECONDS);
        recordUse("quiet", before, QUIET_SECONDS);
        changes("configuration", true);
        changes("roster", false);
        restartController();
        found.put(
                "alive",
                processes.entrySet().stream()
                        .filter(e -> e.getValue().isAlive())
                        .map(Map.Entry::getKey)
                        .toList());
    }

    /** Proxies that have a complete endpoint list from so many controllers. */
    private long count(int controllers) {
        return complete.values().stream()
                .filter(all -> all.size() >= controllers)
                .count();
    }

    private static String route(int i, int version) {
        return "'route-" + i + "':{'hostname':'orders.mesh','pathPrefix':'/p" + i
                + "/','routeType':'idempotent','timeout':'4s','targetLatency':'3s','priority':1,'service':"
                + "'orders','maxAttempts':3,'publicAccess':false,'configVersion':'r" + version + "'}";
    }

    /** One change after the other; each timed from its submission until each hollow proxy has received it. */
    private void changes(String what, boolean configuration) throws InterruptedException {
        List<Double> all = new ArrayList<>();
        List<Double> last = new ArrayList<>();
        int incomplete = 0;
        Map<String, double[]> before = resourceUse();
        long startedAt = clock.getAsLong();
        for (int c = 0; c < CHANGES; c++) {
            int i = random.nextInt(configuration ? 200 : n);
            AwaitedChange change = new AwaitedChange(configuration ? "route-" + i : "side-" + i, 2 + c);
            awaited.set(change);
            long sent = clock.getAsLong();
            if (configuration) {
                submit(1 + c % CONTROLLERS, "{'upsert':{'routeTable':{" + route(i, 2 + c) + "}}}");
            } else {
                HollowProxy proxy = proxies.get(i);
                int version = 2 + c;
                proxy.loop.execute(() -> {
                    proxy.registrationNumber = version;
                    proxy.publishRegistration();
                });
            }
            incomplete += await(() -> change.receivedAt.size() == n) ? 0 : 1;
            List<Double> times = change.receivedAt.values().stream()
                    .map(at -> (at - sent) / 1e3)
                    .sorted()
                    .toList();
            all.addAll(times);
            last.add(times.isEmpty() ? Double.NaN : times.get(times.size() - 1));
            TimeUnit.MILLISECONDS.sleep(200);
        }
        double seconds = (clock.getAsLong() - startedAt) / 1e6;
        all.sort(Comparator.naturalOrder());
        last.sort(Comparator.naturalOrder());
        found.put(
                what + "_ms",
                JsonCodec.map(
                        "median",
                        rounded(all.get(all.size() / 2)),
                        "p99",
                        rounded(all.get((int) (all.size() * 0.99))),
                        "worst",
                        rounded(all.get(all.size() - 1)),
                        "all_have_it_median",
                        rounded(last.get(last.size() / 2)),
                        "incomplete",
                        incomplete,
                        "a_second",
                        rounded(CHANGES / seconds)));
        recordUse(what, before, seconds);
    }

    /** A controller is killed and restarts: all proxies reconnect to it at once. */
    private void restartController() throws IOException, InterruptedException {
        String name = "h" + CONTROLLERS;
        processes.get(name).destroyForcibly().waitFor();
        TimeUnit.SECONDS.sleep(3);
        String address = net + CONTROLLERS + ":21700";
        long startedAt = clock.getAsLong();
        start(name, null);
        boolean done = await(() -> !processes.get(name).isAlive()
                        || complete.values().stream()
                                        .filter(all -> all.contains(address))
                                        .count()
                                == n)
                && processes.get(name).isAlive();
        double[] its = resourceUse().get(name);
        found.put("return_hollow_late_ms", rounded(latest.getAndSet(0) / 1e3));
        found.put(
                "return",
                JsonCodec.map(
                        "all_have_its_whole",
                        done,
                        "s",
                        rounded((clock.getAsLong() - startedAt) / 1e6),
                        "told",
                        complete.values().stream()
                                .filter(all -> all.contains(address))
                                .count(),
                        "cpu_s",
                        rounded(its[0]),
                        "written_MB",
                        rounded(its[2] / 1e6),
                        "most_MB",
                        rounded(its[4] / 1e3)));
    }

    private void close() throws IOException, InterruptedException {
        for (ApplicationStubs application : applications) {
            application.close();
        }
        for (Process process : processes.values()) {
            process.destroyForcibly().waitFor();
        }
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
    }

    /** A folder to work in, a seed, and how many hollow proxies. */
    public static void main(String[] args) throws IOException, InterruptedException {
        String[] given = String.join(" ", args).split(" ");
        Path folder = Files.createTempDirectory(Files.createDirectories(Path.of(given[0])), "hollow");
        HollowFleetBench bench = new HollowFleetBench(folder, Long.parseLong(given[1]), Integer.parseInt(given[2]));
        try {
            bench.run();
        } finally {
            bench.close();
            System.out.println(new String(JsonCodec.bytes(bench.found), StandardCharsets.UTF_8));
        }
        if (given.length < 4) {
            try (Stream<Path> files = Files.walk(folder)) {
                for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                    Files.delete(file);
                }
            }
        }
        System.exit(0);
    }
}
