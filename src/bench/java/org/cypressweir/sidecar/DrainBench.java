package org.cypressweir.sidecar;

import java.io.IOException;
import java.lang.reflect.Proxy;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.BiFunction;
import org.cypressweir.loadbalancing.LoadBalancer;
import org.cypressweir.loadbalancing.LoadBalancer.Actions;
import org.cypressweir.loadbalancing.LoadBalancer.Settings;
import org.cypressweir.loadbalancing.SubsetLoadBalancer;
import org.cypressweir.testkit.RawHttpClient;
import org.cypressweir.testkit.WebSocketClient;

/**
 * Balance of WebSocket tunnels on 3, 15 and 100 servers, after one has joined and after one was drained, with and
 * without the tunnels counted as load. Then a drain of a server with 5,000 tunnels whose clients reconnect immediately:
 * with reconnects spread over time, without, and with tunnels that are moved. Servers run in a separate process.
 * Argument: {@code drains} to run only the second part.
 */
public final class DrainBench {

    private static final String UPGRADE_HEADERS = "Connection: Upgrade\r\nUpgrade: websocket\r\n"
            + "Sec-WebSocket-Version: 13\r\nSec-WebSocket-Protocol: chat\r\nSec-WebSocket-Key: " + WebSocketClient.KEY
            + "\r\n";
    private static final String UNLIMITED_RECONNECTS = "reconnect_rate = 100000\n";
    private static final int UNLIMITED_RATE = 100_000;
    private static final int TUNNELS_PER_SERVER = 30;
    private static final String RESUMABLE = "resumable = [\"chat\"]\nresume_header = \"Resume: yes\"\n";

    private DrainBench() {}

    public static void main(String[] args) throws Exception {
        boolean drainsOnly = args.length > 0 && args[0].equals("drains");
        for (int count : drainsOnly ? new int[0] : new int[] {3, 15, 100}) {
            measureBalance(count, true);
            measureBalance(count, false);
        }
        int tunnels = 5_000;
        measureDrain("spread, 250 a second to each server", tunnels, 250, "reconnect_rate = 250\n");
        measureDrain("not spread", tunnels, UNLIMITED_RATE, UNLIMITED_RECONNECTS);
        measureDrain(
                "moved, 250 a second to each server", tunnels, UNLIMITED_RATE, RESUMABLE + "reconnect_rate = 250\n");
        measureDrain(
                "moved, 2,000 a second to each server", tunnels, UNLIMITED_RATE, RESUMABLE + "reconnect_rate = 2000\n");
        System.exit(0);
    }

    /** A load balancer that is not told about the tunnels of servers. */
    private static LoadBalancer unweighted(Settings settings, Actions actions) {
        LoadBalancer real = new SubsetLoadBalancer(settings, actions);
        return (LoadBalancer) Proxy.newProxyInstance(
                DrainBench.class.getClassLoader(), new Class<?>[] {LoadBalancer.class}, (proxy, method, arguments) -> {
                    if (method.getName().equals("externalLoad")) {
                        return null;
                    }
                    if (method.getName().equals("request")) {
                        LoadBalancer.Request r = (LoadBalancer.Request) arguments[1];
                        arguments[1] = new LoadBalancer.Request(
                                r.id(),
                                r.requestClass(),
                                r.tenant(),
                                r.repeat(),
                                r.key(),
                                r.deadlineMicros(),
                                r.hintMicros(),
                                r.write());
                    }
                    return method.invoke(real, arguments);
                });
    }

    private static void measureBalance(int count, boolean weighted) throws Exception {
        int tunnels = TUNNELS_PER_SERVER * count;
        BiFunction<Settings, Actions, LoadBalancer> module =
                weighted ? SubsetLoadBalancer::new : DrainBench::unweighted;
        try (DrainServers servers = new DrainServers(count + 1);
                Harness harness = new Harness(Files.createTempDirectory("drain"), 250_000, 40_000)) {
            int[] ports = servers.ports();
            harness.startWith(
                    file(UNLIMITED_RATE, RESUMABLE + UNLIMITED_RECONNECTS, Arrays.copyOf(ports, count)), module);
            List<WebSocketClient> all = new ArrayList<>();
            for (int i = 0; i < tunnels; i++) {
                all.add(open(harness));
            }
            System.out.printf(
                    "%3d servers, tunnels %s: largest against mean %.2f",
                    count, weighted ? "weigh" : "weigh nothing", maxToMean(servers.open(), 0, count));
            harness.reload(file(UNLIMITED_RATE, RESUMABLE + UNLIMITED_RECONNECTS, ports));
            int joined = 0;
            while (joined < 4 * tunnels && servers.open()[count] < TUNNELS_PER_SERVER) {
                all.add(open(harness));
                Thread.sleep(5);
                joined++;
            }
            System.out.printf(
                    "; a new one has %d after %d more, 200 a second; then %.2f",
                    TUNNELS_PER_SERVER, joined, maxToMean(servers.open(), 0, count + 1));
            harness.reload(
                    file(UNLIMITED_RATE, RESUMABLE + UNLIMITED_RECONNECTS, Arrays.copyOfRange(ports, 1, count + 1)));
            while (servers.open()[0] > 0) {
                Thread.sleep(5);
            }
            System.out.printf("; after a drain by moves %.2f%n", maxToMean(servers.open(), 1, count + 1));
            for (WebSocketClient ws : all) {
                ws.closeConnection();
            }
        }
    }

    private static double maxToMean(int[] open, int from, int to) {
        int[] part = Arrays.copyOfRange(open, from, to);
        return Arrays.stream(part).max().orElseThrow()
                / Arrays.stream(part).average().orElseThrow();
    }

