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
 * Listens on one address and gives each request exactly one answer. All that it does runs on one loop; it
 * may be told to end from any thread.
 */
public final class HttpListener {

    private static final int BACKLOG = 1024;
    /** Bodies of all requests that are read or in hand. */
    private static final long MOST_BYTES = 24L * 1024 * 1024;
    /** One look at all connections in place of timers; between two of them, at the least and most. */
    private static final long LEAST_SWEEP = 10;

    private static final long MOST_SWEEP = 250;
    /** So often a connection is read in one turn of the loop. */
    private static final int READS = 4;

    private final EventLoop loop;
    private final Supplier<RequestLimits> bounds;
    private final LongSupplier micros;
    private final RequestHandler host;
    private final InetSocketAddress address;
    private final Channel door;
    private final Set<HttpConnection> connections = new LinkedHashSet<>();
    private long held;
    private boolean sweeping;
    private boolean closed;
    private volatile boolean draining;
    private volatile int requestsOpen;
    private volatile int connected;

    private HttpListener(
            EventLoop loop,
            ServerSocketChannel socket,
            Supplier<RequestLimits> bounds,
            LongSupplier micros,
            RequestHandler host)
            throws IOException {
        this.loop = loop;
        this.bounds = bounds;
        this.micros = micros;
        this.host = host;
        address = (InetSocketAddress) socket.getLocalAddress();
        door = new NioServerSocketChannel(socket);
    }

    /** Listens from now on. */
    public static HttpListener open(
            EventLoopGroup group,
            InetSocketAddress at,
            Supplier<RequestLimits> bounds,
            LongSupplier micros,
            RequestHandler host)
            throws IOException {
        ServerSocketChannel socket = ServerSocketChannel.open();
        try {
            socket.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            socket.bind(at, BACKLOG);
            HttpListener gangway = new HttpListener(group.next(), socket, bounds, micros, host);
            gangway.accept();
            return gangway;
        } catch (IOException | RuntimeException e) {
            socket.close();
            throw new IOException(
                    "cannot listen on " + at.getHostString() + ":" + at.getPort() + ": " + e.getMessage(), e);
        }
    }

    private void accept() {
        new ServerBootstrap()
                .group(loop)
                .channelFactory(() -> (NioServerSocketChannel) door)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(
                        ChannelOption.RECVBUF_ALLOCATOR, new AdaptiveRecvByteBufAllocator().maxMessagesPerRead(READS))
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        new HttpConnection(HttpListener.this, channel).begin();
                    }
                })
                .register();
    }

    /** Where it listens, with the port that was chosen for 0. */
    public InetSocketAddress address() {
        return address;
    }

    /** Requests that were handed to the host and not answered. */
    public int requestsOpen() {
        return requestsOpen;
    }

    public int connections() {
        return connected;
    }

    /** From now on each answer is the last of its connection; those without a request are closed. */
    public void drain() {
        draining = true;
        onLoop(() -> List.copyOf(connections).forEach(HttpConnection::closeIfIdle));
    }

    /** Nobody new is let in; those that have connected before are. */
    public void stopListening() {
        onLoop(() -> {
            int before;
            // Whoever has connected and was not accepted yet would be reset.
            do {
                before = connected;
                ((AbstractNioChannel) door).unsafe().read();
            } while (door.isOpen() && connected > before);
            door.close();
        });
    }

    /** Ends all at once. */
    public void close() {
        onLoop(() -> {
            closed = true;
            door.close();
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
        return micros.getAsLong();
    }

    RequestLimits bounds() {
        return bounds.get();
    }

    boolean isDraining() {
        return draining;
    }

    boolean hasRoom(long bytes) {
        return bytes <= MOST_BYTES - held;
    }

    /** Counts bytes of bodies, or fewer of them; whether there was room. */
    boolean take(long bytes) {
        boolean fits = hasRoom(bytes);
        held += fits ? bytes : 0;
        return fits;
    }

    void opened(HttpConnection connection) {
        if (closed) {
            connection.close();
            return;
        }
        connections.add(connection);
        connected = connections.size();
        if (!sweeping) {
            sweeping = true;
            later();
        }
    }

    void closed(HttpConnection connection) {
        connections.remove(connection);
        connected = connections.size();
    }

    void call(Exchange exchange) {
        requestsOpen = requestsOpen + 1;
        try {
            host.called(exchange);
        } catch (RuntimeException | Error e) {
            exchange.answer(ServerResponse.text(500, "failed"));
        }
    }

    void callEnded() {
        requestsOpen = requestsOpen - 1;
    }

    private void later() {
        RequestLimits now = bounds();
        long wait = Math.min(now.headerMillis(), now.idleMillis()) / 4;
        loop.schedule(this::sweep, Math.max(LEAST_SWEEP, Math.min(MOST_SWEEP, wait)), TimeUnit.MILLISECONDS);
    }

    private void sweep() {
        long now = now();
        List.copyOf(connections).forEach(c -> c.checkTimes(now));
        sweeping = !connections.isEmpty();
        if (sweeping) {
            later();
        }
    }
}
