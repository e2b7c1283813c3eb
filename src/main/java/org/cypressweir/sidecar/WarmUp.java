package org.cypressweir.sidecar;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.cypressweir.loadbalancing.LoadBalancer.Effect;
import org.cypressweir.loadbalancing.LoadBalancer.Phase;
import org.cypressweir.loadbalancing.LoadBalancer.RequestClass;
import org.cypressweir.loadbalancing.LoadBalancer.Server;
import org.cypressweir.loadbalancing.LoadBalancer.Settings;

/**
 * Runs synthetic requests through a temporary sidecar before the first real one, so that the runtime compiles the code
 * on their path. This class is both the clients of that sidecar and its only servers, behind an address that the
 * sidecar listens on. Nothing of the warm-up remains but the compiled code, and nothing leaves the process.
 *
 * <p>Without it a sidecar is open to all its clients while each of their requests costs tens of times its usual CPU
 * time and the compiler takes half of the CPU available; requests that wait become late, are retried, and keep the
 * process busy for seconds. This holds whatever makes CPU scarce at the start, be it a limited share of a core or a
 * busy neighbour. The drawback is that its time adds to that of a restart, so it is limited by time as well as by the
 * number of requests; meanwhile {@code /healthz} answers 503.
 */
final class WarmUp implements ClientListener.Service {

    private static final int SERVERS = 8;
    private static final int CLIENTS = 4;
    private static final int SOCKETS = 128;
    private static final int BODY_BYTES = 256;
    /** One in this many requests is refused, because its time is up. */
    private static final int EXPIRED_REQUEST_INTERVAL = 8;

    private static final long CLOSE_DELAY_MILLIS = 1;
    private static final HttpHeaders LOAD_REPORT =
            new DefaultHttpHeaders().set(Headers.LOAD, "TEXT util=0.5, qps=10, eps=0");

    private final EventLoop loop;
    private final SidecarConfiguration config;
    private final String idPrefix;
    /** Ids of requests passed to the sidecar: a request with an id seen before comes from the sidecar to its server. */
    private final Set<String> receivedIds = new HashSet<>();

    private final CountDownLatch ended = new CountDownLatch(1);
    private final Transport transport;
    private final int requests;
    private final ClientListener listener;
    private Sidecar sidecar;
    private int sentRequests;
    private int responses;
    private boolean isClosing;

    /** Accepts the clients' connections and passes them to a listener. */
    interface Transport {
        /** Passes connections to the listener from now on; completes with the address once clients can connect. */
        CompletableFuture<InetSocketAddress> open(ClientListener to);

        /** Passes no more connections. */
        default void close() {}
    }

    private WarmUp(EventLoop loop, SidecarConfiguration config, Transport transport, int requests) {
        this.loop = loop;
        this.config = config;
        this.transport = transport;
        this.requests = requests;
        idPrefix = Long.toHexString(new SplittableRandom(config.settings().seed()).nextLong()) + "-";
        listener = new ClientListener(loop, this, SOCKETS, line -> {});
    }

    /** Runs this many requests, or as many as the time allows; returns how many got a response. */
    static int run(SidecarConfiguration config, InetSocketAddress where, int requests, long millis)
            throws InterruptedException {
        return run(
                config,
                listener -> listener.listen(where).thenApply(ClientListener.ListeningSocket::address),
                requests,
                millis);
    }

