package larkbank.fleet;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import larkbank.Addresses;
import larkbank.membership.Change;
import larkbank.membership.Membership;
import larkbank.membership.MembershipPlan;
import larkbank.membership.Message;
import larkbank.membership.Peer;
import larkbank.sidecar.Fellowship;

/** The membership of one process on its socket: it brings time and datagrams in and takes them out. */
public final class FleetSocket implements Fellowship, Membership.Actions {

    /** What the kernel keeps while the loop is busy or the process stands still. */
    private static final int BUFFER = 512 << 10;
    private static final long AGAIN_MILLIS = 200;
    private static final JsonFactory JSON = new JsonFactory();

    private final Opening opening;
    /** As last taken over: its beat is how often the decisions are asked. */
    private MembershipPlan plan;
    private final Wire wire;
    private final Membership membership;
    private final Map<Wire.Fault, Long> dropped = new EnumMap<>(Wire.Fault.class);
    private Channel channel;
    private long sent;
    private long received;
    private long bytesSent;
    private boolean leaving;

    private FleetSocket(Opening opening) {
        this.opening = opening;
        plan = opening.plan();
        wire = new Wire(plan.cluster());
        if (plan.record() != null) {
            Chronicle.open(plan.record(), opening.name());
        }
        long life = ThreadLocalRandom.current().nextLong();
        membership = new Membership(now(), plan, new Peer(opening.name(), life, System.currentTimeMillis(), 1,
                plan.advertise()), opening.facts(), life, this);
    }

    /** Opens the socket; where another process has it that is to go, once that one has gone. */
    public static CompletableFuture<Fellowship> open(Opening opening) {
        CompletableFuture<Fellowship> open = new CompletableFuture<>();
        FleetSocket socket = new FleetSocket(opening);
        socket.bind(open);
        return open;
    }

    private void bind(CompletableFuture<Fellowship> open) {
        new Bootstrap().group(opening.loop()).channel(NioDatagramChannel.class)
                .option(ChannelOption.SO_RCVBUF, BUFFER)
                .option(ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(Wire.MOST + 1))
                .handler(new Ear()).bind(plan.listen()).addListener(f -> {
                    if (f.isSuccess()) {
                        channel = ((ChannelFuture) f).channel();
                        note("opened", opening.name(), Addresses.text(plan.advertise()));
                        tick();
                        open.complete(this);
                    } else if (opening.beside()) {
                        open.complete(this);
                        opening.loop().schedule(() -> {
                            if (!leaving) {
                                bind(open);
                            }
                        }, AGAIN_MILLIS, TimeUnit.MILLISECONDS);
                    } else {
                        open.completeExceptionally(new IOException("[membership] can't listen on "
                                + Addresses.text(plan.listen()) + ": " + f.cause().getMessage(), f.cause()));
                    }
                });
    }

    /** Microseconds from any origin; the wall clock has no part in what is decided. */
    private static long now() {
        return System.nanoTime() / 1_000;
    }

    private void tick() {
        if (channel == null || !channel.isOpen()) {
            return;
        }
        membership.tick(now());
        if (leaving && membership.hasLeft()) {
            note("closed", opening.name(), "");
            channel.close();
            return;
        }
        opening.loop().schedule(this::tick, plan.beatMicros(), TimeUnit.MICROSECONDS);
    }

    private final class Ear extends SimpleChannelInboundHandler<DatagramPacket> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
            received++;
            try {
                membership.receive(now(), wire.read(ByteBufUtil.getBytes(packet.content())));
            } catch (Wire.Dropped e) {
                dropped.merge(e.fault(), 1L, Long::sum);
            }
        }

        /** Nobody listens where something was sent: that says as little as silence. */
        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (!(cause instanceof IOException)) {
                opening.log().accept("membership: " + cause);
            }
        }
    }

    @Override
    public void send(InetSocketAddress to, Message message) {
        byte[] bytes = wire.write(message);
        if (channel != null && bytes.length <= Wire.MOST) {
            sent++;
            bytesSent += bytes.length;
            channel.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(bytes), to),
                    channel.voidPromise());
        }
    }

    @Override
    public void changed(Change change) {
        String what = change.kind().name().toLowerCase(Locale.ROOT);
        opening.log().accept("membership: " + change.name() + " " + what + " (incarnation "
                + change.incarnation() + "), " + change.cause() + "; " + change.live() + " live");
        note(what, change.name(), change.incarnation() + " " + change.live() + " " + change.cause());
    }

    @Override
    public void refused(String why) {
        note("refused", opening.name(), why);
        opening.refused().accept(why);
    }

    @Override
    public void log(String line) {
        opening.log().accept("membership: " + line);
        note("log", opening.name(), line);
    }

    private void note(String event, String about, String text) {
        if (plan.record() != null) {
            Chronicle.note(event, about, text);
        }
    }

    @Override
    public void facts(Map<String, String> facts) {
        membership.facts(now(), facts);
    }

    @Override
    public void retune(MembershipPlan next) {
        plan = plan.with(next);
        membership.retune(plan);
    }

    @Override
    public void leave() {
        if (!leaving) {
            leaving = true;
            membership.leave(now());
        }
    }

    @Override
    public String members() {
        StringWriter text = new StringWriter(512);
        try (JsonGenerator out = JSON.createGenerator(text)) {
            out.writeStartObject();
            out.writeStringField("self", membership.self().name());
            out.writeNumberField("incarnation", membership.self().incarnation());
            out.writeNumberField("live", membership.live());
            out.writeObjectFieldStart("members");
            Map<String, Membership.Seen> members = membership.members();
            for (Map.Entry<String, Membership.Seen> m : members.entrySet()) {
                out.writeStringField(m.getKey(), m.getValue().state());
            }
            out.writeEndObject();
            out.writeObjectFieldStart("details");
            for (Map.Entry<String, Membership.Seen> m : members.entrySet()) {
                Peer peer = m.getValue().entry().peer();
                out.writeObjectFieldStart(m.getKey());
                out.writeStringField("address", Addresses.text(peer.address()));
                out.writeNumberField("incarnation", peer.incarnation());
                for (Map.Entry<String, String> fact : m.getValue().entry().facts().entrySet()) {
                    out.writeStringField(fact.getKey(), fact.getValue());
                }
                out.writeEndObject();
            }
            out.writeEndObject();
            out.writeNumberField("datagrams_sent", sent);
            out.writeNumberField("bytes_sent", bytesSent);
            out.writeNumberField("datagrams_received", received);
            out.writeObjectFieldStart("dropped");
            for (Map.Entry<Wire.Fault, Long> d : dropped.entrySet()) {
                out.writeNumberField(d.getKey().name().toLowerCase(Locale.ROOT), d.getValue());
            }
            out.writeNumberField("over_allowance", membership.dropped());
            out.writeEndObject();
            out.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException("a string can't fail", e);
        }
        return text.toString();
    }
}
