package larkbank.quay;

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
final class ServerConnection extends ChannelInboundHandlerAdapter implements AnswerCollector.Sink {

    /** Whom it tells. */
    interface Owner {
        void opened(ServerConnection berth);

        /** A whole answer while a request is in flight. */
        AnswerVerdict answered(ServerConnection berth, Shipment shipment, ServerAnswer answer);

        /** A whole answer has told what became of the request. */
        void ended(ServerConnection berth, Shipment shipment, AnswerVerdict verdict);

        /** Its connection ended, or what came on it can't be believed. */
        void broken(ServerConnection berth, Shipment shipment, String why);

        /** The read that brought the answer is over; it is idle if it still is of use. */
        void settled(ServerConnection berth, boolean usable);

        /** It is down. What was in flight is told after this. */
        void down(ServerConnection berth, boolean wasUp);
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
    private final AnswerDecoder decoder = new AnswerDecoder(this::toHead);
    private final Channel channel;
    private State state = State.CONNECTING;
    private boolean wasUp;
    private Shipment shipment;
    /** Takes no further request. */
    private boolean done;

    private boolean written;
    private boolean answerBegan;
    private Shipment previous;
    /** When it is too old to be used, while it is idle. */
    long idleUntil;
    /** Since when it is idle. */
    long idleSince;
    /** How long it was idle before its last request, zero for its first. */
    private long wasIdle;

    ServerConnection(EventLoop loop, InetSocketAddress to, QuayPlan plan, Owner owner) {
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
                                        ServerConnection.this,
                                        decoder,
                                        new AnswerCollector(decoder, plan.mostAnswerBytes(), ServerConnection.this));
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

    Shipment shipment() {
        return shipment;
    }

    boolean isConnecting() {
        return state == State.CONNECTING;
    }

    boolean isHanded() {
        return shipment != null && shipment.known == Known.SENT;
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
    void reserve(Shipment next) {
        shipment = next;
    }

    /** Gives back a request that was not sent. */
    Shipment drop() {
        Shipment unsent = shipment;
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

    void send(Shipment next, long now) {
        shipment = next;
        state = State.BUSY;
        written = false;
        answerBegan = false;
        wasIdle = idleSince == 0 ? 0 : now - idleSince;
        next.sentAt = now;
        ChannelProgressivePromise promise = channel.newProgressivePromise();
        promise.addListener(new Progress(next));
        channel.writeAndFlush(RequestBytes.of(next.freight(), now), promise);
    }

    /** Notes the first byte that the socket took, and the last. */
    private final class Progress implements ChannelProgressiveFutureListener {
        private final Shipment sent;

        Progress(Shipment sent) {
            this.sent = sent;
        }

        @Override
        public void operationProgressed(ChannelProgressiveFuture future, long progress, long total) {
            if (sent == shipment && progress > 0) {
                sent.known = Known.SENT;
            }
        }

        @Override
        public void operationComplete(ChannelProgressiveFuture future) {
            if (!future.isSuccess()) {
                close();
            } else if (sent == shipment) {
                sent.known = Known.SENT;
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
    Shipment abandon() {
        Shipment left = drop();
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
        String id = answer.headers().get(RequestBytes.ATTEMPT_ID);
        if (shipment != null && (id == null || id.strip().equals(shipment.attemptId))) {
            return shipment.isHead();
        }
        return previous != null && previous.isHead() && previous.attemptId.equals(id);
    }

    @Override
    public void whole(ServerAnswer answer) {
        if (state != State.BUSY || shipment == null) {
            close();
            return;
        }
        AnswerVerdict verdict = owner.answered(this, shipment, answer);
        if (verdict.kind() == AnswerVerdict.Kind.FOREIGN) {
            done = true;
            answerBegan = decoder.hasMore();
            return;
        }
        previous = drop();
        state = State.SETTLING;
        done |= verdict.kind() == AnswerVerdict.Kind.BROKEN || !answer.keepAlive() || !written || decoder.hasMore();
        if (done) {
            close();
        }
        owner.ended(this, previous, verdict);
    }

    @Override
    public void broken(String why) {
        Shipment lost = abandon();
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
