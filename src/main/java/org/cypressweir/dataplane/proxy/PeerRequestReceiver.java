package org.cypressweir.dataplane.proxy;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.cypressweir.common.transport.JsonCodec;
import org.cypressweir.common.transport.PeerConnection;
import org.cypressweir.common.util.Json;
import org.cypressweir.controlplane.registry.ProxyRegistration;
import org.cypressweir.dataplane.http.server.Headers;
import org.cypressweir.dataplane.http.upstream.RejectionReason;
import org.cypressweir.dataplane.http.upstream.RequestDispatcher;
import org.cypressweir.dataplane.http.upstream.RequestHandle;
import org.cypressweir.dataplane.http.upstream.RequestOutcome;
import org.cypressweir.dataplane.http.upstream.UpstreamLoad;
import org.cypressweir.dataplane.http.upstream.UpstreamRequest;

/**
 * The hop, as the pilot beside the server sees it: what comes is handed to the quay, and its end told, on the
 * line on which it came. Each line takes the numbers from its hello's on, each once, and none that the
 * sender's next line has begun with.
 */
final class PeerRequestReceiver implements PeerConnection.Listener {

    private static final byte[] NOTHING = {};
    /** Lives of a sender that are known. */
    private static final int MOST_LIVES = 8;

    private static final int MOST_SENDERS = 8_192;