    /** Runs over another transport than an address of its own. */
    static int run(SidecarConfiguration config, Transport transport, int requests, long millis)
            throws InterruptedException {
        // An event loop of its own, with which all connections and timers of the warm-up end.
        var group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        WarmUp warmUp = new WarmUp(group.next(), config, transport, requests);
        try {
            warmUp.loop.execute(warmUp::open);
            warmUp.ended.await(millis, TimeUnit.MILLISECONDS);
            CountDownLatch closed = new CountDownLatch(1);
            warmUp.loop.execute(() -> warmUp.close(closed::countDown));
            closed.await();
            return warmUp.responses;
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).await();
        }
    }

    private void open() {
        transport
                .open(listener)
                .whenCompleteAsync(
                        (address, failure) -> {
                            if (failure == null) {
                                begin(address);
                            } else {
                                ended.countDown();
                            }
                        },
                        loop);
    }

    /**
     * The kernel frees the address only once the selector has released the listening socket, in a later iteration of
     * the event loop.
     */
    private void close(Runnable closed) {
        isClosing = true;
        transport.close();
        listener.close().addListener(f -> loop.schedule(closed, CLOSE_DELAY_MILLIS, TimeUnit.MILLISECONDS));
    }

    private void begin(InetSocketAddress address) {
        List<ServerList.Entry> servers = new ArrayList<>();
        int zones = Math.max(1, config.settings().zones().size());
        for (int i = 0; i < SERVERS; i++) {
            servers.add(new ServerList.Entry(new Server(i, i % zones, 0, 0, Phase.READY, 0, 1), address));
        }
        SidecarConfiguration warmUpConfig = config.with(SOCKETS, new ServerList(0, true, servers));
        sidecar = new Sidecar(loop, warmUpConfig, new PrintStream(OutputStream.nullOutputStream()));
        sidecar.open();
        for (int i = 0; i < CLIENTS; i++) {
            new Client(address);
        }
    }

    @Override
    public boolean ready() {
        return false;
    }

    @Override
    public void take(FullHttpRequest http, ClientRequest.Client client) throws RequestReader.BadRequest {
        String id = String.valueOf(http.headers().get(Headers.REQUEST_ID));
        if (!id.startsWith(idPrefix)) {
            // No client should send requests before the sidecar is ready. It cannot serve them yet, and has no advice
            // on a retry.
            client.respond(HttpResponseStatus.BAD_GATEWAY, new DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER);
        } else if (receivedIds.add(id)) {
            sidecar.admission().take(http, client);
        } else {
            client.respond(HttpResponseStatus.OK, LOAD_REPORT, Unpooled.wrappedBuffer(new byte[BODY_BYTES]));
        }
    }

    @Override
    public void clientLeft(ClientRequest.Client client) {
        sidecar.admission().clientLeft(client);
    }

    private FullHttpRequest nextRequest() {
        int number = sentRequests++;
        Settings settings = config.settings();
        RequestClass c = settings.classes().get(number % settings.classes().size());
        boolean safe = c.effect() == Effect.SAFE;
        ByteBuf body = Unpooled.wrappedBuffer(new byte[safe ? 0 : BODY_BYTES]);
        FullHttpRequest next = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, safe ? HttpMethod.GET : HttpMethod.POST, "/" + c.name() + "/" + number, body);
        long millis = number % EXPIRED_REQUEST_INTERVAL == EXPIRED_REQUEST_INTERVAL - 1 ? 1 : c.deadlineMicros() / 1000;
        next.headers()
                .set(HttpHeaderNames.HOST, "rehearsal")
                .set(Headers.REQUEST_ID, idPrefix + number)
                .set(Headers.TIMEOUT, Math.max(1, millis));
        if (!settings.tenants().isEmpty()) {
            next.headers()
                    .set(
                            Headers.TENANT,
                            settings.tenants()
                                    .get(number % settings.tenants().size())
                                    .name());
        }
        if (c.effect() == Effect.KEYED) {
            next.headers().set(Headers.IDEMPOTENCY_KEY, idPrefix + number);
        }
        if (!safe) {
            next.headers().set(HttpHeaderNames.CONTENT_LENGTH, BODY_BYTES);
        }
        return next;
    }

    /** Sends the next request as soon as it has a response. */
    private final class Client implements ServerConnection.Owner {
        private final ServerConnection connection;

        Client(InetSocketAddress address) {
            connection = new ServerConnection(
                    loop, address, ServerConnection.MAX_BODY_BYTES, config.connectTimeoutMicros(), this);
        }

        @Override
        public void opened() {
            if (!isClosing) {
                connection.send(nextRequest());
            }
        }

        @Override
        public void written() {}

        @Override
        public void responseReceived(FullHttpResponse response, boolean clean) {
            if (++responses >= requests) {
                ended.countDown();
            } else if (clean && !isClosing) {
                // Not from inside the callback, because the connection has yet to release the response.
                loop.execute(() -> connection.send(nextRequest()));
            }
        }

        @Override
        public void closed() {}
    }
}
