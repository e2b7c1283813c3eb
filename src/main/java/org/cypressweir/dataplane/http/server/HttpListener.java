package org.cypressweir.dataplane.http.server;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * An HTTP/1.1 server on one address; each request gets exactly one response.
 *
 * <p>All connections and the handler run on one event loop. {@link #drain}, {@link #stopListening}, {@link #close}
 * and the counts may be called from any thread. For a graceful shutdown, call {@code drain} and {@code stopListening},
 * wait until {@link #connections} is zero, then call {@code close}.
 */
public final class HttpListener {

    private static final int BACKLOG = 1024;
    /** The limit for the bodies of all requests that are being received or handled, together. */
    private static final long MAX_BUFFERED_BYTES = 24L * 1024 * 1024;
    /** Time-outs are checked for all connections at once instead of by a timer for each. */
    private static final long MIN_SWEEP_INTERVAL_MILLIS = 10;

    private static final long MAX_SWEEP_INTERVAL_MILLIS = 250;
    /** The maximum number of reads of one connection in one iteration of the event loop. */
    private static final int MAX_READS_PER_ITERATION = 4;

    private final EventLoop loop;
    private final Supplier<RequestLimits> limits;
    private final LongSupplier clockMicros;
    private final RequestHandler handler;
    private final InetSocketAddress address;
    private final Channel serverChannel;
    private final Set<HttpConnection> connections = new LinkedHashSet<>();
    private long bufferedBytes;
    private boolean sweeping;
    private boolean closed;
    private volatile boolean draining;
    private volatile int requestsOpen;
    private volatile int connectionCount;

    private HttpListener(
            EventLoop loop,
            ServerSocketChannel socket,
            Supplier<RequestLimits> limits,
            LongSupplier clockMicros,
            RequestHandler handler)
            throws IOException {
        this.loop = loop;
        this.limits = limits;
        this.clockMicros = clockMicros;
        this.handler = handler;
        address = (InetSocketAddress) socket.getLocalAddress();
        serverChannel = new NioServerSocketChannel(socket);
    }

    /**
     * Binds the address and accepts connections from now on.
     *
     * @param limits read again for each request, so that they may change
     * @param clockMicros the clock of time-outs and of {@link ServerRequest#arrivedMicros}
     * @throws IOException if the address can't be bound; the message names it
     */
    public static HttpListener open(
            EventLoopGroup group,
            InetSocketAddress address,
            Supplier<RequestLimits> limits,
            LongSupplier clockMicros,
            RequestHandler handler)
            throws IOException {
        ServerSocketChannel socket = ServerSocketChannel.open();
        try {
            socket.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            socket.bind(address, BACKLOG);
            HttpListener listener = new HttpListener(group.next(), socket, limits, clockMicros, handler);
            listener.accept();
            return listener;
        } catch (IOException | RuntimeException e) {
            socket.close();
            throw new IOException(
                    "cannot listen on " + address.getHostString() + ":" + address.getPort() + ": " + e.getMessage(), e);
        }
    }

    private void accept() {
        AdaptiveRecvByteBufAllocator allocator = new AdaptiveRecvByteBufAllocator();
        new ServerBootstrap()
                .group(loop)
                .channelFactory(() -> (NioServerSocketChannel) serverChannel)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.RECVBUF_ALLOCATOR, allocator.maxMessagesPerRead(MAX_READS_PER_ITERATION))
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        new HttpConnection(HttpListener.this, channel).addHandlers();
                    }
                })
                .register();
    }

    /** The bound address, with the port that was chosen for port 0. */
    public InetSocketAddress address() {
        return address;
    }

    /** The number of requests that were handed to the handler and have no response yet. */
    public int requestsOpen() {
        return requestsOpen;
    }

    /** The number of open connections. */
    public int connections() {
        return connectionCount;
    }

    /** Begins to drain: idle connections are closed, each other connection after its next response. */
    public void drain() {
        draining = true;
        onLoop(() -> List.copyOf(connections).forEach(HttpConnection::closeIfIdle));
    }

    /** Accepts no further connections; those that the kernel has accepted before are served. */
    public void stopListening() {
        onLoop(() -> {
            int before;
            // Connections in the backlog would be reset by the close.
            do {
                before = connectionCount;
                ((AbstractNioChannel) serverChannel).unsafe().read();
            } while (serverChannel.isOpen() && connectionCount > before);
            serverChannel.close();
        });
    }

    /** Closes the listener and all connections at once. */
    public void close() {
        onLoop(() -> {
            closed = true;
            serverChannel.close();
            List.copyOf(connections).forEach(HttpConnection::close);
        });
    }

    private void onLoop(Runnable task) {
        if (loop.inEventLoop()) {
            task.run();
        } else {
            loop.execute(task);
        }
    }

    long now() {
        return clockMicros.getAsLong();
    }

    RequestLimits limits() {
        return limits.get();
    }

    boolean isDraining() {
        return draining;
    }

    /** Whether this many more bytes of request bodies can be buffered. */
    boolean canBuffer(long bytes) {
        return bytes <= MAX_BUFFERED_BYTES - bufferedBytes;
    }

    /** Reserves bytes for a body if they can be buffered; a negative number releases them. */
    boolean tryReserve(long bytes) {
        boolean fits = canBuffer(bytes);
        bufferedBytes += fits ? bytes : 0;
        return fits;
    }

    void onConnect(HttpConnection connection) {
        if (closed) {
            connection.close();
            return;
        }
        connections.add(connection);
        connectionCount = connections.size();
        if (!sweeping) {
            sweeping = true;
            scheduleSweep();
        }
    }

    void onDisconnect(HttpConnection connection) {
        connections.remove(connection);
        connectionCount = connections.size();
    }

    void handle(Exchange exchange) {
        requestsOpen = requestsOpen + 1;
        try {
            handler.handle(exchange);
        } catch (RuntimeException | Error e) {
            // Whatever fails in the handler, the client gets a response and the listener keeps running.
            exchange.answer(ServerResponse.text(500, "failed"));
        }
    }

    void onRequestEnd() {
        requestsOpen = requestsOpen - 1;
    }

    private void scheduleSweep() {
        RequestLimits current = limits();
        long interval = Math.min(current.headerTimeoutMillis(), current.idleTimeoutMillis()) / 4;
        long bounded = Math.max(MIN_SWEEP_INTERVAL_MILLIS, Math.min(MAX_SWEEP_INTERVAL_MILLIS, interval));
        loop.schedule(this::sweep, bounded, TimeUnit.MILLISECONDS);
    }

    private void sweep() {
        long now = now();
        List.copyOf(connections).forEach(c -> c.checkTimeouts(now));
        sweeping = !connections.isEmpty();
        if (sweeping) {
            scheduleSweep();
        }
    }
}
