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
import org.cypressweir.common.transport.PeerConnection;
import org.cypressweir.common.transport.SimulatedPeerConnection;
import org.cypressweir.controlplane.registry.ProxyRegistration;
import org.cypressweir.dataplane.http.upstream.RequestOutcome;
import org.cypressweir.dataplane.http.upstream.SimulatedUpstream;
import org.cypressweir.dataplane.http.upstream.UpstreamRequest;

/**
 * Random histories of forwarding in simulated time, in which every message that was ever sent may be replayed: on
 * any connection between the same two processes, in this incarnation or a later one, and whole connections as
 * new ones; responses on any connection. Connections are duplicated and break, at one end first; processes of
 * both kinds restart. Each request is sent once, so that it runs once at most, and only the first delivery of a
 * message on its own connection may complete it.
 */
public final class MessageReplay {

    private static final String SEAL = "Cypressweir-Server-Seal";
    private static final int PROCESSES = 2;
    private static final long TIMEOUT_MICROS = 2_000_000;

    /** A message as it was sent, and where. */
    private record Message(Link link, boolean isRequest, byte[] bytes) {}

    private record Task(long at, long number, Runnable work) {}

    private static final class Caller {
        private final String id;
        private final Link link;
        private int runs;
        private RequestOutcome outcome;
        /** Whether the call that sends it has returned: an outcome within that call was not received. */
        private boolean sent;

        private Caller(String id, Link link) {
            this.id = id;
            this.link = link;
        }
    }

    /** A proxy that forwards requests; it knows an incarnation of each of the others, current or old. */
    private final class Sender {
        private final String name;
        private PeerForwarder forwarder;
        private final Map<String, Link> newest = new HashMap<>();
        private final long[] knownIncarnations = new long[PROCESSES];

        private Sender(String name) {
            this.name = name;
        }

        private void start() {
            links.stream().filter(l -> l.sender == this).forEach(l -> l.near.close());
            newest.clear();
            forwarder = new PeerForwarder(
                    () -> now,
                    "own",
                    ++lastIncarnation * 1_000,
                    null,
                    to -> newest.containsKey(to)
                                    && newest.get(to).nearConnection.isOpen()
                            ? newest.get(to).nearConnection
                            : null);
        }
    }

    /** A proxy beside an application instance. */
    private final class Receiver {
        private final String address;
        private long incarnation;
        private PeerRequestReceiver requestReceiver;

        private Receiver(String address) {
            this.address = address;
        }

        private void start() {
            links.stream().filter(l -> l.receiver == this).forEach(l -> l.far.close());
            incarnation = ++lastIncarnation;
            SimulatedUpstream upstream =
                    new SimulatedUpstream(() -> now, MessageReplay.this::schedule, 4, new SimulatedUpstream.Server() {
                        @Override
                        public boolean accepts() {
                            return random.nextInt(20) > 0;
                        }

                        @Override
                        public void onRequest(SimulatedUpstream.Execution visit) {
                            serve(visit);
                        }
                    });
            long own = incarnation;
            requestReceiver = new PeerRequestReceiver(
                    () -> now,
                    upstream,
                    () -> new ProxyRegistration(address, own, 1, address, "", "z", "s", false, null));
        }
    }

    /** A connection: both ends, and the messages in transit. */
    private final class Link {
        private final Sender sender;
        private final Receiver receiver;
        private final EmbeddedChannel near = new EmbeddedChannel();
        private final EmbeddedChannel far = new EmbeddedChannel();
        private final Deque<Message> requests = new ArrayDeque<>();
        private final Deque<Message> responses = new ArrayDeque<>();
        private final PeerConnection nearConnection;

        /** @param isReplay whether nobody is at its near end */
        private Link(Sender sender, Receiver receiver, boolean isReplay) {
            this.sender = sender;
            this.receiver = receiver;
            PeerForwarder forwarder = sender.forwarder;
            PeerRequestReceiver requestReceiver = receiver.requestReceiver;
            links.add(this);
            SimulatedPeerConnection.on(far, () -> now, requestReceiver);
            nearConnection = isReplay
                    ? null
                    : SimulatedPeerConnection.on(near, () -> now, new PeerConnection.Listener() {
                        @Override
                        public void opened(PeerConnection connection) {}

                        @Override
                        public void received(PeerConnection connection, Map<String, Object> head, byte[] body) {
                            PeerMessage message = PeerMessageCodec.decode(head, body, now);
                            if (message instanceof PeerMessage.ForwardedResponse response) {
                                forwarder.responseReceived(connection, response);
                            } else if (message instanceof PeerMessage.RegistrationUpdate update) {
                                forwarder.incarnationReceived(
                                        connection, update.registration().incarnation());
                            }
                        }

                        @Override
                        public void closed(PeerConnection connection) {
                            forwarder.connectionLost(connection);
                        }
                    });
            if (!isReplay) {
                nearConnection.send(forwarder.hello(sender.name));
                sender.newest.put(receiver.address, this);
            }
            flush();
        }

