package org.cypressweir.dataplane.proxy;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.UnaryOperator;
import org.cypressweir.common.diagnostics.RequestTrace;
import org.cypressweir.common.transport.JsonCodec;
import org.cypressweir.common.transport.PeerConnection;
import org.cypressweir.common.transport.PeerConnectionPool;
import org.cypressweir.common.transport.PeerTransport;
import org.cypressweir.controlplane.configuration.RouteConfiguration;
import org.cypressweir.controlplane.configuration.WeightedDestination;
import org.cypressweir.controlplane.registry.ProxyRegistration;
import org.cypressweir.dataplane.http.server.HttpListener;
import org.cypressweir.dataplane.http.server.RequestLimits;
import org.cypressweir.dataplane.http.server.ServerRequest;
import org.cypressweir.dataplane.http.upstream.InstanceIncarnation;
import org.cypressweir.dataplane.http.upstream.UpstreamDispatcher;
import org.cypressweir.dataplane.http.upstream.UpstreamOptions;
import org.cypressweir.testkit.RawHttpClient;

/** Two pilots' cores on loopback, a relay between them and a server that break where the test says. */
final class PeerForwardingFixture {

    /** Where the first to come is broken; below zero for nowhere. Bytes count from one. */
    record Break(int request, int answer, int hopOut, int hopBack) {
        static final Break NONE = new Break(-1, -1, -1, -1);

        /** Another for nowhere: bytes are counted anew from it on. */
        static Break none() {
            return new Break(-1, -1, -1, -1);
        }
    }

    static final String ID = "Cypressweir-Attempt-Id";
    private static final long LIFE = 1_000_000;
    private static final int BOUND = 10_000;

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final ServerSocket server = open();
    private final ServerSocket relay = open();
    private final InetSocketAddress far;
    private final PeerConnectionPool moorings;
    private final PeerForwarder hops;
    private final HttpListener gangway;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
    private final AtomicInteger left = new AtomicInteger();
    private volatile Break now = Break.NONE;
    /** What has passed the relay in either way since the last break was set. */
    private volatile int passedOut;

    private volatile int passedBack;
    /** What the server was sent last, in bytes. */
    private volatile int asked;
    /** How the server writes its answer; the id stands for itself in it. */
    volatile String answer =
            "HTTP/1.1 200 OK\r\n" + ID + ": ID\r\nCypressweir-Server-Seal: s\r\n" + "Content-Length: 4\r\n\r\nfine";
    /** The id whose answers are changed, and how; its connection ends behind them. */
    volatile String mutant = "";

    volatile UnaryOperator<String> change = text -> text;
    private ServiceRequestHandler helm;
    /** The line on which the other pilot has told of itself. */
    private PeerConnection greeted;

    private long numbers;

    PeerForwardingFixture() throws Exception {
        InetSocketAddress to = new InetSocketAddress(server.getInetAddress(), server.getLocalPort());
        UpstreamDispatcher near = quay(to, "i0");
        UpstreamDispatcher beyond = quay(to, "i1");
        PeerTransport wharf = new PeerTransport(group, PeerForwardingFixture::micros);
        far = wharf.listen(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                new PeerRequestReceiver(
                        PeerForwardingFixture::micros,
                        beyond,
                        () -> new ProxyRegistration("p1", 1, 1, "far", "", "z", "s", false, null)));
        moorings = new PeerConnectionPool(
                wharf,
                PeerForwardingFixture::micros,
                new PeerConnectionPool.Options(3_000_000, 6_000_000, 12_000_000, 10_000, 10_000, 700),
                () -> hops().hello("p0"),
                new Ear());
        hops = new PeerForwarder(PeerForwardingFixture::micros, "own", LIFE, near, moorings::connection);
        daemon(() -> accept(server, this::serve));
        daemon(() -> accept(relay, this::pass));
        on(() -> {
            moorings.setAddresses(Set.of(farAddress()));
            return null;
        });
        gangway = HttpListener.open(
                group,
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                () -> new RequestLimits(16_384, 65_536, 1_000, 5_000),
                PeerForwardingFixture::micros,
                this::called);
    }

