package larkbank.sidecar;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.ServerChannelRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** The listening side: reads clients' requests, writes their answers, and closes down without losing any. */
final class ClientServer {

    /** What stands behind the connections. */
    interface Service {
        /** Whether a request would find a server. */
        boolean ready();

        /** A request to be answered through its client, by an exception at the latest. */
        void take(FullHttpRequest http, Call.Client client) throws RequestReader.BadRequest;

        /** The client of this request has closed its connection. */
        void left(Call.Client client);
    }

    private static final int BACKLOG = 512;
    /** Most connections taken in one turn of the loop. */
    private static final int ACCEPTS = 64;
    /** From the connection, or from a later request's first byte, to its last one. */
    private static final long REQUEST_MILLIS = 2_000;
    /** Without a request in hand, since the last answer. */
    private static final long IDLE_MILLIS = 5_000;
    /** The same where connections are many. */
    private static final long SURPLUS_MILLIS = 200;
    /** An answer that the client does not take in this time is given up. */
    private static final long WRITE_MILLIS = 5_000;
    /**
     * A rejected client may go on sending for so long, or be quiet for so long: closing with bytes unread
     * resets the connection, and the client could lose the answer.
     */
    private static final long LINGER_MILLIS = 5_000;
    private static final long LINGER_QUIET_MILLIS = 300;
    /** How long new connections go on coming after the end was announced. */
    private static final long ACCEPT_MILLIS = 400;
    /** A new connection has this long to bring its request; as long nothing new may come before the end. */
    private static final long QUIET_MILLIS = 100;
    private static final long SWEEP_MILLIS = 25;

    private final EventLoop loop;
    private final Service service;
    private final int most;
    private final Consumer<String> log;
    private final Set<Connection> connections = new LinkedHashSet<>();
    /** How many connections are accepted in one turn of the loop. */
    private final ServerChannelRecvByteBufAllocator accepts = new ServerChannelRecvByteBufAllocator();
    private Channel listening;
    private boolean ending;
    private long acceptedAt = System.nanoTime();

    ClientServer(EventLoop loop, Service service, int most, Consumer<String> log) {
        this.loop = loop;
        this.service = service;
        this.most = most;
        this.log = log;
    }

