package org.cypressweir.dataplane.proxy;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
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
import org.cypressweir.common.util.Json;
import org.cypressweir.controlplane.configuration.Item;
import org.cypressweir.controlplane.consensus.ProposalNumber;
import org.cypressweir.controlplane.distribution.ItemChunks;
import org.cypressweir.dataplane.quota.QuotaShares;
import org.cypressweir.loadbalancing.HollowFleet;
import org.cypressweir.testkit.ApplicationStubs;

/**
 * Three harbours as processes with the settings that they run with, real pilots with a server each, and so
 * many hollow pilots in this process: these have no server and keep no roster, but their own lines, beats,
 * tallies and stamps; they take the lines of real pilots and dial none themselves. Loopback only; it ends
 * what it has started.
 */
public final class HollowFleetBench {

    /** The plan of a pilot's lines to harbours. */
    private static final PeerConnectionPool.Options LINES =
            new PeerConnectionPool.Options(500_000, 1_200_000, 4_000_000, 100_000, 500_000, 800);

    private static final int LOOPS = 6;
    private static final int HARBOURS = 3;
    private static final int REAL = 2;
    private static final int QUIET_SECONDS = 15;
    private static final int CHANGES = 30;
    private static final int TENANTS = 3;
    private static final long PATIENCE_MILLIS = 90_000;
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

    /** A change that is waited for, and when each hollow pilot knew it first. */
    private static final class Awaited {
        private final String name;
        private final long version;
        private final Map<Integer, Long> known = new ConcurrentHashMap<>();

