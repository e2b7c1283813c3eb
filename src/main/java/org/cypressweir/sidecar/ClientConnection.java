package org.cypressweir.sidecar;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.BooleanSupplier;

/**
 * A client's connection; it carries one request at a time. A request is taken once all that came with it
 * has been read: bytes behind it mean that its end is not where it says, or that it is not alone.
 */
final class ClientConnection extends SimpleChannelInboundHandler<FullHttpRequest> {

    /** From the connection, or from a later request's first byte, to its last one. */
    private static final long REQUEST_MILLIS = 2_500;
    /** A body has that time too, and as much more as it takes at this pace, in bytes a millisecond. */
    private static final int LEAST_PACE = 16;
    /** Without a request in hand, since the last answer. */
    private static final long IDLE_MILLIS = 5_000;
    /** A connection that has said nothing for so long goes before one that was answered. */
    private static final long SILENT_MILLIS = 1_000;
    /** An answer of which the client takes nothing in this time is given up. */
    private static final long WRITE_MILLIS = 5_000;
    /** So much waits to be written before the server is held back, and so little before it goes on. */
    private static final WriteBufferWaterMark WAITING = new WriteBufferWaterMark(16 * 1024, 32 * 1024);
    /**
     * A rejected client may go on sending for so long, or be quiet for so long: closing with bytes unread
     * resets the connection, and the client could lose the answer.
     */
    private static final long LINGER_MILLIS = 5_000;

    private static final long LINGER_QUIET_MILLIS = 300;
    /** Bytes that may come behind a request for an upgrade before it is agreed to. */
    private static final int MOST_EARLY = 64 * 1024;

    private final ClientListener server;
    private final ClientListener.ListeningSocket door;
    private final Channel channel;
    private final Decoder decoder;
    private final RequestCollector collector;
    private final long openedAt;
    /** Waits for the answer to the request in hand. */
    private Exchange client;

    private FullHttpRequest whole;
    private boolean more;
    /** A request is awaited: it is the first, or has begun to come. */
    private boolean awaited = true;

    private long awaitedSince;
    /** Reads that brought something, and the time of the last one. */
    private long heard;

    private long heardAt;
    private boolean writing;
    private long answeredAt;
    /** When the client last took something of an answer. */
    private long progressAt;
    /** Nothing that comes counts any more. */
    private boolean deaf;
    /** Something failed while a request was dealt with. */
    private boolean broken;
    /** What came behind a request for an upgrade. */
    private final ServerConnection.Early early = new ServerConnection.Early();
    /** The connection has gone over to another protocol, and nothing of it is dealt with here. */
    private boolean switched;

    ClientConnection(ClientListener server, ClientListener.ListeningSocket door, Channel channel) {
        this.server = server;
        this.door = door;
        this.channel = channel;
        openedAt = server.now();
        awaitedSince = openedAt;
        decoder = new Decoder(server.service()::upgrades);
        collector = new RequestCollector(server.uploads(), this::reject);
    }

    /** The front's pipeline. */
    void begin() {
        channel.pipeline().addLast(new Gate(this), decoder, new HttpResponseEncoder(), collector, this);
        channel.config().setWriteBufferWaterMark(WAITING);
    }

    ClientListener.ListeningSocket door() {
        return door;
    }

    void close() {
        channel.close();
    }

    void readNow() {
        ServerConnection.readNow(channel);
    }

    /**
     * Closes, unless something has come that the loop has not seen yet; whether it closes. A request that
     * lies in the kernel is taken: closing over it would reset the connection and lose it. What comes from
     * now on finds the connection closed, as the protocol allows between requests. One that was told its end
     * goes once what it sent is read, lest the reset overtake its answer.
     */
    boolean closeIfSilent() {
        long before = heard;
        readNow();
        if (owed() || !deaf && heard != before) {
            return false;
        }
        channel.close();
        return true;
    }

    /** Whether a request is in hand, or an answer on its way. */
    private boolean owed() {
        return client != null || writing;
    }

    long waitingBytes() {
        return ServerConnection.waitingBytes(channel);
    }

    /** Whether nothing is owed on it, no request has come in part, and it is older than that. */
    boolean quiet(long millis) {
        return !owed() && !switched && !coming() && age() > millis;
    }

    /** Whether anything was ever answered on it. */
    boolean hasAsked() {
        return !awaited;
    }

    /** Whether a request has begun to come; it has its own time to come whole. */
    private boolean coming() {
        return awaited && heard > 0 && !deaf;
    }

    private long age() {
        return server.millisSince(openedAt);
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        server.opened(this);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        server.closed(this);
        release();
        giveUp();
        early.take().release();
        context.fireChannelInactive();
    }

