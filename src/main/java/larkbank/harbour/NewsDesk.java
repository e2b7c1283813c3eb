package larkbank.harbour;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import larkbank.Json;
import larkbank.berth.Berth;
import larkbank.berth.Register;
import larkbank.chart.Editions;
import larkbank.chart.RosterLog;
import larkbank.copies.Stamp;
import larkbank.lading.Line;
import larkbank.lading.Scribe;
import larkbank.manifest.Item;
import larkbank.manifest.Manifest;
import larkbank.tally.Demands;
import org.jboss.logging.Logger;

/** Hears pilots and tells them the news: who is there, which configuration holds, what tenants ask in all. */
final class NewsDesk {

    private static final Logger LOG = Logger.getLogger("berth");
    private static final long GRACE = 300_000;
    private static final long SILENT = 2_000_000;
    private static final int PIECE = 200;

    /** What is kept of each pilot's line. */
    private static final class Seat {
        private final String name;
        /** Place in the log up to which it has been told; below 0: nothing yet. */
        private long place = -1;

        private Seat(String name) {
            this.name = name;
        }
    }

    private final LongSupplier micros;
    private final long life;
    private final String control;
    private final Register register = new Register(GRACE);
    private final RosterLog log = new RosterLog();
    private final Editions editions = new Editions();
    private final Demands demands = new Demands();
    private final Map<Line, Seat> seats = new LinkedHashMap<>();
    private List<String> crew = List.of();

    /** @param control where this harbour is asked by operators */
    NewsDesk(LongSupplier micros, long life, String control) {
        this.control = control;
        this.micros = micros;
        this.life = life;
    }

    Register register() {
        return register;
    }

    Editions editions() {
        return editions;
    }

    /** What tenants ask in all, a second. */
    Map<String, Double> asked() {
        return demands.sums(micros.getAsLong());
    }

    /** How long nothing has come from a pilot; below 0 where it has no line here. */
    long silence(String name) {
        long silence = -1;
        for (Map.Entry<Line, Seat> one : seats.entrySet()) {
            long its = micros.getAsLong() - one.getKey().heardAt();
            if (one.getValue().name.equals(name) && (silence < 0 || its < silence)) {
                silence = its;
            }
        }
        return silence;
    }

    /** A pilot is on this line. */
    void welcome(Line line, String name) {
        seats.put(line, new Seat(name));
        line.owner(name);
        line.send(Scribe.map("t", "welcome", "life", life, "crew", crew,
                "control", control, "stamp", editions.stamp().toString()));
    }

    void heard(Line line, Map<String, Object> head) {
        long now = micros.getAsLong();
        Seat seat = seats.get(line);
        if (seat == null) {
            return;
        }
        register.heard(line);
        switch (Scribe.text(head, "t")) {
            case "berth" -> {
                Berth berth = Berth.of(Json.object(head, "berth"), now);
                if (berth != null && register.told(line, berth)) {
                    log.changed(berth.name());
                    tellAll();
                }
            }
            case "follow" -> {
                seat.place = Json.whole(head, "life", 0) == life ? Json.whole(head, "place", -1) : -1;
                tell(line, seat);
            }
            case "want" -> tellEdition(line, head);
            case "tally" -> demands.told(now, seat.name, Json.object(head, "asked"));
            default -> { }
        }
    }

    void lost(Line line) {
        Seat seat = seats.remove(line);
        if (seat != null) {
            register.lost(micros.getAsLong(), line);
            demands.ended(micros.getAsLong(), seat.name);
        }
    }

    /** A state of the configuration that may be shown. */
    void show(Stamp stamp, Manifest manifest, List<String> members) {
        editions.show(stamp, manifest);
        crew = members;
        for (Line line : List.copyOf(seats.keySet())) {
            line.send(Scribe.map("t", "stamp", "stamp", editions.stamp().toString(), "crew", crew));
        }
    }

    /** To be called some times a second. */
    void tick() {
        long now = micros.getAsLong();
        for (Line line : seats.keySet()) {
            if (now - line.heardAt() > SILENT) {
                register.lost(now, line);
            }
        }
        List<String> gone = register.sweep(now);
        for (String name : gone) {
            LOG.info("Pilot " + name + " is gone.");
            log.changed(name);
        }
        if (!gone.isEmpty()) {
            tellAll();
        }
    }

    /** To be called a few times a second: what tenants ask in all, where anything is asked. */
    void tellTallies() {
        Map<String, Double> sums = demands.sums(micros.getAsLong());
        if (sums.isEmpty()) {
            return;
        }
        Map<String, Object> told = Scribe.map("t", "tallies", "asked", sums);
        seats.keySet().forEach(line -> line.send(told));
    }

    private void tellAll() {
        seats.forEach(this::tell);
    }

    private void tell(Line line, Seat seat) {
        long now = micros.getAsLong();
        Set<String> names = seat.place < 0 ? null : log.since(seat.place);
        boolean whole = names == null;
        if (!whole && names.isEmpty()) {
            return;
        }
        Collection<Berth> all = register.all();
        Set<String> told = whole ? new LinkedHashSet<>(all.stream().map(Berth::name).toList()) : names;
        List<Object> berths = new ArrayList<>();
        List<Object> gone = new ArrayList<>();
        for (String name : told) {
            Berth berth = register.get(name);
            if (berth == null) {
                gone.add(name);
            } else {
                berths.add(berth.toMap(now));
            }
        }
        seat.place = log.end();
        line.send(Scribe.map("t", "roster", "life", life, "place", seat.place, "whole", whole,
                "berths", berths, "gone", gone));
    }

    private void tellEdition(Line line, Map<String, Object> head) {
        Stamp has = Stamp.of(Scribe.text(head, "have"));
        if (has == null || editions.stamp().compareTo(has) <= 0) {
            return;
        }
        Collection<Item> changed = editions.since(has);
        boolean whole = changed == null;
        List<Item> items = List.copyOf(whole ? editions.manifest().items() : changed);
        int pieces = Math.max(1, (items.size() + PIECE - 1) / PIECE);
        for (int i = 0; i < pieces; i++) {
            List<Object> part = new ArrayList<>();
            items.subList(i * PIECE, Math.min(items.size(), (i + 1) * PIECE))
                    .forEach(item -> part.add(item.toMap()));
            Map<String, Object> told = new HashMap<>();
            told.put("t", "items");
            told.put("stamp", editions.stamp().toString());
            told.put("from", whole ? "" : has.toString());
            told.put("piece", i);
            told.put("pieces", pieces);
            told.put("items", part);
            line.send(told);
        }
    }
}
