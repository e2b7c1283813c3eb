package larkbank.pilot;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import larkbank.Json;
import larkbank.lading.Line;
import larkbank.lading.Moorings;
import larkbank.lading.Scribe;
import larkbank.quay.Freight;
import larkbank.quay.Load;
import larkbank.quay.Outcome;
import larkbank.quay.Quay;
import larkbank.quay.Reason;
import larkbank.quay.Ticket;

/**
 * The hop, as the first pilot sees it: attempts go to the pilot beside the server, or straight to the quay
 * where that is this one. What was never whole in the system's hands has not run; what was, and whose line
 * is lost, may have.
 */
final class Hops implements Carrier {

    /** Bytes that may wait on one line. */
    private static final long MOST_WAITING = 4 * 1024 * 1024;
    private static final long SILENCE = 700_000;
    private static final long PING = 250_000;

    private static final class Out {
        private final long number;
        private final Line line;
        private final boolean repeatable;
        private final long sentAt;
        private final Consumer<Reply> end;

        private Out(long number, Line line, boolean repeatable, long sentAt, Consumer<Reply> end) {
            this.number = number;
            this.line = line;
            this.repeatable = repeatable;
            this.sentAt = sentAt;
            this.end = end;
        }
    }

    private final LongSupplier micros;
    private final String own;
    private final Quay quay;
    private final Moorings moorings;
    private final Map<Long, Out> out = new HashMap<>();
    private long numbers;
    private long pingedAt;

    Hops(LongSupplier micros, String own, Quay quay, Moorings moorings) {
        this.micros = micros;
        this.own = own;
        this.quay = quay;
        this.moorings = moorings;
    }

    @Override
    public Ride send(Target target, Freight freight, Consumer<Reply> end) {
        if (target.address().equals(own)) {
            Ticket ticket = quay.take(freight, outcome -> end.accept(new Reply(outcome, quay.load())));
            return () -> quay.cancel(ticket);
        }
        Line line = moorings.line(target.address());
        if (line == null || line.waiting() > MOST_WAITING) {
            end.accept(new Reply(new Outcome.NotRun(line == null ? Reason.NO_CONNECTION : Reason.FULL, 0),
                    null));
            return () -> { };
        }
        long now = micros.getAsLong();
        long number = ++numbers;
        out.put(number, new Out(number, line, freight.repeatable(), now, end));
        line.send(head(freight, number, now), freight.body(), whole -> {
            if (!whole) {
                over(number, new Reply(new Outcome.NotRun(Reason.NO_CONNECTION, 0), null));
            }
        });
        return () -> {
            if (out.containsKey(number)) {
                line.send(Scribe.map("t", "stop", "n", number));
            }
        };
    }

    private static Map<String, Object> head(Freight f, long number, long now) {
        return Scribe.map("t", "go", "n", number, "id", f.id(), "m", f.method(), "u", f.uri(),
                "h", flat(f.headers()), "rep", f.repeatable(), "rank", f.rank(), "inner", f.inner(),
                "aim", f.aimAtMicros() - now, "left", f.deadlineMicros() - now, "to", f.instanceId());
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

    /** What the other pilot says that became of an attempt. */
    void heard(Map<String, Object> head, byte[] body) {
        List<?> load = Json.array(head, "load");
        Load its = load.size() == 3 ? new Load(whole(load.get(0)), whole(load.get(1)), whole(load.get(2)))
                : null;
        Outcome outcome = switch (Scribe.text(head, "o")) {
            case "answered" -> new Outcome.Answered((int) Json.whole(head, "s", 502), headers(head), body);
            case "notrun" -> new Outcome.NotRun(reason(Scribe.text(head, "why")), Json.whole(head, "after",
                    0));
            default -> new Outcome.MayHaveRun(Scribe.text(head, "why"));
        };
        over(Json.whole(head, "n", -1), new Reply(outcome, its));
    }

    private static int whole(Object number) {
        return number instanceof Number n ? n.intValue() : 0;
    }

    private static Reason reason(String text) {
        for (Reason reason : Reason.values()) {
            if (reason.name().equals(text)) {
                return reason;
            }
        }
        return Reason.REFUSED;
    }

    private void over(long number, Reply reply) {
        Out one = out.remove(number);
        if (one != null) {
            one.end.accept(reply);
        }
    }

    /** A line is gone: its attempts may have run. */
    void lost(Line line) {
        for (Out one : List.copyOf(out.values())) {
            if (one.line == line) {
                over(one.number, new Reply(new Outcome.MayHaveRun("the line was lost"), null));
            }
        }
    }

    /**
     * To be called some times a second: lines on which answers are awaited and nothing is heard are asked for
     * a sign. What may be repeated does not wait for one for long.
     */
    void tick() {
        long now = micros.getAsLong();
        boolean ping = now - pingedAt > PING;
        List<Line> asked = new ArrayList<>();
        for (Out one : List.copyOf(out.values())) {
            long silence = now - Math.max(one.line.heardAt(), one.sentAt);
            if (silence > SILENCE && one.repeatable) {
                over(one.number, new Reply(new Outcome.MayHaveRun("nothing is heard"), null));
            } else if (ping && now - one.line.heardAt() > PING && now - one.sentAt > PING
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
        Line line = moorings.line(address);
        if (line == null) {
            return true;
        }
        long now = micros.getAsLong();
        for (Out one : out.values()) {
            if (one.line == line && now - Math.max(one.line.heardAt(), one.sentAt) > SILENCE) {
                return true;
            }
        }
        return false;
    }

    int size() {
        return out.size();
    }
}
