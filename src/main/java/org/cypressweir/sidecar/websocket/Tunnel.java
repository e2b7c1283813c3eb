package org.cypressweir.sidecar.websocket;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.util.ReferenceCountUtil;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.LongSupplier;
import org.cypressweir.sidecar.route.WebSocketLimits;
import org.cypressweir.sidecar.websocket.UpgradeAccount.Event;

/**
 * A client's and a server's connection that carry frames for each other. Each piece that comes on one side
 * goes
 * out on the other as a frame of its own, so a frame is never torn, whatever breaks. A side whose peer reads
 * slowly is not read from. All of it runs on one event loop.
 */
public final class Tunnel implements DrainOrder.Leaver {

    /** What a tunnel tells, always on the event loop. */
    public interface Listener {
        /** Both sides are down; nothing more comes of it. */
        void ended(Tunnel tunnel);
    }

    /** Bytes that wait to be written to one side: above the upper the other is not read, until the lower. */
    static final WriteBufferWaterMark WAITING = new WriteBufferWaterMark(32 * 1024, 64 * 1024);
    /** From the first close frame until both sides must be down. */
    static final long CLOSE_MICROS = 2_000_000;

    /** How long a server that was told to close may go on with what it had in hand. */
    static final long LONGEST_SWITCH_MICROS = 10_000_000;

    private static final int MARK = 8;
    /** What an open tunnel weighs that carries nothing, in requests in flight. */
    static final double OPEN_WEIGHT = 0.02;
    /** For how long a message, and a byte, is taken to keep a server busy, as a request would. */
    private static final double MESSAGE_SECONDS = 0.005;

    private static final double BYTE_SECONDS = 1e-7;
    /** Weight of what was last seen in what is known. */
    private static final double WEIGH_PART = 0.5;
    /** What a new one is taken to carry: a handshake and three messages in its first second. */
    private static final double START_WEIGHT = 0.02;
    /** Longest first message that can be repeated, in bytes. */
    private static final int MOST_REPEATED = 64 * 1024;
    /** Codes with which a server that was told to close says that nothing is wrong. */
    private static final Set<Integer> IN_ORDER = Set.of(1000, Frames.GOING_AWAY, 1012);

    private final WebSocketLimits limits;
    private final UpgradeAccount account;
    private final Listener listener;
    private final SplittableRandom random;
    private final LongSupplier clock;
    private final Side client;
    private Side server;
    private final long openedAt;
    private long dataAt;
    private long weighedAt;
    private long messages;
    private long bytes;
    private double carried = START_WEIGHT;
    private long closingAt;
    private boolean ended;
    private TunnelMigration.State move = TunnelMigration.State.NONE;
    private Next next;
    private long switchingAt;
    /** What the client has sent since the old server was told to close. */
    private final ArrayDeque<PendingFrame> held = new ArrayDeque<>(0);
    /** The client's first message, as far as it has come; null where none is to be repeated. */
    private ByteBuf first;

    private int firstOpcode;
    private boolean firstEnded;

    /** The connection that takes the place of the server's. */
    private record Next(Channel channel, ByteBuf early, Moved moved) {}

    /** A frame that waits for the other server. */
    private record PendingFrame(int opcode, boolean last, ByteBuf payload) {}

    /** What becomes of a move whose other server had agreed; told once, on the event loop. */
    public interface Moved {
        /** The tunnel goes on there, or the other server was not needed after all. */
        void over(boolean done);
    }

    /** Between two connections whose pipelines have nothing left that reads; it takes over both. */
    public Tunnel(
            WebSocketLimits limits,
            boolean compressed,
            Channel client,
            Channel server,
            LongSupplier clock,
            SplittableRandom random,
            UpgradeAccount account,
            Listener listener) {
        this.limits = limits;
        this.clock = clock;
        this.account = account;
        this.listener = listener;
        this.random = random;
        openedAt = clock.getAsLong();
        dataAt = openedAt;
        weighedAt = openedAt;
        this.client = new Side(client, true, compressed, openedAt);
        this.server = new Side(server, false, compressed, openedAt);
        this.client.other = this.server;
        this.server.other = this.client;
        first = limits.resume() != null && limits.resume().firstMessage() ? Unpooled.buffer(0) : null;
    }

