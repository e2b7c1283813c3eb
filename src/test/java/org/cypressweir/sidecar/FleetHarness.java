package org.cypressweir.sidecar;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.cypressweir.loadbalancing.SubsetLoadBalancer;
import org.cypressweir.testkit.PeerStub;
import org.cypressweir.testkit.RawHttpClient;

/** Many real sidecars in one process, on loopback, that share servers and a discovery service. */
final class FleetHarness implements AutoCloseable {

    /** All instances may connect at the same time, which is the case under test. */
    private static final int BACKLOG = 4_000;

    private final List<PeerStub> servers = new ArrayList<>();
    private final MultiThreadIoEventLoopGroup group;
    private final List<EventLoop> loops = new ArrayList<>();
    private final List<Sidecar> sidecars = new ArrayList<>();
    private final List<InetSocketAddress> addresses = new ArrayList<>();
    private final PeerStub discovery;
    /** When each call for the list came, in nanoseconds. */
    private final ConcurrentLinkedQueue<Long> calls = new ConcurrentLinkedQueue<>();

    private final Path folder;
    private final int instances;
    private final String fleet;

    /** @param fleet the table {@code [fleet]} of the operators' file; empty for none */
    FleetHarness(Path folder, int instances, int serverCount, int threads, String fleet) throws IOException {
        this.folder = folder;
        this.instances = instances;
        this.fleet = fleet;
        group = new MultiThreadIoEventLoopGroup(threads, NioIoHandler.newFactory());
        discovery = new PeerStub(
                seen -> {
                    calls.add(System.nanoTime());
                    // A long poll waits for changes, of which there are none; a plain call gets a response.
                    if (!seen.request().firstLine().contains("hold_ms=20000")) {
                        seen.reply("200 OK", "", Harness.json(Harness.EMPTY_UPDATE));
                    }
                },
                BACKLOG);
        for (int i = 0; i < serverCount; i++) {
            servers.add(new PeerStub(PeerStub.serves("ok"), BACKLOG));
        }
    }

    /** Starts all instances at the same time, each with its cached list; returns once all of them listen. */
    void start() throws Exception {
        Path operators = folder.resolve("operators.toml");
        Files.writeString(
                operators,
                "version = 1\n" + fleet + "[pools.p]\nsource = \"discovery\"\n"
                        + "[routes.search]\npath = \"/search/*\"\nclass = \"search\"\npool = \"p\"\n");
        Path template;
        try (Harness harness = new Harness(folder, servers.toArray(PeerStub[]::new))) {
            template = harness.file;
            String text = Files.readString(template);
            Files.writeString(
                    template,
                    text.replace(":" + harness.discovery.port() + "\"", ":" + discovery.port() + "\"")
                            .replace("\"ask_every_us\":800000", "\"ask_every_us\":10000000"));
        }
        String text = Files.readString(template);
        List<CompletableFuture<InetSocketAddress>> starting = new ArrayList<>();
        PrintStream log = new PrintStream(OutputStream.nullOutputStream());
        for (int i = 0; i < instances; i++) {
            Path file = folder.resolve("config-" + i + ".json");
            Files.writeString(
                    file,
                    text.replace("\"zone\":0", "\"rank\":" + i + ",\"replicas_of_me\":" + instances + ",\"zone\":0"));
            SidecarConfiguration config = SidecarConfiguration.read(Map.of("LB_CONFIG", file.toString()));
            Layout.Factory layouts = OperatorFileLayout.load(operators, config).layouts();
            EventLoop loop = group.next();
            loops.add(loop);
            sidecars.add(loop.submit(() -> new Sidecar(loop, config, log, SubsetLoadBalancer::new, layouts))
                    .get());
        }
        sidecars.forEach(s -> starting.add(s.start()));
        for (CompletableFuture<InetSocketAddress> s : starting) {
            addresses.add(s.get(30, TimeUnit.SECONDS));
        }
    }

    /** Sends one request to each instance, from this many clients in parallel; returns how many were served. */
    int requestFromAll(int clients) throws Exception {
        List<Thread> threads = new ArrayList<>();
        ConcurrentLinkedQueue<Integer> served = new ConcurrentLinkedQueue<>();
        for (int c = 0; c < clients; c++) {
            int first = c;
            Thread thread = new Thread(() -> {
                for (int i = first; i < instances; i += clients) {
                    try (Harness.Client client = new Harness.Client(addresses.get(i))) {
                        RawHttpClient.Message answer = client.search(2_500).answer();
                        if (answer.status() == 200) {
                            served.add(i);
                        }
                    } catch (IOException | AssertionError e) {
                        // Counted as not served.
                    }
                }
            });
            thread.start();
            threads.add(thread);
        }
        for (Thread thread : threads) {
            thread.join();
        }
        return served.size();
    }

    /** Open connections at all servers together. */
    int connections() {
        return servers.stream().mapToInt(s -> s.accepted.get() - s.ended.size()).sum();
    }

    /** The highest number of open connections at one server. */
    int maxConnectionsPerServer() {
        return servers.stream()
                .mapToInt(s -> s.accepted.get() - s.ended.size())
                .max()
                .orElse(0);
    }

    /** Open connections at discovery. */
    int discoveryConnections() {
        return discovery.accepted.get() - discovery.ended.size();
    }

    int calls() {
        return calls.size();
    }

    /** The highest number of calls for the list within one second. */
    int maxCallsPerSecond() {
        List<Long> times = new ArrayList<>(calls);
        times.sort(null);
        int peak = 0;
        int from = 0;
        for (int i = 0; i < times.size(); i++) {
            while (times.get(i) - times.get(from) >= 1_000_000_000L) {
                from++;
            }
            peak = Math.max(peak, i - from + 1);
        }
        return peak;
    }

    /** Waits until discovery has been called this many times; false if the time runs out first. */
    boolean awaitCalls(int count, long millis) throws InterruptedException {
        long end = System.nanoTime() + millis * 1_000_000;
        while (calls.size() < count && System.nanoTime() < end) {
            discovery.received.poll(Math.max(1, (end - System.nanoTime()) / 1_000_000), TimeUnit.MILLISECONDS);
        }
        return calls.size() >= count;
    }

    @Override
    public void close() throws IOException {
        CountDownLatch ended = new CountDownLatch(sidecars.size());
        for (int i = 0; i < sidecars.size(); i++) {
            Sidecar s = sidecars.get(i);
            loops.get(i).execute(() -> s.stop(ended::countDown));
        }
        try {
            ended.await(20, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        group.shutdownGracefully(0, 2, TimeUnit.SECONDS).awaitUninterruptibly(10, TimeUnit.SECONDS);
        discovery.close();
        for (PeerStub s : servers) {
            s.close();
        }
    }
}
