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
 * The listening side: reads clients' requests, writes their answers, and closes down without losing any.
 *
 * <p>A request counts as taken once its last byte is in the kernel of this machine, read or not, and turns of
 * the loop can be long. So nothing that a client might still be answered on is closed by what the last turn
 * saw: what the kernel holds is read first, of connections as of the listening socket.
 */
final class ClientListener {

    /** What stands behind the connections. */
    interface Service {
        /** Whether a request would find a server. */
        boolean ready();

        /** Whether what comes behind a request may belong to what it asks to go over to. */
        default boolean upgrades() {
            return false;
        }

        /** A request to be answered through its client, by an exception at the latest. */
        void take(FullHttpRequest http, ClientRequest.Client client) throws RequestReader.BadRequest;

        /** So many clients are connected, while those that are there are to go. */
        default void clients(int count) {}

        /** The client of this request has closed its connection. */
        void left(ClientRequest.Client client);
    }

    private static final int BACKLOG = 512;
    /** Most connections taken in one turn of the loop. */
    private static final int ACCEPTS = 64;
    /** Without a request in hand, since the last answer, where connections are many. */
    private static final long SURPLUS_MILLIS = 200;
    /** How long new connections go on coming after the end was announced. */
    private static final long ACCEPT_MILLIS = 400;
    /** A new connection has this long to bring its request; as long nothing new may come before the end. */
    static final long QUIET_MILLIS = 100;
    /** How long a door that closes waits for room for those that have connected and not been accepted. */
    private static final long FULL_MILLIS = 2_000;

    private static final long SWEEP_MILLIS = 25;
    /** In a drain, how long a connection may go without having said anything. */
    private static final long DISMISS_MILLIS = 1_500;

    private final EventLoop loop;
    private final LongSupplier nanos;
    private final Service service;
    private int most;
    private boolean sweeping;
    private boolean draining;
    private long drainingSince;
    private final Consumer<String> log;
    private final Set<ClientConnection> connections = new LinkedHashSet<>();
    /** Those that have gone over to another protocol: they count, and there is nothing to look after. */
    private final Set<ClientConnection> switched = new HashSet<>();
    /** How many connections are accepted in one turn of the loop. */
    private final ServerChannelRecvByteBufAllocator accepts = new ServerChannelRecvByteBufAllocator();

    private final List<ListeningSocket> doors = new ArrayList<>();
    private final LargeRequests uploads;
    /** Listens already, at the address of the first door; null where none was inherited or it is taken. */
    private ServerSocketChannel inherited;
    /** Whose connections come by way of another door, which lends them; null for none. */
    private ListeningSocket lent;

    /** An address that is listened on. */
    static final class ListeningSocket {
        private final Channel channel;
        /** It goes: its connections end after their answers. */
        private boolean closing;
        /** Other processes listen on the same socket. */
        private final boolean shared;

        private long closingSince;
        private long acceptedAt;

        private ListeningSocket(Channel channel, boolean shared, long now) {
            this.channel = channel;
            this.shared = shared;
            acceptedAt = now;
        }

        /** Where it listens, once that is so. */
        InetSocketAddress address() {
            return (InetSocketAddress) channel.localAddress();
        }
    }

    ClientListener(EventLoop loop, Service service, int most, Consumer<String> log) {
        this(loop, service, most, log, System::nanoTime);
    }

    /** With another clock, in nanoseconds from any origin. */
    ClientListener(EventLoop loop, Service service, int most, Consumer<String> log, LongSupplier nanos) {
        this.loop = loop;
        uploads = new LargeRequests(loop);
        this.nanos = nanos;
        this.service = service;
        this.most = most;
        this.log = log;
    }

    /** Another bound on connections, from now on. */
    void bound(int connections) {
        most = connections;
        makeRoom();
    }

    /** The next door that opens listens on this socket, which is another process's too. */
    void inherit(ServerSocketChannel listening) {
        inherited = listening;
    }

    /**
     * Takes a connection over that another door has accepted, with the bytes that it has read; both loops
     * know nothing else of it.
     */
    void adopt(Channel listening, Channel connection, ByteBuf first) {
        loop.register(connection).addListener(f -> {
            if (!f.isSuccess()) {
                first.release();
                connection.close();
                return;
            }
            lent = lent == null ? new ListeningSocket(listening, false, now()) : lent;
            new ClientConnection(this, lent, connection).configurePipeline();
            connection.pipeline().fireChannelActive();
            connection.pipeline().fireChannelRead(first);
            connection.pipeline().fireChannelReadComplete();
            connection.config().setAutoRead(true);
        });
    }

