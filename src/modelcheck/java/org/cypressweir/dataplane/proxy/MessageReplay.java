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
 * Random histories of forwarding in simulated time, in which any message sent earlier may be replayed. Requests are
 * replayed on any connection between the same two processes, in this incarnation or a later one, and all requests of a
 * connection on a new one; responses are replayed on any connection. Connections are duplicated, and break at one end
 * first; processes of both kinds restart. Each request is sent once, so it may run at most once, and only the first
 * delivery of a message on its own connection may complete it.
 */
public final class MessageReplay {

    private static final String SEAL = "Cypressweir-Server-Seal";
    private static final int PROCESSES = 2;
    private static final long TIMEOUT_MICROS = 2_000_000;

    /** A message as it was sent, and the connection on which it was sent. */
    private record Message(Link link, boolean isRequest, byte[] bytes) {}

    private record Task(long at, long number, Runnable work) {}

    private static final class TrackedRequest {
        private final String id;
        private final Link link;
        private int runs;
        private RequestOutcome outcome;
        /** Whether the call that sends it has returned: an outcome during that call comes from no message. */
        private boolean sent;

        private TrackedRequest(String id, Link link) {
            this.id = id;
            this.link = link;
        }
    }

    /** A proxy that forwards requests; the incarnation that it knows of each receiver may be outdated. */
    private final class Sender {
        private final String name;
        private PeerForwarder forwarder;
        private final Map<String, Link> newest = new HashMap<>();
        private final long[] knownIncarnations = new long[PROCESSES];

        private Sender(String name) {
            this.name = name;
        }

        private void start() {
            links.stream().filter(l -> l.sender == this).forEach(l -> l.senderEnd.close());
            newest.clear();
            forwarder = new PeerForwarder(
                    () -> now,
                    "own",
                    ++lastIncarnation * 1_000,
                    null,
                    to -> newest.containsKey(to)
                                    && newest.get(to).senderConnection.isOpen()
                            ? newest.get(to).senderConnection
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
            links.stream().filter(l -> l.receiver == this).forEach(l -> l.receiverEnd.close());
            incarnation = ++lastIncarnation;
            SimulatedUpstream upstream =
                    new SimulatedUpstream(() -> now, MessageReplay.this::schedule, 4, new SimulatedUpstream.Server() {
                        @Override
                        public boolean accepts() {
                            return random.nextInt(20) > 0;
                        }

                        @Override
                        public void onRequest(SimulatedUpstream.Execution execution) {
                            serve(execution);
                        }
                    });
            long ownIncarnation = incarnation;
            requestReceiver = new PeerRequestReceiver(
                    () -> now,
                    upstream,
                    () -> new ProxyRegistration(address, ownIncarnation, 1, address, "", "z", "s", false, null));
        }
    }

    /** A simulated connection: both ends, and the messages in transit. */
    private final class Link {
        private final Sender sender;
        private final Receiver receiver;
        private final EmbeddedChannel senderEnd = new EmbeddedChannel();
        private final EmbeddedChannel receiverEnd = new EmbeddedChannel();
        private final Deque<Message> requests = new ArrayDeque<>();
        private final Deque<Message> responses = new ArrayDeque<>();
        private final PeerConnection senderConnection;

