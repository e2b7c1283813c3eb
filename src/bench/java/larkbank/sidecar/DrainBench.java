package larkbank.sidecar;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import larkbank.testkit.Http;
import larkbank.testkit.Ws;

/**
 * How evenly tunnels lie on 3 and on 15 servers, after a new one has joined, and what a drain of one server
 * does:
 * time to the last close, most reconnects in 100 ms, and plain requests meanwhile; with the rate of closing
 * bounded
 * by what the others take, and in effect without. Argument: how many tunnels.
 */
public final class DrainBench {

    private static final String MORE = "Connection: Upgrade\r\nUpgrade: websocket\r\n"
            + "Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: " + Ws.KEY + "\r\n";

    private DrainBench() { }

    public static void main(String[] args) throws Exception {
        int tunnels = args.length > 0 && args[0].matches("\\d+") ? Integer.parseInt(args[0]) : 1_500;
        for (int servers : new int[] {3, 15}) {
            for (int rate : new int[] {50, 100_000}) {
                run(servers, rate, tunnels);
            }
        }
        System.exit(0);
    }

    private static void run(int count, int rate, int tunnels) throws Exception {
        List<Server> servers = new ArrayList<>();
        for (int i = 0; i < count + 1; i++) {
            servers.add(new Server());
        }
        try (Harness harness = new Harness(Files.createTempDirectory("drain"), 250_000, 18_000)) {
            harness.startWith(file(rate, servers.subList(0, count)));
            ConcurrentLinkedQueue<Long> reconnects = new ConcurrentLinkedQueue<>();
            AtomicBoolean on = new AtomicBoolean(true);
            ExecutorService clients = Executors.newCachedThreadPool();
            List<Ws> open = new ArrayList<>();
            for (int i = 0; i < tunnels; i++) {
                open.add(open(harness));
            }
            System.out.printf("%d servers, %d a second: largest against mean %.2f", count, rate,
                    uneven(servers.subList(0, count)));
            harness.reload(file(rate, servers));
            for (int i = 0; i < tunnels / count; i++) {
                open.add(open(harness));
            }
            System.out.printf("; the new one has %.2f of the mean after as many more as were on one",
                    servers.get(count).open.get() * (count + 1.0) / (tunnels + tunnels / count));
            for (Ws ws : open) {
                clients.execute(() -> stay(harness, ws, reconnects, on));
            }
            plain(harness, "before", 2_000);
            int leaving = servers.get(0).open.get();
            long since = System.nanoTime();
            harness.reload(file(rate, servers.subList(1, count + 1)));
            AtomicBoolean drained = new AtomicBoolean();
            Thread waiting = new Thread(() -> {
                while (servers.get(0).open.get() > 0) {
                    Thread.onSpinWait();
                }
                drained.set(true);
            });
            waiting.start();
            plain(harness, "during", 2_000);
            waiting.join();
            double seconds = (System.nanoTime() - since) / 1e9;
            System.out.printf("; drain of %d took %.1f s, at most %d reconnects in 100 ms%n", leaving,
                    seconds,
                    most(reconnects));
            on.set(false);
            clients.shutdownNow();
        }
    }

    /** A client that comes back as soon as it is told to go. */
    private static void stay(Harness harness, Ws first, ConcurrentLinkedQueue<Long> reconnects,
            AtomicBoolean on) {
        try {
            Ws ws = first;
            while (on.get()) {
                Ws.Frame f = ws.message();
                if (f == null || !on.get()) {
                    return;
                }
                ws.close(1001);
                reconnects.add(System.nanoTime());
                ws = open(harness);
            }
        } catch (IOException | RuntimeException e) {
            // The measurement is over, or the wave was refused.
        }
    }

    private static int most(ConcurrentLinkedQueue<Long> times) {
        long[] sorted = times.stream().mapToLong(t -> t).sorted().toArray();
        int most = 0;
        for (int from = 0, to = 0; to < sorted.length; to++) {
            while (sorted[to] - sorted[from] > 100_000_000) {
                from++;
            }
            most = Math.max(most, to - from + 1);
        }
        return most;
    }

