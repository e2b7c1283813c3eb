package org.cypressweir.sidecar;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.cypressweir.testkit.PeerStub;
import org.cypressweir.testkit.RawHttpClient;
import org.cypressweir.testkit.WebSocketClient;

/**
 * Cost of a WebSocket tunnel compared with a direct connection, in one run and one process: round trips, throughput,
 * upgrades per second, many idle tunnels, and their effect on plain requests. Argument: number of idle tunnels; each
 * uses four descriptors of this process.
 */
public final class WebSocketBench {

    private static final int ROUND_TRIPS = 20_000;
    private static final int FRAME_BYTES = 64 * 1024;
    private static final int FRAMES = 6_000;
    private static final String UPGRADE_HEADERS = "Connection: Upgrade\r\nUpgrade: websocket\r\n"
            + "Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: " + WebSocketClient.KEY + "\r\n";

    private WebSocketBench() {}

    public static void main(String[] args) throws Exception {
        int tunnels = args.length > 0 && args[0].matches("\\d+") ? Integer.parseInt(args[0]) : 8_500;
        try (IdleServer measureIdleTunnels = new IdleServer();
                PeerStub echo = new PeerStub(WebSocketClient.echo());
                PeerStub sink = new PeerStub(WebSocketBench::receiveAll);
                PeerStub measurePlainRequests = new PeerStub(PeerStub.serves("ok"));
                Harness harness = new Harness(Files.createTempDirectory("ws"), 250_000, 60_000)) {
            harness.startWith("version = 1\n" + route("echo", echo.port()) + route("sink", sink.port())
                    + route("idle", measureIdleTunnels.port()) + route("plain", measurePlainRequests.port()));
            for (int round = 0; round < 2; round++) {
                measureRoundTrips("direct", open(new InetSocketAddress("127.0.0.1", echo.port()), "echo"), round);
                measureRoundTrips("tunnel", open(harness.address, "echo"), round);
            }
            measureThroughput("direct", new InetSocketAddress("127.0.0.1", sink.port()));
            measureThroughput("tunnel", harness.address);
            measureUpgrades(harness);
            measurePlainRequests("no tunnels", harness);
            measurePlainRequests("no tunnels", harness);
            List<WebSocketClient> open = new ArrayList<>();
            while (open.size() < 2_000) {
                open.add(open(harness.address, "idle"));
            }
            measurePlainRequests("2,000 tunnels", harness);
            measureBusyTunnels(open, harness);
        }
        measureIdleTunnels(tunnels);
        System.exit(0);
    }

    private static String route(String name, int port) {
        return "[pools." + name + "]\nsource = \"static\"\nservers = [{ id = \"a\", endpoint = \"127.0.0.1:"
                + port
                + "\" }]\n[routes." + name + "]\npath = \"/" + name + "/*\"\nclass = \"search\"\npool = \""
                + name
                + "\"\n[routes." + name + ".websocket]\nping_interval = \"600s\"\nping_timeout = \"600s\"\n";
    }

    private static void receiveAll(PeerStub.ReceivedRequest seen) throws IOException {
        WebSocketClient ws = WebSocketClient.acceptUpgrade(seen, "");
        byte[] some = new byte[FRAME_BYTES];
        long left = (long) FRAMES * FRAME_BYTES;
        while (left > 0) {
            int count = seen.socket().getInputStream().read(some);
            left -= count < 0 ? left : count;
        }
        ws.text("done");
    }

    private static WebSocketClient open(InetSocketAddress address, String name) throws IOException {
        Harness.Client client = new Harness.Client(address);
        client.raw(Harness.Client.head("GET", "/" + name + "/1", 2_000, UPGRADE_HEADERS, 0));
        RawHttpClient.Message answer = client.answer();
        if (answer.status() != 101) {
            throw new IOException("answered " + answer.firstLine());
        }
        client.socket.setTcpNoDelay(true);
        return new WebSocketClient(client.socket, true);
    }

    private static void measureRoundTrips(String name, WebSocketClient ws, int round) throws IOException {
        long[] took = new long[ROUND_TRIPS];
        byte[] message = new byte[100];
        for (int i = 0; i < ROUND_TRIPS; i++) {
            long since = System.nanoTime();
            ws.send(2, true, message);
            ws.message();
            took[i] = System.nanoTime() - since;
        }
        Arrays.sort(took);
        if (round > 0) {
            System.out.printf(
                    "round trip, %s: median %.0f us, 99%% %.0f us%n",
                    name, took[ROUND_TRIPS / 2] / 1e3, took[ROUND_TRIPS / 100 * 99] / 1e3);
        }
        ws.close(1000);
    }

