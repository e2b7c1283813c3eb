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
 * Forwards WebSocket frames between a client's connection and a server's. Each piece read on one side is sent on the
 * other as a frame of its own, so that no frame is ever left incomplete when a connection breaks. Reading from one
 * side pauses while the other side's write buffer is full. Everything runs on one event loop.
 */
public final class Tunnel implements DrainOrder.Drainable {

    /** Notified of a tunnel's end, always on the event loop. */
    public interface Listener {
        /** Both connections are closed; no further call follows. */
        void ended(Tunnel tunnel);
    }

    /** Bytes buffered for one side: above the upper limit the other side is not read until below the lower limit. */
    static final WriteBufferWaterMark WRITE_BUFFER_LIMITS = new WriteBufferWaterMark(32 * 1024, 64 * 1024);
    /** Time from the first close frame until both connections must be closed. */
    static final long CLOSE_TIMEOUT_MICROS = 2_000_000;

    /** How long a server that was sent a close frame may go on sending what it had begun. */
    static final long MAX_SWITCH_MICROS = 10_000_000;

    private static final int PING_PAYLOAD_BYTES = 8;
    /** Load of an open tunnel without traffic, in requests in flight. */
    static final double IDLE_TUNNEL_WEIGHT = 0.02;
    /** How long one message, or one byte, is assumed to keep a server as busy as one request in flight. */
    private static final double SECONDS_PER_MESSAGE = 0.005;

    private static final double SECONDS_PER_BYTE = 1e-7;
    /** Weight of the newest sample in the moving average of a tunnel's traffic. */
    private static final double SMOOTHING_FACTOR = 0.5;
    /** Assumed traffic load of a new tunnel: a handshake and three messages in its first second. */
    private static final double INITIAL_TRAFFIC_WEIGHT = 0.02;
    /** Longest first message that can be sent again to another server. */
    private static final int MAX_REPLAYED_MESSAGE_BYTES = 64 * 1024;
    /** Close codes with which a server that was sent a close frame reports a normal end. */
    private static final Set<Integer> ORDERLY_CLOSE_CODES = Set.of(1000, Frames.GOING_AWAY, 1012);

    private final WebSocketLimits limits;
    private final UpgradeAccount account;
    private final Listener listener;
    private final SplittableRandom random;
    private final LongSupplier clock;
    private final Side client;
    private Side server;
    private final long openedAt;
    private long lastDataAt;
    private long weightUpdatedAt;
    private long messageCount;
    private long byteCount;
    private double trafficWeight = INITIAL_TRAFFIC_WEIGHT;
    private long closingAt;
    private boolean ended;
    private TunnelMigration.State migration = TunnelMigration.State.NONE;
    private MoveTarget moveTarget;
    private long switchingAt;
    /** The client's frames since the old server was sent a close frame. */
    private final ArrayDeque<PendingFrame> heldFrames = new ArrayDeque<>(0);
    /** The client's first message, as far as received; null if no message is to be sent again after a move. */
    private ByteBuf firstMessage;

    private int firstMessageOpcode;
    private boolean firstMessageEnded;

    /** The connection that replaces the old server's. */
    private record MoveTarget(Channel channel, ByteBuf early, MoveCallback callback) {}

    /** A frame that waits for the new server. */
    private record PendingFrame(int opcode, boolean last, ByteBuf payload) {}

    /** Notified of the outcome of a move whose new server had accepted; called once, on the event loop. */
    public interface MoveCallback {
        /** The tunnel now uses the new server, or (false) it did not move and the connection was closed. */
        void completed(boolean moved);
    }

