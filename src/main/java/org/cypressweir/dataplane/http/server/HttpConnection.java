package org.cypressweir.dataplane.http.server;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;

/**
 * A client's connection: receives one request at a time, passes it to the listener's handler and writes the response.
 * A pipelined request waits for the response to the previous one. For the event loop only.
 */
final class HttpConnection extends ChannelInboundHandlerAdapter {

    private static final long MICROS_PER_MILLI = 1_000;
    /** A client that accepts no byte of a response for this long is disconnected. */
    private static final long WRITE_TIMEOUT_MICROS = 5_000_000;
    /** A new connection without a request counts as idle only after this time. */
    private static final long NEW_CONNECTION_GRACE_MICROS = 500_000;
    /** How long the client may take to close its side after the last response. */
    private static final long LINGER_MICROS = 1_000_000;
    /** Reading pauses when more pipelined bytes than this are buffered. */
    private static final int MAX_PIPELINED_BYTES = 64 * 1024;

    private static final String RETRY_AFTER_SECONDS = "0.2";

    private enum Phase {
        IDLE,
        HEAD,
        BODY,
        /** The handler has the request. */
        HANDLING,
        WRITING,
        /** The last response is written, and the client's side is still open. */
        LINGERING
    }

    private final HttpListener listener;
    private final SocketChannel channel;
    private final RequestDecoder decoder;
    private final RequestAssembler assembler;
    private Phase phase = Phase.IDLE;
    /** When the phase began or last made progress. */
    private long progressAt;

    /** The limits that apply to the current request. */
    private RequestLimits limits;

    private Exchange exchange;
    /** Whether the connection is closed after the response that is being written. */
    private boolean closing;
    /** Whether a request has ever begun to arrive. */
    private boolean used;

    private long unwrittenBytes;

    HttpConnection(HttpListener listener, SocketChannel channel) {
        this.listener = listener;
        this.channel = channel;
        progressAt = listener.now();
        limits = listener.limits();
        decoder = new RequestDecoder(this);
        assembler = new RequestAssembler(listener, channel);
    }

    void addHandlers() {
        channel.pipeline().addLast(decoder, new HttpResponseEncoder(), this);
    }

    RequestLimits limits() {
        return limits;
    }

    InetSocketAddress remote() {
        return channel.remoteAddress();
    }

    boolean isActive() {
        return channel.isActive();
    }

    void close() {
        channel.close();
    }

    /** The first byte of a request has been received. */
    void onRequestBegin() {
        limits = listener.limits();
        used = true;
        enter(Phase.HEAD);
    }

