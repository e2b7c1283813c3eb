package org.cypressweir.dataplane.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import org.cypressweir.common.transport.JsonCodec;
import org.cypressweir.common.transport.PeerConnection;
import org.cypressweir.common.transport.SimulatedPeerConnection;
import org.cypressweir.common.util.Json;
import org.cypressweir.controlplane.registry.ProxyRegistration;
import org.cypressweir.dataplane.http.upstream.RequestOutcome;
import org.cypressweir.dataplane.http.upstream.SimulatedUpstream;
import org.cypressweir.dataplane.http.upstream.UpstreamRequest;

/**
 * Drawn histories of the hop with made-up time, in which every parcel that was ever sent may come again: on
 * any line between the same two, in this life or a later one, and whole lines as new ones; answers on any.
 * Lines are doubled and break, at one end first; processes of both kinds begin anew. Each request is sent
 * once, so it runs once at most, and only the first coming of a parcel on its own line may tell its caller
 * anything.
 */
public final class MessageReplay {

    private static final String SEAL = "Cypressweir-Server-Seal";
    private static final int EACH = 2;
    private static final long LEFT = 2_000_000;

    /** A parcel as it was sent, and where. */
    private record Parcel(Link link, boolean out, byte[] bytes) {}

    private record Task(long at, long number, Runnable work) {}

    private static final class Caller {
        private final String id;
        private final Link link;
        private int runs;
        private RequestOutcome told;
        /** Whether the call that sends it has returned: what is told within it was not sent. */
        private boolean sent;

        private Caller(String id, Link link) {
            this.id = id;
            this.link = link;
        }
    }

    /** A first pilot; it knows of each of the others which life it has now, or had. */
    private final class Sender {
        private final String name;
        private PeerForwarder hops;
        private final Map<String, Link> newest = new HashMap<>();
        private final long[] lives = new long[EACH];

        private Sender(String name) {
            this.name = name;
        }

        private void begin() {
            links.stream().filter(l -> l.sender == this).forEach(l -> l.near.close());
            newest.clear();
            hops = new PeerForwarder(
                    () -> now,
                    "own",
                    ++life * 1_000,
                    null,
                    to -> newest.containsKey(to) && newest.get(to).nearLine.isOpen() ? newest.get(to).nearLine : null);
        }
    }

    /** A pilot beside a server. */
    private final class Receiver {
        private final String address;
        private long its;
        private PeerRequestReceiver landing;

        private Receiver(String address) {
            this.address = address;
        }

        private void begin() {
            links.stream().filter(l -> l.receiver == this).forEach(l -> l.far.close());
            its = ++life;
            SimulatedUpstream quay =
                    new SimulatedUpstream(() -> now, MessageReplay.this::later, 4, new SimulatedUpstream.Server() {
                        @Override
                        public boolean accepts() {
                            return random.nextInt(20) > 0;
                        }

                        @Override
                        public void visited(SimulatedUpstream.Visit visit) {
                            serve(visit);
                        }
                    });
            long own = its;
            landing = new PeerRequestReceiver(
                    () -> now, quay, () -> new ProxyRegistration(address, own, 1, address, "", "z", "s", false, null));
        }
    }

    /** A line: both ends, and what is on its way. */
    private final class Link {
        private final Sender sender;
        private final Receiver receiver;
        private final EmbeddedChannel near = new EmbeddedChannel();
        private final EmbeddedChannel far = new EmbeddedChannel();
        private final Deque<Parcel> out = new ArrayDeque<>();
        private final Deque<Parcel> back = new ArrayDeque<>();
        private final PeerConnection nearLine;

        /** @param replayed whether nobody is at its near end */
        private Link(Sender sender, Receiver receiver, boolean replayed) {
            this.sender = sender;
            this.receiver = receiver;
            PeerForwarder hops = sender.hops;
            PeerRequestReceiver landing = receiver.landing;
            links.add(this);
            SimulatedPeerConnection.on(far, () -> now, landing);
            nearLine = replayed
                    ? null
                    : SimulatedPeerConnection.on(near, () -> now, new PeerConnection.Listener() {
                        @Override
                        public void opened(PeerConnection line) {}

                        @Override
                        public void received(PeerConnection line, Map<String, Object> head, byte[] body) {
                            if (JsonCodec.text(head, "t").equals("end")) {
                                hops.heard(line, head, body);
                            } else {
                                hops.greeted(line, Json.longValue(JsonCodec.object(head, "berth"), "life", -1));
                            }
                        }

                        @Override
                        public void closed(PeerConnection line) {
                            hops.lost(line);
                        }
                    });
            if (!replayed) {
                nearLine.send(hops.hello(sender.name));
                sender.newest.put(receiver.address, this);
            }
            flush();
        }