        /** @param isReplay whether no sender is at its sender's end */
        private Link(Sender sender, Receiver receiver, boolean isReplay) {
            this.sender = sender;
            this.receiver = receiver;
            PeerForwarder forwarder = sender.forwarder;
            PeerRequestReceiver requestReceiver = receiver.requestReceiver;
            links.add(this);
            SimulatedPeerConnection.on(receiverEnd, () -> now, requestReceiver);
            senderConnection = isReplay
                    ? null
                    : SimulatedPeerConnection.on(senderEnd, () -> now, new PeerConnection.Listener() {
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
                senderConnection.send(forwarder.hello(sender.name));
                sender.newest.put(receiver.address, this);
            }
            collectSent();
        }

        /** Moves what both ends have sent into transit. */
        private void collectSent() {
            for (ByteBuf bytes; (bytes = senderEnd.readOutbound()) != null; bytes.release()) {
                requests.add(new Message(this, true, ByteBufUtil.getBytes(bytes)));
                sent.add(requests.getLast());
            }
            for (ByteBuf bytes; (bytes = receiverEnd.readOutbound()) != null; bytes.release()) {
                responses.add(new Message(this, false, ByteBufUtil.getBytes(bytes)));
                sent.add(responses.getLast());
            }
        }

        /**
         * Whether the message may be replayed on this connection. A request must have been delivered before,
         * between the same two processes. A response may be replayed on any connection, on its own only after its
         * delivery.
         */
        private boolean acceptsReplay(Message message) {
            boolean wasDelivered = delivered.contains(message);
            return message.isRequest
                    ? wasDelivered && sender == message.link.sender && receiver == message.link.receiver
                    : wasDelivered || this != message.link;
        }

        private void deliver(Message message, boolean isFirst) {
            EmbeddedChannel to = message.isRequest ? receiverEnd : senderEnd;
            if (to.isActive() && (message.isRequest || senderConnection != null)) {
                if (isFirst) {
                    delivered.add(message);
                }
                deliveringLink = isFirst ? this : null;
                to.writeInbound(Unpooled.wrappedBuffer(message.bytes));
                deliveringLink = null;
            }
            collectSent();
        }
    }

    private final SplittableRandom random;
    private final List<Sender> senders = new ArrayList<>();
    private final List<Receiver> receivers = new ArrayList<>();
    private final List<Link> links = new ArrayList<>();
    private final List<Message> sent = new ArrayList<>();
    /** The messages that have been delivered on their own connections. */
    private final Set<Message> delivered = new HashSet<>();

    private final Map<String, TrackedRequest> trackedById = new HashMap<>();
    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>((a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.number, b.number));
    private long now = 1_000_000_000;
    private long lastIncarnation = 1_000;
    private long lastNumber;
    /** The connection on which a message is delivered for the first time; null at all other times. */
    private Link deliveringLink;

    private String violation;
    private int responseCount;

    private MessageReplay(long seed) {
        random = new SplittableRandom(seed);
        for (int i = 0; i < PROCESSES; i++) {
            receivers.add(new Receiver("a" + i));
            receivers.get(i).start();
            senders.add(new Sender("s" + i));
            senders.get(i).start();
        }
    }

    private void recordViolation(String rule, String what) {
        violation = violation == null ? rule + ": " + what : violation;
    }

    private void schedule(long micros, Runnable work) {
        tasks.add(new Task(now + micros, ++lastNumber, work));
    }

    private void serve(SimulatedUpstream.Execution execution) {
        String name = "Cypressweir-Attempt-Id: ";
        int at = execution.head.indexOf(name) + name.length();
        TrackedRequest tracked = trackedById.get(execution.head.substring(at, execution.head.indexOf("\r\n", at)));
        if (++tracked.runs > 1) {
            recordViolation("TWICE", tracked.id);
        }
        if (tracked.outcome instanceof RequestOutcome.NotRun) {
            recordViolation("REFUSED", tracked.id + " runs after it was rejected");
        }
        if (random.nextInt(20) > 0) {
            schedule(
                    random.nextInt(40_000),
                    () -> execution.respond(200, tracked.id, "ran " + tracked.id, Map.of(SEAL, "s")));
        }
    }

    private void send() {
        Sender sender = senders.get(random.nextInt(PROCESSES));
        int to = random.nextInt(PROCESSES);
        Receiver receiver = receivers.get(to);
        if (sender.knownIncarnations[to] == 0 || random.nextInt(4) == 0) {
            sender.knownIncarnations[to] = receiver.incarnation;
        }
        TrackedRequest tracked = new TrackedRequest("c" + ++lastNumber, sender.newest.get(receiver.address));
        trackedById.put(tracked.id, tracked);
        UpstreamRequest request = new UpstreamRequest(
                tracked.id,
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
                result -> complete(tracked, result.outcome()));
        tracked.sent = true;
        if (random.nextInt(10) == 0) {
            schedule(random.nextInt(20_000), handle::cancel);
        }
    }