        /** Collects what both ends have sent. */
        private void flush() {
            for (ByteBuf bytes; (bytes = near.readOutbound()) != null; bytes.release()) {
                requests.add(new Message(this, true, ByteBufUtil.getBytes(bytes)));
                sent.add(requests.getLast());
            }
            for (ByteBuf bytes; (bytes = far.readOutbound()) != null; bytes.release()) {
                responses.add(new Message(this, false, ByteBufUtil.getBytes(bytes)));
                sent.add(responses.getLast());
            }
        }

        /**
         * A message between two other processes is replayed on no connection of these two, and none is replayed
         * before its delivery; but a response may be for another connection, on which it was not delivered yet.
         */
        private boolean acceptsReplay(Message message) {
            boolean wasDelivered = delivered.contains(message);
            return message.isRequest
                    ? wasDelivered && sender == message.link.sender && receiver == message.link.receiver
                    : wasDelivered || this != message.link;
        }

        private void deliver(Message message, boolean isFirst) {
            EmbeddedChannel to = message.isRequest ? far : near;
            if (to.isActive() && (message.isRequest || nearConnection != null)) {
                if (isFirst) {
                    delivered.add(message);
                }
                delivering = isFirst ? this : null;
                to.writeInbound(Unpooled.wrappedBuffer(message.bytes));
                delivering = null;
            }
            flush();
        }
    }

    private final SplittableRandom random;
    private final List<Sender> senders = new ArrayList<>();
    private final List<Receiver> receivers = new ArrayList<>();
    private final List<Link> links = new ArrayList<>();
    private final List<Message> sent = new ArrayList<>();
    /** What has been delivered on its own connection. */
    private final Set<Message> delivered = new HashSet<>();

    private final Map<String, Caller> callers = new HashMap<>();
    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>((a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.number, b.number));
    private long now = 1_000_000_000;
    private long lastIncarnation = 1_000;
    private long numbers;
    /** The connection on which a message is delivered for the first time; null at all other times. */
    private Link delivering;

    private String violation;
    private int answered;

    private MessageReplay(long seed) {
        random = new SplittableRandom(seed);
        for (int i = 0; i < PROCESSES; i++) {
            receivers.add(new Receiver("a" + i));
            receivers.get(i).start();
            senders.add(new Sender("s" + i));
            senders.get(i).start();
        }
    }

    private void violated(String rule, String what) {
        violation = violation == null ? rule + ": " + what : violation;
    }

    private void schedule(long micros, Runnable work) {
        tasks.add(new Task(now + micros, ++numbers, work));
    }

    private void serve(SimulatedUpstream.Execution visit) {
        String name = "Cypressweir-Attempt-Id: ";
        int at = visit.head.indexOf(name) + name.length();
        Caller caller = callers.get(visit.head.substring(at, visit.head.indexOf("\r\n", at)));
        if (++caller.runs > 1) {
            violated("TWICE", caller.id);
        }
        if (caller.outcome instanceof RequestOutcome.NotRun) {
            violated("REFUSED", caller.id + " runs after it was rejected");
        }
        if (random.nextInt(20) > 0) {
            schedule(
                    random.nextInt(40_000), () -> visit.respond(200, caller.id, "ran " + caller.id, Map.of(SEAL, "s")));
        }
    }

    private void send() {
        Sender sender = senders.get(random.nextInt(PROCESSES));
        int to = random.nextInt(PROCESSES);
        Receiver receiver = receivers.get(to);
        if (sender.knownIncarnations[to] == 0 || random.nextInt(4) == 0) {
            sender.knownIncarnations[to] = receiver.incarnation;
        }
        Caller caller = new Caller("c" + ++numbers, sender.newest.get(receiver.address));
        callers.put(caller.id, caller);
        UpstreamRequest request = new UpstreamRequest(
                caller.id,
                "POST",
                "/x",
                List.of(),
                new byte[0],
                random.nextInt(3) == 0,
                1,
                false,
                now + TIMEOUT_MICROS / 2,
                now + TIMEOUT_MICROS,
                null);
        AttemptTransport.Handle handle = sender.forwarder.send(
                new Endpoint(to, receiver.address, sender.knownIncarnations[to], receiver.address, "i", "z"),
                request,
                result -> complete(caller, result.outcome()));
        caller.sent = true;
        if (random.nextInt(10) == 0) {
            schedule(random.nextInt(20_000), handle::cancel);
        }
    }