        /** Takes up what both ends have sent. */
        private void flush() {
            for (ByteBuf bytes; (bytes = near.readOutbound()) != null; bytes.release()) {
                out.add(new Parcel(this, true, ByteBufUtil.getBytes(bytes)));
                sent.add(out.getLast());
            }
            for (ByteBuf bytes; (bytes = far.readOutbound()) != null; bytes.release()) {
                back.add(new Parcel(this, false, ByteBufUtil.getBytes(bytes)));
                sent.add(back.getLast());
            }
        }

        /**
         * What was sent between two other addresses comes on no connection of these, and nothing comes before
         * it was there a first time; but an answer may be meant for another line, on which nothing has come
         * yet.
         */
        private boolean takesAgain(Parcel parcel) {
            boolean came = read.contains(parcel);
            return parcel.out
                    ? came && sender == parcel.link.sender && receiver == parcel.link.receiver
                    : came || this != parcel.link;
        }

        private void comes(Parcel parcel, boolean first) {
            EmbeddedChannel to = parcel.out ? far : near;
            if (to.isActive() && (parcel.out || nearLine != null)) {
                if (first) {
                    read.add(parcel);
                }
                coming = first ? this : null;
                to.writeInbound(Unpooled.wrappedBuffer(parcel.bytes));
                coming = null;
            }
            flush();
        }
    }

    private final SplittableRandom random;
    private final List<Sender> senders = new ArrayList<>();
    private final List<Receiver> receivers = new ArrayList<>();
    private final List<Link> links = new ArrayList<>();
    private final List<Parcel> sent = new ArrayList<>();
    /** What has come on its own line. */
    private final Set<Parcel> read = new HashSet<>();

    private final Map<String, Caller> callers = new HashMap<>();
    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>((a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.number, b.number));
    private long now = 1_000_000_000;
    private long life = 1_000;
    private long numbers;
    /** The line on which a parcel comes for the first time; null at all other times. */
    private Link coming;

    private String breach;
    private int answered;

    private MessageReplay(long seed) {
        random = new SplittableRandom(seed);
        for (int i = 0; i < EACH; i++) {
            receivers.add(new Receiver("a" + i));
            receivers.get(i).begin();
            senders.add(new Sender("s" + i));
            senders.get(i).begin();
        }
    }

    private void broken(String rule, String what) {
        breach = breach == null ? rule + ": " + what : breach;
    }

    private void later(long micros, Runnable work) {
        tasks.add(new Task(now + micros, ++numbers, work));
    }

    private void serve(SimulatedUpstream.Visit visit) {
        String name = "Cypressweir-Attempt-Id: ";
        int at = visit.head.indexOf(name) + name.length();
        Caller caller = callers.get(visit.head.substring(at, visit.head.indexOf("\r\n", at)));
        if (++caller.runs > 1) {
            broken("TWICE", caller.id);
        }
        if (caller.told instanceof RequestOutcome.NotRun) {
            broken("REFUSED", caller.id + " runs and was told not to");
        }
        if (random.nextInt(20) > 0) {
            later(random.nextInt(40_000), () -> visit.answers(200, caller.id, "ran " + caller.id, Map.of(SEAL, "s")));
        }
    }

    private void send() {
        Sender sender = senders.get(random.nextInt(EACH));
        int to = random.nextInt(EACH);
        Receiver receiver = receivers.get(to);
        if (sender.lives[to] == 0 || random.nextInt(4) == 0) {
            sender.lives[to] = receiver.its;
        }
        Caller caller = new Caller("c" + ++numbers, sender.newest.get(receiver.address));
        callers.put(caller.id, caller);
        UpstreamRequest freight = new UpstreamRequest(
                caller.id,
                "POST",
                "/x",
                List.of(),
                new byte[0],
                random.nextInt(3) == 0,
                1,
                false,
                now + LEFT / 2,
                now + LEFT,
                null);
        AttemptTransport.Ride ride = sender.hops.send(
                new Endpoint(to, receiver.address, sender.lives[to], receiver.address, "i", "z"),
                freight,
                reply -> told(caller, reply.outcome()));
        caller.sent = true;
        if (random.nextInt(10) == 0) {
            later(random.nextInt(20_000), ride::cancel);
        }
    }