    private final LongSupplier micros;
    private final RequestDispatcher quay;
    private final Supplier<ProxyRegistration> berth;
    private final StaleMessageFilter old;
    private final Map<PeerConnection, Caller> callers = new LinkedHashMap<>();
    private final Map<String, Lives> lives = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Lives> eldest) {
            return size() > MOST_SENDERS;
        }
    };

    /** What is known of a sender's lives, and where the last line of each began. */
    private static final class Lives {
        private final TreeMap<Long, Long> begun = new TreeMap<>();

        private boolean begins(Caller fresh) {
            Long before = begun.get(fresh.life);
            if (before != null && fresh.from <= before) {
                return false;
            }
            Long next = begun.higherKey(fresh.life);
            fresh.until = next == null ? Long.MAX_VALUE : next;
            begun.put(fresh.life, fresh.from);
            if (begun.size() > MOST_LIVES) {
                begun.pollFirstEntry();
            }
            return true;
        }
    }

    /** Who has begun a line, and what of theirs is in hand on it. */
    private static final class Caller {
        private final String name;
        private final long life;
        private final long from;
        /** The last that was taken. */
        private long last;
        /** Where the numbers of a later line or life begin. */
        private long until;

        private final Map<Long, RequestHandle> open = new HashMap<>();

        private Caller(String name, long life, long from) {
            this.name = name;
            this.life = life;
            this.from = from;
            last = from;
        }
    }

    /** @param berth what this pilot tells of itself */
    PeerRequestReceiver(LongSupplier micros, RequestDispatcher quay, Supplier<ProxyRegistration> berth) {
        this.micros = micros;
        this.quay = quay;
        this.berth = berth;
        old = new StaleMessageFilter(micros);
    }

    /** Tells all who have a line here what has changed. */
    void tell() {
        callers.keySet().forEach(this::tell);
    }

    private void tell(PeerConnection line) {
        line.send(JsonCodec.map("t", "berth", "berth", berth.get().toMap(micros.getAsLong())));
    }

    @Override
    public void opened(PeerConnection line) {}

    @Override
    public void received(PeerConnection line, Map<String, Object> head, byte[] body) {
        switch (JsonCodec.text(head, "t")) {
            case "hello" -> hello(line, head);
            case "go" -> go(line, callers.get(line), head, body);
            case "stop" -> {
                Caller caller = callers.get(line);
                RequestHandle ticket = caller == null ? null : caller.open.get(Json.longValue(head, "n", -1));
                if (ticket != null) {
                    quay.cancel(ticket);
                }
            }
            default -> {}
        }
    }

    /** A sender's newer line ends the numbers of its older ones; an older one that comes late is closed. */
    private void hello(PeerConnection line, Map<String, Object> head) {
        Caller fresh = new Caller(
                JsonCodec.text(head, "name"), Json.longValue(head, "life", 0), Json.longValue(head, "from", 0));
        Caller before = callers.get(line);
        if (before != null) {
            old.dropped("hello", fresh.from, "is a line's second");
            if (fresh.from != before.from) {
                // One of them is not the line's own.
                line.close();
            }
            return;
        }
        if (!lives.computeIfAbsent(fresh.name, n -> new Lives()).begins(fresh)) {
            old.dropped("hello", fresh.from, "is of an earlier line of " + fresh.name);
            line.close();
            return;
        }
        for (Caller other : callers.values()) {
            if (other.name.equals(fresh.name) && other.from < fresh.from) {
                other.until = Math.min(other.until, fresh.from);
            }
        }
        callers.put(line, fresh);
        tell(line);
    }

    private void go(PeerConnection line, Caller caller, Map<String, Object> head, byte[] body) {
        long now = micros.getAsLong();
        long number = Json.longValue(head, "n", -1);
        long own = berth.get().life();
        if (caller != null && Json.longValue(head, "life", -1) != own) {
            // It runs here on no line, however often it comes.
            line.send(JsonCodec.map(
                    "t", "end", "n", number, "life", own, "o", "notrun", "why", RejectionReason.GONE.name()));
            return;
        }
        if (caller == null || number <= caller.last || caller.until <= number) {
            // No answer: the one that this is a double of may still run.
            old.dropped(
                    "go",
                    number,
                    caller == null
                            ? "came before a hello"
                            : number <= caller.from
                                    ? "is of an earlier line"
                                    : number <= caller.last ? "came before" : "is of a later line");
            if (caller != null && number >= caller.until) {
                // Who still sends here must not wait for what is not taken.
                line.close();
            }
            return;
        }
        caller.last = number;
        UpstreamRequest freight = new UpstreamRequest(
                JsonCodec.text(head, "id"),
                JsonCodec.text(head, "m"),
                JsonCodec.text(head, "u"),
                PeerForwarder.headers(head),
                body,
                Json.flag(head, "rep"),
                (int) Json.longValue(head, "rank", 9),
                Json.flag(head, "inner"),
                now + Json.longValue(head, "aim", 0),
                now + Json.longValue(head, "left", 0),
                JsonCodec.text(head, "to"));
        boolean[] over = {false};
        RequestHandle ticket = quay.take(freight, outcome -> {
            over[0] = true;
            caller.open.remove(number);
            end(line, number, outcome);
        });
        if (!over[0]) {
            caller.open.put(number, ticket);
        }
    }

    private void end(PeerConnection line, long number, RequestOutcome outcome) {
        if (!line.isOpen()) {
            return;
        }
        UpstreamLoad load = quay.load();
        List<Integer> its = List.of(load.running(), load.waiting(), load.slots());
        if (outcome instanceof RequestOutcome.Answered a) {
            line.send(
                    JsonCodec.map(
                            "t",
                            "end",
                            "n",
                            number,
                            "o",
                            "answered",
                            "s",
                            a.status(),
                            "h",
                            PeerForwarder.flat(Headers.endToEnd(a.headers())),
                            "load",
                            its),
                    a.body(),
                    null);
        } else if (outcome instanceof RequestOutcome.NotRun n) {
            line.send(
                    JsonCodec.map(
                            "t",
                            "end",
                            "n",
                            number,
                            "o",
                            "notrun",
                            "why",
                            n.reason().name(),
                            "after",
                            n.retryAfterMicros(),
                            "load",
                            its),
                    NOTHING,
                    null);
        } else if (outcome instanceof RequestOutcome.MayHaveRun m) {
            line.send(JsonCodec.map("t", "end", "n", number, "o", "may", "why", m.why(), "load", its), NOTHING, null);
        }
    }

    /** Who sent them waits no more; what can't be repeated goes on all the same. */
    @Override
    public void closed(PeerConnection line) {
        Caller caller = callers.remove(line);
        if (caller != null) {
            List.copyOf(caller.open.values()).forEach(quay::cancel);
        }
    }
}
