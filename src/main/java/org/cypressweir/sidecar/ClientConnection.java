package org.cypressweir.sidecar;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.nio.charset.StandardCharsets;

/**
 * A client's connection; it carries one request at a time. A request is taken once all that came with it has been
 * read: bytes behind it mean that its end is not where it says, or that it is not alone.
 *
 * <p>Confined to the event loop. Its states: awaiting a request, with an exchange in progress, writing a response,
 * idle, draining input (the last response is written, and what still comes is dropped), switched to another
 * protocol. {@link ClientListener} made it, looks at its times, and hears of its end.
 */
final class ClientConnection extends SimpleChannelInboundHandler<FullHttpRequest> {

    /** From the connection, or from a later request's first byte, to its last one. */
    private static final long REQUEST_MILLIS = 2_500;
    /** A body has that time too, and as much more as it takes at this pace. */
    private static final int MIN_BYTES_PER_MILLI = 16;
    /** Without a request in progress, since the last response. */
    private static final long IDLE_MILLIS = 5_000;
    /** A connection that has said nothing for so long goes before one that had a response. */
    private static final long SILENT_MILLIS = 1_000;
    /** A response of which the client takes nothing in this time is given up. */
    private static final long WRITE_MILLIS = 5_000;
    /** So much waits to be written before the server is held back, and so little before it goes on. */
    private static final WriteBufferWaterMark WRITE_WATER_MARKS = new WriteBufferWaterMark(16 * 1024, 32 * 1024);
    /**
     * A rejected client may go on sending for so long, or be quiet for so long: closing with bytes unread resets
     * the connection, and the client could lose the response.
     */
    private static final long LINGER_MILLIS = 5_000;

    private static final long LINGER_QUIET_MILLIS = 300;
    /** Bytes that may come behind a request for an upgrade before it is agreed to. */
    private static final int MAX_EARLY_BYTES = 64 * 1024;

    private static final String HEALTH_CHECK_URI = "/healthz";
    private static final String MORE_THAN_ONE_REQUEST = "more than one request";

    /** What can be spared most easily comes first; see {@link #evictionScore}. */
    private static final double EVICT_DRAINING_INPUT = 4;

    private static final double EVICT_SILENT = 3;
    private static final double EVICT_IDLE = 2;
    private static final double EVICT_NEW = 1;

    private final ClientListener listener;
    private final ClientListener.ListeningSocket listeningSocket;
    private final Channel channel;
    private final ClientRequestDecoder decoder;
    private final RequestCollector collector;
    /** What came behind a request for an upgrade. */
    private final EarlyBytes earlyBytes = new EarlyBytes();

    private final long openedNanos;
    /** The request in progress and its response; null for none. */
    private ClientExchange exchange;
    /** A complete request, taken once all is read that came with it; null for none. */
    private FullHttpRequest pendingRequest;

    private boolean hasExtraRequest;
    /** A request is awaited: it is the first, or has begun to come. */
    private boolean isAwaitingRequest = true;

    private long awaitingSinceNanos;
    /** Reads that brought something, and the time of the last one. */
    private long reads;

    private long lastReadNanos;
    private boolean isWriting;
    private long respondedNanos;
    /** When the client last took something of a response. */
    private long progressNanos;
    /** The last response has been given, and what still comes is dropped. */
    private boolean isDrainingInput;
    /** Something failed while a request was dealt with. */
    private boolean hasFailed;
    /** Another protocol has the connection, and nothing of it is dealt with here. */
    private boolean isSwitched;

    ClientConnection(ClientListener listener, ClientListener.ListeningSocket listeningSocket, Channel channel) {
        this.listener = listener;
        this.listeningSocket = listeningSocket;
        this.channel = channel;
        openedNanos = listener.now();
        awaitingSinceNanos = openedNanos;
        decoder = new ClientRequestDecoder(listener.service()::upgrades);
        collector = new RequestCollector(listener.uploads(), this::reject);
    }