    private void told(Caller caller, RequestOutcome outcome) {
        if (caller.told != null) {
            broken("TOLD TWICE", caller.id);
        }
        caller.told = outcome;
        if (outcome instanceof RequestOutcome.Answered a) {
            answered++;
            String text = new String(a.body(), StandardCharsets.ISO_8859_1);
            if (!text.equals("ran " + caller.id)) {
                broken("MIXED", caller.id + " got " + text);
            }
        }
        boolean own = !(outcome instanceof RequestOutcome.MayHaveRun) && caller.sent;
        if (own && coming != caller.link) {
            broken("OLD", caller.id + " was told " + outcome + " by what is not its own");
        }
        if (outcome instanceof RequestOutcome.NotRun && caller.runs > 0) {
            broken("REFUSED", caller.id + " has run");
        }
    }

    private <T> T any(List<T> list) {
        return list.get(random.nextInt(list.size()));
    }

    private void step() {
        int fate = random.nextInt(100);
        if (fate < 25) {
            send();
        } else if (fate < 75) {
            for (int i = 0; i < 4 && !links.isEmpty(); i++) {
                Link link = any(links);
                Deque<Parcel> way = random.nextInt(2) == 0 ? link.out : link.back;
                if (!way.isEmpty()) {
                    link.comes(way.poll(), true);
                }
            }
        } else if (fate < 90 && !sent.isEmpty() && !links.isEmpty()) {
            // Lately sent ones as well: they may be in hand, or still on their way.
            Parcel parcel = sent.get(
                    sent.size() - 1 - random.nextInt(Math.min(sent.size(), random.nextBoolean() ? 20 : sent.size())));
            Link link = any(links);
            if (link.takesAgain(parcel)) {
                link.comes(parcel, false);
            }
        } else if (fate < 92 && !links.isEmpty()) {
            again(any(links));
        } else if (fate < 96) {
            new Link(any(senders), any(receivers), false);
        } else if (fate < 98 && !links.isEmpty()) {
            Link link = any(links);
            (random.nextBoolean() ? link.near : link.far).close();
        } else if (random.nextInt(6) == 0) {
            any(senders).begin();
        } else if (random.nextInt(6) == 0) {
            any(receivers).begin();
        }
        links.removeIf(l -> !l.far.isActive() && !l.near.isActive());
    }

    /** All that was ever sent on a line comes as a line of its own. */
    private void again(Link link) {
        Link replay = new Link(link.sender, link.receiver, true);
        sent.stream()
                .filter(p -> p.link == link && p.out && read.contains(p))
                .toList()
                .forEach(p -> replay.comes(p, false));
    }

    private void passes(long micros) {
        long until = now + micros;
        while (!tasks.isEmpty() && tasks.peek().at <= until) {
            now = tasks.peek().at;
            tasks.poll().work.run();
            links.forEach(Link::flush);
        }
        now = until;
        senders.forEach(s -> s.hops.tick());
        links.forEach(Link::flush);
    }

    private String run(int steps) {
        for (int i = 0; i < steps && breach == null; i++) {
            step();
            passes(random.nextInt(4_000));
        }
        // All that is still on its way comes; who has an open line is told of each.
        for (int i = 0; i < 2 * LEFT / 10_000 && breach == null; i++) {
            for (Link link : List.copyOf(links)) {
                while (!link.out.isEmpty()) {
                    link.comes(link.out.poll(), true);
                }
                while (!link.back.isEmpty()) {
                    link.comes(link.back.poll(), true);
                }
            }
            passes(10_000);
        }
        links.stream().filter(l -> !l.far.isActive()).forEach(l -> l.near.close());
        for (Sender sender : senders) {
            if (sender.hops.size() > 0) {
                broken("LOST", sender.hops.size() + " wait for ever");
            }
        }
        if (answered < steps / 40) {
            broken("LOST", answered + " were answered");
        }
        return breach;
    }

    /** The first rule that is broken in so many histories, null for none. */
    public static String broken(int histories, int steps) {
        String breach = null;
        for (int seed = 1; seed <= histories && breach == null; seed++) {
            breach = new MessageReplay(seed).run(steps);
            breach = breach == null ? null : "history " + seed + ": " + breach;
        }
        return breach;
    }
}
