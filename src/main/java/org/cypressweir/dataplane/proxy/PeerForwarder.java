package org.cypressweir.dataplane.proxy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongSupplier;
import org.cypressweir.common.transport.JsonCodec;
import org.cypressweir.common.transport.PeerConnection;
import org.cypressweir.common.util.Json;
import org.cypressweir.dataplane.http.upstream.RejectionReason;
import org.cypressweir.dataplane.http.upstream.RequestDispatcher;
import org.cypressweir.dataplane.http.upstream.RequestHandle;
import org.cypressweir.dataplane.http.upstream.RequestOutcome;
import org.cypressweir.dataplane.http.upstream.UpstreamLoad;
import org.cypressweir.dataplane.http.upstream.UpstreamRequest;

/**
 * The hop, as the first pilot sees it: attempts go to the pilot beside the server, or straight to the quay
 * where that is this one. What was never whole in the system's hands has not run; what was, and whose line
 * is lost, may have.
 *
 * <p>Numbers begin at this process's life and only grow, over all lines: one names the life and the request,
 * and each line's begin behind its hello's. The line on which a parcel comes is proven by the connection.
 */
final class PeerForwarder implements AttemptTransport {

    /** Bytes that may wait on one line. */
    private static final long MOST_WAITING = 4 * 1024 * 1024;

    private static final long SILENCE = 700_000;
    private static final long PING = 250_000;

    private static final class Out {
        private final long number;
        private final PeerConnection line;
        private final boolean repeatable;
        private final long sentAt;
        private final Consumer<AttemptResult> end;

        private Out(long number, PeerConnection line, boolean repeatable, long sentAt, Consumer<AttemptResult> end) {
            this.number = number;
            this.line = line;
            this.repeatable = repeatable;
            this.sentAt = sentAt;
            this.end = end;
        }
    }

    private final LongSupplier micros;
    private final String own;
    private final RequestDispatcher quay;
    private final Function<String, PeerConnection> lines;
    private final StaleMessageFilter old;
    private final Map<Long, Out> out = new HashMap<>();
    private final long life;
    private long numbers;
    private long pingedAt;
    private boolean leaving;

    /**
     * @param life when this process began, in microseconds: later than any number of an earlier one
     * @param lines the line to an address that is to be used now; null for none
     */
    PeerForwarder(
            LongSupplier micros,
            String own,
            long life,
            RequestDispatcher quay,
            Function<String, PeerConnection> lines) {
        this.micros = micros;
        this.own = own;
        this.quay = quay;
        this.lines = lines;
        this.life = life;
        numbers = life;
        old = new StaleMessageFilter(micros);
    }

    /** What is said first on a line: who begins it, and from which number on its requests count. */
    Map<String, Object> hello(String name) {
        return JsonCodec.map("t", "hello", "kind", "pilot", "name", name, "life", life, "from", ++numbers);
    }

    /** How many parcels were known as old. */
    long oldParcels() {
        return old.count();
    }

    @Override
    public Ride send(Endpoint target, UpstreamRequest freight, Consumer<AttemptResult> end) {
        if (target.address().equals(own)) {
            RequestHandle ticket = quay.take(freight, outcome -> end.accept(new AttemptResult(outcome, quay.load())));
            return () -> quay.cancel(ticket);
        }
        PeerConnection line = lines.apply(target.address());
        if (line == null || line.pendingWriteBytes() > MOST_WAITING) {
            end.accept(new AttemptResult(
                    new RequestOutcome.NotRun(line == null ? RejectionReason.NO_CONNECTION : RejectionReason.FULL, 0),
                    null));
            return () -> {};
        }
        if (line.attachment() instanceof Long its && its != target.life()) {
            // The line leads to another life than the one that was chosen: nothing is sent.
            end.accept(new AttemptResult(new RequestOutcome.NotRun(RejectionReason.GONE, 0), null));
            return () -> {};
        }
        long now = micros.getAsLong();
        long number = ++numbers;
        out.put(number, new Out(number, line, freight.repeatable(), now, end));
        line.send(head(freight, number, target.life(), now), freight.body(), whole -> {
            if (!whole) {
                over(number, new AttemptResult(new RequestOutcome.NotRun(RejectionReason.NO_CONNECTION, 0), null));
            }
        });
        return () -> {
            if (out.containsKey(number)) {
                line.send(JsonCodec.map("t", "stop", "n", number));
            }
        };
    }

    private static Map<String, Object> head(UpstreamRequest f, long number, long life, long now) {
        return JsonCodec.map(
                "t",
                "go",
                "n",
                number,
                "life",
                life,
                "id",
                f.id(),
                "m",
                f.method(),
                "u",
                f.uri(),
                "h",
                flat(f.headers()),
                "rep",
                f.repeatable(),
                "rank",
                f.rank(),
                "inner",
                f.inner(),
                "aim",
                f.aimAtMicros() - now,
                "left",
                f.deadlineMicros() - now,
                "to",
                f.instanceId());
    }