    void configurePipeline() {
        channel.pipeline().addLast(new ClientInputGate(this), decoder, new HttpResponseEncoder(), collector, this);
        channel.config().setWriteBufferWaterMark(WRITE_WATER_MARKS);
    }

    ClientListener.ListeningSocket listeningSocket() {
        return listeningSocket;
    }

    // ---- State, as the listener asks for it

    long waitingBytes() {
        return Channels.waitingBytes(channel);
    }

    /** Whether nothing is owed on it, no request has come in part, and it is older than that. */
    boolean isQuiet(long millis) {
        return !owesResponse() && !isSwitched && !isReceiving() && ageMillis() > millis;
    }

    /** Whether any request was ever taken on it. */
    boolean hasAsked() {
        return !isAwaitingRequest;
    }

    /** Since its last response, if it waits for nothing and nothing of a request has come; else 0. */
    long idleMillis() {
        boolean isIdle = exchange == null && !isWriting && !isDrainingInput && !isAwaitingRequest && !isSwitched;
        return isIdle ? listener.millisSince(respondedNanos) : 0;
    }

    /** How well this connection can be spared, by its kind and then by time; 0 where it can't. */
    double evictionScore() {
        if (owesResponse() || isSwitched || isReceiving() || ageMillis() <= ClientListener.QUIET_MILLIS) {
            return 0;
        }
        long idleMillis = listener.millisSince(Math.max(openedNanos, respondedNanos));
        return evictionKind() + 1 - 1 / (1.0 + idleMillis);
    }

    private double evictionKind() {
        if (isDrainingInput) {
            return EVICT_DRAINING_INPUT;
        }
        if (!isAwaitingRequest) {
            return EVICT_IDLE;
        }
        // A client that is late itself brings the first request of a connection late, and it has no retry as one
        // on a kept connection has.
        return ageMillis() > SILENT_MILLIS ? EVICT_SILENT : EVICT_NEW;
    }

    /** Whether a request is in progress, or a response on its way. */
    private boolean owesResponse() {
        return exchange != null || isWriting;
    }

    /** Whether a request has begun to come; it has its own time to be complete. */
    private boolean isReceiving() {
        return isAwaitingRequest && reads > 0 && !isDrainingInput;
    }

    private long ageMillis() {
        return listener.millisSince(openedNanos);
    }

    // ---- Closing

    void close() {
        channel.close();
    }

    void readNow() {
        Channels.readNow(channel);
    }

    /**
     * Closes, unless something has come that the loop has not seen yet; whether it closes. A request that lies in
     * the kernel is taken: closing over it would reset the connection and lose it. What comes from now on finds
     * the connection closed, as the protocol allows between requests. One that was told its end goes once what it
     * sent is read, lest the reset overtake its response.
     */
    boolean closeIfSilent() {
        long readsBefore = reads;
        readNow();
        if (owesResponse() || !isDrainingInput && reads != readsBefore) {
            return false;
        }
        channel.close();
        return true;
    }

    /** Ends what has taken too long. */
    void checkTimes() {
        boolean isStreaming = exchange != null && exchange.isStreaming();
        if (exchange != null && !isStreaming || isSwitched) {
            return;
        }
        if (isWriting || isStreaming) {
            if (waitingBytes() > 0 && listener.millisSince(progressNanos) > WRITE_MILLIS) {
                channel.close();
            }
        } else if (isDrainingInput) {
            closeAfter(respondedNanos, LINGER_MILLIS);
            closeAfter(Math.max(lastReadNanos, respondedNanos), LINGER_QUIET_MILLIS);
        } else if (!isAwaitingRequest) {
            closeAfter(respondedNanos, IDLE_MILLIS);
        } else if (reads == 0) {
            closeAfter(openedNanos, REQUEST_MILLIS);
        } else if (isRequestOverdue() && !completesNow()) {
            reject(HttpResponseStatus.REQUEST_TIMEOUT, "the request did not come whole in time");
        }
    }

