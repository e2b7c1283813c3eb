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
 * A client connection, which carries one request at a time. A request is accepted once everything that arrived with it
 * has been read: further bytes mean that its length is wrong or that it is not the only request.
 *
 * <p>Confined to the event loop. Its states: awaiting a request, exchange in progress, writing a response, idle,
 * draining input (the last response is written, and further input is dropped), switched to another protocol. It is
 * created by {@link ClientListener}, which checks its time-outs and is notified when it ends.
 */
final class ClientConnection extends SimpleChannelInboundHandler<FullHttpRequest> {

    /** Time-out for a complete request, from the connection's start or from the first byte of a later request. */
    private static final long REQUEST_MILLIS = 2_500;
    /** A body extends the time-out by its length divided by this minimum rate. */
    private static final int MIN_BYTES_PER_MILLI = 16;
    /** Idle time-out: without a request in progress, since the last response. */
    private static final long IDLE_MILLIS = 5_000;
    /** After this time without any input, a new connection is evicted before one that had a response. */
    private static final long SILENT_MILLIS = 1_000;
    /** A response is abandoned if the client accepts none of it for this long. */
    private static final long WRITE_MILLIS = 5_000;
    /** Bytes waiting to be written above which reading from the server pauses, and below which it resumes. */
    private static final WriteBufferWaterMark WRITE_WATER_MARKS = new WriteBufferWaterMark(16 * 1024, 32 * 1024);
    /**
     * How long a rejected client may keep sending, and how long it may be silent: closing with unread bytes resets the
     * connection, and the client could lose the response.
     */
    private static final long LINGER_MILLIS = 5_000;

    private static final long LINGER_QUIET_MILLIS = 300;
    /** Maximum number of bytes accepted after an upgrade request before a server has agreed to it. */
    private static final int MAX_EARLY_BYTES = 64 * 1024;

    private static final String HEALTH_CHECK_URI = "/healthz";
    private static final String MORE_THAN_ONE_REQUEST = "more than one request";

    /** Eviction order of the kinds of connections, highest first; see {@link #evictionScore}. */
    private static final double EVICT_DRAINING_INPUT = 4;

    private static final double EVICT_SILENT = 3;
    private static final double EVICT_IDLE = 2;
    private static final double EVICT_NEW = 1;

    private final ClientListener listener;
    private final ClientListener.ListeningSocket listeningSocket;
    private final Channel channel;
    private final ClientRequestDecoder decoder;
    private final RequestCollector collector;
    /** Bytes received after an upgrade request. */
    private final EarlyBytes earlyBytes = new EarlyBytes();

    private final long openedNanos;
    /** The request in progress and its response; null for none. */
    private ClientExchange exchange;
    /** A complete request, processed once everything that arrived with it is read; null for none. */
    private FullHttpRequest pendingRequest;

    private boolean hasExtraRequest;
    /** Whether a request is awaited: the first one, or one that has begun to arrive. */
    private boolean isAwaitingRequest = true;

    private long awaitingSinceNanos;
    /** Number of reads that returned data. */
    private long reads;

    private long lastReadNanos;
    private boolean isWriting;
    private long respondedNanos;
    /** When the client last accepted part of a response. */
    private long progressNanos;
    /** The last response has been sent; further input is dropped. */
    private boolean isDrainingInput;
    /** An exception occurred while a request was processed. */
    private boolean hasFailed;
    /** The connection has switched to another protocol and is no longer handled here. */
    private boolean isSwitched;

    ClientConnection(ClientListener listener, ClientListener.ListeningSocket listeningSocket, Channel channel) {
        this.listener = listener;
        this.listeningSocket = listeningSocket;
        this.channel = channel;
        openedNanos = listener.now();
        awaitingSinceNanos = openedNanos;
        decoder = new ClientRequestDecoder(listener.service()::allowsUpgrades);
        collector = new RequestCollector(listener.largeRequests(), this::reject);
    }

    void configurePipeline() {
        channel.pipeline().addLast(new ClientInputGate(this), decoder, new HttpResponseEncoder(), collector, this);
        channel.config().setWriteBufferWaterMark(WRITE_WATER_MARKS);
    }

    ClientListener.ListeningSocket listeningSocket() {
        return listeningSocket;
    }

    // ---- State, as the listener asks for it

    long pendingWriteBytes() {
        return Channels.pendingWriteBytes(channel);
    }

    /** Whether no response is due, no request has partly arrived, and the connection is older than the given time. */
    boolean isQuiet(long millis) {
        return !owesResponse() && !isSwitched && !isReceiving() && ageMillis() > millis;
    }

