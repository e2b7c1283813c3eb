package org.cypressweir.fleet.transport;

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
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.cypressweir.common.util.Addresses;
import org.cypressweir.fleet.FleetCoordination;
import org.cypressweir.fleet.lease.LeaseMessage;
import org.cypressweir.fleet.lease.LeaseOptions;
import org.cypressweir.fleet.lease.Leases;
import org.cypressweir.fleet.membership.Change;
import org.cypressweir.fleet.membership.Lending;
import org.cypressweir.fleet.membership.MemberRecord;
import org.cypressweir.fleet.membership.MemberStatus;
import org.cypressweir.fleet.membership.MembershipMessage;
import org.cypressweir.fleet.membership.MembershipOptions;
import org.cypressweir.fleet.membership.MembershipProtocol;
import org.cypressweir.fleet.membership.Peer;
import org.cypressweir.fleet.membership.ShareOptions;
import org.cypressweir.fleet.membership.ShareRequester;

/** The membership of one process on its socket: it brings time and datagrams in and takes them out. */
public final class FleetSocket implements FleetCoordination, MembershipProtocol.Actions {

    /** What the kernel keeps while the loop is busy or the process stands still. */
    private static final int BUFFER = 512 << 10;
    /** A start waits no longer for others, who may not be there. */
    private static final long LENT_MILLIS = 1_500;
    /** How often it looks whom leases may be left to. */
    private static final long MEMBERS_MICROS = 500_000;
    /** For how long somebody outside may act by one answer, at most: no lease is handed on meanwhile. */
    private static final long PROMISE_MICROS = 2_000_000;

    private static final long AGAIN_MILLIS = 200;
    private static final JsonFactory JSON = new JsonFactory();

    private final Opening opening;
    /** As last taken over: its beat is how often the decisions are asked. */
    private MembershipOptions plan;

    private final MembershipMessageCodec wire;
    private final MembershipProtocol membership;
    /** Null where nothing follows the living. */
    private ShareRequester portion;

    private final Lending lending;
    /** Null where the file names none. */
    private Leases leases;

    private long membersAt = Long.MIN_VALUE;
    private boolean seeks;
    private final CompletableFuture<Void> lent = new CompletableFuture<>();
    private double toldPart;
    private int toldCount;
    private final Map<MembershipMessageCodec.Fault, Long> dropped = new EnumMap<>(MembershipMessageCodec.Fault.class);
    private Channel channel;
    private long sent;
    private long received;
    private long bytesSent;
    private boolean leaving;

    private FleetSocket(Opening opening) {
        this.opening = opening;
        plan = opening.plan();
        wire = new MembershipMessageCodec(plan.cluster());
        if (plan.record() != null) {
            EventRecorder.open(plan.record(), opening.name());
        }
        long life = ThreadLocalRandom.current().nextLong();
        membership = new MembershipProtocol(
                now(),
                plan,
                new Peer(opening.name(), life, System.currentTimeMillis(), 1, plan.advertise()),
                opening.facts(),
                life,
                this);
        portion = portion();
        lending = new Lending(life, opening.lists().shelf(), this::send, this::borrowed);
        leases = leases(plan.leases());
    }

    private Leases leases(LeaseOptions of) {
        return of == null
                ? null
                : new Leases(
                        now(),
                        of,
                        plan.advertise(),
                        opening.name(),
                        Long.toHexString(membership.self().processId()),
                        System.currentTimeMillis(),
                        ThreadLocalRandom.current().nextLong(),
                        new Tasks());
    }

    /** What comes of leases. */
    private final class Tasks implements Leases.Actions {
        @Override
        public void send(InetSocketAddress to, LeaseMessage message) {
            FleetSocket.this.send(
                    to,
                    new MembershipMessage(
                            MembershipMessage.Kind.LEASE,
                            membership.self(),
                            "",
                            0,
                            0,
                            List.of(),
                            List.of(),
                            List.of(),
                            "",
                            LeaseMessageCodec.write(message)));
        }