    private void complete(Caller caller, RequestOutcome outcome) {
        if (caller.outcome != null) {
            violated("COMPLETED TWICE", caller.id);
        }
        caller.outcome = outcome;
        if (outcome instanceof RequestOutcome.Responded a) {
            answered++;
            String text = new String(a.body(), StandardCharsets.ISO_8859_1);
            if (!text.equals("ran " + caller.id)) {
                violated("MIXED", caller.id + " got " + text);
            }
        }
        boolean own = !(outcome instanceof RequestOutcome.MayHaveRun) && caller.sent;
        if (own && delivering != caller.link) {
            violated("OLD", caller.id + " completed with " + outcome + " by another message");
        }
        if (outcome instanceof RequestOutcome.NotRun && caller.runs > 0) {
            violated("REFUSED", caller.id + " has run");
        }
    }

    private <T> T any(List<T> list) {
        return list.get(random.nextInt(list.size()));
    }

    private void step() {
        int action = random.nextInt(100);
        if (action < 25) {
            send();
        } else if (action < 75) {
            for (int i = 0; i < 4 && !links.isEmpty(); i++) {
                Link link = any(links);
                Deque<Message> way = random.nextInt(2) == 0 ? link.requests : link.responses;
                if (!way.isEmpty()) {
                    link.deliver(way.poll(), true);
                }
            }
        } else if (action < 90 && !sent.isEmpty() && !links.isEmpty()) {
            // Recent ones as well: they may be in flight, or still in transit.
            Message message = sent.get(
                    sent.size() - 1 - random.nextInt(Math.min(sent.size(), random.nextBoolean() ? 20 : sent.size())));
            Link link = any(links);
            if (link.acceptsReplay(message)) {
                link.deliver(message, false);
            }
        } else if (action < 92 && !links.isEmpty()) {
            replayAll(any(links));
        } else if (action < 96) {
            new Link(any(senders), any(receivers), false);
        } else if (action < 98 && !links.isEmpty()) {
            Link link = any(links);
            (random.nextBoolean() ? link.near : link.far).close();
        } else if (random.nextInt(6) == 0) {
            any(senders).start();
        } else if (random.nextInt(6) == 0) {
            any(receivers).start();
        }
        links.removeIf(l -> !l.far.isActive() && !l.near.isActive());
    }

    /** Replays all that was ever sent on a connection as a connection of its own. */
    private void replayAll(Link link) {
        Link replay = new Link(link.sender, link.receiver, true);
        sent.stream()
                .filter(p -> p.link == link && p.isRequest && delivered.contains(p))
                .toList()
                .forEach(p -> replay.deliver(p, false));
    }

    private void advance(long micros) {
        long until = now + micros;
        while (!tasks.isEmpty() && tasks.peek().at <= until) {
            now = tasks.peek().at;
            tasks.poll().work.run();
            links.forEach(Link::flush);
        }
        now = until;
        senders.forEach(s -> s.forwarder.tick());
        links.forEach(Link::flush);
    }

    private String run(int steps) {
        for (int i = 0; i < steps && violation == null; i++) {
            step();
            advance(random.nextInt(4_000));
        }
        // All that is in transit is delivered; then each caller with an open connection has its outcome.
        for (int i = 0; i < 2 * TIMEOUT_MICROS / 10_000 && violation == null; i++) {
            for (Link link : List.copyOf(links)) {
                while (!link.requests.isEmpty()) {
                    link.deliver(link.requests.poll(), true);
                }
                while (!link.responses.isEmpty()) {
                    link.deliver(link.responses.poll(), true);
                }
            }
            advance(10_000);
        }
        links.stream().filter(l -> !l.far.isActive()).forEach(l -> l.near.close());
        for (Sender sender : senders) {
            if (sender.forwarder.inFlightCount() > 0) {
                violated("LOST", sender.forwarder.inFlightCount() + " are in flight for ever");
            }
        }
        if (answered < steps / 40) {
            violated("LOST", answered + " were answered");
        }
        return violation;
    }

    /** The first violation in so many histories; null for none. */
    public static String firstViolation(int histories, int steps) {
        String violation = null;
        for (int seed = 1; seed <= histories && violation == null; seed++) {
            violation = new MessageReplay(seed).run(steps);
            violation = violation == null ? null : "history " + seed + ": " + violation;
        }
        return violation;
    }
}