    /** Whether what comes now is to be read. */
    private boolean lets() {
        heardAt = server.now();
        heard++;
        if (client != null && !deaf && client.upgrading) {
            return true;
        }
        if (client != null && client.passing != null) {
            // Its answer has begun, so nothing else can be said.
            giveUp();
            channel.close();
            return false;
        }
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
            server.service().left(gone);
        }
    }

    /** Since its last answer, if it waits for nothing and nothing of a request has come; else 0. */
    long idleMillis() {
        return client != null || writing || deaf || awaited || switched ? 0 : server.millisSince(answeredAt);
    }

    void checkTimes() {
        boolean passing = client != null && client.passing != null;
        if (client != null && !passing || switched) {
            return;
        }
        if (writing || passing) {
            if (waitingBytes() > 0 && server.millisSince(progressAt) > WRITE_MILLIS) {
                channel.close();
            }
        } else if (deaf) {
            closeAfter(answeredAt, LINGER_MILLIS);
            closeAfter(Math.max(heardAt, answeredAt), LINGER_QUIET_MILLIS);
        } else if (!awaited) {
            closeAfter(answeredAt, IDLE_MILLIS);
        } else if (heard == 0) {
            closeAfter(openedAt, REQUEST_MILLIS);
        } else if (!collector.waits()
                && server.millisSince(awaitedSince) > REQUEST_MILLIS + collector.size() / LEAST_PACE
                && !restComes()) {
            reject(HttpResponseStatus.REQUEST_TIMEOUT, "the request did not come whole in time");
        }
    }

    /** Whether the rest of a request was there and not read yet. */
    private boolean restComes() {
        readNow();
        return owed() || !awaited;
    }

    private void closeAfter(long since, long millis) {
        if (server.millisSince(since) > millis) {
            closeIfSilent();
        }
    }

    /** How well this connection can be spared, by its kind and then by time; 0 where it can't. */
    double spare() {
        if (owed() || switched || coming() || age() <= ClientListener.QUIET_MILLIS) {
            return 0;
        }
        // A client that is late itself brings the first request of a connection late, and it has no second
        // try as one on a kept connection has.
        double kind = deaf ? 4 : !awaited ? 2 : age() > SILENT_MILLIS ? 3 : 1;
        long idle = server.millisSince(Math.max(openedAt, answeredAt));
        return kind + 1 - 1 / (1.0 + idle);
    }

    /** Bytes as they came: what is behind a request for an upgrade, or all, once that was agreed to. */
    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
        if (!(message instanceof ByteBuf raw)) {
            super.channelRead(context, message);
        } else if (switched && channel.pipeline().last() != this) {
            context.fireChannelRead(raw);
        } else {
            early.add(raw);
            if (early.size() > MOST_EARLY) {
                giveUp();
                reject(HttpResponseStatus.BAD_REQUEST, "too much before the upgrade was agreed to");
            }
        }
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
        client = new Exchange(HttpUtil.isKeepAlive(http), http.protocolVersion());
        if (http.decoderResult().isSuccess() && http.uri().equals("/healthz")) {
            client.answer(
                    server.service().ready() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE,
                    new DefaultHttpHeaders(),
                    Unpooled.EMPTY_BUFFER);
            return;
        }
        try {
            server.service().take(http, client);
            if (client != null && !client.upgrading) {
                decoder.switching = false;
            }
        } catch (RequestReader.BadRequest e) {
            client = null;
            reject(e.status(), e.getMessage(), e.headers());
        }
    }

    /** Answers what is no request and ends the connection; what still comes on it is thrown away. */
    private void reject(HttpResponseStatus status, String why) {
        reject(status, why, new DefaultHttpHeaders());
    }

    private void reject(HttpResponseStatus status, String why, HttpHeaders headers) {
        if (deaf) {
            return;
        }
        release();
        client = new Exchange(false, HttpVersion.HTTP_1_1);
        client.answer(
                status,
                headers.set(HttpHeaderNames.CONTENT_TYPE, "text/plain"),
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
        if (!channel.isActive() || switched || cause instanceof IOException) {
            context.close();
        } else if (client != null) {
            server.log("client connection: " + cause);
            // Closed once the answer is written: closing here could cut it.
            broken = true;
            client.answer(HttpResponseStatus.INTERNAL_SERVER_ERROR, new DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER);
        } else {
            reject(HttpResponseStatus.BAD_REQUEST, "not HTTP");
        }
    }

    /** One request in hand and its answer; only the first answer counts. */
    private final class Exchange implements ClientRequest.Client {
        private final boolean keep;
        private final HttpVersion version;
        private boolean upgrading;
        /** Its answer is on its way, as it comes; null before and after. */
        private Passed passing;

        Exchange(boolean keep, HttpVersion version) {
            this.keep = keep;
            this.version = version;
        }

        @Override
        public StreamedResponse pass(HttpHeaders headers, long length, Runnable resume) {
            if (client != this || !channel.isActive() || passing != null) {
                return null;
            }
            boolean chunks = length < 0 && version.equals(HttpVersion.HTTP_1_1);
            boolean last = !keep || upgrading || broken || server.endsAfterAnswer(door) || length < 0 && !chunks;
            HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK, headers);
            if (length >= 0) {
                HttpUtil.setContentLength(head, length);
            }
            HttpUtil.setTransferEncodingChunked(head, chunks);
            if (last) {
                headers.set(HttpHeaderNames.CONNECTION, "close");
            }
            progressAt = server.now();
            passing = new Passed(this, resume, last);
            channel.writeAndFlush(head);
            return passing;
        }

        @Override
        public void reject(RequestReader.BadRequest why) {
            if (client == this) {
                client = null;
                ClientConnection.this.reject(why.status(), why.getMessage(), why.headers());
            }
        }

        @Override
        public void answer(HttpResponseStatus status, HttpHeaders headers, ByteBuf content) {
            if (client != this) {
                content.release();
                return;
            }
            if (passing != null) {
                content.release();
                passing.cut();
                return;
            }
            client = null;
            deaf = !keep || upgrading || broken || server.endsAfterAnswer(door);
            FullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, status, content, headers, new DefaultHttpHeaders());
            HttpUtil.setContentLength(response, content.readableBytes());
            if (deaf) {
                response.headers().set(HttpHeaderNames.CONNECTION, "close");
            }
            writing = true;
            answeredAt = server.now();
            progressAt = answeredAt;
            channel.writeAndFlush(response).addListener(f -> written(f.isSuccess()));
        }

        @Override
        public void upgrading() {
            upgrading = true;
        }

        @Override
        public boolean isAlone() {
            return early.size() == 0;
        }

        @Override
        public Upgrade.End goOver(FullHttpResponse answer) {
            if (client != this || !channel.isActive()) {
                return null;
            }
            client = null;
            switched = true;
            server.switched(ClientConnection.this);
            channel.config().setAutoRead(false);
            HttpHeaders headers = Headers.endToEnd(answer.headers());
            headers.remove(Headers.LOAD);
            headers.remove(HttpHeaderNames.CONTENT_LENGTH);
            headers.set(HttpHeaderNames.CONNECTION, "Upgrade")
                    .set(HttpHeaderNames.UPGRADE, answer.headers().get(HttpHeaderNames.UPGRADE));
            channel.writeAndFlush(new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1,
                    HttpResponseStatus.SWITCHING_PROTOCOLS,
                    Unpooled.EMPTY_BUFFER,
                    headers,
                    new DefaultHttpHeaders()));
            // The decoder hands on what it still holds, which comes here as bytes.
            channel.pipeline().remove(decoder);
            while (channel.pipeline().first() != ClientConnection.this) {
                channel.pipeline().removeFirst();
            }
            return new Upgrade.End(channel, early.take());
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

    /**
     * An answer as it comes. Where it breaks off the connection is reset, which no client takes for an
     * end.
     */
    private final class Passed implements StreamedResponse {
        private final Exchange exchange;
        private final Runnable resume;
        private final boolean last;

        Passed(Exchange exchange, Runnable resume, boolean last) {
            this.exchange = exchange;
            this.resume = resume;
            this.last = last;
        }

        @Override
        public boolean more(ByteBuf part) {
            channel.writeAndFlush(new DefaultHttpContent(part.retain())).addListener(f -> progressAt = server.now());
            return channel.isWritable();
        }

        @Override
        public void end() {
            if (client == exchange) {
                client = null;
                // Only where the client was told: it may have sent a request by now.
                deaf = last;
                writing = true;
                answeredAt = server.now();
                channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)
                        .addListener(f -> exchange.written(f.isSuccess()));
            }
        }

        @Override
        public void cut() {
            if (client == exchange) {
                client = null;
                channel.config().setOption(ChannelOption.SO_LINGER, 0);
                channel.close();
            }
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (client != null && client.passing != null && channel.isWritable()) {
            client.passing.resume.run();
        }
        context.fireChannelWritabilityChanged();
    }

    /** Shows whether it holds a part of a further message. */
    private static final class Decoder extends HttpRequestDecoder {
        private final BooleanSupplier upgrades;
        private boolean begun;
        /** The message at hand asks to go over to another protocol; it has come whole. */
        private boolean asks;

        private boolean switching;

        Decoder(BooleanSupplier upgrades) {
            super(new HttpDecoderConfig().setMaxChunkSize(ServerConnection.CHUNK));
            this.upgrades = upgrades;
        }

        /** What is behind a request for an upgrade is none of HTTP. */
        @Override
        protected void decode(ChannelHandlerContext context, ByteBuf bytes, List<Object> out) throws Exception {
            if (switching) {
                out.add(bytes.readRetainedSlice(bytes.readableBytes()));
                return;
            }
            int before = out.size();
            super.decode(context, bytes, out);
            for (int i = before; i < out.size(); i++) {
                if (out.get(i) instanceof HttpRequest head) {
                    asks = head.headers().contains(HttpHeaderNames.UPGRADE) && upgrades.getAsBoolean();
                }
                switching |= asks && out.get(i) instanceof LastHttpContent;
            }
        }

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
        private final ClientConnection connection;

        Gate(ClientConnection connection) {
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
}