    private void complete(TrackedRequest tracked, RequestOutcome outcome) {
        if (tracked.outcome != null) {
            recordViolation("COMPLETED TWICE", tracked.id);
        }
        tracked.outcome = outcome;
        if (outcome instanceof RequestOutcome.Responded a) {
            responseCount++;
            String text = new String(a.body(), StandardCharsets.ISO_8859_1);
            if (!text.equals("ran " + tracked.id)) {
                recordViolation("MIXED", tracked.id + " got " + text);
            }
        }
        boolean isFromResponse = !(outcome instanceof RequestOutcome.MayHaveRun) && tracked.sent;
        if (isFromResponse && deliveringLink != tracked.link) {
            recordViolation("OLD", tracked.id + " completed with " + outcome + " by another message");
        }
        if (outcome instanceof RequestOutcome.NotRun && tracked.runs > 0) {
            recordViolation("REFUSED", tracked.id + " has run");
        }
    }

    private <T> T randomElement(List<T> list) {
        return list.get(random.nextInt(list.size()));
    }

    private void step() {
        int action = random.nextInt(100);
        if (action < 25) {
            send();
        } else if (action < 75) {
            for (int i = 0; i < 4 && !links.isEmpty(); i++) {
                Link link = randomElement(links);
                Deque<Message> queue = random.nextInt(2) == 0 ? link.requests : link.responses;
                if (!queue.isEmpty()) {
                    link.deliver(queue.poll(), true);
                }
            }
        } else if (action < 90 && !sent.isEmpty() && !links.isEmpty()) {
            // Half of the replays take one of the latest messages, which may be in flight or still in transit.
            Message message = sent.get(
                    sent.size() - 1 - random.nextInt(Math.min(sent.size(), random.nextBoolean() ? 20 : sent.size())));
            Link link = randomElement(links);
            if (link.acceptsReplay(message)) {
                link.deliver(message, false);
            }
        } else if (action < 92 && !links.isEmpty()) {
            replayAll(randomElement(links));
        } else if (action < 96) {
            new Link(randomElement(senders), randomElement(receivers), false);
        } else if (action < 98 && !links.isEmpty()) {
            Link link = randomElement(links);
            (random.nextBoolean() ? link.senderEnd : link.receiverEnd).close();
        } else if (random.nextInt(6) == 0) {
            randomElement(senders).start();
        } else if (random.nextInt(6) == 0) {
            randomElement(receivers).start();
        }
        links.removeIf(l -> !l.receiverEnd.isActive() && !l.senderEnd.isActive());
    }

    /** Replays all delivered requests of a connection on a new connection. */
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
            links.forEach(Link::collectSent);
        }
        now = until;
        senders.forEach(s -> s.forwarder.tick());
        links.forEach(Link::collectSent);
    }

    private String run(int steps) {
        for (int i = 0; i < steps && violation == null; i++) {
            step();
            advance(random.nextInt(4_000));
        }
        // Delivers all messages in transit; then each request on an open connection must have its outcome.
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
        links.stream().filter(l -> !l.receiverEnd.isActive()).forEach(l -> l.senderEnd.close());
        for (Sender sender : senders) {
            if (sender.forwarder.inFlightCount() > 0) {
                recordViolation("LOST", sender.forwarder.inFlightCount() + " requests are in flight for ever");
            }
        }
        if (responseCount < steps / 40) {
            recordViolation("LOST", responseCount + " requests got a response");
        }
        return violation;
    }

    /** Runs the given number of histories; returns the first violation, or null. */
    public static String firstViolation(int histories, int steps) {
        String violation = null;
        for (int seed = 1; seed <= histories && violation == null; seed++) {
            violation = new MessageReplay(seed).run(steps);
            violation = violation == null ? null : "history " + seed + ": " + violation;
        }
        return violation;
    }
}