    ChannelFuture listen(InetSocketAddress address) {
        ChannelFuture bound = new ServerBootstrap().group(loop, loop).channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.RECVBUF_ALLOCATOR, accepts)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel c) {
                        Connection connection = new Connection(c);
                        c.pipeline().addLast(new Gate(connection), connection.decoder,
                                new HttpResponseEncoder(), new Whole(connection), connection);
                    }
                }).bind(address);
        listening = bound.channel();
        loop.scheduleWithFixedDelay(this::sweep, SWEEP_MILLIS, SWEEP_MILLIS, TimeUnit.MILLISECONDS);
        return bound;
    }

    /** Closes all at once, whoever waits; the address is free when that is done. */
    ChannelFuture close() {
        List.copyOf(connections).forEach(c -> c.channel.close());
        return listening.close();
    }

    /** Where it listens, once that is so. */
    InetSocketAddress address() {
        return (InetSocketAddress) listening.localAddress();
    }

    /**
     * Goes on accepting while clients still connect, then ends each connection after its answer. Idle ones
     * are closed before the listening socket, so that a request that crosses the closing can come again.
     */
    void end(Runnable ended) {
        if (listening == null) {
            ended.run();
            return;
        }
        loop.schedule(() -> {
            ending = true;
            endQuiet(ended);
        }, ACCEPT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void endQuiet(Runnable ended) {
        List.copyOf(connections).stream()
                .filter(c -> c.client == null && !c.writing && c.age() > QUIET_MILLIS)
                .forEach(c -> c.channel.close());
        if (millisSince(acceptedAt) > QUIET_MILLIS) {
            listening.close();
        }
        if (!listening.isOpen() && connections.isEmpty()) {
            ended.run();
        } else {
            loop.schedule(() -> endQuiet(ended), SWEEP_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private static long millisSince(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - nanos);
    }

    /** One look at all connections in place of timers for each, of which a flood would leave thousands. */
    private void sweep() {
        for (Connection c : List.copyOf(connections)) {
            c.checkTimes();
        }
        closeSurplus();
        makeRoom();
    }

    /**
     * Past half of the bound what has been idle for a while goes, longest first. Some clients ask once and
     * keep their connection; clients may hold only so many in all, and those that still have something to
     * ask then find none, though the sidecar and its servers have little to do. Against leaks of connections
     * in clients and floods of them too. Harm: a client that asks less often connects anew.
     */
    private void closeSurplus() {
        int surplus = connections.size() - most / 2;
        if (surplus > 0) {
            connections.stream().filter(c -> c.idleMillis() > SURPLUS_MILLIS)
                    .sorted(Comparator.comparingLong(Connection::idleMillis).reversed()).limit(surplus)
                    .toList().forEach(c -> c.channel.close());
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
        Connection victim = null;
        if (connections.size() >= most) {
            for (Connection c : connections) {
                if (c.spare() > (victim == null ? 0 : victim.spare())) {
                    victim = c;
                }
            }
            if (victim != null) {
                victim.channel.close();
            }
        }
        accepts.maxMessagesPerRead(Math.max(1, Math.min(ACCEPTS, most - connections.size())));
        listening.config().setAutoRead(victim != null || connections.size() < most);
    }

    /** Shows whether it holds a part of a further message. */
    private static final class Decoder extends HttpRequestDecoder {
        private boolean begun;

        @Override
        protected HttpMessage createMessage(String[] initialLine) throws Exception {
            begun = true;
            return super.createMessage(initialLine);
        }

        /** A whole message has been handed on; what is decoded from now on is another. */
        void ended() {
            begun = false;
        }

        boolean isEmpty() {
            return !begun && actualReadableBytes() == 0;
        }
    }

    /** Drops what comes on a rejected connection before anything is spent on it. */
    private static final class Gate extends ChannelInboundHandlerAdapter {
        private final Connection connection;

        Gate(Connection connection) {
            this.connection = connection;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object bytes) {
            if (connection.lets()) {
                context.fireChannelRead(bytes);
            } else {
                ReferenceCountUtil.release(bytes);
            }
        }
    }

    /** Collects whole requests, and ends the connection after one that is too large. */
    private static final class Whole extends HttpObjectAggregator {
        private final Connection connection;

        Whole(Connection connection) {
            super(Link.MAX_BODY, true);
            this.connection = connection;
        }

        @Override
        protected void handleOversizedMessage(ChannelHandlerContext context, HttpMessage oversized) {
            connection.reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large");
        }
    }

    /**
     * A client's connection; it carries one request at a time. A request is taken once all that came with it
     * has been read: bytes behind it mean that its end is not where it says, or that it is not alone.
     */
    private final class Connection extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final Channel channel;
        private final Decoder decoder = new Decoder();
        private final long openedAt = System.nanoTime();
        /** Waits for the answer to the request in hand. */
        private Exchange client;
        private FullHttpRequest whole;
        private boolean more;
        /** A request is awaited: it is the first, or has begun to come. */
        private boolean awaited = true;
        private long awaitedSince = openedAt;
        private long heardAt;
        private boolean writing;
        private long answeredAt;
        /** Nothing that comes counts any more. */
        private boolean deaf;

        Connection(Channel channel) {
            this.channel = channel;
        }

        private long age() {
            return millisSince(openedAt);
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            acceptedAt = openedAt;
            connections.add(this);
            makeRoom();
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            connections.remove(this);
            makeRoom();
            release();
            giveUp();
        }

        /** Whether what comes now is to be read. */
        private boolean lets() {
            heardAt = System.nanoTime();
            if (client != null && !deaf) {
                // Clients send one request at a time. What comes behind can't be told from a wrong length of
                // the one in hand, which so is no request either.
                giveUp();
                reject(HttpResponseStatus.BAD_REQUEST, "more than one request");
            }
            if (!deaf && !awaited) {
                awaited = true;
                awaitedSince = heardAt;
            }
            return !deaf;
        }

        private void giveUp() {
            if (client != null) {
                Exchange gone = client;
                client = null;
                service.left(gone);
            }
        }

        /** Since its last answer, if it waits for nothing and nothing of a request has come; else 0. */
        private long idleMillis() {
            return client != null || writing || deaf || awaited ? 0 : millisSince(answeredAt);
        }

        private void checkTimes() {
            if (client != null) {
                return;
            }
            if (writing) {
                closeAfter(answeredAt, WRITE_MILLIS);
            } else if (deaf) {
                closeAfter(answeredAt, LINGER_MILLIS);
                closeAfter(Math.max(heardAt, answeredAt), LINGER_QUIET_MILLIS);
            } else if (!awaited) {
                closeAfter(answeredAt, IDLE_MILLIS);
            } else if (heardAt == 0) {
                closeAfter(awaitedSince, REQUEST_MILLIS);
            } else if (millisSince(awaitedSince) > REQUEST_MILLIS) {
                reject(HttpResponseStatus.REQUEST_TIMEOUT, "the request did not come whole in time");
            }
        }

        private void closeAfter(long since, long millis) {
            if (millisSince(since) > millis) {
                channel.close();
            }
        }

        /** How well this connection can be spared, by its kind and then by time; 0 where it can't. */
        private double spare() {
            if (client != null || writing || age() <= QUIET_MILLIS) {
                return 0;
            }
            double kind = deaf ? 3 : heardAt == 0 ? 2 : awaited ? 0 : 1;
            return kind == 0 ? 0 : kind + 1 - 1 / (1.0 + millisSince(Math.max(openedAt, answeredAt)));
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest http) {
            decoder.ended();
            if (whole != null) {
                more = true;
            } else if (!deaf) {
                whole = http.retain();
            }
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext context) {
            if (whole != null) {
                FullHttpRequest http = whole;
                whole = null;
                try {
                    take(http);
                } finally {
                    http.release();
                }
            }
            context.fireChannelReadComplete();
        }

        private void take(FullHttpRequest http) {
            if (deaf) {
                return;
            }
            if (more || !decoder.isEmpty()) {
                reject(HttpResponseStatus.BAD_REQUEST, "more than one request");
                return;
            }
            awaited = false;
            client = new Exchange(HttpUtil.isKeepAlive(http));
            if (http.decoderResult().isSuccess() && http.uri().equals("/healthz")) {
                client.answer(service.ready() ? HttpResponseStatus.OK
                        : HttpResponseStatus.SERVICE_UNAVAILABLE, new DefaultHttpHeaders(),
                        Unpooled.EMPTY_BUFFER);
                return;
            }
            try {
                service.take(http, client);
            } catch (RequestReader.BadRequest e) {
                client = null;
                reject(HttpResponseStatus.BAD_REQUEST, e.getMessage());
            }
        }

        /** Answers what is no request and ends the connection; what still comes on it is thrown away. */
        private void reject(HttpResponseStatus status, String why) {
            if (deaf) {
                return;
            }
            release();
            client = new Exchange(false);
            client.answer(status, new DefaultHttpHeaders().set(HttpHeaderNames.CONTENT_TYPE, "text/plain"),
                    Unpooled.copiedBuffer(why + "\n", StandardCharsets.UTF_8));
        }

        private void release() {
            if (whole != null) {
                whole.release();
                whole = null;
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (!channel.isActive() || cause instanceof IOException) {
                context.close();
            } else if (client != null) {
                log.accept("client connection: " + cause);
                client.answer(HttpResponseStatus.INTERNAL_SERVER_ERROR, new DefaultHttpHeaders(),
                        Unpooled.EMPTY_BUFFER);
                context.close();
            } else {
                reject(HttpResponseStatus.BAD_REQUEST, "not HTTP");
            }
        }

        /** One request in hand and its answer; only the first answer counts. */
        private final class Exchange implements Call.Client {
            private final boolean keep;

            Exchange(boolean keep) {
                this.keep = keep;
            }

            @Override
            public void answer(HttpResponseStatus status, HttpHeaders headers, ByteBuf content) {
                if (client != this) {
                    content.release();
                    return;
                }
                client = null;
                // While others wait to be accepted, a connection that stays open and idle shuts them out.
                deaf = !keep || ending || !listening.config().isAutoRead();
                FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, content,
                        headers, new DefaultHttpHeaders());
                HttpUtil.setContentLength(response, content.readableBytes());
                if (deaf) {
                    response.headers().set(HttpHeaderNames.CONNECTION, "close");
                }
                writing = true;
                answeredAt = System.nanoTime();
                channel.writeAndFlush(response).addListener(f -> written(f.isSuccess()));
            }

            private void written(boolean whole) {
                writing = false;
                if (!whole) {
                    channel.close();
                } else if (deaf) {
                    ((SocketChannel) channel).shutdownOutput();
                }
            }
        }
    }
}
