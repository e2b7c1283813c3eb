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

/** One connection to the server, with at most one request on it. It tells of each step, on the loop. */
final class UpstreamConnection extends ChannelInboundHandlerAdapter implements ResponseAssembler.Sink {

    /** Whom it tells. */
    interface Owner {
        void opened(UpstreamConnection berth);

        /** A whole answer while a request is in flight. */
        ResponseVerdict answered(UpstreamConnection berth, InFlightRequest shipment, UpstreamResponse answer);

        /** A whole answer has told what became of the request. */
        void ended(UpstreamConnection berth, InFlightRequest shipment, ResponseVerdict verdict);

        /** Its connection ended, or what came on it can't be believed. */
        void broken(UpstreamConnection berth, InFlightRequest shipment, String why);

        /** The read that brought the answer is over; it is idle if it still is of use. */
        void settled(UpstreamConnection berth, boolean usable);

        /** It is down. What was in flight is told after this. */
        void down(UpstreamConnection berth, boolean wasUp);
    }

    private enum State {
        CONNECTING,
        IDLE,
        BUSY,
        SETTLING,
        CLOSED
    }

    private final EventLoop loop;
    private final Owner owner;
    private final ResponseDecoder decoder = new ResponseDecoder(this::toHead);
    private final Channel channel;
    private State state = State.CONNECTING;
    private boolean wasUp;
    private InFlightRequest shipment;
    /** Takes no further request. */
    private boolean done;

    private boolean written;
    private boolean answerBegan;
    private InFlightRequest previous;
    /** When it is too old to be used, while it is idle. */
    long idleUntil;
    /** Since when it is idle. */
    long idleSince;
    /** How long it was idle before its last request, zero for its first. */
    private long wasIdle;

    UpstreamConnection(EventLoop loop, InetSocketAddress to, UpstreamOptions plan, Owner owner) {
        this.loop = loop;
        this.owner = owner;
        ChannelFuture connecting = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, plan.connectMicros() / 1000))
                .handler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel c) {
                        c.pipeline()
                                .addLast(
                                        UpstreamConnection.this,
                                        decoder,
                                        new ResponseAssembler(
                                                decoder, plan.mostAnswerBytes(), UpstreamConnection.this));
                    }
                })
                .connect(to);
        channel = connecting.channel();
        connecting.addListener(f -> later(f.isSuccess() ? this::opened : this::down));
        channel.closeFuture().addListener(f -> later(this::down));
    }

    /** Never inside a call that asked for the connection or closed it. */
    private void later(Runnable task) {
        if (!loop.isShuttingDown()) {
            loop.execute(task);
        }
    }

    private void opened() {
        if (state == State.CONNECTING) {
            wasUp = true;
            state = State.IDLE;
            owner.opened(this);
        }
    }

    InFlightRequest shipment() {
        return shipment;
    }

    boolean isConnecting() {
        return state == State.CONNECTING;
    }

    boolean isHanded() {
        return shipment != null && shipment.known == ExecutionKnowledge.SENT;
    }

    boolean isDone() {
        return done;
    }

    long wasIdle() {
        return wasIdle;
    }

    /** Whether no byte came since the last request was sent. */
    boolean isSilent() {
        return !answerBegan;
    }

    /** Takes no further request once what is in flight has ended. */
    void retire() {
        done = true;
    }

    /** Keeps a request until the connection is up. */
    void reserve(InFlightRequest next) {
        shipment = next;
    }

    /** Gives back a request that was not sent. */
    InFlightRequest drop() {
        InFlightRequest unsent = shipment;
        shipment = null;
        return unsent;
    }

    /**
     * Whether it is up and clean, seen with all that has come so far: bytes or an end that still wait in the
     * socket would be taken for the next answer. Not to be called from what this tells.
     */
    boolean usable() {
        if (state == State.IDLE && !done && channel.isActive() && channel instanceof AbstractNioChannel nio) {
            nio.unsafe().read();
        }
        return state == State.IDLE && !done && channel.isActive();
    }

    void send(InFlightRequest next, long now) {
        shipment = next;
        state = State.BUSY;
        written = false;
        answerBegan = false;
        wasIdle = idleSince == 0 ? 0 : now - idleSince;
        next.sentAt = now;
        ChannelProgressivePromise promise = channel.newProgressivePromise();
        promise.addListener(new Progress(next));
        channel.writeAndFlush(RequestEncoder.of(next.freight(), now), promise);
    }

    /** Notes the first byte that the socket took, and the last. */
    private final class Progress implements ChannelProgressiveFutureListener {
        private final InFlightRequest sent;

        Progress(InFlightRequest sent) {
            this.sent = sent;
        }

        @Override
        public void operationProgressed(ChannelProgressiveFuture future, long progress, long total) {
            if (sent == shipment && progress > 0) {
                sent.known = ExecutionKnowledge.SENT;
            }
        }

        @Override
        public void operationComplete(ChannelProgressiveFuture future) {
            if (!future.isSuccess()) {
                close();
            } else if (sent == shipment) {
                sent.known = ExecutionKnowledge.SENT;
                written = true;
            }
        }
    }

    /** Ends the connection; what is in flight is told by its end. */
    void close() {
        done = true;
        channel.close();
    }

    /** Lets go of the request in flight and ends the connection. */
    InFlightRequest abandon() {
        InFlightRequest left = drop();
        close();
        return left;
    }

    private void down() {
        if (state == State.CLOSED) {
            return;
        }
        boolean settling = state == State.SETTLING;
        state = State.CLOSED;
        if (settling) {
            owner.settled(this, false);
        }
        owner.down(this, wasUp);
        if (shipment != null) {
            owner.broken(
                    this, drop(), answerBegan ? "an answer that was cut off" : "the connection ended before an answer");
        }
    }

    /** Lets nothing in that was not asked for. An early end is told by the end of the connection alone. */
    @Override
    public void channelRead(ChannelHandlerContext context, Object bytes) {
        if (state == State.BUSY) {
            answerBegan = true;
            context.fireChannelRead(bytes);
        } else {
            ReferenceCountUtil.release(bytes);
            close();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        // What the decoder makes of a part of an answer is none.
    }

    private boolean toHead(HttpResponse answer) {
        String id = answer.headers().get(RequestEncoder.ATTEMPT_ID);
        if (shipment != null && (id == null || id.strip().equals(shipment.attemptId))) {
            return shipment.isHead();
        }
        return previous != null && previous.isHead() && previous.attemptId.equals(id);
    }

    @Override
    public void whole(UpstreamResponse answer) {
        if (state != State.BUSY || shipment == null) {
            close();
            return;
        }
        ResponseVerdict verdict = owner.answered(this, shipment, answer);
        if (verdict.kind() == ResponseVerdict.Kind.FOREIGN) {
            done = true;
            answerBegan = decoder.hasMore();
            return;
        }
        previous = drop();
        state = State.SETTLING;
        done |= verdict.kind() == ResponseVerdict.Kind.BROKEN || !answer.keepAlive() || !written || decoder.hasMore();
        if (done) {
            close();
        }
        owner.ended(this, previous, verdict);
    }

    @Override
    public void broken(String why) {
        InFlightRequest lost = abandon();
        if (lost != null) {
            owner.broken(this, lost, why);
        }
    }

    @Override
    public void readOver() {
        if (state == State.SETTLING) {
            state = State.IDLE;
            owner.settled(this, !done && channel.isActive());
        }
    }
}
