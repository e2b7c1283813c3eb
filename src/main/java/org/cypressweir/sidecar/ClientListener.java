package org.cypressweir.sidecar;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.ServerChannelRecvByteBufAllocator;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.stream.Stream;

/**
 * The client-facing listener: accepts connections, reads requests, writes responses, and shuts down without losing a
 * request.
 *
 * <p>A request counts as received once its last byte is in this machine's kernel, whether read or not, and turns of the
 * event loop can be long. So no connection on which a response may still be due is closed on the state seen by the
 * previous turn: what the kernel holds is read first, on connections as on the listening socket.
 */
final class ClientListener {

    /** Handles the requests that the connections read. */
    interface Service {
        /** Whether a server is available for a request. */
        boolean ready();

        /** Whether requests may ask for an upgrade, so that the bytes after one may not be HTTP. */
        default boolean allowsUpgrades() {
            return false;
        }

        /**
         * Takes a request, to be answered through its client. If this throws, the connection sends an error response.
         */
        void take(FullHttpRequest http, ClientRequest.Client client) throws RequestReader.BadRequest;

        /** Reports the number of connected clients while the listener drains. */
        default void clientCount(int count) {}

        /** The client of this request has closed its connection. */
        void clientLeft(ClientRequest.Client client);
    }

    private static final int BACKLOG = 512;
    /** Maximum number of connections accepted in one turn of the event loop. */
    private static final int MAX_ACCEPTS_PER_TURN = 64;
    /** Idle time after which a connection may be closed once more than half of the allowed connections are in use. */
    private static final long SURPLUS_IDLE_MILLIS = 200;
    /** How long new connections keep arriving after the shutdown or drain was announced. */
    private static final long ACCEPT_GRACE_MILLIS = 400;
    /**
     * A new connection without a request is not closed before this time; a closing listening socket stays open until it
     * has had no new connection for this time.
     */
    static final long QUIET_MILLIS = 100;
    /**
     * How long a closing listening socket waits for free connections for clients that have connected but are not
     * accepted yet.
     */
    private static final long MAX_FULL_WAIT_MILLIS = 2_000;

    private static final long SWEEP_MILLIS = 25;
    /** While draining, how long a connection may stay open without having sent anything. */
    private static final long SILENT_DRAIN_MILLIS = 1_500;

    private final EventLoop loop;
    private final LongSupplier nanoClock;
    private final Service service;
    private int maxConnections;
    private boolean isSweepScheduled;
    private boolean draining;
    private long drainingSinceNanos;
    private final Consumer<String> log;
    private final Set<ClientConnection> connections = new LinkedHashSet<>();
    /** Connections upgraded to another protocol: they count towards the limit but need no further supervision. */
    private final Set<ClientConnection> upgraded = new HashSet<>();
    /** Sets how many connections are accepted in one turn of the event loop. */
    private final ServerChannelRecvByteBufAllocator acceptAllocator = new ServerChannelRecvByteBufAllocator();

    private final List<ListeningSocket> listeningSockets = new ArrayList<>();
    private final LargeRequests largeRequests;
    /** An already listening socket for the first address; null if none was inherited or it is in use. */
    private ServerSocketChannel inherited;
    /** Stands for the listening socket of another listener that hands its connections over; null if there is none. */
    private ListeningSocket lentSocket;

    /** A listening socket and its state. */
    static final class ListeningSocket {
        private final Channel channel;
        /** The socket is closing: its connections end after their responses. */
        private boolean closing;
        /** Whether other processes listen on the same socket. */
        private final boolean shared;

        private long closingSinceNanos;
        private long lastAcceptNanos;

        private ListeningSocket(Channel channel, boolean shared, long now) {
            this.channel = channel;
            this.shared = shared;
            lastAcceptNanos = now;
        }

        /** The listening address, once bound. */
        InetSocketAddress address() {
            return (InetSocketAddress) channel.localAddress();
        }
    }

    ClientListener(EventLoop loop, Service service, int maxConnections, Consumer<String> log) {
        this(loop, service, maxConnections, log, System::nanoTime);
    }

    /** Uses the given clock, in nanoseconds from an arbitrary origin. */
    ClientListener(EventLoop loop, Service service, int maxConnections, Consumer<String> log, LongSupplier nanoClock) {
        this.loop = loop;
        largeRequests = new LargeRequests(loop);
        this.nanoClock = nanoClock;
        this.service = service;
        this.maxConnections = maxConnections;
        this.log = log;
    }

    /** Changes the maximum number of connections. */
    void setMaxConnections(int connections) {
        maxConnections = connections;
        makeRoom();
    }

    /** Makes the next listening socket use this one, which another process listens on too. */
    void inherit(ServerSocketChannel listening) {
        inherited = listening;
    }

