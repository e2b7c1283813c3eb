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

/**
 * The forwarding between two proxies on loopback. The relay between them and the application break their connections
 * where the test says.
 */
final class PeerForwardingFixture {

    /** After how many bytes of each message its connection breaks; negative for none. */
    record Break(int request, int response, int forwardedRequest, int forwardedResponse) {
        static final Break NONE = new Break(-1, -1, -1, -1);

        /** A new break for none, which starts a new count of bytes. */
        static Break none() {
            return new Break(-1, -1, -1, -1);
        }
    }

    static final String ID = "Cypressweir-Attempt-Id";
    private static final long INCARNATION = 1_000_000;
    private static final int TIMEOUT_MILLIS = 10_000;

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final ServerSocket server = open();
    private final ServerSocket relay = open();
    private final InetSocketAddress remote;
    private final PeerConnectionPool connections;
    private final PeerForwarder forwarder;
    private final HttpListener listener;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
    private final AtomicInteger pendingBreaks = new AtomicInteger();
    private volatile Break currentBreak = Break.NONE;
    /** Bytes that the relay has passed on in each direction since the last break was set. */
    private volatile int bytesForwarded;

    private volatile int bytesReturned;
    /** The size of the last request that the application read, in bytes. */
    private volatile int requestBytes;
    /** The application's response; "ID" in it is replaced by the id of the request. */
    volatile String response =
            "HTTP/1.1 200 OK\r\n" + ID + ": ID\r\nCypressweir-Server-Seal: s\r\n" + "Content-Length: 4\r\n\r\nfine";
    /** The id of the request whose response is mutated by {@link #mutation}; then its connection is closed. */
    volatile String mutatedId = "";

    volatile UnaryOperator<String> mutation = text -> text;
    private ServiceRequestHandler handler;
    /** The connection on which the other proxy sent its registration. */
    private PeerConnection registeredConnection;

    private long lastNumber;

    PeerForwardingFixture() throws Exception {
        InetSocketAddress to = new InetSocketAddress(server.getInetAddress(), server.getLocalPort());
        UpstreamDispatcher localDispatcher = dispatcher(to, "i0");
        UpstreamDispatcher remoteDispatcher = dispatcher(to, "i1");
        PeerTransport transport = new PeerTransport(group, PeerForwardingFixture::micros);
        remote = transport.listen(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                new PeerRequestReceiver(
                        PeerForwardingFixture::micros,
                        remoteDispatcher,
                        () -> new ProxyRegistration("p1", 1, 1, "far", "", "z", "s", false, null)));
        connections = new PeerConnectionPool(
                transport,
                PeerForwardingFixture::micros,
                new PeerConnectionPool.Options(3_000_000, 6_000_000, 12_000_000, 10_000, 10_000, 700),
                () -> forwarder().hello("p0"),
                new PeerListener());
        forwarder = new PeerForwarder(
                PeerForwardingFixture::micros, "own", INCARNATION, localDispatcher, connections::connection);
        startDaemon(() -> accept(server, this::serve));
        startDaemon(() -> accept(relay, this::relay));
        callOnLoop(() -> {
            connections.setAddresses(Set.of(remoteAddress()));
            return null;
        });
        listener = HttpListener.open(
                group,
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                () -> new RequestLimits(16_384, 65_536, 1_000, 5_000),
                PeerForwardingFixture::micros,
                this::handleCall);
    }

    private PeerForwarder forwarder() {
        return forwarder;
    }

    private static ServerSocket open() throws IOException {
        return new ServerSocket(0, 256, InetAddress.getLoopbackAddress());
    }

    private String remoteAddress() {
        return "127.0.0.1:" + relay.getLocalPort();
    }

    private static long micros() {
        return System.nanoTime() / 1000;
    }

    private UpstreamDispatcher dispatcher(InetSocketAddress to, String instance) throws Exception {
        return callOnLoop(() -> {
            UpstreamDispatcher dispatcher = new UpstreamDispatcher(
                    loop, to, PeerForwardingFixture::micros, UpstreamOptions.defaults(), line -> {});
            dispatcher.setInstance(new InstanceIncarnation(instance, "s", 8, false, 0));
            return dispatcher;
        });
    }