    /** Opens a door; the future is done once clients can connect to it. */
    CompletableFuture<ListeningSocket> listen(InetSocketAddress address) {
        CompletableFuture<ListeningSocket> open = new CompletableFuture<>();
        ListeningSocket[] door = new ListeningSocket[1];
        ServerSocketChannel listening = inherited;
        inherited = null;
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(loop, loop)
                .channelFactory(
                        () -> listening == null ? new NioServerSocketChannel() : new NioServerSocketChannel(listening))
                .option(ChannelOption.RECVBUF_ALLOCATOR, accepts)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel c) {
                        new ClientConnection(ClientListener.this, door[0], c).configurePipeline();
                    }
                });
        ChannelFuture bound = listening != null
                ? bootstrap.register()
                : bootstrap
                        .option(ChannelOption.SO_BACKLOG, BACKLOG)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .bind(address);
        door[0] = new ListeningSocket(bound.channel(), listening != null, now());
        bound.addListener(f -> {
            if (f.isSuccess()) {
                doors.add(door[0]);
                open.complete(door[0]);
            } else {
                open.completeExceptionally(f.cause());
            }
        });
        if (!sweeping) {
            sweeping = true;
            loop.scheduleWithFixedDelay(this::sweep, SWEEP_MILLIS, SWEEP_MILLIS, TimeUnit.MILLISECONDS);
        }
        return open;
    }

    /**
     * Closes all at once, whoever waits; the address is free when that is done. What has come whole is handed
     * to the service before, which may answer it at once.
     */
    Future<Void> close() {
        doors.stream().filter(door -> !door.shared).forEach(door -> Channels.readNow(door.channel));
        List.copyOf(connections).forEach(ClientConnection::readNow);
        List.copyOf(connections).forEach(ClientConnection::close);
        List.copyOf(switched).forEach(ClientConnection::close);
        Future<Void> last = loop.newSucceededFuture(null);
        for (ListeningSocket door : doors) {
            last = door.channel.close();
        }
        return last;
    }

    /** Ends all doors; see {@link #end(ListeningSocket, Runnable)}. */
    void end(Runnable ended) {
        if (doors.isEmpty()) {
            ended.run();
            return;
        }
        int[] left = {doors.size()};
        for (ListeningSocket door : List.copyOf(doors)) {
            end(door, () -> {
                if (--left[0] == 0) {
                    ended.run();
                }
            });
        }
    }

    /**
     * Goes on accepting while clients still connect, then ends each connection after its answer. Idle ones
     * are closed before the listening socket, so that a request that crosses the closing can come again. The
     * socket stays for a while where some may wait to be accepted, for its end would reset them; but one that
     * other processes listen on too is theirs from now on, with all that waits in its queue.
     */
    void end(ListeningSocket door, Runnable ended) {
        if (door.shared) {
            door.closing = true;
            door.closingSince = now();
            door.channel.close();
            endQuietly(door, ended);
            return;
        }
        loop.schedule(
                () -> {
                    door.closing = true;
                    door.closingSince = now();
                    endQuietly(door, ended);
                },
                ACCEPT_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    void endQuietly(ListeningSocket door, Runnable ended) {
        connections.stream()
                .filter(c -> c.listeningSocket() == door && c.isQuiet(QUIET_MILLIS))
                .toList()
                .forEach(ClientConnection::closeIfSilent);
        if (door.channel.isOpen() && mayShut(door)) {
            // Those that have connected since the loop looked last would be reset.
            Channels.readNow(door.channel);
            if (mayShut(door)) {
                door.channel.close();
            }
        }
        if (!door.channel.isOpen()
                && Stream.concat(connections.stream(), switched.stream()).noneMatch(c -> c.listeningSocket() == door)) {
            doors.remove(door);
            ended.run();
        } else {
            loop.schedule(() -> endQuietly(door, ended), SWEEP_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /**
     * From now on clients are to go, and the doors stay open: those that come all the same are answered. For
     * a while nothing ends, since new connections go on coming until the front has heard; then each ends
     * after its answer, and idle ones at once, so that none is left that a client would go on using.
     */
    void drain() {
        if (!draining) {
            draining = true;
            drainingSince = now();
        }
    }

    /** Clients are welcome again; what was told its end meanwhile still ends. */
    void undrain() {
        draining = false;
    }

    private boolean dismisses() {
        return draining && millisSince(drainingSince) > ACCEPT_MILLIS;
    }

    /** One that has not said anything yet may be a client that takes its time; it has some, but not all. */
    private void dismissIdle() {
        if (dismisses()) {
            boolean last = millisSince(drainingSince) > DISMISS_MILLIS;
            connections.stream()
                    .filter(c -> c.isQuiet(QUIET_MILLIS) && (last || c.hasAsked()))
                    .toList()
                    .forEach(ClientConnection::closeIfSilent);
        }
        if (draining) {
            service.clients(connections.size());
        }
    }

    private boolean mayShut(ListeningSocket door) {
        boolean allIn = door.channel.config().isAutoRead() || millisSince(door.closingSince) > FULL_MILLIS;
        return millisSince(door.acceptedAt) > QUIET_MILLIS && allIn;
    }

    /** A connection was accepted. */
    void opened(ClientConnection connection) {
        connection.listeningSocket().acceptedAt = now();
        connections.add(connection);
        makeRoom();
    }

    void switched(ClientConnection connection) {
        connections.remove(connection);
        switched.add(connection);
    }

    private int size() {
        return connections.size() + switched.size();
    }

    void closed(ClientConnection connection) {
        connections.remove(connection);
        switched.remove(connection);
        makeRoom();
    }

    /**
     * Whether a connection ends after its answer: while others wait to be accepted, one that stays open and
     * idle shuts them out.
     */
    boolean endsAfterAnswer(ListeningSocket door) {
        return door.closing || dismisses() || !door.channel.config().isAutoRead();
    }

    long waitingBytes() {
        return Stream.concat(connections.stream(), switched.stream())
                .mapToLong(ClientConnection::waitingBytes)
                .sum();
    }

    LargeRequests uploads() {
        return uploads;
    }

    Service service() {
        return service;
    }

    void log(String line) {
        log.accept(line);
    }

    /** Nanoseconds from any origin. */
    long now() {
        return nanos.getAsLong();
    }

    long millisSince(long then) {
        return TimeUnit.NANOSECONDS.toMillis(now() - then);
    }

    /** One look at all connections in place of timers for each, of which a flood would leave thousands. */
    void sweep() {
        for (ClientConnection c : List.copyOf(connections)) {
            c.checkTimes();
        }
        closeSurplus();
        dismissIdle();
        makeRoom();
    }

    /**
     * Past half of the bound what has been idle for a while goes, longest first. Some clients ask once and
     * keep their connection; clients may hold only so many in all, and those that still have something to
     * ask then find none, though the sidecar and its servers have little to do. Against leaks of connections
     * in clients and floods of them too. Harm: a client that asks less often connects anew.
     */
    private void closeSurplus() {
        int surplus = size() - most / 2;
        if (surplus > 0) {
            connections.stream()
                    .filter(c -> c.idleMillis() > SURPLUS_MILLIS)
                    .sorted(Comparator.comparingLong(ClientConnection::idleMillis)
                            .reversed())
                    .limit(surplus)
                    .toList()
                    .forEach(ClientConnection::closeIfSilent);
        }
    }

    /**
     * Past the bound a connection that waits for nothing makes room: one that was rejected, one that said
     * nothing at all, or else the one that was answered the longest time ago. Where all are busy, new ones
     * wait to be accepted.
     *
     * <p>Up to the bound all that wait are accepted at once. One in each turn of the loop was too few where
     * turns are long (a cold runtime, no CPU left, a pause): requests then spent their time in the kernel's
     * queue, unseen by the module, which neither refused them nor knew how old they were, and each client
     * that gave up came back behind the others. Harm: a burst gets its descriptors at once, so the bound has
     * to be kept here, not by the pace.
     */
    private void makeRoom() {
        boolean made = size() >= most && spareOne();
        accepts.maxMessagesPerRead(Math.max(1, Math.min(ACCEPTS, most - size())));
        boolean room = made || size() < most;
        for (ListeningSocket door : doors) {
            door.channel.config().setAutoRead(room);
        }
    }

    /**
     * Closes the connection that can be spared best; one on which something has come meanwhile can't be
     * spared any more, and the next best is looked at.
     */
    private boolean spareOne() {
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