    /**
     * Takes over a connection that another listener has accepted, with the bytes already read from it. It must be
     * registered with no event loop.
     */
    void adopt(Channel listening, Channel connection, ByteBuf first) {
        loop.register(connection).addListener(f -> {
            if (!f.isSuccess()) {
                first.release();
                connection.close();
                return;
            }
            lentSocket = lentSocket == null ? new ListeningSocket(listening, false, now()) : lentSocket;
            new ClientConnection(this, lentSocket, connection).configurePipeline();
            connection.pipeline().fireChannelActive();
            connection.pipeline().fireChannelRead(first);
            connection.pipeline().fireChannelReadComplete();
            connection.config().setAutoRead(true);
        });
    }

    /** Opens a listening socket; completes once clients can connect to it. */
    CompletableFuture<ListeningSocket> listen(InetSocketAddress address) {
        CompletableFuture<ListeningSocket> open = new CompletableFuture<>();
        ListeningSocket[] socket = new ListeningSocket[1];
        ServerSocketChannel listening = inherited;
        inherited = null;
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(loop, loop)
                .channelFactory(
                        () -> listening == null ? new NioServerSocketChannel() : new NioServerSocketChannel(listening))
                .option(ChannelOption.RECVBUF_ALLOCATOR, acceptAllocator)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel c) {
                        new ClientConnection(ClientListener.this, socket[0], c).configurePipeline();
                    }
                });
        ChannelFuture bound = listening != null
                ? bootstrap.register()
                : bootstrap
                        .option(ChannelOption.SO_BACKLOG, BACKLOG)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .bind(address);
        socket[0] = new ListeningSocket(bound.channel(), listening != null, now());
        bound.addListener(f -> {
            if (f.isSuccess()) {
                listeningSockets.add(socket[0]);
                open.complete(socket[0]);
            } else {
                open.completeExceptionally(f.cause());
            }
        });
        if (!isSweepScheduled) {
            isSweepScheduled = true;
            loop.scheduleWithFixedDelay(this::sweep, SWEEP_MILLIS, SWEEP_MILLIS, TimeUnit.MILLISECONDS);
        }
        return open;
    }

    /**
     * Closes everything at once, whoever is waiting; the address is free once the future completes. Requests that have
     * arrived completely are first handed to the service, which may respond at once.
     */
    Future<Void> close() {
        listeningSockets.stream().filter(socket -> !socket.shared).forEach(socket -> Channels.readNow(socket.channel));
        List.copyOf(connections).forEach(ClientConnection::readNow);
        List.copyOf(connections).forEach(ClientConnection::close);
        List.copyOf(upgraded).forEach(ClientConnection::close);
        Future<Void> last = loop.newSucceededFuture(null);
        for (ListeningSocket socket : listeningSockets) {
            last = socket.channel.close();
        }
        return last;
    }

    /** Closes all listening sockets gracefully; see {@link #end(ListeningSocket, Runnable)}. */
    void end(Runnable ended) {
        if (listeningSockets.isEmpty()) {
            ended.run();
            return;
        }
        int[] left = {listeningSockets.size()};
        for (ListeningSocket socket : List.copyOf(listeningSockets)) {
            end(socket, () -> {
                if (--left[0] == 0) {
                    ended.run();
                }
            });
        }
    }

    /**
     * Keeps accepting while clients still connect, then ends each connection after its response. Idle connections are
     * closed before the listening socket, so that a client whose request crosses the close can send it again. The
     * socket stays open for a while as long as clients may wait to be accepted, because closing it would reset them. A
     * socket shared with other processes is closed at once: they take over everything in its queue.
     */
    void end(ListeningSocket socket, Runnable ended) {
        if (socket.shared) {
            socket.closing = true;
            socket.closingSinceNanos = now();
            socket.channel.close();
            continueClosing(socket, ended);
            return;
        }
        loop.schedule(
                () -> {
                    socket.closing = true;
                    socket.closingSinceNanos = now();
                    continueClosing(socket, ended);
                },
                ACCEPT_GRACE_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    void continueClosing(ListeningSocket socket, Runnable ended) {
        connections.stream()
                .filter(c -> c.listeningSocket() == socket && c.isQuiet(QUIET_MILLIS))
                .toList()
                .forEach(ClientConnection::closeIfSilent);
        if (socket.channel.isOpen() && canClose(socket)) {
            // Connections that arrived since the last turn of the event loop would be reset.
            Channels.readNow(socket.channel);
            if (canClose(socket)) {
                socket.channel.close();
            }
        }
        if (!socket.channel.isOpen()
                && Stream.concat(connections.stream(), upgraded.stream())
                        .noneMatch(c -> c.listeningSocket() == socket)) {
            listeningSockets.remove(socket);
            ended.run();
        } else {
            loop.schedule(() -> continueClosing(socket, ended), SWEEP_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /**
     * Starts draining: clients are sent away, while the listening sockets stay open and new requests are still
     * answered. At first nothing is closed, since new connections keep arriving until the load balancer in front knows;
     * then each connection ends after its response, and idle ones are closed at once, so that clients keep no
     * connection to use.
     */
    void drain() {
        if (!draining) {
            draining = true;
            drainingSinceNanos = now();
        }
    }

    /** Stops draining; connections that were already told to close still do. */
    void undrain() {
        draining = false;
    }

    private boolean closesIdleConnections() {
        return draining && millisSince(drainingSinceNanos) > ACCEPT_GRACE_MILLIS;
    }

    /**
     * Closes idle connections. One without any request yet may belong to a slow client, so it is kept for a limited
     * time.
     */
    private void closeIdleWhileDraining() {
        if (closesIdleConnections()) {
            boolean last = millisSince(drainingSinceNanos) > SILENT_DRAIN_MILLIS;
            connections.stream()
                    .filter(c -> c.isQuiet(QUIET_MILLIS) && (last || c.hasTakenRequest()))
                    .toList()
                    .forEach(ClientConnection::closeIfSilent);
        }
        if (draining) {
            service.clientCount(connections.size());
        }
    }

    private boolean canClose(ListeningSocket socket) {
        boolean allAccepted =
                socket.channel.config().isAutoRead() || millisSince(socket.closingSinceNanos) > MAX_FULL_WAIT_MILLIS;
        return millisSince(socket.lastAcceptNanos) > QUIET_MILLIS && allAccepted;
    }

    /** A connection was accepted. */
    void opened(ClientConnection connection) {
        connection.listeningSocket().lastAcceptNanos = now();
        connections.add(connection);
        makeRoom();
    }

    void upgraded(ClientConnection connection) {
        connections.remove(connection);
        upgraded.add(connection);
    }

    private int size() {
        return connections.size() + upgraded.size();
    }

    void closed(ClientConnection connection) {
        connections.remove(connection);
        upgraded.remove(connection);
        makeRoom();
    }

    /**
     * Whether a connection ends after its response: while others wait to be accepted, an open idle connection would
     * keep them out.
     */
    boolean endsAfterAnswer(ListeningSocket socket) {
        return socket.closing
                || closesIdleConnections()
                || !socket.channel.config().isAutoRead();
    }

    long pendingWriteBytes() {
        return Stream.concat(connections.stream(), upgraded.stream())
                .mapToLong(ClientConnection::pendingWriteBytes)
                .sum();
    }

    LargeRequests largeRequests() {
        return largeRequests;
    }

    Service service() {
        return service;
    }

    void log(String line) {
        log.accept(line);
    }

    /** The current time in nanoseconds from an arbitrary origin. */
    long now() {
        return nanoClock.getAsLong();
    }

    long millisSince(long then) {
        return TimeUnit.NANOSECONDS.toMillis(now() - then);
    }

    /** Checks all connections periodically; with timers per connection a flood would leave thousands of them. */
    void sweep() {
        for (ClientConnection c : List.copyOf(connections)) {
            c.checkTimes();
        }
        closeSurplus();
        closeIdleWhileDraining();
        makeRoom();
    }

    /**
     * Closes connections that have been idle for a while, longest idle first, once more than half of the allowed
     * connections are in use.
     *
     * <p>Some clients send one request and keep their connection. Clients may hold only so many connections in total,
     * so others with requests would find none although the sidecar and its servers have little to do. This also
     * protects against connection leaks in clients and floods. The cost: a client with rare requests has to reconnect.
     */
    private void closeSurplus() {
        int surplus = size() - maxConnections / 2;
        if (surplus > 0) {
            connections.stream()
                    .filter(c -> c.idleMillis() > SURPLUS_IDLE_MILLIS)
                    .sorted(Comparator.comparingLong(ClientConnection::idleMillis)
                            .reversed())
                    .limit(surplus)
                    .toList()
                    .forEach(ClientConnection::closeIfSilent);
        }
    }

    /**
     * At the limit, closes a connection that waits for nothing: a rejected one first, then one that has sent nothing
     * for a while, then the one whose last response is oldest. If all are busy, new connections wait to be accepted.
     *
     * <p>Up to the limit, all waiting connections are accepted at once. One per turn of the event loop was too few when
     * turns are long (a cold runtime, no free CPU, a pause): requests spent their time in the kernel's queue, where the
     * load balancer could neither reject them nor see their age, and clients that gave up queued again behind the
     * others. The cost: a burst takes its descriptors at once, so the limit must be enforced here and not by the accept
     * rate.
     */
    private void makeRoom() {
        boolean evicted = size() >= maxConnections && evictOne();
        acceptAllocator.maxMessagesPerRead(Math.max(1, Math.min(MAX_ACCEPTS_PER_TURN, maxConnections - size())));
        boolean hasRoom = evicted || size() < maxConnections;
        for (ListeningSocket socket : listeningSockets) {
            socket.channel.config().setAutoRead(hasRoom);
        }
    }

    /**
     * Closes the connection with the highest eviction score. A connection that has received something in the meantime
     * is kept, and the next best is tried.
     */
    private boolean evictOne() {
        while (true) {
            ClientConnection victim = null;
            for (ClientConnection c : connections) {
                if (c.evictionScore() > (victim == null ? 0 : victim.evictionScore())) {
                    victim = c;
                }
            }
            if (victim == null || victim.closeIfSilent()) {
                return victim != null;
            }
        }
    }
}