    private static void measureThroughput(String name, InetSocketAddress address) throws IOException {
        WebSocketClient ws = open(address, "sink");
        byte[] frame = WebSocketClient.frame(true, 0x82, new byte[FRAME_BYTES]);
        long since = System.nanoTime();
        for (int i = 0; i < FRAMES; i++) {
            ws.raw(frame);
        }
        ws.message();
        System.out.printf(
                "one way, %s: %.0f MB/s%n",
                name, (double) FRAMES * FRAME_BYTES / (1 << 20) / ((System.nanoTime() - since) / 1e9));
    }

    private static void measureUpgrades(Harness harness) throws Exception {
        AtomicInteger done = new AtomicInteger();
        long until = System.nanoTime() + 4_000_000_000L;
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            Thread thread = new Thread(() -> {
                while (System.nanoTime() < until) {
                    try {
                        WebSocketClient ws = open(harness.address, "echo").close(1000);
                        ws.message();
                        ws.read();
                        done.incrementAndGet();
                    } catch (IOException e) {
                        throw new IllegalStateException(e);
                    }
                }
            });
            thread.start();
            threads.add(thread);
        }
        for (Thread thread : threads) {
            thread.join();
        }
        System.out.printf("upgrades, opened and closed: %.0f a second%n", done.get() / 4.0);
    }

    private static void measurePlainRequests(String name, Harness harness) throws IOException {
        Harness.Client client = new Harness.Client(harness.address);
        long[] took = new long[ROUND_TRIPS];
        for (int i = 0; i < ROUND_TRIPS; i++) {
            long since = System.nanoTime();
            client.raw(Harness.Client.head("GET", "/plain/1", 2_000, "", 0)).answer();
            took[i] = System.nanoTime() - since;
        }
        client.close();
        Arrays.sort(took);
        System.out.printf(
                "plain requests, %s: median %.0f us, 99%% %.0f us%n",
                name, took[ROUND_TRIPS / 2] / 1e3, took[ROUND_TRIPS / 100 * 99] / 1e3);
    }

    /** Sends 2,000 messages a second over the tunnels in turn while plain requests run. */
    private static void measureBusyTunnels(List<WebSocketClient> open, Harness harness) throws Exception {
        CountDownLatch end = new CountDownLatch(1);
        Thread talking = new Thread(() -> {
            try {
                for (int i = 0; end.getCount() > 0; i++) {
                    open.get(i % open.size()).send(2, true, new byte[100]);
                    if (i % 20 == 0) {
                        Thread.sleep(10);
                    }
                }
            } catch (IOException | InterruptedException e) {
                throw new IllegalStateException(e);
            }
        });
        talking.start();
        measurePlainRequests("2,000 tunnels, 2,000 messages a second", harness);
        end.countDown();
        talking.join();
    }

    /** Memory and CPU of idle tunnels; the sidecar runs in a separate process, whose descriptors bound their number. */
    private static void measureIdleTunnels(int count) throws Exception {
        Path folder = Files.createTempDirectory("idle");
        try (IdleServer server = new IdleServer();
                Harness config = new Harness(folder, 250_000, 20_000)) {
            Path file = folder.resolve("operators.toml");
            Files.writeString(file, "version = 1\n" + route("idle", server.port()));
            try (RunningSidecar served = new RunningSidecar(config.file, " --operators " + file)) {
                double before = served.residentMegabytes();
                List<WebSocketClient> open = new ArrayList<>();
                long since = System.nanoTime();
                while (open.size() < count) {
                    open.add(open(served.address, "idle"));
                }
                double seconds = (System.nanoTime() - since) / 1e9;
                double memory = served.residentMegabytes() - before;
                double cpu = served.cpuSeconds();
                Thread.sleep(10_000);
                System.out.printf(
                        "%d idle tunnels, opened in turn in %.1f s: %.1f kB each of the process,"
                                + " %.1f%% of a core%n",
                        open.size(), seconds, memory * 1024 / count, (served.cpuSeconds() - cpu) * 10);
            }
        }
    }

    /** A server that accepts upgrades and then stays silent, without a thread per connection. */
    private static final class IdleServer implements AutoCloseable {
        private final ServerSocket listener = new ServerSocket(0, 512, InetAddress.getLoopbackAddress());
        private final List<Socket> sockets = new ArrayList<>();

        IdleServer() throws IOException {
            Thread thread = new Thread(this::accept, "idle");
            thread.setDaemon(true);
            thread.start();
        }

        int port() {
            return listener.getLocalPort();
        }

        private void accept() {
            try {
                while (true) {
                    Socket socket = listener.accept();
                    sockets.add(socket);
                    RawHttpClient.Message asked = RawHttpClient.read(socket.getInputStream());
                    socket.getOutputStream()
                            .write(WebSocketClient.switchingProtocols(
                                            asked.headers().get("Sec-WebSocket-Key"), "")
                                    .getBytes(StandardCharsets.US_ASCII));
                }
            } catch (IOException e) {
                // Closed: the measurement is over.
            }
        }

        @Override
        public void close() throws IOException {
            listener.close();
        }
    }
}