    private boolean isRequestOverdue() {
        return !collector.waits()
                && listener.millisSince(awaitingSinceNanos) > REQUEST_MILLIS + collector.size() / MIN_BYTES_PER_MILLI;
    }

    /** Whether the rest of a request was there and not read yet. */
    private boolean completesNow() {
        readNow();
        return owesResponse() || !isAwaitingRequest;
    }

    private void closeAfter(long sinceNanos, long millis) {
        if (listener.millisSince(sinceNanos) > millis) {
            closeIfSilent();
        }
    }

    // ---- Input

    @Override
    public void channelActive(ChannelHandlerContext context) {
        listener.opened(this);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        listener.closed(this);
        releasePendingRequest();
        abandonExchange();
        earlyBytes.take().release();
        context.fireChannelInactive();
    }

    /** Whether what comes now is to be decoded. */
    boolean admitsInput() {
        lastReadNanos = listener.now();
        reads++;
        if (exchange != null && !isDrainingInput && exchange.isUpgrading()) {
            return true;
        }
        if (exchange != null && exchange.isStreaming()) {
            // Its response has begun, so nothing else can be said.
            abandonExchange();
            channel.close();
            return false;
        }
        if (exchange != null && !isDrainingInput) {
            // Clients send one request at a time. What comes behind can't be told from a wrong length of the one
            // in progress, which so is no request either.
            abandonExchange();
            reject(HttpResponseStatus.BAD_REQUEST, MORE_THAN_ONE_REQUEST);
        }
        if (!isDrainingInput && !isAwaitingRequest) {
            isAwaitingRequest = true;
            awaitingSinceNanos = lastReadNanos;
        }
        return !isDrainingInput;
    }

    private void abandonExchange() {
        if (exchange != null) {
            ClientExchange abandoned = exchange;
            exchange = null;
            listener.service().left(abandoned);
        }
    }

