package larkbank.harbour;

import java.util.ArrayList;
import java.util.Collection;
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
import larkbank.copies.Ballot;
import larkbank.copies.Member;
import larkbank.lading.Line;
import larkbank.lading.Scribe;
import larkbank.manifest.Manifest;
import larkbank.tally.Demands;
import org.jboss.logging.Logger;

/** Hears pilots and tells them the news: who is there, which configuration holds, what tenants ask in all. */
final class NewsDesk {

    private static final Logger LOG = Logger.getLogger("berth");
    private static final long GRACE = 300_000;
    private static final long SILENT = 2_000_000;
    /** Without a majority for so long, pilots are told. */
    private static final long OUT_OF_CONTACT = 2_000_000;
    /** In between only what has changed is told. */
    private static final int TELLINGS_A_WHOLE = 10;

    /** What is kept of each pilot's line. */
    private static final class Seat {
        private final String name;
        /** Place in the log up to which it has been told; below 0: nothing yet. */
        private long place = -1;
        /** Whether it is told what tenants ask in all. */
        private boolean sums;

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
    private final LongSupplier confirmedAge;
    private long tellings;
    private boolean inContact;

    /**
     * @param control where this harbour is asked by operators
     * @param confirmedAge how long ago what is shown was known to be the newest; below 0: never
     */
    NewsDesk(LongSupplier micros, long life, String control, LongSupplier confirmedAge) {
        this.confirmedAge = confirmedAge;
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
        line.send(Scribe.map(
                "t",
                "welcome",
                "life",
                life,
                "crew",
                crew,
                "control",
                control,
                "stamp",
                editions.stamp().toString(),
                "age",
                confirmedAge.getAsLong()));
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
            case "contact" -> line.send(contact(Json.whole(head, "asked", 0)));
            case "want" -> tellEdition(line, head);
            case "tally" -> demands.told(now, seat.name, Json.object(head, "asked"), Json.flag(head, "whole"));
            case "sums" -> {
                seat.sums = Json.flag(head, "on");
                if (seat.sums) {
                    line.send(Scribe.map("t", "tallies", "asked", demands.sums(now)));
                }
            }
            default -> {}
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
    void show(Ballot stamp, Manifest manifest, List<String> members) {
        editions.show(stamp, manifest);
        crew = members.stream().map(Member::address).toList();
        for (Line line : List.copyOf(seats.keySet())) {
            line.send(Scribe.map(
                    "t", "stamp", "stamp", editions.stamp().toString(), "crew", crew, "age", confirmedAge.getAsLong()));
        }
    }

    /** As of when what is shown was the newest. @param asked the time of the pilot that asked, or 0 */
    private Map<String, Object> contact(long asked) {
        return Scribe.map(
                "t", "contact", "asked", asked, "stamp", editions.stamp().toString(), "age", confirmedAge.getAsLong());
    }

    /** Contact with a majority is told when it is lost or regained, and to whoever asks. */
    private void tellContact() {
        long age = confirmedAge.getAsLong();
        boolean now = age >= 0 && age <= OUT_OF_CONTACT;
        if (now != inContact) {
            inContact = now;
            LOG.info(
                    now
                            ? "This harbour is in contact with most of the crew."
                            : "This harbour is out of contact with most of the crew.");
            byte[] told = Scribe.bytes(contact(0));
            seats.keySet().forEach(line -> line.sendText(told));
        }
    }

    /** To be called some times a second. */
    void tick() {
        tellContact();
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

    /** To be called a few times a second: what tenants ask in all, as far as that has changed. */
    void tellTallies() {
        boolean all = ++tellings % TELLINGS_A_WHOLE == 0;
        Map<String, Double> sums = demands.news(micros.getAsLong(), all);
        if (sums.isEmpty()) {
            return;
        }
        byte[] told = Scribe.bytes(Scribe.map("t", "tallies", "asked", sums));
        seats.forEach((line, seat) -> {
            if (seat.sums) {
                line.sendText(told);
            }
        });
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
        Set<String> told =
                whole ? new LinkedHashSet<>(all.stream().map(Berth::name).toList()) : names;
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
        line.send(Scribe.map(
                "t", "roster", "life", life, "place", seat.place, "whole", whole, "berths", berths, "gone", gone));
    }

    private void tellEdition(Line line, Map<String, Object> head) {
        Ballot has = Ballot.of(Scribe.text(head, "have"));
        if (has == null || editions.stamp().compareTo(has) <= 0) {
            return;
        }
        Editions.News news = editions.newsFor(has);
        int pieces = news.pieces().size();
        for (int i = 0; i < pieces; i++) {
            line.send(
                    Scribe.map(
                            "t",
                            "items",
                            "stamp",
                            editions.stamp().toString(),
                            "from",
                            news.whole() ? "" : has.toString(),
                            "piece",
                            i,
                            "pieces",
                            pieces),
                    news.pieces().get(i),
                    null);
        }
    }
}