    /** Begins to carry; what came early on either side goes first. The buffers are taken over. */
    public void begin(ByteBuf earlyFromClient, ByteBuf earlyFromServer) {
        for (Side side : new Side[] {client, server}) {
            side.channel.config().setOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WAITING);
        }
        server.read(earlyFromServer);
        client.read(earlyFromClient);
        client.channel.pipeline().addLast("tunnel", client);
        server.channel.pipeline().addLast("tunnel", server);
        flow();
    }

    /** Lets both sides be read, each as the other takes what comes of it. */
    private void flow() {
        client.channel.flush();
        server.channel.flush();
        client.channel.config().setAutoRead(server.channel.isWritable());
        server.channel.config().setAutoRead(client.channel.isWritable());
        if (!client.channel.isActive()) {
            client.down();
        }
        if (!server.channel.isActive()) {
            server.down();
        }
    }

    /**
     * What it weighs for its server, in requests in flight: a stated part for being open, and one for what it
     * carries, learned from the messages and bytes since it was last asked; to be asked now and then.
     */
    double weigh(long now) {
        double seconds = Math.max(0.1, (now - weighedAt) / 1e6);
        double seen = (messages * MESSAGE_SECONDS + bytes * BYTE_SECONDS) / seconds;
        carried += WEIGH_PART * (seen - carried);
        messages = 0;
        bytes = 0;
        weighedAt = now;
        return OPEN_WEIGHT + Math.min(1, carried);
    }

    @Override
    public boolean inMessage() {
        return client.reader.inMessage() || server.reader.inMessage();
    }

    @Override
    public long dataAt() {
        return dataAt;
    }

    /** Ends it in order: both sides are sent a close frame, and have their time to answer it. */
    public void close(int code, String reason, long nowMicros) {
        if (closingAt == 0) {
            account.on(Event.SIDECAR_CLOSES);
            closing(nowMicros);
            client.sendClose(Frames.closing(code, reason));
            server.sendClose(Frames.closing(code, reason));
            client.channel.flush();
            server.channel.flush();
        }
    }

    /** Ends it in order, since its server or this process goes. */
    public void goAway(long nowMicros) {
        close(limits.closeNotice().code(), limits.closeNotice().reason(), nowMicros);
    }

    /** Whether it may begin to move to another server. */
    public boolean canMove() {
        boolean repeatable = first == null || first.readableBytes() <= MOST_REPEATED;
        return closingAt == 0 && move == TunnelMigration.State.NONE && repeatable;
    }

    /** Another server is asked for; {@link #moveTo} or {@link #notMoved} follows. */
    public void moving() {
        move = TunnelMigration.next(move, TunnelMigration.Event.ASK);
    }

    /** No other server agreed. */
    public void notMoved() {
        move = TunnelMigration.next(move, TunnelMigration.Event.REFUSED);
    }

    /** Another server has agreed: goes over as soon as that is in order. The connection is taken over. */
    public void moveTo(Channel channel, ByteBuf early, Moved moved) {
        next = new Next(channel, early, moved);
        if (move != TunnelMigration.State.ASKING || closingAt != 0) {
            callOff();
            return;
        }
        move = TunnelMigration.next(
                move,
                client.reader.inMessage() ? TunnelMigration.Event.AGREED_WITHIN : TunnelMigration.Event.AGREED_BETWEEN);
        beginSwitch();
    }

    private void beginSwitch() {
        if (move == TunnelMigration.State.SWITCHING) {
            switchingAt = now();
            client.channel.config().setAutoRead(false);
            server.channel.config().setAutoRead(client.channel.isWritable());
            server.sendClose(Frames.closing(Frames.GOING_AWAY, "moved"));
            server.channel.flush();
        }
    }

    /** The old server has said all that it had to say, and has read all that it was sent. */
    private void goOver() {
        move = TunnelMigration.next(move, TunnelMigration.Event.OLD_CLOSED);
        Side old = server;
        old.detached = true;
        old.channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(f -> old.channel.close());
        Next to = next;
        next = null;
        server = new Side(to.channel(), false, client.compressed, now());
        server.other = client;
        client.other = server;
        to.channel().config().setOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WAITING);
        if (first != null && first.isReadable()) {
            server.send(firstOpcode, true, false, first.copy());
        }
        for (PendingFrame h; (h = held.poll()) != null; ) {
            if (h.opcode() == Frames.CLOSE) {
                byte[] payload = ByteBufUtil.getBytes(h.payload());
                h.payload().release();
                client.closeGot(payload);
            } else {
                server.send(h.opcode(), h.last(), false, h.payload());
            }
        }
        to.moved().over(true);
        server.read(to.early());
        to.channel().pipeline().addLast("tunnel", server);
        flow();
    }

    /** Stays as it is or ends as a whole: the other server is not needed. */
    private void callOff() {
        move = TunnelMigration.next(move, TunnelMigration.Event.CALLED_OFF);
        held.forEach(h -> h.payload().release());
        held.clear();
        if (next != null) {
            Next unused = next;
            next = null;
            unused.early().release();
            unused.channel()
                    .writeAndFlush(Frames.frame(
                            Frames.CLOSE,
                            true,
                            false,
                            Unpooled.wrappedBuffer(Frames.closing(Frames.GOING_AWAY, "not needed")),
                            mask()))
                    .addListener(f -> unused.channel().close());
            unused.moved().over(false);
        }
    }

    /** Ends both sides at once. */
    public void abort() {
        client.channel.close();
        server.channel.close();
    }

    /** Looks at its times; to be called now and then. */
    public void check(long now) {
        if (closingAt != 0) {
            if (now - closingAt > CLOSE_MICROS) {
                abort();
            }
        } else if (move == TunnelMigration.State.SWITCHING) {
            boolean silent = now - Math.max(switchingAt, server.dataAt) > CLOSE_MICROS;
            if (silent || now - switchingAt > LONGEST_SWITCH_MICROS) {
                // What it has read of what it was sent can't be known, so nobody may be sent it again.
                close(Frames.GOING_AWAY, "the server did not close", now);
            }
        } else if (limits.lifeMicros() > 0 && now - openedAt >= limits.lifeMicros()) {
            close(Frames.GOING_AWAY, "longest life", now);
        } else if (limits.idleMicros() > 0 && now - dataAt >= limits.idleMicros()) {
            close(Frames.GOING_AWAY, "idle", now);
        } else if (limits.pingMicros() > 0) {
            client.ping(now);
            server.ping(now);
        }
    }

    private void closing(long now) {
        if (closingAt == 0) {
            closingAt = Math.max(1, now);
            boolean heldBack = move == TunnelMigration.State.SWITCHING;
            callOff();
            if (heldBack) {
                // Its server is sent nothing more, so what it says costs nothing, and its close is heard.
                client.channel.config().setAutoRead(true);
            }
        }
    }

    /** What goes to servers is masked (RFC 6455, section 5.3). */
    private byte[] mask() {
        byte[] mask = new byte[4];
        ByteBuffer.wrap(mask).putInt(random.nextInt());
        return mask;
    }

    private long now() {
        return clock.getAsLong();
    }

    private void sideDown() {
        if (client.down && server.down && !ended) {
            ended = true;
            if (first != null) {
                first.release();
                first = null;
            }
            account.on(Event.END);
            listener.ended(this);
        }
    }

    /** One of the two connections. */
    private final class Side extends ChannelInboundHandlerAdapter implements FrameReader.Sink {
        private final Channel channel;
        private final boolean isClient;
        private final FrameReader reader;
        private final boolean compressed;
        private Side other;
        private long dataAt;
        /** The tunnel goes on without it. */
        private boolean detached;

        private boolean closeSent;
        private boolean closeGot;
        private boolean down;
        private long pingedAt;
        /** The payload of the ping that has not been answered; null where there is none. */
        private byte[] ping;

        Side(Channel channel, boolean isClient, boolean compressed, long now) {
            this.channel = channel;
            this.isClient = isClient;
            this.compressed = compressed;
            pingedAt = now;
            reader = new FrameReader(isClient, compressed, limits.maxFrame(), limits.maxMessage(), this);
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            if (message instanceof ByteBuf bytes && !detached) {
                read(bytes);
            } else {
                ReferenceCountUtil.release(message);
            }
        }

        private void read(ByteBuf bytes) {
            try {
                reader.read(bytes);
            } catch (ProtocolViolationException e) {
                violated(e);
            } finally {
                bytes.release();
            }
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext context) {
            other.channel.flush();
            channel.flush();
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext context) {
            boolean heldBack = !isClient && move == TunnelMigration.State.SWITCHING;
            if (!detached && !heldBack) {
                other.channel.config().setAutoRead(channel.isWritable());
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (!detached) {
                down();
            }
            context.fireChannelInactive();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }

        @Override
        public void data(int opcode, boolean compressed, ByteBuf payload, boolean last) {
            dataAt = now();
            Tunnel.this.dataAt = dataAt;
            messages += last ? 1 : 0;
            bytes += payload.readableBytes();
            if (isClient) {
                remember(opcode, payload);
            }
            if (isClient && move == TunnelMigration.State.SWITCHING) {
                held.add(new PendingFrame(opcode, last, payload));
                return;
            }
            other.send(opcode, last, compressed, payload);
            if (isClient && last && move == TunnelMigration.State.WAITING) {
                move = TunnelMigration.next(move, TunnelMigration.Event.MESSAGE_ENDS);
                beginSwitch();
            }
        }

        /** Keeps the first message where it is to be repeated. */
        private void remember(int opcode, ByteBuf payload) {
            if (first != null && (firstOpcode == 0 || !firstEnded)) {
                firstOpcode = firstOpcode == 0 ? opcode : firstOpcode;
                if (first.readableBytes() <= MOST_REPEATED) {
                    first.writeBytes(payload, payload.readerIndex(), payload.readableBytes());
                }
                firstEnded = !reader.inMessage();
            }
        }

        @Override
        public void control(int opcode, byte[] payload) {
            if (isClient && move == TunnelMigration.State.SWITCHING) {
                held.add(new PendingFrame(opcode, true, Unpooled.wrappedBuffer(payload)));
            } else if (opcode == Frames.CLOSE
                    && !isClient
                    && move == TunnelMigration.State.SWITCHING
                    && !reader.inMessage()
                    && (payload.length == 0 || IN_ORDER.contains(code(payload)))) {
                goOver();
            } else if (opcode == Frames.CLOSE) {
                closeGot(payload);
            } else if (opcode == Frames.PONG && ping != null && Arrays.equals(payload, ping)) {
                ping = null;
            } else {
                other.send(opcode, true, false, Unpooled.wrappedBuffer(payload));
            }
        }

        private static int code(byte[] payload) {
            return (payload[0] & 0xff) << 8 | payload[1] & 0xff;
        }

        private void closeGot(byte[] payload) {
            closeGot = true;
            account.on(isClient ? Event.CLIENT_CLOSES : Event.SERVER_CLOSES);
            closing(now());
            other.sendClose(payload);
            other.channel.flush();
            endIfDone();
        }

        /** Both have said good-bye to both: the server's connection goes first (RFC 6455, section 7.1.1). */
        private void endIfDone() {
            if (closeGot && closeSent && (other.down || other.closeGot && other.closeSent)) {
                server.channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(f -> server.channel.close());
                client.channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(f -> client.channel.close());
            }
        }

        private void violated(ProtocolViolationException violation) {
            account.on(isClient ? Event.CLIENT_CLOSES : Event.SERVER_CLOSES);
            closing(now());
            sendClose(Frames.closing(violation.code(), violation.getMessage()));
            other.sendClose(Frames.closing(
                    isClient ? Frames.GOING_AWAY : Frames.SERVER_ERROR,
                    isClient ? "the client broke the protocol" : "the server broke the protocol"));
            // What it still sends can't be read any more; it has the rest of the time to hear why.
            closeGot = true;
            channel.flush();
            other.channel.flush();
        }

        private void down() {
            if (down) {
                return;
            }
            down = true;
            if (closingAt == 0) {
                account.on(Event.BREAK);
                closing(now());
            }
            other.sendClose(Frames.closing(
                    isClient ? Frames.GOING_AWAY : Frames.SERVER_ERROR,
                    isClient ? "the client is gone" : "the server is gone"));
            other.channel.flush();
            other.channel.config().setAutoRead(true);
            other.endIfDone();
            sideDown();
        }

        private void sendClose(byte[] payload) {
            if (!closeSent && !down) {
                send(Frames.CLOSE, true, false, Unpooled.wrappedBuffer(payload));
                closeSent = true;
            }
        }

        private void send(int opcode, boolean last, boolean compressed, ByteBuf payload) {
            if (closeSent || down) {
                payload.release();
                return;
            }
            channel.write(Frames.frame(opcode, last, compressed, payload, isClient ? null : mask()));
        }

        /** A side that does not answer within its time is gone, though its connection says nothing. */
        private void ping(long now) {
            if (!channel.config().isAutoRead()) {
                // Nothing is read from it, so no answer can be seen.
                ping = null;
                pingedAt = now;
            } else if (ping != null && now - pingedAt >= limits.pongMicros()) {
                channel.close();
            } else if (ping == null && now - pingedAt >= limits.pingMicros()) {
                pingedAt = now;
                ping = new byte[MARK];
                ByteBuffer.wrap(ping).putLong(random.nextLong());
                send(Frames.PING, true, false, Unpooled.wrappedBuffer(ping.clone()));
                channel.flush();
            }
        }
    }
}