    /** Bytes as they came: what is behind a request for an upgrade, or all, once that was agreed to. */
    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
        if (!(message instanceof ByteBuf bytes)) {
            super.channelRead(context, message);
        } else if (isSwitched && channel.pipeline().last() != this) {
            context.fireChannelRead(bytes);
        } else {
            earlyBytes.add(bytes);
            if (earlyBytes.size() > MAX_EARLY_BYTES) {
                abandonExchange();
                reject(HttpResponseStatus.BAD_REQUEST, "too much before the upgrade was agreed to");
            }
        }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest http) {
        decoder.messageEnded();
        if (pendingRequest != null) {
            hasExtraRequest = true;
        } else if (!isDrainingInput) {
            pendingRequest = http.retain();
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (pendingRequest != null) {
            FullHttpRequest http = pendingRequest;
            pendingRequest = null;
            try {
                take(http);
            } finally {
                http.release();
            }
        }
        context.fireChannelReadComplete();
    }

    private void take(FullHttpRequest http) {
        if (isDrainingInput) {
            return;
        }
        if (hasExtraRequest || !decoder.isEmpty()) {
            reject(HttpResponseStatus.BAD_REQUEST, MORE_THAN_ONE_REQUEST);
            return;
        }
        isAwaitingRequest = false;
        exchange = new ClientExchange(this, channel, HttpUtil.isKeepAlive(http), http.protocolVersion());
        if (http.decoderResult().isSuccess() && http.uri().equals(HEALTH_CHECK_URI)) {
            exchange.answer(
                    listener.service().ready() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE,
                    new DefaultHttpHeaders(),
                    Unpooled.EMPTY_BUFFER);
            return;
        }
        try {
            listener.service().take(http, exchange);
            if (exchange != null && !exchange.isUpgrading()) {
                decoder.resumeHttp();
            }
        } catch (RequestReader.BadRequest e) {
            reject(e);
        }
    }

    private void releasePendingRequest() {
        if (pendingRequest != null) {
            pendingRequest.release();
            pendingRequest = null;
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (!channel.isActive() || isSwitched || cause instanceof IOException) {
            context.close();
        } else if (exchange != null) {
            listener.log("client connection: " + cause);
            // Closed once the response is written: closing here could cut it.
            hasFailed = true;
            exchange.answer(HttpResponseStatus.INTERNAL_SERVER_ERROR, new DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER);
        } else {
            reject(HttpResponseStatus.BAD_REQUEST, "not HTTP");
        }
    }

    // ---- Responses

    /** Responds to what is no request and ends the connection; what still comes on it is dropped. */
    private void reject(HttpResponseStatus status, String reason) {
        reject(status, reason, new DefaultHttpHeaders());
    }

    /** The request of the exchange is none; the exchange is over. */
    void reject(RequestReader.BadRequest why) {
        exchange = null;
        reject(why.status(), why.getMessage(), why.headers());
    }

    private void reject(HttpResponseStatus status, String reason, HttpHeaders headers) {
        if (isDrainingInput) {
            return;
        }
        releasePendingRequest();
        exchange = new ClientExchange(this, channel, false, HttpVersion.HTTP_1_1);
        exchange.answer(
                status,
                headers.set(HttpHeaderNames.CONTENT_TYPE, "text/plain"),
                Unpooled.copiedBuffer(reason + "\n", StandardCharsets.UTF_8));
    }

    boolean isCurrent(ClientExchange asked) {
        return exchange == asked;
    }

    /** Whether the connection ends after the response, whatever the exchange says. */
    boolean endsAfterResponse() {
        return hasFailed || listener.endsAfterAnswer(listeningSocket);
    }

    /** Nothing is owed to the client any more. */
    void endExchange() {
        exchange = null;
    }

    /** The last part of a response is written now; the exchange is over. */
    void responding(boolean isLast) {
        exchange = null;
        isDrainingInput = isLast;
        isWriting = true;
        respondedNanos = listener.now();
    }

    /** A response is written in one go. */
    void respondingAtOnce(boolean isLast) {
        responding(isLast);
        progressNanos = respondedNanos;
    }

    /** The client has taken something of a response, or one begins. */
    void progressed() {
        progressNanos = listener.now();
    }

    /** The last byte of a response has been handed to the network, or it can't be. */
    void written(boolean isSuccess) {
        isWriting = false;
        if (!isSuccess) {
            channel.close();
        } else if (isDrainingInput) {
            ((SocketChannel) channel).shutdownOutput();
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (exchange != null && exchange.isStreaming() && channel.isWritable()) {
            exchange.resumeStream();
        }
        context.fireChannelWritabilityChanged();
    }

    // ---- Upgrade

    boolean hasEarlyBytes() {
        return earlyBytes.size() > 0;
    }

    /** Passes a server's 101 on and gives the connection away. */
    Upgrade.End switchProtocols(FullHttpResponse response) {
        exchange = null;
        isSwitched = true;
        listener.switched(this);
        channel.config().setAutoRead(false);
        HttpHeaders headers = Headers.endToEnd(response.headers());
        headers.remove(Headers.LOAD);
        headers.remove(HttpHeaderNames.CONTENT_LENGTH);
        headers.set(HttpHeaderNames.CONNECTION, "Upgrade")
                .set(HttpHeaderNames.UPGRADE, response.headers().get(HttpHeaderNames.UPGRADE));
        channel.writeAndFlush(new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.SWITCHING_PROTOCOLS,
                Unpooled.EMPTY_BUFFER,
                headers,
                new DefaultHttpHeaders()));
        // The decoder hands on what it still holds, which comes here as bytes.
        channel.pipeline().remove(decoder);
        while (channel.pipeline().first() != this) {
            channel.pipeline().removeFirst();
        }
        return new Upgrade.End(channel, earlyBytes.take());
    }
}