        @Override
        public void acquired(String lease, long token) {
            note("lease_began", lease, String.valueOf(token));
            opening.log().accept("lease: holds " + lease + ", token " + token);
        }

        @Override
        public void ended(String lease, long token, String reason) {
            note("lease_ended", lease, token + " " + reason);
            opening.log().accept("lease: gives up " + lease + ", token " + token + ": " + reason);
        }
    }

    /** Those that a lease may be left to: whoever drains takes none. */
    private void preferred() {
        if (now() < membersAt) {
            return;
        }
        membersAt = now() + MEMBERS_MICROS;
        Map<String, InetSocketAddress> living = new HashMap<>();
        entriesIn()
                .filter(e -> "serving".equals(e.facts().get("state")))
                .forEach(e -> living.put(e.peer().name(), e.peer().address()));
        living.put(opening.name(), plan.advertise());
        leases.updateMembers(living);
    }

    private void borrowed(Lending.Loan loan) {
        note("borrowed", loan.from(), loan.revision() + " " + loan.ageMicros());
        if (!opening.lists().borrowed(loan)) {
            lending.spoilt(loan.from());
        }
    }

    /** Until discovery has told this process something, what others have is asked for. */
    private void borrow() {
        if (opening.lists().told()) {
            if (seeks) {
                seeks = false;
                lending.end();
            }
            lent.complete(null);
            return;
        }
        if (!seeks) {
            seeks = true;
            lending.seek(opening.lists().shelf().known());
        }
        lending.tick(now(), membership.self(), this::others);
        if (lending.settled()) {
            lent.complete(null);
        }
    }

    private List<Peer> others() {
        return entriesIn()
                .map(MemberRecord::peer)
                .filter(p -> !p.name().equals(opening.name()))
                .toList();
    }

    /** Those that are in, as far as is known here; itself may be one. */
    private Stream<MemberRecord> entriesIn() {
        return membership.members().values().stream()
                .map(MembershipProtocol.MemberView::record)
                .filter(e -> e.status() == MemberStatus.MEMBER);
    }

    private ShareRequester portion() {
        return plan.shares() == null
                ? null
                : new ShareRequester(
                        now(),
                        plan.shares(),
                        plan.advertise(),
                        ThreadLocalRandom.current().nextLong(Long.MAX_VALUE / 2),
                        this::send);
    }

    /** Opens the socket; where another process has it that is to go, once that one has gone. */
    public static CompletableFuture<FleetCoordination> open(Opening opening) {
        CompletableFuture<FleetCoordination> open = new CompletableFuture<>();
        FleetSocket socket = new FleetSocket(opening);
        socket.bind(open);
        opening.loop().schedule(() -> socket.lent.complete(null), LENT_MILLIS, TimeUnit.MILLISECONDS);
        return open;
    }

