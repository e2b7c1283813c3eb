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

/** A client's connection: it collects one request at a time, hands it to the host and writes its answer. */
final class HttpConnection extends ChannelInboundHandlerAdapter {

    private static final long WRITE_MICROS = 5_000_000;
    private static final long FRESH_MICROS = 500_000;
    private static final long LINGER_MICROS = 1_000_000;
    /** Bytes that may wait behind a request in hand. */
    private static final int MOST_WAITING = 64 * 1024;

    private enum Phase {
        IDLE,
        HEAD,
        BODY,
        CALLED,
        WRITING,
        LINGERING
    }

    private final HttpListener gangway;
    private final SocketChannel channel;
    private final RequestDecoder decoder;
    private final RequestAssembler intake;
    private Phase phase = Phase.IDLE;
    /** When the phase began, or something last moved on in it. */
    private long since;

    private RequestLimits bounds;
    private Exchange exchange;
    /** The connection ends after the answer that is being written. */
    private boolean last;
    /** A request has begun to come here. */
    private boolean used;

    private long unwritten;

    HttpConnection(HttpListener gangway, SocketChannel channel) {
        this.gangway = gangway;
        this.channel = channel;
        since = gangway.now();
        bounds = gangway.bounds();
        decoder = new RequestDecoder(this);
        intake = new RequestAssembler(gangway, channel);
    }

    void begin() {
        channel.pipeline().addLast(decoder, new HttpResponseEncoder(), this);
    }

    RequestLimits bounds() {
        return bounds;
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

    /** The first byte of a request has come. */
    void begins() {
        bounds = gangway.bounds();
        used = true;
        enter(Phase.HEAD);
    }

    private void enter(Phase next) {
        phase = next;
        since = gangway.now();
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        gangway.opened(this);
        context.fireChannelActive();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        gangway.closed(this);
        intake.drop();
        Exchange gone = exchange;
        exchange = null;
        if (gone != null) {
            gangway.callEnded();
            gone.gone();
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
        since = gangway.now();
        try {
            if (intake.add(part, decoder.head(), bounds)) {
                exchange = intake.take(this, since);
                phase = Phase.CALLED;
                gangway.call(exchange);
            }
        } catch (BadRequestException e) {
            reject(e.status(), e.getMessage());
        }
    }

    /** Answers what is no request that is taken; the connection ends. */
    private void reject(int status, String why) {
        boolean bare = intake.isBare();
        intake.drop();
        ServerResponse answer = ServerResponse.text(status, why);
        write(status == 503 ? answer.withHeader("Retry-After", "0.2") : answer, bare, true, false);
    }

    /** Whether the answer goes out. */
    boolean answer(Exchange which, ServerResponse answer) {
        if (exchange != which || !channel.isActive()) {
            return false;
        }
        exchange = null;
        which.held().free();
        gangway.callEnded();
        write(answer, which.method().equals("HEAD"), !which.keeps() || gangway.isDraining(), which.isOld());
        return true;
    }

    private void write(ServerResponse answer, boolean bare, boolean ends, boolean old) {
        last = ends;
        enter(Phase.WRITING);
        if (last) {
            decoder.stop();
            channel.config().setAutoRead(true);
        }
        FullHttpResponse response = ResponseEncoder.of(answer, bare);
        if (last) {
            response.headers().set(HttpHeaderNames.CONNECTION, "close");
        } else if (old) {
            response.headers().set(HttpHeaderNames.CONNECTION, "keep-alive");
        }
        channel.writeAndFlush(response).addListener(f -> written(f.isSuccess()));
    }

    private void written(boolean whole) {
        if (!whole) {
            channel.close();
        } else if (last) {
            enter(Phase.LINGERING);
            channel.shutdownOutput();
        } else {
            enter(Phase.IDLE);
            channel.config().setAutoRead(true);
            decoder.proceed();
            if (gangway.isDraining()) {
                closeIfIdle();
            }
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (!last && (phase == Phase.CALLED || phase == Phase.WRITING) && decoder.waiting() > MOST_WAITING) {
            channel.config().setAutoRead(false);
        }
        context.fireChannelReadComplete();
    }

    /**
     * Closes, unless a request has begun to come or is in hand; what the kernel holds counts too. Who has
     * only just connected is about to ask.
     */
    void closeIfIdle() {
        if (phase == Phase.IDLE && (used || gangway.now() - since > FRESH_MICROS)) {
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

    void checkTimes(long now) {
        long quiet = now - since;
        switch (phase) {
            case IDLE -> {
                if (quiet > gangway.bounds().idleMillis() * 1000 || gangway.isDraining()) {
                    closeIfIdle();
                }
            }
            case HEAD, BODY -> {
                if (quiet > bounds.headerMillis() * 1000) {
                    stalls();
                }
            }
            case WRITING -> checkWriting(now);
            case LINGERING -> {
                if (quiet > LINGER_MICROS) {
                    channel.close();
                }
            }
            default -> {}
        }
    }

    /** Too late, unless the rest was there and not read yet. */
    private void stalls() {
        long before = since;
        Phase was = phase;
        readNow();
        if (phase == was && since == before) {
            reject(408, "the request did not come in time");
        }
    }

    private void checkWriting(long now) {
        ChannelOutboundBuffer out = channel.unsafe().outboundBuffer();
        long left = out == null ? 0 : out.totalPendingWriteBytes() - out.currentProgress();
        if (left != unwritten) {
            unwritten = left;
            since = now;
        } else if (now - since > WRITE_MICROS) {
            channel.close();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        channel.close();
    }
}
