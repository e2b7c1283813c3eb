package org.cypressweir.dataplane.http.upstream;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelProgressiveFuture;
import io.netty.channel.ChannelProgressiveFutureListener;
import io.netty.channel.ChannelProgressivePromise;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;

/**
 * One connection to the server with at most one request on it (no pipelining). It connects when it is created and
 * notifies its listener of each step. All calls and notifications are made on the event loop.
 */
final class UpstreamConnection extends ChannelInboundHandlerAdapter implements ResponseAssembler.Listener {

    /** Is notified of what happens on a connection. */
    interface Listener {
        /** The connection is established; a request that was reserved for it can be sent. */
        void onConnected(UpstreamConnection connection);

        /** A complete response was received while a request is in flight; returns what it means for the request. */
        ResponseVerdict onResponse(UpstreamConnection connection, InFlightRequest request, UpstreamResponse response);

        /** A complete response has decided the outcome of the request. */
        void onCompletion(UpstreamConnection connection, InFlightRequest request, ResponseVerdict verdict);

        /** The connection of a request ended, or the bytes received on it are no valid response. */
        void onRequestFailed(UpstreamConnection connection, InFlightRequest request, String why);

        /** The socket read that contained the response is finished; the connection is idle if it is reusable. */
        void onReadFinished(UpstreamConnection connection, boolean reusable);

        /** The connection is closed; called before {@link #onRequestFailed} for a request in flight. */
        void onClosed(UpstreamConnection connection, boolean wasConnected);
    }

    private enum State {
        CONNECTING,
        IDLE,
        /** A request is in flight. */
        BUSY,
        /** A response was received, and the socket read that contained it is not finished. */
        FINISHING_READ,
        CLOSED
    }

    /** Other proxies and request traces receive this text: it is fixed. */
    private static final String CLOSED_BEFORE_RESPONSE = "the connection ended before an answer";

    private final EventLoop loop;
    private final Listener listener;
    private final ResponseDecoder decoder = new ResponseDecoder(this::respondsToHead);
    private final Channel channel;
    private State state = State.CONNECTING;
    private boolean wasConnected;
    private InFlightRequest request;
    /** Whether no further request is sent on it. */
    private boolean retired;

    private boolean requestWritten;
    private boolean responseBegan;
    private InFlightRequest previousRequest;
    /** The time until which it may be reused while it is idle. */
    long idleUntil;
    /** The time since which it is idle. */
    long idleSince;
    /** How long it was idle before its last request, zero for its first. */
    private long idleBeforeRequest;