    private void enter(Phase next) {
        phase = next;
        progressAt = listener.now();
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        listener.onConnect(this);
        context.fireChannelActive();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        listener.onDisconnect(this);
        assembler.discard();
        Exchange unfinished = exchange;
        exchange = null;
        if (unfinished != null) {
            listener.onRequestEnd();
            unfinished.clientDisconnected();
        }
        context.fireChannelInactive();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            if (message instanceof BadRequestException bad) {
                reject(bad.status(), bad.getMessage());
            } else if (message instanceof HttpObject part && isReading()) {
                read(part);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private boolean isReading() {
        return phase == Phase.HEAD || phase == Phase.BODY;
    }

    private void read(HttpObject part) {
        phase = Phase.BODY;
        progressAt = listener.now();
        try {
            if (assembler.add(part, decoder.head(), limits)) {
                exchange = assembler.complete(this, progressAt);
                phase = Phase.HANDLING;
                listener.handle(exchange);
            }
        } catch (BadRequestException e) {
            reject(e.status(), e.getMessage());
        }
    }

    /** Sends an error response to an unacceptable request and closes the connection. */
    private void reject(int status, String reason) {
        boolean headRequest = assembler.isHeadRequest();
        assembler.discard();
        ServerResponse response = ServerResponse.text(status, reason);
        if (status == 503) {
            response = response.withHeader("Retry-After", RETRY_AFTER_SECONDS);
        }
        write(response, headRequest, true, false);
    }

    /** Writes the response; returns false if the exchange is not the current one or the client has disconnected. */
    boolean respond(Exchange responded, ServerResponse response) {
        if (exchange != responded || !channel.isActive()) {
            return false;
        }
        exchange = null;
        responded.requestBody().free();
        listener.onRequestEnd();
        boolean headRequest = responded.method().equals("HEAD");
        boolean last = !responded.keepAlive() || listener.isDraining();
        write(response, headRequest, last, responded.isHttp10());
        return true;
    }

    private void write(ServerResponse response, boolean headRequest, boolean last, boolean http10) {
        closing = last;
        enter(Phase.WRITING);
        if (closing) {
            decoder.stop();
            channel.config().setAutoRead(true);
        }
        FullHttpResponse encoded = ResponseEncoder.encode(response, headRequest);
        if (closing) {
            encoded.headers().set(HttpHeaderNames.CONNECTION, "close");
        } else if (http10) {
            encoded.headers().set(HttpHeaderNames.CONNECTION, "keep-alive");
        }
        channel.writeAndFlush(encoded).addListener(f -> onWritten(f.isSuccess()));
    }

    private void onWritten(boolean complete) {
        if (!complete) {
            channel.close();
        } else if (closing) {
            // RFC 9112 section 9.6: closing both sides at once could reset the connection before the client has
            // read the response.
            enter(Phase.LINGERING);
            channel.shutdownOutput();
        } else {
            nextRequest();
        }
    }

    private void nextRequest() {
        enter(Phase.IDLE);
        channel.config().setAutoRead(true);
        decoder.nextRequest();
        if (listener.isDraining()) {
            closeIfIdle();
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        boolean pipelining = phase == Phase.HANDLING || phase == Phase.WRITING;
        if (!closing && pipelining && decoder.pipelinedBytes() > MAX_PIPELINED_BYTES) {
            channel.config().setAutoRead(false);
        }
        context.fireChannelReadComplete();
    }

    /**
     * Closes the connection unless a request is being received or handled; bytes that are still in the kernel's receive
     * buffer count as received. A new connection stays open for a moment, since its client is about to send a request.
     */
    void closeIfIdle() {
        if (phase == Phase.IDLE && (used || listener.now() - progressAt > NEW_CONNECTION_GRACE_MICROS)) {
            readNow();
            if (phase == Phase.IDLE) {
                channel.close();
            }
        }
    }

    private void readNow() {
        if (channel.isActive() && channel instanceof AbstractNioChannel nio) {
            nio.unsafe().read();
        }
    }

    /** Rejects or closes what has exceeded its time-out. */
    void checkTimeouts(long now) {
        long elapsed = now - progressAt;
        switch (phase) {
            case IDLE -> {
                if (elapsed > listener.limits().idleTimeoutMillis() * MICROS_PER_MILLI || listener.isDraining()) {
                    closeIfIdle();
                }
            }
            case HEAD, BODY -> {
                if (elapsed > limits.headerTimeoutMillis() * MICROS_PER_MILLI) {
                    onReadTimeout();
                }
            }
            case WRITING -> checkWriteTimeout(now);
            case LINGERING -> {
                if (elapsed > LINGER_MICROS) {
                    channel.close();
                }
            }
            default -> {}
        }
    }

    /** Rejects the request, unless more of it was received that had not been read yet. */
    private void onReadTimeout() {
        long progressBefore = progressAt;
        Phase phaseBefore = phase;
        readNow();
        if (phase == phaseBefore && progressAt == progressBefore) {
            reject(408, "the request did not come in time");
        }
    }

    private void checkWriteTimeout(long now) {
        ChannelOutboundBuffer buffer = channel.unsafe().outboundBuffer();
        long unwritten = buffer == null ? 0 : buffer.totalPendingWriteBytes() - buffer.currentProgress();
        if (unwritten != unwrittenBytes) {
            unwrittenBytes = unwritten;
            progressAt = now;
        } else if (now - progressAt > WRITE_TIMEOUT_MICROS) {
            channel.close();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        channel.close();
    }
}
