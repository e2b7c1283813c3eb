package org.cypressweir.sidecar;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;
import org.cypressweir.loadbalancing.LoadBalancer;
import org.cypressweir.loadbalancing.LoadBalancer.Actions;
import org.cypressweir.loadbalancing.LoadBalancer.Settings;
import org.cypressweir.loadbalancing.SubsetLoadBalancer;
import org.cypressweir.sidecar.websocket.UpgradeAccount.Counters;
import org.cypressweir.testkit.PeerStub;
import org.cypressweir.testkit.RawHttpClient;
import org.cypressweir.testkit.SidecarConfigurations;
import org.junit.jupiter.api.Assertions;

/** A sidecar on free loopback ports with scripted servers, a scripted discovery service and raw clients. */
final class Harness implements AutoCloseable {

    static final String EMPTY_UPDATE = "{'rev':1,'all':false,'targets':[]}";

    final PeerStub discovery;
    final EventLoop loop;
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final List<Client> clients = new ArrayList<>();
    final Log log = new Log();
    final Path file;
    private final Path folder;
    Sidecar sidecar;
    private OperatorFileLayout layout;
    InetSocketAddress address;

    Harness(Path folder, PeerStub... servers) throws Exception {
        this(folder, 250_000, 1024, servers);
    }

    Harness(Path folder, long connectMicros, int sockets, PeerStub... servers) throws Exception {
        // The configuration file holds the initial list; the watch that follows gets no response.
        discovery = new PeerStub(seen -> {});
        loop = group.next();
        this.folder = folder;
        file = folder.resolve("config.json");
        Files.writeString(
                file,
                SidecarConfigurations.of(
                        "n0", 0, discovery.port(), sockets, connectMicros, list(1, true, "in_service", servers)));
    }

    static String json(String quoted) {
        return SidecarConfigurations.json(quoted);
    }

    static String list(int revision, boolean all, String state, PeerStub... servers) {
        return SidecarConfigurations.list(revision, all, state, servers);
    }

    SidecarConfiguration config() throws IOException {
        return SidecarConfiguration.read(Map.of("LB_CONFIG", file.toString()));
    }

    Harness start() throws Exception {
        return start(SubsetLoadBalancer::new);
    }

    Harness start(BiFunction<Settings, Actions, LoadBalancer> modules) throws Exception {
        SidecarConfiguration config = config();
        sidecar = loop.submit(() -> new Sidecar(loop, config, new PrintStream(log, true), modules))
                .get();
        address = sidecar.start().get(10, TimeUnit.SECONDS);
        return this;
    }

    /** Starts the sidecar with an operators' file. */
    Harness startWith(String operators) throws Exception {
        return startWith(operators, SubsetLoadBalancer::new);
    }

    Harness startWith(String operators, BiFunction<Settings, Actions, LoadBalancer> modules) throws Exception {
        Path file = folder.resolve("operators.toml");
        Files.writeString(file, operators);
        SidecarConfiguration config = config();
        Layout.Factory factory = OperatorFileLayout.load(file, config).layouts();
        Layout.Factory layouts = parts -> {
            layout = (OperatorFileLayout) factory.create(parts);
            return layout;
        };
        sidecar = loop.submit(() -> new Sidecar(loop, config, new PrintStream(log, true), modules, layouts))
                .get();
        address = sidecar.start().get(10, TimeUnit.SECONDS);
        return this;
    }

    /** Number of tunnels that were moved to another server. */
    long moved() {
        return layout.movedTunnels();
    }

    Counters counters() {
        return layout.counters();
    }

    /** Changes the operators' file and waits until it is applied or rejected. */
    void reload(String operators) throws Exception {
        Files.writeString(folder.resolve("operators.toml"), operators);
        sidecar.reload(Map.of("LB_CONFIG", file.toString())).get(10, TimeUnit.SECONDS);
    }

    /** Sends one command to an admin listener and returns the complete response. */
    static String adminCommand(InetSocketAddress address, String line) throws IOException {
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            socket.setSoTimeout(10_000);
            socket.getOutputStream().write((line + "\n").getBytes(StandardCharsets.US_ASCII));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    Client client() throws IOException {
        Client client = new Client(address);
        clients.add(client);
        return client;
    }

    CountDownLatch stop() {
        CountDownLatch ended = new CountDownLatch(1);
        loop.execute(() -> sidecar.stop(ended::countDown));
        return ended;
    }

    /** Begins a stop and returns once it has begun. */
    CountDownLatch stopAndAwaitStart() throws Exception {
        CountDownLatch ended = stop();
        // The event loop runs its tasks in order: this one runs after the stop has begun.
        loop.submit(() -> {}).get(10, TimeUnit.SECONDS);
        return ended;
    }

    @Override
    public void close() throws IOException {
        for (Client client : clients) {
            client.close();
        }
        discovery.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly(5, TimeUnit.SECONDS);
    }

    /** The sidecar's log; wakes threads that wait for a line. */
    static final class Log extends ByteArrayOutputStream {
        @Override
        public synchronized void write(byte[] bytes, int offset, int length) {
            super.write(bytes, offset, length);
            notifyAll();
        }

        synchronized void await(String part) throws InterruptedException {
            long end = System.nanoTime() + 20_000_000_000L;
            while (!toString(StandardCharsets.UTF_8).contains(part)) {
                long left = (end - System.nanoTime()) / 1_000_000;
                Assertions.assertTrue(left > 0, "never logged: " + part + "\n" + this);
                wait(left);
            }
        }
    }

    /** A client connection. */
    static final class Client implements AutoCloseable {
        private static int ids;
        final Socket socket;

        Client(InetSocketAddress address) throws IOException {
            socket = new Socket(InetAddress.getLoopbackAddress(), address.getPort());
            socket.setSoTimeout(10_000);
        }

        static synchronized String id() {
            return String.format("%016x", ++ids);
        }

        static String head(String method, String path, long timeoutMillis, String more, int length) {
            return method + " " + path + " HTTP/1.1\r\nHost: api.internal\r\nRequest-Id: " + id()
                    + "\r\nTenant: acme\r\nRequest-Timeout-Ms: " + timeoutMillis + "\r\n" + more
                    + (length > 0 ? "Content-Length: " + length + "\r\n" : "") + "\r\n";
        }

        Client raw(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
            socket.getOutputStream().flush();
            return this;
        }

        Client search(long timeoutMillis) throws IOException {
            return raw(head("GET", "/search/k1", timeoutMillis, "", 0));
        }

        Client book(String body, long timeoutMillis) throws IOException {
            return raw(head("POST", "/book/k1?x=1", timeoutMillis, "", body.length()) + body);
        }

        RawHttpClient.Message answer() throws IOException {
            RawHttpClient.Message answer = RawHttpClient.read(socket.getInputStream());
            Assertions.assertNotNull(answer, "closed without an answer");
            return answer;
        }

        void assertClosed() throws IOException {
            Assertions.assertEquals(-1, socket.getInputStream().read(), "more than one answer");
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }
}