    /** Takes ownership of two connections whose pipelines contain no handler that reads any more. */
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
        lastDataAt = openedAt;
        weightUpdatedAt = openedAt;
        this.client = new Side(client, true, compressed, openedAt);
        this.server = new Side(server, false, compressed, openedAt);
        this.client.other = this.server;
        this.server.other = this.client;
        firstMessage = limits.resume() != null && limits.resume().firstMessage() ? Unpooled.buffer(0) : null;
    }

    /** Starts forwarding, first the bytes already received on either side. Takes ownership of the buffers. */
    public void begin(ByteBuf earlyFromClient, ByteBuf earlyFromServer) {
        for (Side side : new Side[] {client, server}) {
            side.channel.config().setOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WRITE_BUFFER_LIMITS);
        }
        server.read(earlyFromServer);
        client.read(earlyFromClient);
        client.channel.pipeline().addLast("tunnel", client);
        server.channel.pipeline().addLast("tunnel", server);
        resumeReading();
    }

    /** Enables reading on each side while the other side can be written to. */
    private void resumeReading() {
        client.channel.flush();
        server.channel.flush();
        client.channel.config().setAutoRead(server.channel.isWritable());
        server.channel.config().setAutoRead(client.channel.isWritable());
        if (!client.channel.isActive()) {
            client.handleDown();
        }
        if (!server.channel.isActive()) {
            server.handleDown();
        }
    }

    /**
     * Returns the tunnel's load on its server, in requests in flight: a constant for being open, and a moving average
     * of the messages and bytes since the previous call. Called periodically.
     */
    double updateWeight(long now) {
        double seconds = Math.max(0.1, (now - weightUpdatedAt) / 1e6);
        double observed = (messageCount * SECONDS_PER_MESSAGE + byteCount * SECONDS_PER_BYTE) / seconds;
        trafficWeight += SMOOTHING_FACTOR * (observed - trafficWeight);
        messageCount = 0;
        byteCount = 0;
        weightUpdatedAt = now;
        return IDLE_TUNNEL_WEIGHT + Math.min(1, trafficWeight);
    }

    @Override
    public boolean inMessage() {
        return client.reader.inMessage() || server.reader.inMessage();
    }

    @Override
    public long lastDataAt() {
        return lastDataAt;
    }

    /** Starts an orderly close: both sides are sent a close frame and have a time-out to answer it. */
    public void close(int code, String reason, long nowMicros) {
        if (closingAt == 0) {
            account.apply(Event.SIDECAR_CLOSES);
            startClosing(nowMicros);
            client.sendClose(Frames.closePayload(code, reason));
            server.sendClose(Frames.closePayload(code, reason));
            client.channel.flush();
            server.channel.flush();
        }
    }

    /** Starts an orderly close because the server or this process is shutting down. */
    public void goAway(long nowMicros) {
        close(limits.closeNotice().code(), limits.closeNotice().reason(), nowMicros);
    }

    /** Whether the tunnel can begin to move to another server. */
    public boolean canMove() {
        boolean repeatable = firstMessage == null || firstMessage.readableBytes() <= MAX_REPLAYED_MESSAGE_BYTES;
        return closingAt == 0 && migration == TunnelMigration.State.NONE && repeatable;
    }

    /** Another server is being requested; {@link #moveTo} or {@link #moveRefused} follows. */
    public void beginMove() {
        migration = TunnelMigration.next(migration, TunnelMigration.Event.ASK);
    }

    /** No other server accepted the tunnel. */
    public void moveRefused() {
        migration = TunnelMigration.next(migration, TunnelMigration.Event.REFUSED);
    }

    /** Another server accepted: switches to it between two messages. Takes ownership of the connection. */
    public void moveTo(Channel channel, ByteBuf early, MoveCallback callback) {
        moveTarget = new MoveTarget(channel, early, callback);
        if (migration != TunnelMigration.State.ASKING || closingAt != 0) {
            cancelMove();
            return;
        }
        migration = TunnelMigration.next(
                migration,
                client.reader.inMessage() ? TunnelMigration.Event.AGREED_WITHIN : TunnelMigration.Event.AGREED_BETWEEN);
        beginSwitch();
    }

    private void beginSwitch() {
        if (migration == TunnelMigration.State.SWITCHING) {
            switchingAt = now();
            client.channel.config().setAutoRead(false);
            server.channel.config().setAutoRead(client.channel.isWritable());
            server.sendClose(Frames.closePayload(Frames.GOING_AWAY, "moved"));
            server.channel.flush();
        }
    }

    /** Called on the old server's close frame: it has sent all of its data and read all that it was sent. */
    private void completeMove() {
        migration = TunnelMigration.next(migration, TunnelMigration.Event.OLD_CLOSED);
        Side old = server;
        old.detached = true;
        old.channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(f -> old.channel.close());
        MoveTarget to = moveTarget;
        moveTarget = null;
        server = new Side(to.channel(), false, client.compressed, now());
        server.other = client;
        client.other = server;
        to.channel().config().setOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WRITE_BUFFER_LIMITS);
        if (firstMessage != null && firstMessage.isReadable()) {
            server.send(firstMessageOpcode, true, false, firstMessage.copy());
        }
        for (PendingFrame h; (h = heldFrames.poll()) != null; ) {
            if (h.opcode() == Frames.CLOSE) {
                byte[] payload = ByteBufUtil.getBytes(h.payload());
                h.payload().release();
                client.handleClose(payload);
            } else {
                server.send(h.opcode(), h.last(), false, h.payload());
            }
        }
        to.callback().completed(true);
        server.read(to.early());
        to.channel().pipeline().addLast("tunnel", server);
        resumeReading();
    }

    /** Cancels a move: the tunnel stays with its server or closes, and the new server is not needed. */
    private void cancelMove() {
        migration = TunnelMigration.next(migration, TunnelMigration.Event.CALLED_OFF);
        heldFrames.forEach(h -> h.payload().release());
        heldFrames.clear();
        if (moveTarget != null) {
            MoveTarget unused = moveTarget;
            moveTarget = null;
            unused.early().release();
            unused.channel()
                    .writeAndFlush(Frames.frame(
                            Frames.CLOSE,
                            true,
                            false,
                            Unpooled.wrappedBuffer(Frames.closePayload(Frames.GOING_AWAY, "not needed")),
                            mask()))
                    .addListener(f -> unused.channel().close());
            unused.callback().completed(false);
        }
    }

    /** Closes both connections immediately. */
    public void abort() {
        client.channel.close();
        server.channel.close();
    }

    /** Checks all time-outs and sends pings; called periodically. */
    public void checkTimeouts(long now) {
        if (closingAt != 0) {
            if (now - closingAt > CLOSE_TIMEOUT_MICROS) {
                abort();
            }
        } else if (migration == TunnelMigration.State.SWITCHING) {
            boolean serverSilent = now - Math.max(switchingAt, server.lastDataAt) > CLOSE_TIMEOUT_MICROS;
            if (serverSilent || now - switchingAt > MAX_SWITCH_MICROS) {
                // How much of its input the old server has read is unknown, so no other server may be sent it again.
                close(Frames.GOING_AWAY, "the server did not close", now);
            }
        } else if (limits.maxLifeMicros() > 0 && now - openedAt >= limits.maxLifeMicros()) {
            close(Frames.GOING_AWAY, "longest life", now);
        } else if (limits.idleTimeoutMicros() > 0 && now - lastDataAt >= limits.idleTimeoutMicros()) {
            close(Frames.GOING_AWAY, "idle", now);
        } else if (limits.pingIntervalMicros() > 0) {
            client.ping(now);
            server.ping(now);
        }
    }

    private void startClosing(long now) {
        if (closingAt == 0) {
            closingAt = Math.max(1, now);
            boolean heldBack = migration == TunnelMigration.State.SWITCHING;
            cancelMove();
            if (heldBack) {
                // Nothing more is sent to the server, so reading the client fills no buffer. Its close frame is needed.
                client.channel.config().setAutoRead(true);
            }
        }
    }

    /** Creates a masking key; frames to servers are masked (RFC 6455, section 5.3). */
    private byte[] mask() {
        byte[] mask = new byte[4];
        ByteBuffer.wrap(mask).putInt(random.nextInt());
        return mask;
    }

    private long now() {
        return clock.getAsLong();
    }

    private void endIfBothDown() {
        if (client.down && server.down && !ended) {
            ended = true;
            if (firstMessage != null) {
                firstMessage.release();
                firstMessage = null;
            }
            account.apply(Event.END);
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
        private long lastDataAt;
        /** Whether the tunnel has moved on to another connection. */
        private boolean detached;

        private boolean closeSent;
        private boolean closeReceived;
        private boolean down;
        private long pingedAt;
        /** The payload of the unanswered ping; null if there is none. */
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
                handleViolation(e);
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
            boolean heldBack = !isClient && migration == TunnelMigration.State.SWITCHING;
            if (!detached && !heldBack) {
                other.channel.config().setAutoRead(channel.isWritable());
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (!detached) {
                handleDown();
            }
            context.fireChannelInactive();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }

        @Override
        public void data(int opcode, boolean compressed, ByteBuf payload, boolean last) {
            lastDataAt = now();
            Tunnel.this.lastDataAt = lastDataAt;
            messageCount += last ? 1 : 0;
            byteCount += payload.readableBytes();
            if (isClient) {
                recordFirstMessage(opcode, payload);
            }
            if (isClient && migration == TunnelMigration.State.SWITCHING) {
                heldFrames.add(new PendingFrame(opcode, last, payload));
                return;
            }
            other.send(opcode, last, compressed, payload);
            if (isClient && last && migration == TunnelMigration.State.WAITING) {
                migration = TunnelMigration.next(migration, TunnelMigration.Event.MESSAGE_ENDS);
                beginSwitch();
            }
        }

        /** Stores the first message if it is to be sent again after a move. */
        private void recordFirstMessage(int opcode, ByteBuf payload) {
            if (firstMessage != null && (firstMessageOpcode == 0 || !firstMessageEnded)) {
                firstMessageOpcode = firstMessageOpcode == 0 ? opcode : firstMessageOpcode;
                if (firstMessage.readableBytes() <= MAX_REPLAYED_MESSAGE_BYTES) {
                    firstMessage.writeBytes(payload, payload.readerIndex(), payload.readableBytes());
                }
                firstMessageEnded = !reader.inMessage();
            }
        }

        @Override
        public void control(int opcode, byte[] payload) {
            if (isClient && migration == TunnelMigration.State.SWITCHING) {
                heldFrames.add(new PendingFrame(opcode, true, Unpooled.wrappedBuffer(payload)));
            } else if (opcode == Frames.CLOSE
                    && !isClient
                    && migration == TunnelMigration.State.SWITCHING
                    && !reader.inMessage()
                    && (payload.length == 0 || ORDERLY_CLOSE_CODES.contains(closeCode(payload)))) {
                completeMove();
            } else if (opcode == Frames.CLOSE) {
                handleClose(payload);
            } else if (opcode == Frames.PONG && ping != null && Arrays.equals(payload, ping)) {
                ping = null;
            } else {
                other.send(opcode, true, false, Unpooled.wrappedBuffer(payload));
            }
        }

        private static int closeCode(byte[] payload) {
            return (payload[0] & 0xff) << 8 | payload[1] & 0xff;
        }

        private void handleClose(byte[] payload) {
            closeReceived = true;
            account.apply(isClient ? Event.CLIENT_CLOSES : Event.SERVER_CLOSES);
            startClosing(now());
            other.sendClose(payload);
            other.channel.flush();
            endIfDone();
        }

        /** Closes the connections once both sides have exchanged close frames, the server's first (RFC 6455, 7.1.1). */
        private void endIfDone() {
            if (closeReceived && closeSent && (other.down || other.closeReceived && other.closeSent)) {
                server.channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(f -> server.channel.close());
                client.channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(f -> client.channel.close());
            }
        }

        private void handleViolation(ProtocolViolationException violation) {
            account.apply(isClient ? Event.CLIENT_CLOSES : Event.SERVER_CLOSES);
            startClosing(now());
            sendClose(Frames.closePayload(violation.code(), violation.getMessage()));
            other.sendClose(Frames.closePayload(
                    isClient ? Frames.GOING_AWAY : Frames.SERVER_ERROR,
                    isClient ? "the client broke the protocol" : "the server broke the protocol"));
            // Its further input can't be parsed. The close time-out leaves it time to receive the close frame.
            closeReceived = true;
            channel.flush();
            other.channel.flush();
        }

        private void handleDown() {
            if (down) {
                return;
            }
            down = true;
            if (closingAt == 0) {
                account.apply(Event.BREAK);
                startClosing(now());
            }
            other.sendClose(Frames.closePayload(
                    isClient ? Frames.GOING_AWAY : Frames.SERVER_ERROR,
                    isClient ? "the client is gone" : "the server is gone"));
            other.channel.flush();
            other.channel.config().setAutoRead(true);
            other.endIfDone();
            endIfBothDown();
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

        /** Pings the side, and closes its connection if a ping is not answered in time, even without a TCP error. */
        private void ping(long now) {
            if (!channel.config().isAutoRead()) {
                // Reading is paused, so a pong could not be seen.
                ping = null;
                pingedAt = now;
            } else if (ping != null && now - pingedAt >= limits.pongTimeoutMicros()) {
                channel.close();
            } else if (ping == null && now - pingedAt >= limits.pingIntervalMicros()) {
                pingedAt = now;
                ping = new byte[PING_PAYLOAD_BYTES];
                ByteBuffer.wrap(ping).putLong(random.nextLong());
                send(Frames.PING, true, false, Unpooled.wrappedBuffer(ping.clone()));
                channel.flush();
            }
        }
    }
}