    private static double uneven(List<Server> servers) {
        double mean = servers.stream().mapToInt(s -> s.open.get()).average().orElseThrow();
        return servers.stream().mapToInt(s -> s.open.get()).max().orElseThrow() / mean;
    }

    private static void plain(Harness harness, String when, int count) throws IOException {
        Harness.Client client = new Harness.Client(harness.address);
        long[] took = new long[count];
        int late = 0;
        for (int i = 0; i < count; i++) {
            long since = System.nanoTime();
            int status = client.raw(Harness.Client.head("GET", "/search/1", 2_000, "", 0)).answer().status();
            took[i] = System.nanoTime() - since;
            late += status != 200 || took[i] > 400_000_000L ? 1 : 0;
        }
        client.close();
        Arrays.sort(took);
        System.out.printf("; plain requests %s: 99%% %.1f ms, %d of %d not in time", when,
                took[count / 100 * 99] / 1e6,
                late, count);
    }

    private static String file(int rate, List<Server> servers) {
        StringBuilder text = new StringBuilder("version = 1\n[pools.p]\nsource = \"static\"\nservers = [\n");
        for (Server server : servers) {
            text.append("{ id = \"s").append(server.port()).append("\", endpoint = \"127.0.0.1:")
                    .append(server.port()).append("\", zone = \"a\" },\n");
        }
        return text.append("]\n[routes.search]\npath = \"/search/*\"\nclass = \"search\"\npool = \"p\"\n"
                + "[routes.search.websocket]\ndrain_time = \"60s\"\nping_interval = \"600s\"\n"
                + "reconnect_rate = ")
                .append(rate).append('\n').toString();
    }

    private static Ws open(Harness harness) throws IOException {
        Harness.Client client = new Harness.Client(harness.address);
        client.raw(Harness.Client.head("GET", "/search/1", 2_000, MORE, 0));
        Http.Message answer = client.answer();
        if (answer.status() != 101) {
            throw new IOException("answered " + answer.first());
        }
        client.socket.setSoTimeout(0);
        return new Ws(client.socket, true);
    }

    /** Agrees to upgrades, answers plain requests, and counts its tunnels. */
    private static final class Server {
        private final ServerSocket listening = new ServerSocket(0, 512, InetAddress.getLoopbackAddress());
        private final AtomicInteger open = new AtomicInteger();

        Server() throws IOException {
            thread(this::accept);
        }

        private static void thread(Runnable task) {
            Thread thread = new Thread(null, task, "server", 128 * 1024);
            thread.setDaemon(true);
            thread.start();
        }

        int port() {
            return listening.getLocalPort();
        }

        private void accept() {
            try {
                while (true) {
                    Socket socket = listening.accept();
                    thread(() -> talk(socket));
                }
            } catch (IOException e) {
                // Closed: the measurement is over.
            }
        }

        private void talk(Socket socket) {
            try (socket) {
                for (Http.Message m; (m = Http.read(socket.getInputStream())) != null;) {
                    String key = m.headers().get("Sec-WebSocket-Key");
                    if (key == null) {
                        socket.getOutputStream().write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
                                .getBytes(StandardCharsets.US_ASCII));
                        continue;
                    }
                    open.incrementAndGet();
                    try {
                        socket.getOutputStream().write(Ws.agreed(key,
                                "").getBytes(StandardCharsets.US_ASCII));
                        Ws ws = new Ws(socket, false);
                        for (Ws.Frame f; (f = ws.read()) != null && f.opcode() != 8;) {
                            ws.send(f.opcode(), f.last(), f.payload());
                        }
                        ws.close(1001);
                    } finally {
                        open.decrementAndGet();
                    }
                    return;
                }
            } catch (IOException e) {
                // The peer hung up.
            }
        }
    }
}