        private Awaited(String name, long version) {
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
    private final List<ApplicationStubs> ships = new ArrayList<>();
    private final List<One> pilots = new ArrayList<>();
    private final AtomicReference<Awaited> awaited = new AtomicReference<>(new Awaited("", 0));
    /** By pilot, the harbours that have told it a whole roster on the line that is up. */
    private final Map<Integer, Set<String>> whole = new ConcurrentHashMap<>();

    private final Map<String, Object> found = new LinkedHashMap<>();
    /** The longest time between two ticks of a hollow pilot, which are due each 50 ms. */
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

    /** A hollow pilot; everything in it happens on its loop. */
    private final class One implements PeerConnectionPool.Listener {
        private final int index;
        private final EventLoop loop;
        private final ConfigurationSubscriber following = new ConfigurationSubscriber();
        private final QuotaShares quotas = new QuotaShares();
        private final PeerConnectionPool moorings;
        private final Map<String, long[]> places = new HashMap<>();
        private long number;
        private long ticks;
        private long tickedAt;
        private PeerConnection tellersLine;

        private One(int index, EventLoop loop) {
            this.index = index;
            this.loop = loop;
            moorings = new PeerConnectionPool(
                    new PeerTransport(loop, clock),
                    clock,
                    LINES,
                    () -> JsonCodec.map("t", "hello", "kind", "pilot", "name", "side-" + index),
                    this);
            loop.execute(() -> moorings.setAddresses(IntStream.rangeClosed(1, HARBOURS)
                    .mapToObj(h -> net + h + ":21700")
                    .collect(Collectors.toSet())));
            loop.scheduleAtFixedRate(this::tick, random.nextInt(50), 50, TimeUnit.MILLISECONDS);
        }

        private void tick() {
            ticks++;
            long now = clock.getAsLong();
            latest.accumulateAndGet(tickedAt == 0 ? 0 : now - tickedAt, Math::max);
            tickedAt = now;
            moorings.tick();
            ask();
            if (ticks % 4 == 0) {
                tellAsked();
            }
            if (ticks % 40 == 0) {
                tellBerth();
            }
        }

        private void ask() {
            String whom = following.ask(clock.getAsLong());
            if (whom != null) {
                moorings.send(
                        whom,
                        JsonCodec.map("t", "want", "have", following.stamp().toString()));
            }
        }

        private void tellAsked() {
            for (int k = 0; k < TENANTS; k++) {
                quotas.ask(clock.getAsLong(), "tenant-" + (index * 7 + k * 13) % 200, 50, 20);
            }
            boolean all = ticks % 40 == 0;
            Map<String, Double> asked = quotas.news(clock.getAsLong(), all);
            if (!asked.isEmpty()) {
                toAll(JsonCodec.map("t", "tally", "asked", asked, "whole", all));
            }
            PeerConnection teller = moorings.connection(net + (1 + index % HARBOURS) + ":21700");
            if (teller != null && teller != tellersLine) {
                tellersLine = teller;
                teller.send(JsonCodec.map("t", "sums", "on", true));
            }
        }

        private Map<String, Object> berth() {
            return JsonCodec.map(
                    "t",
                    "berth",
                    "berth",
                    HollowFleet.berth(index, number, ip(index)).toMap(clock.getAsLong()));
        }

        private void tellBerth() {
            toAll(berth());
        }

        private void toAll(Map<String, Object> head) {
            moorings.addresses().forEach(address -> moorings.send(address, head));
        }

        @Override
        public void connected(String address, PeerConnection line) {
            line.send(berth());
            long[] place = places.getOrDefault(address, new long[] {0, -1});
            line.send(JsonCodec.map("t", "follow", "life", place[0], "place", place[1]));
        }

        @Override
        public void received(String address, PeerConnection line, Map<String, Object> head, byte[] body) {
            switch (JsonCodec.text(head, "t")) {
                case "welcome", "stamp" -> {
                    following.shows(address, ProposalNumber.of(JsonCodec.text(head, "stamp")));
                    ask();
                }
                case "roster" -> {
                    places.put(
                            address, new long[] {Json.longValue(head, "life", 0), Json.longValue(head, "place", -1)});
                    if (Json.flag(head, "whole")) {
                        whole.computeIfAbsent(index, i -> ConcurrentHashMap.newKeySet())
                                .add(address);
                    }
                    for (Object one : Json.array(head, "berths")) {
                        Map<?, ?> berth = (Map<?, ?>) one;
                        known(JsonCodec.text(berth, "name"), Json.longValue(berth, "number", 0));
                    }
                }
                case "items" -> items(address, head, body);
                case "tallies" -> quotas.told(clock.getAsLong(), address, Json.object(head, "asked"));
                default -> {}
            }
        }

        private void items(String address, Map<String, Object> head, byte[] body) {
            try {
                List<Item> items = ItemChunks.unpack(body);
                if (following.told(clock.getAsLong(), address, head, items)) {
                    items.forEach(item -> known(item.key().name(), item.version()));
                }
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        }

        private void known(String name, long version) {
            Awaited its = awaited.get();
            if (its.version == version && its.name.equals(name)) {
                its.known.putIfAbsent(index, clock.getAsLong());
            }
        }

        @Override
        public void disconnected(String address, PeerConnection line) {
            if (moorings.connection(address) == null) {
                following.lost(address);
                quotas.silent(address);
                whole.computeIfAbsent(index, i -> ConcurrentHashMap.newKeySet()).remove(address);
            }
        }

        @Override
        public void connectFailed(String address) {}
    }

    /** Takes what real pilots say. */
    private static final class Silent implements PeerConnection.Listener {
        @Override
        public void opened(PeerConnection line) {}

        @Override
        public void received(PeerConnection line, Map<String, Object> head, byte[] body) {}

        @Override
        public void closed(PeerConnection line) {}
    }

    // ---- Processes

    private void start(String name, String service) throws IOException {
        String ip = net + (service == null ? name.substring(1) : "10" + name.substring(1));
        String listen = "\"controlPlane\":\"" + ip + ":21790\""
                + (service == null ? "" : ",\"outbound\":\"" + ip + ":21780\",\"readiness\":\"" + ip + ":21781\"");
        String own = service == null
                ? "\"dataDirectory\":\"" + folder.resolve(name) + "\""
                : "\"application\":\"" + ip + ":21800\",\"service\":\"" + service + "\"";
        String seeds = IntStream.rangeClosed(1, HARBOURS)
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
        if (service != null && ships.size() < REAL) {
            ships.add(new ApplicationStubs(
                    ApplicationStubs.at(ip, 21800),
                    ApplicationStubs.at(ip, 21790),
                    service + "-" + name,
                    service,
                    "z1",
                    8));
        }
    }

    private boolean order(int harbour, String order) {
        try {
            return http.send(
                                    HttpRequest.newBuilder(URI.create(
                                                    "http://" + net + harbour + ":21790/cypressweir/config/modify"))
                                            .timeout(Duration.ofSeconds(5))
                                            .POST(HttpRequest.BodyPublishers.ofString(order.replace('\'', '"')))
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

    /** Waits until it holds, looking each 5 ms; whether it did. */
    private static boolean holds(BooleanSupplier what) throws InterruptedException {
        long until = System.currentTimeMillis() + PATIENCE_MILLIS;
        while (!what.getAsBoolean()) {
            if (System.currentTimeMillis() > until) {
                return false;
            }
            TimeUnit.MILLISECONDS.sleep(5);
        }
        return true;
    }

    /** Processor time in seconds, bytes read and written, and resident kB now and at most. */
    private Map<String, double[]> use() {
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

    private void tellUse(String phase, Map<String, double[]> before, double seconds) {
        found.put(phase + "_hollow_late_ms", one(latest.getAndSet(0) / 1e3));
        use().forEach((name, now) -> {
            double[] then = before.get(name);
            found.put(
                    phase + "_" + name,
                    JsonCodec.map(
                            "cpu_percent",
                            one((now[0] - then[0]) / seconds * 100),
                            "read_kB_s",
                            one((now[1] - then[1]) / seconds / 1e3),
                            "written_kB_s",
                            one((now[2] - then[2]) / seconds / 1e3),
                            "rss_MB",
                            one(now[3] / 1e3),
                            "most_MB",
                            one(now[4] / 1e3)));
        });
    }

    private static double one(double value) {
        return Math.round(value * 10) / 10.0;
    }

    // ---- The run

    private void run() throws IOException, InterruptedException {
        found.put("hollow", n);
        for (int h = 1; h <= HARBOURS; h++) {
            start("h" + h, null);
        }
        for (int p = 1; p <= REAL; p++) {
            start("p" + p, "orders");
        }
        String routes = IntStream.range(0, 200).mapToObj(i -> route(i, 1)).collect(Collectors.joining(","));
        if (!holds(() -> order(
                1,
                "{'upsert':{'serviceTable':{'orders':{'healthPath':'/health',"
                        + "'maxConnections':32,'configVersion':'r1'}},'routeTable':{" + routes + "}}}"))) {
            throw new IllegalStateException("no order was taken");
        }
        long begun = clock.getAsLong();
        Map<String, double[]> before = use();
        for (int i = 0; i < n; i++) {
            // Real pilots keep a line to each.
            new PeerTransport(group, clock).listen(new InetSocketAddress(ip(i), 21_700), new Silent());
            pilots.add(new One(i, group.next()));
            // Each is told to all before it, and one process hears that for all.
            TimeUnit.MILLISECONDS.sleep(Math.max(20, 80 * n / 1_000));
        }
        found.put("all_whole", holds(() -> count(HARBOURS) == n));
        double seconds = (clock.getAsLong() - begun) / 1e6;
        found.put("arrivals_s", one(seconds));
        tellUse("arrivals", before, seconds);
        TimeUnit.SECONDS.sleep(4);
        before = use();
        TimeUnit.SECONDS.sleep(QUIET_SECONDS);
        tellUse("quiet", before, QUIET_SECONDS);
        changes("configuration", true);
        changes("roster", false);
        returns();
        found.put(
                "alive",
                processes.entrySet().stream()
                        .filter(e -> e.getValue().isAlive())
                        .map(Map.Entry::getKey)
                        .toList());
    }

    /** Pilots that have had a whole roster from so many harbours. */
    private long count(int harbours) {
        return whole.values().stream().filter(all -> all.size() >= harbours).count();
    }

    private static String route(int i, int version) {
        return "'route-" + i + "':{'hostname':'orders.mesh','pathPrefix':'/p" + i
                + "/','routeType':'idempotent','timeout':'4s','targetLatency':'3s','priority':1,'service':"
                + "'orders','maxAttempts':3,'publicAccess':false,'configVersion':'r" + version + "'}";
    }

    /** One after the other; each counted from its sending until each hollow pilot has it. */
    private void changes(String what, boolean configuration) throws InterruptedException {
        List<Double> all = new ArrayList<>();
        List<Double> last = new ArrayList<>();
        int incomplete = 0;
        Map<String, double[]> before = use();
        long begun = clock.getAsLong();
        for (int c = 0; c < CHANGES; c++) {
            int i = random.nextInt(configuration ? 200 : n);
            Awaited its = new Awaited(configuration ? "route-" + i : "side-" + i, 2 + c);
            awaited.set(its);
            long sent = clock.getAsLong();
            if (configuration) {
                order(1 + c % HARBOURS, "{'upsert':{'routeTable':{" + route(i, 2 + c) + "}}}");
            } else {
                One one = pilots.get(i);
                int version = 2 + c;
                one.loop.execute(() -> {
                    one.number = version;
                    one.tellBerth();
                });
            }
            incomplete += holds(() -> its.known.size() == n) ? 0 : 1;
            List<Double> times = its.known.values().stream()
                    .map(at -> (at - sent) / 1e3)
                    .sorted()
                    .toList();
            all.addAll(times);
            last.add(times.isEmpty() ? Double.NaN : times.get(times.size() - 1));
            TimeUnit.MILLISECONDS.sleep(200);
        }
        double seconds = (clock.getAsLong() - begun) / 1e6;
        all.sort(Comparator.naturalOrder());
        last.sort(Comparator.naturalOrder());
        found.put(
                what + "_ms",
                JsonCodec.map(
                        "median",
                        one(all.get(all.size() / 2)),
                        "p99",
                        one(all.get((int) (all.size() * 0.99))),
                        "worst",
                        one(all.get(all.size() - 1)),
                        "all_have_it_median",
                        one(last.get(last.size() / 2)),
                        "incomplete",
                        incomplete,
                        "a_second",
                        one(CHANGES / seconds)));
        tellUse(what, before, seconds);
    }

    /** A harbour is ended and comes back: all pilots come to it at once. */
    private void returns() throws IOException, InterruptedException {
        String name = "h" + HARBOURS;
        processes.get(name).destroyForcibly().waitFor();
        TimeUnit.SECONDS.sleep(3);
        String address = net + HARBOURS + ":21700";
        long begun = clock.getAsLong();
        start(name, null);
        boolean done = holds(() -> !processes.get(name).isAlive()
                        || whole.values().stream()
                                        .filter(all -> all.contains(address))
                                        .count()
                                == n)
                && processes.get(name).isAlive();
        double[] its = use().get(name);
        found.put("return_hollow_late_ms", one(latest.getAndSet(0) / 1e3));
        found.put(
                "return",
                JsonCodec.map(
                        "all_have_its_whole",
                        done,
                        "s",
                        one((clock.getAsLong() - begun) / 1e6),
                        "told",
                        whole.values().stream()
                                .filter(all -> all.contains(address))
                                .count(),
                        "cpu_s",
                        one(its[0]),
                        "written_MB",
                        one(its[2] / 1e6),
                        "most_MB",
                        one(its[4] / 1e3)));
    }

    private void close() throws IOException, InterruptedException {
        for (ApplicationStubs ship : ships) {
            ship.close();
        }
        for (Process process : processes.values()) {
            process.destroyForcibly().waitFor();
        }
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
    }

    /** A folder to work in, a seed, and how many hollow pilots. */
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