    private void bind(CompletableFuture<FleetCoordination> open) {
        new Bootstrap()
                .group(opening.loop())
                .channel(NioDatagramChannel.class)
                .option(ChannelOption.SO_RCVBUF, BUFFER)
                .option(
                        ChannelOption.RECVBUF_ALLOCATOR,
                        new FixedRecvByteBufAllocator(MembershipMessageCodec.MAX_DATAGRAM_BYTES + 1))
                .handler(new Ear())
                .bind(plan.listen())
                .addListener(f -> {
                    if (f.isSuccess()) {
                        channel = ((ChannelFuture) f).channel();
                        note("opened", opening.name(), Addresses.text(plan.advertise()));
                        tick();
                        open.complete(this);
                    } else if (opening.beside()) {
                        if (open.complete(this)) {
                            opening.log()
                                    .accept("membership: waits for " + Addresses.text(plan.listen())
                                            + ", which another process has");
                        }
                        opening.loop()
                                .schedule(
                                        () -> {
                                            if (!leaving) {
                                                bind(open);
                                            }
                                        },
                                        AGAIN_MILLIS,
                                        TimeUnit.MILLISECONDS);
                    } else {
                        open.completeExceptionally(new IOException(
                                "[membership] can't listen on " + Addresses.text(plan.listen()) + ": "
                                        + f.cause().getMessage(),
                                f.cause()));
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
        if (leases != null) {
            // First of all: what it slept through is over before anything is done by it.
            leases.tick(now());
            preferred();
        }
        membership.tick(now());
        if (portion != null && !leaving) {
            portion.tick(now(), membership.self());
            tellPart();
        }
        if (!leaving) {
            borrow();
        }
        if (leaving && membership.hasLeft() && (leases == null || leases.hasReleasedAll())) {
            note("closed", opening.name(), "");
            channel.close();
            return;
        }
        opening.loop().schedule(this::tick, plan.beatMicros(), TimeUnit.MICROSECONDS);
    }

    /** Shrinking is found out here at the latest; whoever uses something asks for itself before that. */
    private void tellPart() {
        double part = portion.part(now());
        int count = portion.count(now());
        if (part != toldPart || count != toldCount) {
            toldPart = part;
            toldCount = count;
            note("part", opening.name(), part + " " + count);
            opening.portioned().run();
        }
    }

    @Override
    public CompletableFuture<Void> lent() {
        return lent;
    }

    @Override
    public double part() {
        return portion == null ? 1 : portion.part(now());
    }

    @Override
    public int count() {
        return portion == null ? 1 : portion.count(now());
    }

    private void hear(MembershipMessage message) throws MembershipMessageCodec.Dropped {
        if (message.kind() == MembershipMessage.Kind.LEASE) {
            if (leases != null) {
                leases.receive(now(), message.from().address(), LeaseMessageCodec.read(message.payload()));
            }
        } else if (message.kind().isAboutEndpointLists()) {
            lending.receive(now(), message, membership.self());
        } else if (!message.kind().isAboutShares()) {
            membership.receive(now(), message);
        } else if (portion != null && !leaving) {
            portion.receive(now(), message, membership.self());
        }
    }

    private final class Ear extends SimpleChannelInboundHandler<DatagramPacket> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
            received++;
            try {
                MembershipMessage message = wire.read(ByteBufUtil.getBytes(packet.content()));
                hear(message);
            } catch (MembershipMessageCodec.Dropped e) {
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
    public void send(InetSocketAddress to, MembershipMessage message) {
        byte[] bytes = wire.write(message);
        if (channel != null && bytes.length <= MembershipMessageCodec.MAX_DATAGRAM_BYTES) {
            sent++;
            bytesSent += bytes.length;
            channel.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(bytes), to), channel.voidPromise());
        }
    }

    @Override
    public void changed(Change change) {
        String what = change.kind().name().toLowerCase(Locale.ROOT);
        opening.log()
                .accept("membership: " + change.name() + " " + what + " (incarnation " + change.incarnation() + "), "
                        + change.cause() + "; " + change.live() + " live");
        note(what, change.name(), change.incarnation() + " " + change.live() + " " + change.cause());
    }

    @Override
    public void refused(String reason) {
        note("refused", opening.name(), reason);
        opening.refused().accept(reason);
    }

    @Override
    public void log(String line) {
        opening.log().accept("membership: " + line);
        note("log", opening.name(), line);
    }

    private void note(String event, String about, String text) {
        if (plan.record() != null) {
            EventRecorder.note(event, about, text);
        }
    }

    @Override
    public void facts(Map<String, String> facts) {
        membership.updateFacts(now(), facts);
        if (leases == null) {
            return;
        }
        String state = String.valueOf(facts.get("state"));
        if (state.equals("serving") || state.equals("starting")) {
            leases.rejoin();
        } else {
            leases.leave(now(), "it is " + state);
        }
    }

    @Override
    public void retune(MembershipOptions next) {
        ShareOptions before = plan.shares();
        retuneLeases(next.leases());
        plan = plan.with(next.leasing(plan.leases()));
        membership.reconfigure(plan);
        if (!Objects.equals(before, plan.shares())) {
            // Nothing that other electors, or other times, have said holds for these.
            portion = portion();
        }
    }

    /** Keepers that can't follow the ones that hold are refused, and all else of the file is taken over. */
    private void retuneLeases(LeaseOptions next) {
        if (next == null || leases == null) {
            if (leases != null) {
                leases.leave(now(), "the file has no leases any more");
            }
            leases = leases(next);
            plan = plan.leasing(next);
            return;
        }
        String why = leases.reconfigure(now(), next);
        if (why == null) {
            plan = plan.leasing(next);
        } else {
            opening.log().accept("[keepers] stay as they were: " + why);
        }
    }

    @Override
    public String lease(String lease) {
        if (leases == null) {
            return "NO leases are off";
        }
        Leases.Status status = leases.status(now()).get(lease);
        if (status == null) {
            return "NO lease '" + lease + "' is not in the file";
        }
        Leases.Permission permission = leases.delegate(now(), lease, PROMISE_MICROS);
        if (permission.mayAct()) {
            return "YES " + permission.token() + ' ' + permission.remainingMicros() / 1_000;
        }
        return status.holder().isEmpty()
                ? "NO holder is known"
                : "NO held by " + status.holder() + " for " + status.remainingMicros() / 1_000 + " ms at most";
    }

    @Override
    public String leases() {
        if (leases == null) {
            return "NO leases are off";
        }
        StringWriter text = new StringWriter(256);
        try (JsonGenerator out = JSON.createGenerator(text)) {
            out.writeStartObject();
            out.writeObjectFieldStart("leases");
            for (Map.Entry<String, Leases.Status> l : leases.status(now()).entrySet()) {
                out.writeObjectFieldStart(l.getKey());
                out.writeStringField("holder", l.getValue().holder());
                out.writeBooleanField("held", l.getValue().isHeldHere());
                out.writeNumberField("token", l.getValue().token());
                out.writeNumberField("left_ms", l.getValue().remainingMicros() / 1_000);
                out.writeEndObject();
            }
            out.writeEndObject();
            out.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException("a string can't fail", e);
        }
        return text + "\nEND";
    }

    @Override
    public void leave() {
        if (!leaving) {
            leaving = true;
            if (leases != null) {
                leases.leave(now(), "the process ends");
            }
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
            out.writeNumberField("live", membership.liveCount());
            if (portion != null) {
                out.writeObjectFieldStart("share");
                out.writeBooleanField("claims", portion.claims(now()));
                out.writeNumberField("part", portion.part(now()));
                out.writeNumberField("count", portion.count(now()));
                out.writeEndObject();
            }
            out.writeObjectFieldStart("members");
            Map<String, MembershipProtocol.MemberView> members = membership.members();
            for (Map.Entry<String, MembershipProtocol.MemberView> m : members.entrySet()) {
                out.writeStringField(m.getKey(), m.getValue().state());
            }
            out.writeEndObject();
            out.writeObjectFieldStart("details");
            for (Map.Entry<String, MembershipProtocol.MemberView> m : members.entrySet()) {
                Peer peer = m.getValue().record().peer();
                out.writeObjectFieldStart(m.getKey());
                out.writeStringField("address", Addresses.text(peer.address()));
                out.writeNumberField("incarnation", peer.incarnation());
                for (Map.Entry<String, String> fact :
                        m.getValue().record().facts().entrySet()) {
                    out.writeStringField(fact.getKey(), fact.getValue());
                }
                out.writeEndObject();
            }
            out.writeEndObject();
            out.writeNumberField("datagrams_sent", sent);
            out.writeNumberField("bytes_sent", bytesSent);
            out.writeNumberField("datagrams_received", received);
            out.writeObjectFieldStart("dropped");
            for (Map.Entry<MembershipMessageCodec.Fault, Long> d : dropped.entrySet()) {
                out.writeNumberField(d.getKey().name().toLowerCase(Locale.ROOT), d.getValue());
            }
            out.writeNumberField("over_allowance", membership.droppedMessages());
            out.writeEndObject();
            out.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException("a string can't fail", e);
        }
        return text.toString();
    }
}