    UpstreamConnection(EventLoop loop, InetSocketAddress server, UpstreamOptions options, Listener listener) {
        this.loop = loop;
        this.listener = listener;
        int connectTimeoutMillis = (int) Math.max(1, options.connectTimeoutMicros() / 1000);
        ChannelFuture connecting = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMillis)
                .handler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel c) {
                        UpstreamConnection self = UpstreamConnection.this;
                        c.pipeline()
                                .addLast(
                                        self,
                                        decoder,
                                        new ResponseAssembler(decoder, options.maxResponseBytes(), self));
                    }
                })
                .connect(server);
        channel = connecting.channel();
        connecting.addListener(f -> later(f.isSuccess() ? this::connected : this::closed));
        channel.closeFuture().addListener(f -> later(this::closed));
    }

    /** Runs a task after the current call, so that opening or closing a connection never calls the listener itself. */
    private void later(Runnable task) {
        if (!loop.isShuttingDown()) {
            loop.execute(task);
        }
    }

    private void connected() {
        if (state == State.CONNECTING) {
            wasConnected = true;
            state = State.IDLE;
            listener.onConnected(this);
        }
    }

    /** The request that is in flight or reserved, null for none. */
    InFlightRequest request() {
        return request;
    }

    boolean isConnecting() {
        return state == State.CONNECTING;
    }

    /** Whether the socket has accepted at least one byte of the request in flight. */
    boolean isRequestSent() {
        return request != null && request.knowledge == ExecutionKnowledge.SENT;
    }

    boolean isRetired() {
        return retired;
    }

    long idleBeforeRequest() {
        return idleBeforeRequest;
    }

    /** Whether no byte was received since the last request was sent. */
    boolean isSilent() {
        return !responseBegan;
    }

    /** Prevents further requests on it; a request in flight runs to its end. */
    void retire() {
        retired = true;
    }

    /** Reserves the connection for a request, to be sent once it is established. */
    void reserve(InFlightRequest next) {
        request = next;
    }

    /** Detaches the request from the connection and returns it. */
    InFlightRequest release() {
        InFlightRequest released = request;
        request = null;
        return released;
    }

    /**
     * Whether it is established and has no surplus bytes. First reads what the socket has received so far: bytes or an
     * end of stream that are still unread would be taken for the next response. Not to be called by the listener while
     * it is being notified.
     */
    boolean checkReusable() {
        if (isReusable() && channel instanceof AbstractNioChannel nio) {
            nio.unsafe().read();
        }
        return isReusable();
    }

    private boolean isReusable() {
        return state == State.IDLE && !retired && channel.isActive();
    }

    void send(InFlightRequest next, long now) {
        request = next;
        state = State.BUSY;
        requestWritten = false;
        responseBegan = false;
        idleBeforeRequest = idleSince == 0 ? 0 : now - idleSince;
        next.sentAt = now;
        ChannelProgressivePromise promise = channel.newProgressivePromise();
        promise.addListener(new WriteProgress(next));
        channel.writeAndFlush(RequestEncoder.encode(next.request(), now), promise);
    }

    /** Records when the socket has accepted the first byte of a request, and when the last. */
    private final class WriteProgress implements ChannelProgressiveFutureListener {
        private final InFlightRequest writing;

        WriteProgress(InFlightRequest writing) {
            this.writing = writing;
        }

        @Override
        public void operationProgressed(ChannelProgressiveFuture future, long progress, long total) {
            if (writing == request && progress > 0) {
                writing.knowledge = ExecutionKnowledge.SENT;
            }
        }

        @Override
        public void operationComplete(ChannelProgressiveFuture future) {
            if (!future.isSuccess()) {
                close();
            } else if (writing == request) {
                writing.knowledge = ExecutionKnowledge.SENT;
                requestWritten = true;
            }
        }
    }

    /** Closes the connection; a request in flight is reported as failed. */
    void close() {
        retired = true;
        channel.close();
    }

    /** Closes the connection and returns the request in flight, of which the listener is no longer notified. */
    InFlightRequest abandon() {
        InFlightRequest abandoned = release();
        close();
        return abandoned;
    }

    private void closed() {
        if (state == State.CLOSED) {
            return;
        }
        boolean wasFinishingRead = state == State.FINISHING_READ;
        state = State.CLOSED;
        if (wasFinishingRead) {
            listener.onReadFinished(this, false);
        }
        listener.onClosed(this, wasConnected);
        if (request != null) {
            String why = responseBegan ? ResponseAssembler.TRUNCATED : CLOSED_BEFORE_RESPONSE;
            listener.onRequestFailed(this, release(), why);
        }
    }

    /** Passes on bytes only while a request is in flight; at other times they close the connection. */
    @Override
    public void channelRead(ChannelHandlerContext context, Object bytes) {
        if (state == State.BUSY) {
            responseBegan = true;
            context.fireChannelRead(bytes);
        } else {
            ReferenceCountUtil.release(bytes);
            close();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        // Not passed on: the decoder would emit a truncated response as a complete one.
    }

    private boolean respondsToHead(HttpResponse response) {
        String id = response.headers().get(RequestEncoder.ATTEMPT_ID);
        if (request != null && (id == null || id.strip().equals(request.attemptId))) {
            return request.isHead();
        }
        return previousRequest != null && previousRequest.isHead() && previousRequest.attemptId.equals(id);
    }

    @Override
    public void onResponse(UpstreamResponse response) {
        if (state != State.BUSY || request == null) {
            close();
            return;
        }
        ResponseVerdict verdict = listener.onResponse(this, request, response);
        if (verdict.kind() == ResponseVerdict.Kind.OTHER_REQUEST) {
            // The response to this request may still follow, but the connection is not reused after it.
            retired = true;
            responseBegan = decoder.hasSurplusBytes();
            return;
        }
        previousRequest = release();
        state = State.FINISHING_READ;
        retired |= endsConnection(verdict, response);
        if (retired) {
            close();
        }
        listener.onCompletion(this, previousRequest, verdict);
    }

    private boolean endsConnection(ResponseVerdict verdict, UpstreamResponse response) {
        return verdict.kind() == ResponseVerdict.Kind.INVALID
                || !response.keepAlive()
                || !requestWritten
                || decoder.hasSurplusBytes();
    }

    @Override
    public void onInvalidResponse(String why) {
        InFlightRequest abandoned = abandon();
        if (abandoned != null) {
            listener.onRequestFailed(this, abandoned, why);
        }
    }

    @Override
    public void onReadComplete() {
        if (state == State.FINISHING_READ) {
            state = State.IDLE;
            listener.onReadFinished(this, !retired && channel.isActive());
        }
    }
}