    static List<String> flat(List<Map.Entry<String, String>> headers) {
        List<String> flat = new ArrayList<>(2 * headers.size());
        for (Map.Entry<String, String> header : headers) {
            flat.add(header.getKey());
            flat.add(header.getValue());
        }
        return flat;
    }

    static List<Map.Entry<String, String>> headers(Map<String, Object> head) {
        List<?> flat = Json.array(head, "h");
        List<Map.Entry<String, String>> headers = new ArrayList<>(flat.size() / 2);
        for (int i = 0; i + 1 < flat.size(); i += 2) {
            headers.add(Map.entry(String.valueOf(flat.get(i)), String.valueOf(flat.get(i + 1))));
        }
        return headers;
    }

    /** The process at the other end of a line has told its life; a line with two can't be believed. */
    void greeted(PeerConnection line, long its) {
        if (line.attachment() == null) {
            line.attach(its);
        } else if (!line.attachment().equals(its)) {
            old.dropped("berth", its, "is of another life");
            line.close();
        }
    }

    /** What the other pilot says that became of an attempt: on the line on which that went, or not at all. */
    void heard(PeerConnection line, Map<String, Object> head, byte[] body) {
        long number = Json.longValue(head, "n", -1);
        Out one = out.get(number);
        if (one == null || one.line != line) {
            // What was over by silence or a lost line may still be told of.
            old.dropped(
                    "end",
                    number,
                    one != null ? "came on another line" : number <= life ? "is of another life" : "is over");
            return;
        }
        if (head.containsKey("life")
                && !Long.valueOf(Json.longValue(head, "life", -1)).equals(line.attachment())) {
            old.dropped("end", number, "was told by another life");
            return;
        }
        List<?> load = Json.array(head, "load");
        UpstreamLoad its =
                load.size() == 3 ? new UpstreamLoad(whole(load.get(0)), whole(load.get(1)), whole(load.get(2))) : null;
        RequestOutcome outcome =
                switch (JsonCodec.text(head, "o")) {
                    case "answered" -> new RequestOutcome.Answered(
                            (int) Json.longValue(head, "s", 502), headers(head), body);
                    case "notrun" -> new RequestOutcome.NotRun(
                            reason(JsonCodec.text(head, "why")), Json.longValue(head, "after", 0));
                    default -> new RequestOutcome.MayHaveRun(JsonCodec.text(head, "why"));
                };
        over(number, new AttemptResult(outcome, its));
    }

    private static int whole(Object number) {
        return number instanceof Number n ? n.intValue() : 0;
    }

    private static RejectionReason reason(String text) {
        for (RejectionReason reason : RejectionReason.values()) {
            if (reason.name().equals(text)) {
                return reason;
            }
        }
        return RejectionReason.REFUSED;
    }

    private void over(long number, AttemptResult reply) {
        Out one = out.remove(number);
        if (one != null) {
            one.end.accept(reply);
        }
    }

    /** A line is gone: its attempts may have run. */
    void lost(PeerConnection line) {
        for (Out one : List.copyOf(out.values())) {
            if (one.line == line) {
                over(one.number, new AttemptResult(new RequestOutcome.MayHaveRun("the line was lost"), null));
            }
        }
    }

    /** From now on what was sent is waited for: a silence is no reason to break off what may be at work. */
    void leave() {
        leaving = true;
    }

    /**
     * To be called some times a second: lines on which answers are awaited and nothing is heard are asked for
     * a sign. What may be repeated does not wait for one for long.
     */
    void tick() {
        long now = micros.getAsLong();
        boolean ping = now - pingedAt > PING;
        List<PeerConnection> asked = new ArrayList<>();
        for (Out one : List.copyOf(out.values())) {
            long silence = now - Math.max(one.line.lastReceivedMicros(), one.sentAt);
            if (silence > SILENCE && one.repeatable && !leaving) {
                over(one.number, new AttemptResult(new RequestOutcome.MayHaveRun("nothing is heard"), null));
            } else if (ping
                    && now - one.line.lastReceivedMicros() > PING
                    && now - one.sentAt > PING
                    && !asked.contains(one.line)) {
                asked.add(one.line);
                one.line.ping();
            }
        }
        if (!asked.isEmpty()) {
            pingedAt = now;
        }
    }

    /** Whether a line has answers to give and says nothing. */
    boolean isSilent(String address) {
        PeerConnection line = lines.apply(address);
        if (line == null) {
            return true;
        }
        long now = micros.getAsLong();
        for (Out one : out.values()) {
            if (one.line == line && now - Math.max(one.line.lastReceivedMicros(), one.sentAt) > SILENCE) {
                return true;
            }
        }
        return false;
    }

    int size() {
        return out.size();
    }
}
