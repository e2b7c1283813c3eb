package larkbank.sidecar;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.RecvByteBufAllocator;
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
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Iterator;
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
    private static final RecvByteBufAllocator ONE_AT_A_TIME =
            new ServerChannelRecvByteBufAllocator().maxMessagesPerRead(1);
    /** A rejected client may go on sending for so long; closing at once could lose the 400. */
    private static final long LINGER_MILLIS = 1_000;
    /** How long new connections go on coming after the end was announced. */
    private static final long ACCEPT_MILLIS = 400;
    /** A new connection has this long to bring its request; as long nothing new may come before the end. */
    private static final long QUIET_MILLIS = 100;

    private final EventLoop loop;
    private final Service service;
    private final int most;
    private final Consumer<String> log;
    /** Open connections, the one that was answered last at the end. */
    private final Set<Connection> connections = new LinkedHashSet<>();
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
                // One at a time, so that the bound is looked at before the next.
                .option(ChannelOption.RECVBUF_ALLOCATOR, ONE_AT_A_TIME)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel c) {
                        c.pipeline().addLast(new HttpServerCodec(), new Whole(), new Connection(c));
                    }
                }).bind(address);
        listening = bound.channel();
        return bound;
    }

    /**
     * Goes on accepting while clients still connect, then ends each connection after its answer. Idle ones
     * are closed before the listening socket, so that a request that crosses the closing can come again.
     */
    void end(Runnable ended) {
        loop.schedule(() -> {
            ending = true;
            sweep(ended);
        }, ACCEPT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void sweep(Runnable ended) {
        List.copyOf(connections).stream().filter(c -> c.client == null && c.age() > QUIET_MILLIS)
                .forEach(c -> c.channel.close());
        if (millisSince(acceptedAt) > QUIET_MILLIS) {
            listening.close();
        }
        if (!listening.isOpen() && connections.isEmpty()) {
            ended.run();
        } else {
            loop.schedule(() -> sweep(ended), QUIET_MILLIS / 4, TimeUnit.MILLISECONDS);
        }
    }

    private static long millisSince(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - nanos);
    }

    /** Past the bound a connection that waits for nothing makes room; where all are busy, new ones wait. */
    private void makeRoom() {
        if (connections.size() < most) {
            return;
        }
        Iterator<Connection> oldest = connections.iterator();
        while (oldest.hasNext()) {
            Connection c = oldest.next();
            if (c.client == null && c.age() > QUIET_MILLIS) {
                c.channel.close();
                return;
            }
        }
        listening.config().setAutoRead(false);
    }

    /** Collects whole requests, and ends the connection after one that is too large. */
    private final class Whole extends HttpObjectAggregator {

        Whole() {
            super(Link.MAX_BODY, true);
        }

        @Override
        protected void handleOversizedMessage(ChannelHandlerContext context, HttpMessage oversized) {
            context.pipeline().get(Connection.class)
                    .reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large");
        }
    }

    /** A client's connection; it carries one request at a time. */
    private final class Connection extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final Channel channel;
        private final long openedAt = System.nanoTime();
        /** Waits for the answer to the request in hand. */
        private Exchange client;
        private boolean rejected;

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
            if (connections.size() < most) {
                listening.config().setAutoRead(true);
            }
            if (client != null) {
                Exchange gone = client;
                client = null;
                service.left(gone);
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest http) {
            if (rejected) {
                return;
            }
            if (client != null) {
                // Clients send one request at a time. An answer out of turn would belong to the wrong one, so
                // the one in hand is answered, and the connection ends with this one unread.
                client.keep = false;
                return;
            }
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
            if (client != null) {
                client.keep = false;
                return;
            }
            rejected = true;
            client = new Exchange(false);
            client.answer(status, new DefaultHttpHeaders().set(HttpHeaderNames.CONTENT_TYPE, "text/plain"),
                    Unpooled.copiedBuffer(why + "\n", StandardCharsets.UTF_8));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (!(cause instanceof IOException)) {
                log.accept("client connection: " + cause);
                if (client != null) {
                    client.answer(HttpResponseStatus.INTERNAL_SERVER_ERROR, new DefaultHttpHeaders(),
                            Unpooled.EMPTY_BUFFER);
                }
            }
            context.close();
        }

        /** One request in hand and its answer; only the first answer counts. */
        private final class Exchange implements Call.Client {
            private boolean keep;

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
                boolean last = !keep || ending || !listening.config().isAutoRead();
                FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, content,
                        headers, new DefaultHttpHeaders());
                HttpUtil.setContentLength(response, content.readableBytes());
                if (last) {
                    response.headers().set(HttpHeaderNames.CONNECTION, "close");
                }
                connections.remove(Connection.this);
                connections.add(Connection.this);
                ChannelFuture written = channel.writeAndFlush(response);
                if (rejected) {
                    written.addListener(f -> linger());
                } else if (last) {
                    written.addListener(ChannelFutureListener.CLOSE);
                } else {
                    written.addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
                }
            }

            private void linger() {
                ((SocketChannel) channel).shutdownOutput();
                loop.schedule(() -> channel.close(), LINGER_MILLIS, TimeUnit.MILLISECONDS);
            }
        }
    }
}