    /** Whether any request was ever received on this connection. */
    boolean hasTakenRequest() {
        return !isAwaitingRequest;
    }

    /**
     * Time since the last response if the connection waits for nothing and no part of a request has arrived; otherwise
     * 0.
     */
    long idleMillis() {
        boolean isIdle = exchange == null && !isWriting && !isDrainingInput && !isAwaitingRequest && !isSwitched;
        return isIdle ? listener.millisSince(respondedNanos) : 0;
    }

    /** How suitable this connection is for eviction, by its kind and then by idle time; 0 if it must be kept. */
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
        // A slow client sends the first request of a connection late, and that request cannot be retried like one on a
        // kept-alive connection.
        return ageMillis() > SILENT_MILLIS ? EVICT_SILENT : EVICT_NEW;
    }

    /** Whether a request is in progress or a response is being written. */
    private boolean owesResponse() {
        return exchange != null || isWriting;
    }

    /** Whether a request has begun to arrive; it has a time-out of its own. */
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
     * Closes the connection unless input has arrived that the event loop has not seen yet; returns whether it closes.
     *
     * <p>A request in the kernel's buffer counts as received: closing would reset the connection and lose it. Requests
     * sent later find the connection closed, as HTTP allows between requests. A connection whose last response is
     * written is closed only after its input is read, because a reset could overtake the response.
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

    /** Closes or rejects the connection if a time-out has passed. */
    void checkTimes() {
        boolean isStreaming = exchange != null && exchange.isStreaming();
        if (exchange != null && !isStreaming || isSwitched) {
            return;
        }
        if (isWriting || isStreaming) {
            if (pendingWriteBytes() > 0 && listener.millisSince(progressNanos) > WRITE_MILLIS) {
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
        return !collector.isWaitingForBudget()
                && listener.millisSince(awaitingSinceNanos) > REQUEST_MILLIS + collector.size() / MIN_BYTES_PER_MILLI;
    }

    /** Whether the rest of the request had arrived but was not read yet. */
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

    /** Whether the input that arrives now is to be decoded. */
    boolean admitsInput() {
        lastReadNanos = listener.now();
        reads++;
        if (exchange != null && !isDrainingInput && exchange.isUpgrading()) {
            return true;
        }
        if (exchange != null && exchange.isStreaming()) {
            // The response has begun, so the client cannot be sent an error.
            abandonExchange();
            channel.close();
            return false;
        }
        if (exchange != null && !isDrainingInput) {
            // Clients send one request at a time. Further bytes may mean that the length of the request in progress is
            // wrong, so that request is invalid too.
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
            listener.service().clientLeft(abandoned);
        }
    }

    /** Handles raw bytes: those after an upgrade request, or all input once the upgrade is agreed. */
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
            exchange.respond(
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
            // The connection closes after the response is written: closing now could cut the response off.
            hasFailed = true;
            exchange.respond(HttpResponseStatus.INTERNAL_SERVER_ERROR, new DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER);
        } else {
            reject(HttpResponseStatus.BAD_REQUEST, "not HTTP");
        }
    }

    // ---- Responses

    /** Responds to an invalid request and ends the connection; further input is dropped. */
    private void reject(HttpResponseStatus status, String reason) {
        reject(status, reason, new DefaultHttpHeaders());
    }

    /** Rejects the request of the current exchange as invalid and ends the exchange. */
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
        exchange.respond(
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

    /** Ends the exchange: no response is due any more. */
    void endExchange() {
        exchange = null;
    }

    /** The last part of a response is being written; the exchange is over. */
    void responding(boolean isLast) {
        exchange = null;
        isDrainingInput = isLast;
        isWriting = true;
        respondedNanos = listener.now();
    }

    /** A complete response is being written in one step. */
    void respondingAtOnce(boolean isLast) {
        responding(isLast);
        progressNanos = respondedNanos;
    }

    /** The client has accepted part of a response, or a response begins. */
    void progressed() {
        progressNanos = listener.now();
    }

    /** The last byte of a response has been handed to the network, or writing has failed. */
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

    /** Passes a server's 101 response on and gives up the connection. */
    Upgrade.UpgradedChannel switchProtocols(FullHttpResponse response) {
        exchange = null;
        isSwitched = true;
        listener.upgraded(this);
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
        // Removing the decoder makes it emit its remaining bytes, which arrive here as raw bytes.
        channel.pipeline().remove(decoder);
        while (channel.pipeline().first() != this) {
            channel.pipeline().removeFirst();
        }
        return new Upgrade.UpgradedChannel(channel, earlyBytes.take());
    }
}