    private static void measureDrain(String label, int tunnels, int rate, String keys) throws Exception {
        try (DrainServers servers = new DrainServers(3);
                Harness harness = new Harness(Files.createTempDirectory("drain"), 250_000, 40_000)) {
            int[] ports = servers.ports();
            harness.startWith(file(UNLIMITED_RATE, keys, Arrays.copyOf(ports, 1)));
            ConcurrentLinkedQueue<Long> reconnects = new ConcurrentLinkedQueue<>();
            ConcurrentLinkedQueue<Long> refused = new ConcurrentLinkedQueue<>();
            List<Thread> clients = new ArrayList<>();
            for (int i = 0; i < tunnels; i++) {
                WebSocketClient ws = open(harness);
                Thread client = new Thread(
                        null, () -> reconnectRepeatedly(harness, ws, reconnects, refused), "client", 128 * 1024);
                client.setDaemon(true);
                client.start();
                clients.add(client);
            }
            harness.reload(file(rate, keys, ports));
            System.out.printf("%d tunnels of one server, two others, %s", tunnels, label);
            measurePlainRequests(harness, "before", 2_000);
            long since = System.nanoTime();
            harness.reload(file(rate, keys, Arrays.copyOfRange(ports, 1, 3)));
            Thread[] waiting = {
                new Thread(() -> {
                    try {
                        while (servers.open()[0] > 0 || servers.open()[1] + servers.open()[2] < tunnels) {
                            Thread.sleep(5);
                        }
                    } catch (IOException | InterruptedException e) {
                        System.out.println(e);
                    }
                })
            };
            waiting[0].start();
            measurePlainRequests(harness, "during", 2_000);
            waiting[0].join();
            System.out.printf(
                    "; all at other servers after %.1f s, most in 100 ms: %d back, %d refused;"
                            + " moved %d; one has %.2f of the mean%n",
                    (System.nanoTime() - since) / 1e9,
                    maxInWindow(reconnects),
                    maxInWindow(refused),
                    harness.moved(),
                    maxToMean(servers.open(), 1, 3));
        }
    }

    /** A client that reconnects as soon as its tunnel is closed, and honours {@code Retry-After}. */
    private static void reconnectRepeatedly(
            Harness harness,
            WebSocketClient first,
            ConcurrentLinkedQueue<Long> reconnects,
            ConcurrentLinkedQueue<Long> refused) {
        try {
            for (WebSocketClient ws = first; ; ) {
                WebSocketClient.Frame f = ws.message();
                if (f == null) {
                    ws.closeConnection();
                    return;
                }
                ws.close(1001);
                ws.closeConnection();
                ws = null;
                while (ws == null) {
                    Harness.Client client = new Harness.Client(harness.address);
                    client.raw(Harness.Client.head("GET", "/search/1", 2_000, UPGRADE_HEADERS, 0));
                    RawHttpClient.Message answer = client.answer();
                    if (answer.status() == 101) {
                        reconnects.add(System.nanoTime());
                        client.socket.setSoTimeout(0);
                        ws = new WebSocketClient(client.socket, true);
                    } else {
                        refused.add(System.nanoTime());
                        client.close();
                        Thread.sleep((long)
                                (1_000 * Double.parseDouble(answer.headers().getOrDefault("Retry-After", "0.1"))));
                    }
                }
            }
        } catch (IOException | RuntimeException | InterruptedException e) {
            // The measurement is over.
        }
    }

    private static int maxInWindow(ConcurrentLinkedQueue<Long> times) {
        long[] sorted = times.stream().mapToLong(t -> t).sorted().toArray();
        int maxInWindow = 0;
        for (int from = 0, to = 0; to < sorted.length; to++) {
            while (sorted[to] - sorted[from] > 100_000_000) {
                from++;
            }
            maxInWindow = Math.max(maxInWindow, to - from + 1);
        }
        return maxInWindow;
    }

    private static void measurePlainRequests(Harness harness, String when, int count) throws Exception {
        Harness.Client client = new Harness.Client(harness.address);
        long[] took = new long[count];
        int late = 0;
        for (int i = 0; i < count; i++) {
            long since = System.nanoTime();
            int status = client.raw(Harness.Client.head("GET", "/search/1", 2_000, "", 0))
                    .answer()
                    .status();
            took[i] = System.nanoTime() - since;
            late += status != 200 || took[i] > 400_000_000L ? 1 : 0;
            Thread.sleep(1);
        }
        client.close();
        Arrays.sort(took);
        System.out.printf(
                "; plain requests %s: 99%% %.1f ms, %d of %d not in time",
                when, took[count / 100 * 99] / 1e6, late, count);
    }

    private static String file(int rate, String keys, int... ports) {
        StringBuilder text = new StringBuilder(
                "version = 1\n[pools.p]\nsource = \"static\"\nupgrade_rate = " + rate + "\nservers = [\n");
        for (int port : ports) {
            text.append("{ id = \"s")
                    .append(port)
                    .append("\", endpoint = \"127.0.0.1:")
                    .append(port)
                    .append("\", zone = \"a\" },\n");
        }
        return text.append("]\n[routes.search]\npath = \"/search/*\"\nclass = \"search\"\npool = \"p\"\n"
                        + "[routes.search.websocket]\ndrain_time = \"60s\"\nping_interval = \"600s\"\n")
                .append(keys)
                .toString();
    }

    private static WebSocketClient open(Harness harness) throws IOException {
        Harness.Client client = new Harness.Client(harness.address);
        client.raw(Harness.Client.head("GET", "/search/1", 2_000, UPGRADE_HEADERS, 0));
        RawHttpClient.Message answer = client.answer();
        if (answer.status() != 101) {
            throw new IOException("answered " + answer.firstLine());
        }
        client.socket.setSoTimeout(0);
        return new WebSocketClient(client.socket, true);
    }
}