    private PeerForwarder hops() {
        return hops;
    }

    private static ServerSocket open() throws IOException {
        return new ServerSocket(0, 256, InetAddress.getLoopbackAddress());
    }

    private String farAddress() {
        return "127.0.0.1:" + relay.getLocalPort();
    }

    private static long micros() {
        return System.nanoTime() / 1000;
    }

    private UpstreamDispatcher quay(InetSocketAddress to, String instance) throws Exception {
        return on(() -> {
            UpstreamDispatcher quay = new UpstreamDispatcher(
                    loop, to, PeerForwardingFixture::micros, UpstreamOptions.defaults(), line -> {});
            quay.setInstance(new InstanceIncarnation(instance, "s", 8, false, 0));
            return quay;
        });
    }

    private <T> T on(Callable<T> task) throws Exception {
        return loop.submit(task).get(BOUND, TimeUnit.MILLISECONDS);
    }

    private final class Ear implements PeerConnectionPool.Listener {
        @Override
        public void connected(String address, PeerConnection line) {}

        @Override
        public void received(String address, PeerConnection line, Map<String, Object> head, byte[] body) {
            if (JsonCodec.text(head, "t").equals("end")) {
                hops.heard(line, head, body);
            } else {
                hops.greeted(line, 1);
                greeted = line;
            }
        }

        @Override
        public void disconnected(String address, PeerConnection line) {
            hops.lost(line);
        }

        @Override
        public void connectFailed(String address) {}
    }

    private void called(ServerRequest call) {
        boolean repeatable = call.path().startsWith("/often");
        RouteConfiguration route = new RouteConfiguration(
                "r", "a", "/", repeatable, 4_000_000, 2_000_000, 1, List.of(new WeightedDestination("s", 1)), 3, false);
        long at = micros();
        String id = call.header(ID);
        helm.take(new ProxiedRequest(
                Long.toString(++numbers),
                call,
                id == null ? "none" : id,
                route,
                null,
                1,
                true,
                at,
                at + 2_000_000,
                at + 4_000_000,
                call.headers(),
                new RequestTrace(PeerForwardingFixture::micros, 4)));
    }

    /** From now on the first to come is broken there; what can't be repeated goes over the hop. */
    void next(Break where, boolean both) throws Exception {
        while (!on(() -> greeted != null && moorings.connection(farAddress()) == greeted)) {
            Thread.onSpinWait();
        }
        on(() -> {
            helm = new ServiceRequestHandler(
                    "s",
                    loop,
                    PeerForwardingFixture::micros,
                    hops,
                    "p0",
                    0,
                    List.of("z"),
                    ServiceRequestHandler.budget(10_000_000, 50, 1));
            Endpoint other = new Endpoint(101, "p1", 1, farAddress(), "i1", "z");
            Endpoint near = new Endpoint(100, "p0", 1, "own", "i0", "z");
            helm.servers(both ? List.of(near, other) : List.of(other), List.of("z"), Map.of());
            return null;
        });
        left.set(1);
        now = where;
    }

    /** How many bytes a request takes on each part of its way: to the server, on the hop, and back on it. */
    int bytes(String where) {
        return where.equals("request to the server")
                ? asked
                : where.equals("request on the hop") ? passedOut : passedBack;
    }

    int runs(String id) {
        return runs.getOrDefault(id, new AtomicInteger()).get();
    }

    Map<String, AtomicInteger> runs() {
        return runs;
    }

    Socket client() throws IOException {
        Socket socket =
                new Socket(InetAddress.getLoopbackAddress(), gangway.address().getPort());
        socket.setSoTimeout(BOUND);
        socket.setTcpNoDelay(true);
        return socket;
    }

    /** What a client gets that sends this; null for nothing. */
    RawHttpClient.Message ask(String bytes) throws IOException {
        try (Socket socket = client()) {
            socket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
            return RawHttpClient.read(socket.getInputStream());
        }
    }

