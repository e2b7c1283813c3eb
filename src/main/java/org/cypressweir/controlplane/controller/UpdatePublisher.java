package org.cypressweir.controlplane.controller;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import org.cypressweir.common.transport.JsonCodec;
import org.cypressweir.common.transport.PeerConnection;
import org.cypressweir.common.util.Json;
import org.cypressweir.controlplane.configuration.Configuration;
import org.cypressweir.controlplane.consensus.ProposalNumber;
import org.cypressweir.controlplane.consensus.ReplicaKey;
import org.cypressweir.controlplane.distribution.EndpointChangeLog;
import org.cypressweir.controlplane.distribution.VersionLog;
import org.cypressweir.controlplane.registry.ProxyRegistration;
import org.cypressweir.controlplane.registry.ProxyRegistry;
import org.cypressweir.dataplane.quota.DemandAggregator;
import org.jboss.logging.Logger;

/** Hears pilots and tells them the news: who is there, which configuration holds, what tenants ask in all. */
final class UpdatePublisher {

    private static final Logger LOG = Logger.getLogger(UpdatePublisher.class);
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
    private final ProxyRegistry register = new ProxyRegistry(GRACE);
    private final EndpointChangeLog log = new EndpointChangeLog();
    private final VersionLog editions = new VersionLog();
    private final DemandAggregator demands = new DemandAggregator();
    private final Map<PeerConnection, Seat> seats = new LinkedHashMap<>();
    private List<String> crew = List.of();
    private final LongSupplier confirmedAge;
    private long tellings;
    private boolean inContact;

    /**
     * @param control where this harbour is asked by operators
     * @param confirmedAge how long ago what is shown was known to be the newest; below 0: never
     */
    UpdatePublisher(LongSupplier micros, long life, String control, LongSupplier confirmedAge) {
        this.confirmedAge = confirmedAge;
        this.control = control;
        this.micros = micros;
        this.life = life;
    }

    ProxyRegistry register() {
        return register;
    }

    VersionLog editions() {
        return editions;
    }

    /** What tenants ask in all, a second. */
    Map<String, Double> asked() {
        return demands.sums(micros.getAsLong());
    }

    /** How long nothing has come from a pilot; below 0 where it has no line here. */
    long silence(String name) {
        long silence = -1;
        for (Map.Entry<PeerConnection, Seat> one : seats.entrySet()) {
            long its = micros.getAsLong() - one.getKey().lastReceivedMicros();
            if (one.getValue().name.equals(name) && (silence < 0 || its < silence)) {
                silence = its;
            }
        }
        return silence;
    }

    /** A pilot is on this line. */
    void welcome(PeerConnection line, String name) {
        seats.put(line, new Seat(name));
        line.attach(name);
        line.send(JsonCodec.map(
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

    void heard(PeerConnection line, Map<String, Object> head) {
        long now = micros.getAsLong();
        Seat seat = seats.get(line);
        if (seat == null) {
            return;
        }
        register.heard(line);
        switch (JsonCodec.text(head, "t")) {
            case "berth" -> {
                ProxyRegistration berth = ProxyRegistration.of(Json.object(head, "berth"), now);
                if (berth != null && register.told(line, berth)) {
                    log.changed(berth.name());
                    tellAll();
                }
            }
            case "follow" -> {
                seat.place = Json.longValue(head, "life", 0) == life ? Json.longValue(head, "place", -1) : -1;
                tell(line, seat);
            }
            case "contact" -> line.send(contact(Json.longValue(head, "asked", 0)));
            case "want" -> tellEdition(line, head);
            case "tally" -> demands.told(now, seat.name, Json.object(head, "asked"), Json.flag(head, "whole"));
            case "sums" -> {
                seat.sums = Json.flag(head, "on");
                if (seat.sums) {
                    line.send(JsonCodec.map("t", "tallies", "asked", demands.sums(now)));
                }
            }
            default -> {}
        }
    }

    void lost(PeerConnection line) {
        Seat seat = seats.remove(line);
        if (seat != null) {
            register.lost(micros.getAsLong(), line);
            demands.ended(micros.getAsLong(), seat.name);
        }
    }

    /** A state of the configuration that may be shown. */
    void show(ProposalNumber stamp, Configuration manifest, List<String> members) {
        editions.show(stamp, manifest);
        crew = members.stream().map(ReplicaKey::address).toList();
        for (PeerConnection line : List.copyOf(seats.keySet())) {
            line.send(JsonCodec.map(
                    "t", "stamp", "stamp", editions.stamp().toString(), "crew", crew, "age", confirmedAge.getAsLong()));
        }
    }

    /** As of when what is shown was the newest. @param asked the time of the pilot that asked, or 0 */
    private Map<String, Object> contact(long asked) {
        return JsonCodec.map(
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
            byte[] told = JsonCodec.bytes(contact(0));
            seats.keySet().forEach(line -> line.sendEncoded(told));
        }
    }

    /** To be called some times a second. */
    void tick() {
        tellContact();
        long now = micros.getAsLong();
        for (PeerConnection line : seats.keySet()) {
            if (now - line.lastReceivedMicros() > SILENT) {
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
        byte[] told = JsonCodec.bytes(JsonCodec.map("t", "tallies", "asked", sums));
        seats.forEach((line, seat) -> {
            if (seat.sums) {
                line.sendEncoded(told);
            }
        });
    }

    private void tellAll() {
        seats.forEach(this::tell);
    }

    private void tell(PeerConnection line, Seat seat) {
        long now = micros.getAsLong();
        Set<String> names = seat.place < 0 ? null : log.since(seat.place);
        boolean whole = names == null;
        if (!whole && names.isEmpty()) {
            return;
        }
        Collection<ProxyRegistration> all = register.all();
        Set<String> told = whole
                ? new LinkedHashSet<>(all.stream().map(ProxyRegistration::name).toList())
                : names;
        List<Object> berths = new ArrayList<>();
        List<Object> gone = new ArrayList<>();
        for (String name : told) {
            ProxyRegistration berth = register.get(name);
            if (berth == null) {
                gone.add(name);
            } else {
                berths.add(berth.toMap(now));
            }
        }
        seat.place = log.end();
        line.send(JsonCodec.map(
                "t", "roster", "life", life, "place", seat.place, "whole", whole, "berths", berths, "gone", gone));
    }

    private void tellEdition(PeerConnection line, Map<String, Object> head) {
        ProposalNumber has = ProposalNumber.of(JsonCodec.text(head, "have"));
        if (has == null || editions.stamp().compareTo(has) <= 0) {
            return;
        }
        VersionLog.News news = editions.newsFor(has);
        int pieces = news.pieces().size();
        for (int i = 0; i < pieces; i++) {
            line.send(
                    JsonCodec.map(
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
