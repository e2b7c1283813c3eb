package larkbank.pilot;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import larkbank.Json;
import larkbank.berth.Berth;
import larkbank.gangway.Headers;
import larkbank.lading.Line;
import larkbank.lading.Scribe;
import larkbank.quay.Freight;
import larkbank.quay.Load;
import larkbank.quay.Outcome;
import larkbank.quay.Quay;
import larkbank.quay.Ticket;

/** The hop, as the pilot beside the server sees it: what comes is handed to the quay, and its end told. */
final class Landing implements Line.Ear {

    private static final byte[] NOTHING = {};

    private final LongSupplier micros;
    private final Quay quay;
    private final Supplier<Berth> berth;
    private final Set<Line> lines = new LinkedHashSet<>();
    private final Map<Line, Map<Long, Ticket>> open = new HashMap<>();

    /** @param berth what this pilot tells of itself */
    Landing(LongSupplier micros, Quay quay, Supplier<Berth> berth) {
        this.micros = micros;
        this.quay = quay;
        this.berth = berth;
    }

    /** Tells all who have a line here what has changed. */
    void tell() {
        lines.forEach(this::tell);
    }

    private void tell(Line line) {
        line.send(Scribe.map("t", "berth", "berth", berth.get().toMap(micros.getAsLong())));
    }

    @Override
    public void opened(Line line) { }

    @Override
    public void heard(Line line, Map<String, Object> head, byte[] body) {
        switch (Scribe.text(head, "t")) {
            case "hello" -> {
                lines.add(line);
                tell(line);
            }
            case "go" -> go(line, head, body);
            case "stop" -> {
                Ticket ticket = open.getOrDefault(line, Map.of()).get(Json.whole(head, "n", -1));
                if (ticket != null) {
                    quay.cancel(ticket);
                }
            }
            default -> { }
        }
    }

    private void go(Line line, Map<String, Object> head, byte[] body) {
        long now = micros.getAsLong();
        long number = Json.whole(head, "n", -1);
        Freight freight = new Freight(Scribe.text(head, "id"), Scribe.text(head, "m"),
                Scribe.text(head, "u"), Hops.headers(head), body, Json.flag(head, "rep"),
                (int) Json.whole(head, "rank", 9), Json.flag(head, "inner"),
                now + Json.whole(head, "aim", 0), now + Json.whole(head, "left", 0),
                Scribe.text(head, "to"));
        boolean[] over = {false};
        Ticket ticket = quay.take(freight, outcome -> {
            over[0] = true;
            open.getOrDefault(line, new HashMap<>()).remove(number);
            end(line, number, outcome);
        });
        if (!over[0]) {
            open.computeIfAbsent(line, l -> new HashMap<>()).put(number, ticket);
        }
    }

    private void end(Line line, long number, Outcome outcome) {
        if (!line.isOpen()) {
            return;
        }
        Load load = quay.load();
        List<Integer> its = List.of(load.running(), load.waiting(), load.slots());
        if (outcome instanceof Outcome.Answered a) {
            line.send(Scribe.map("t", "end", "n", number, "o", "answered", "s", a.status(),
                    "h", Hops.flat(Headers.endToEnd(a.headers())), "load", its), a.body(), null);
        } else if (outcome instanceof Outcome.NotRun n) {
            line.send(Scribe.map("t", "end", "n", number, "o", "notrun", "why", n.reason().name(),
                    "after", n.retryAfterMicros(), "load", its), NOTHING, null);
        } else if (outcome instanceof Outcome.MayHaveRun m) {
            line.send(Scribe.map("t", "end", "n", number, "o", "may", "why", m.why(), "load", its), NOTHING,
                    null);
        }
    }

    /** Who sent them waits no more; what can't be repeated goes on all the same. */
    @Override
    public void closed(Line line) {
        lines.remove(line);
        Map<Long, Ticket> its = open.remove(line);
        if (its != null) {
            List.copyOf(its.values()).forEach(quay::cancel);
        }
    }
}