    private interface Talk {
        void with(Socket socket) throws IOException;
    }

    private void accept(ServerSocket listening, Talk talk) {
        try {
            while (true) {
                Socket socket = listening.accept();
                socket.setTcpNoDelay(true);
                sockets.add(socket);
                daemon(() -> {
                    try (socket) {
                        talk.with(socket);
                    } catch (IOException e) {
                        // Broken off by one side, which is what is tested.
                    }
                    sockets.remove(socket);
                });
            }
        } catch (IOException e) {
            // The test is over.
        }
    }

    private void serve(Socket socket) throws IOException {
        InputStream in = new BufferedInputStream(socket.getInputStream());
        StringBuilder head = new StringBuilder();
        int size = 0;
        int end = Integer.MAX_VALUE;
        Break its = Break.NONE;
        for (int b; (b = in.read()) >= 0; ) {
            its = size == 0 ? taken(now.request > 0 || now.answer >= 0) : its;
            head.append((char) b);
            if (++size == its.request) {
                reset(socket);
                return;
            }
            boolean whole = b == '\n' && head.toString().endsWith("\r\n\r\n");
            if (end == Integer.MAX_VALUE && whole) {
                end = size + Integer.parseInt(value(head, "Content-Length", "0"));
            }
            if (size == end) {
                asked = size;
                String id = value(head, ID, "none");
                runs.computeIfAbsent(id, i -> new AtomicInteger()).incrementAndGet();
                byte[] bytes = written(id).getBytes(StandardCharsets.ISO_8859_1);
                boolean cut = its.answer >= 0;
                int go = cut ? Math.min(its.answer, bytes.length) : bytes.length;
                socket.getOutputStream().write(bytes, 0, go);
                if (cut || id.equals(mutant)) {
                    return;
                }
                head.setLength(0);
                size = 0;
                end = Integer.MAX_VALUE;
            }
        }
    }

    private String written(String id) {
        String its = answer.replace("ID", id);
        return id.equals(mutant) ? change.apply(its) : its;
    }

    private static String value(CharSequence head, String name, String otherwise) {
        String text = head.toString();
        String line = "\r\n" + name.toLowerCase(Locale.ROOT) + ": ";
        int at = text.toLowerCase(Locale.ROOT).indexOf(line);
        return at < 0 ? otherwise : text.substring(at + name.length() + 4, text.indexOf("\r\n", at + 2));
    }

    private Break taken(boolean meant) {
        return meant && left.getAndSet(0) > 0 ? now : Break.NONE;
    }

    private static void reset(Socket socket) throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    private void pass(Socket from) throws IOException {
        Socket to = new Socket(far.getAddress(), far.getPort());
        to.setTcpNoDelay(true);
        sockets.add(to);
        daemon(() -> copy(to, from, false));
        copy(from, to, true);
    }

    /** Counts from the first byte after the break was set. */
    private void copy(Socket from, Socket to, boolean out) {
        byte[] bytes = new byte[65_536];
        Break its = Break.NONE;
        int passed = 0;
        try (from;
                to) {
            for (int size; (size = from.getInputStream().read(bytes)) >= 0; ) {
                if (its != now) {
                    its = now;
                    passed = 0;
                }
                int most = out ? its.hopOut : its.hopBack;
                int go = most < 0 || left.get() == 0 ? size : Math.min(size, most - passed);
                passed += go;
                if (out) {
                    passedOut = passed;
                } else {
                    passedBack = passed;
                }
                to.getOutputStream().write(bytes, 0, go);
                if (most >= 0 && passed == most && left.getAndSet(0) > 0) {
                    return;
                }
            }
        } catch (IOException e) {
            // The other side has closed.
        }
    }

    private static void daemon(Runnable task) {
        Thread thread = new Thread(task, "hop-rig");
        thread.setDaemon(true);
        thread.start();
    }

    void close() throws Exception {
        on(() -> {
            moorings.close();
            return null;
        });
        server.close();
        relay.close();
        for (Socket socket : sockets) {
            socket.close();
        }
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).await(BOUND);
    }
}