    private <T> T callOnLoop(Callable<T> task) throws Exception {
        return loop.submit(task).get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private final class PeerListener implements PeerConnectionPool.Listener {
        @Override
        public void connected(String address, PeerConnection connection) {}

        @Override
        public void received(String address, PeerConnection connection, Map<String, Object> head, byte[] body) {
            if (PeerMessageCodec.decode(head, body, micros()) instanceof PeerMessage.ForwardedResponse response) {
                forwarder.responseReceived(connection, response);
            } else {
                forwarder.incarnationReceived(connection, 1);
                registeredConnection = connection;
            }
        }

        @Override
        public void disconnected(String address, PeerConnection connection) {
            forwarder.connectionLost(connection);
        }

        @Override
        public void connectFailed(String address) {}
    }

    private void handleCall(ServerRequest call) {
        boolean idempotent = call.path().startsWith("/idempotent");
        RouteConfiguration route = new RouteConfiguration(
                "r", "a", "/", idempotent, 4_000_000, 2_000_000, 1, List.of(new WeightedDestination("s", 1)), 3, false);
        long at = micros();
        String id = call.header(ID);
        handler.handle(new ProxiedRequest(
                Long.toString(++lastNumber),
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

    /** Breaks the next message at this place; without a local endpoint the request is always forwarded. */
    void breakNext(Break where, boolean withLocalEndpoint) throws Exception {
        while (!callOnLoop(() ->
                registeredConnection != null && connections.connection(remoteAddress()) == registeredConnection)) {
            Thread.onSpinWait();
        }
        callOnLoop(() -> {
            handler = new ServiceRequestHandler(
                    "s",
                    loop,
                    PeerForwardingFixture::micros,
                    forwarder,
                    "p0",
                    0,
                    List.of("z"),
                    ServiceRequestHandler.retryBudget(10_000_000, 50, 1),
                    AttemptObserver.NONE);
            Endpoint remote = new Endpoint(101, "p1", 1, remoteAddress(), "i1", "z");
            Endpoint local = new Endpoint(100, "p0", 1, "own", "i0", "z");
            handler.updateEndpoints(
                    withLocalEndpoint ? List.of(local, remote) : List.of(remote), List.of("z"), Map.of());
            return null;
        });
        pendingBreaks.set(1);
        currentBreak = where;
    }

    /** The size in bytes of a message: to the application, forwarded to the other proxy, or returned by it. */
    int bytes(String where) {
        return where.equals("request to the application")
                ? requestBytes
                : where.equals("forwarded request") ? bytesForwarded : bytesReturned;
    }

    int runs(String id) {
        return runs.getOrDefault(id, new AtomicInteger()).get();
    }

    Map<String, AtomicInteger> runs() {
        return runs;
    }

    Socket client() throws IOException {
        Socket socket =
                new Socket(InetAddress.getLoopbackAddress(), listener.address().getPort());
        socket.setSoTimeout(TIMEOUT_MILLIS);
        socket.setTcpNoDelay(true);
        return socket;
    }

    /** Sends this as a client and returns the response; null for none. */
    RawHttpClient.Message request(String bytes) throws IOException {
        try (Socket socket = client()) {
            socket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
            return RawHttpClient.read(socket.getInputStream());
        }
    }

    private interface SocketHandler {
        void handle(Socket socket) throws IOException;
    }

    private void accept(ServerSocket listening, SocketHandler socketHandler) {
        try {
            while (true) {
                Socket socket = listening.accept();
                socket.setTcpNoDelay(true);
                sockets.add(socket);
                startDaemon(() -> {
                    try (socket) {
                        socketHandler.handle(socket);
                    } catch (IOException e) {
                        // One side has broken the connection, as the test intends.
                    }
                    sockets.remove(socket);
                });
            }
        } catch (IOException e) {
            // The fixture was closed.
        }
    }

    private void serve(Socket socket) throws IOException {
        InputStream in = new BufferedInputStream(socket.getInputStream());
        StringBuilder head = new StringBuilder();
        int size = 0;
        int end = Integer.MAX_VALUE;
        Break pendingBreak = Break.NONE;
        for (int b; (b = in.read()) >= 0; ) {
            pendingBreak = size == 0 ? takeBreak(currentBreak.request > 0 || currentBreak.response >= 0) : pendingBreak;
            head.append((char) b);
            if (++size == pendingBreak.request) {
                reset(socket);
                return;
            }
            boolean isHeadComplete = b == '\n' && head.toString().endsWith("\r\n\r\n");
            if (end == Integer.MAX_VALUE && isHeadComplete) {
                end = size + Integer.parseInt(value(head, "Content-Length", "0"));
            }
            if (size == end) {
                requestBytes = size;
                String id = value(head, ID, "none");
                runs.computeIfAbsent(id, i -> new AtomicInteger()).incrementAndGet();
                byte[] bytes = responseTo(id).getBytes(StandardCharsets.ISO_8859_1);
                boolean isBroken = pendingBreak.response >= 0;
                int length = isBroken ? Math.min(pendingBreak.response, bytes.length) : bytes.length;
                socket.getOutputStream().write(bytes, 0, length);
                if (isBroken || id.equals(mutatedId)) {
                    return;
                }
                head.setLength(0);
                size = 0;
                end = Integer.MAX_VALUE;
            }
        }
    }

    private String responseTo(String id) {
        String text = response.replace("ID", id);
        return id.equals(mutatedId) ? mutation.apply(text) : text;
    }

    private static String value(CharSequence head, String name, String defaultValue) {
        String text = head.toString();
        String line = "\r\n" + name.toLowerCase(Locale.ROOT) + ": ";
        int at = text.toLowerCase(Locale.ROOT).indexOf(line);
        return at < 0 ? defaultValue : text.substring(at + name.length() + 4, text.indexOf("\r\n", at + 2));
    }

    private Break takeBreak(boolean applies) {
        return applies && pendingBreaks.getAndSet(0) > 0 ? currentBreak : Break.NONE;
    }

    private static void reset(Socket socket) throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    private void relay(Socket from) throws IOException {
        Socket to = new Socket(remote.getAddress(), remote.getPort());
        to.setTcpNoDelay(true);
        sockets.add(to);
        startDaemon(() -> copy(to, from, false));
        copy(from, to, true);
    }

    /** Passes bytes on, and breaks the connection where set; counts from the first byte after the break was set. */
    private void copy(Socket from, Socket to, boolean isForward) {
        byte[] bytes = new byte[65_536];
        Break pendingBreak = Break.NONE;
        int passed = 0;
        try (from;
                to) {
            for (int size; (size = from.getInputStream().read(bytes)) >= 0; ) {
                if (pendingBreak != currentBreak) {
                    pendingBreak = currentBreak;
                    passed = 0;
                }
                int breakAt = isForward ? pendingBreak.forwardedRequest : pendingBreak.forwardedResponse;
                int length = breakAt < 0 || pendingBreaks.get() == 0 ? size : Math.min(size, breakAt - passed);
                passed += length;
                if (isForward) {
                    bytesForwarded = passed;
                } else {
                    bytesReturned = passed;
                }
                to.getOutputStream().write(bytes, 0, length);
                if (breakAt >= 0 && passed == breakAt && pendingBreaks.getAndSet(0) > 0) {
                    return;
                }
            }
        } catch (IOException e) {
            // The other side has closed.
        }
    }

    private static void startDaemon(Runnable task) {
        Thread thread = new Thread(task, "peer-forwarding-fixture");
        thread.setDaemon(true);
        thread.start();
    }

    void close() throws Exception {
        callOnLoop(() -> {
            connections.close();
            return null;
        });
        server.close();
        relay.close();
        for (Socket socket : sockets) {
            socket.close();
        }
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).await(TIMEOUT_MILLIS);
    }
}
