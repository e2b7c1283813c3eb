package org.cypressweir.dataplane.proxy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.cypressweir.common.transport.JsonCodec;
import org.cypressweir.common.transport.PeerConnection;
import org.cypressweir.common.transport.PeerConnectionPool;
import org.cypressweir.common.transport.PeerTransport;
import org.cypressweir.common.util.Json;
import org.cypressweir.controlplane.consensus.ProposalNumber;
import org.cypressweir.controlplane.distribution.ItemChunks;
import org.cypressweir.controlplane.registry.EndpointDirectory;
import org.cypressweir.controlplane.registry.ProxyRegistration;
import org.cypressweir.dataplane.quota.QuotaShares;
import org.jboss.logging.Logger;

/** Looks to the harbours: tells them of this pilot, and hears the news of all of them. */
final class ControllerClient implements PeerConnectionPool.Listener {

    private static final Logger LOG = Logger.getLogger(ControllerClient.class);
    private static final PeerConnectionPool.Options LINES =
            new PeerConnectionPool.Options(500_000, 1_200_000, 4_000_000, 100_000, 500_000, 800);

    /** In between only what has changed is told. */
    private static final int TELLINGS_A_WHOLE = 10;

    private record Place(long life, long place) {}

    private final LongSupplier micros;
    private final Supplier<ProxyRegistration> berth;
    private final EndpointDirectory roster;
    private final ConfigurationSubscriber following;
    private final ReadinessGate freshness;
    private final QuotaShares quotas;
    private final Runnable newBearings;
    private final BackgroundTask aside;
    private final PeerConnectionPool moorings;
    private final Map<String, Place> places = new HashMap<>();
    private final Map<String, String> controls = new HashMap<>();
    private final Set<String> heard = new HashSet<>();
    private Set<String> seeds = Set.of();
    private final String name;
    private long tellings;
    /** Who tells what tenants ask in all, and on which line it was asked to. */
    private String teller;

    private PeerConnection tellersLine;

    ControllerClient(
            PeerTransport wharf,
            LongSupplier micros,
            String name,
            Supplier<ProxyRegistration> berth,
            EndpointDirectory roster,
            ConfigurationSubscriber following,
            ReadinessGate freshness,
            QuotaShares quotas,
            BackgroundTask aside,
            Runnable newBearings) {
        this.micros = micros;
        this.name = name;
        this.berth = berth;
        this.roster = roster;
        this.following = following;
        this.freshness = freshness;
        this.quotas = quotas;
        this.newBearings = newBearings;
        this.aside = aside;
        moorings = new PeerConnectionPool(
                wharf, micros, LINES, () -> JsonCodec.map("t", "hello", "kind", "pilot", "name", name), this);
    }

    void seeds(Set<String> addresses) {
        seeds = addresses;
        want();
    }

    private void want() {
        Set<String> crew = following.crew();
        Set<String> wanted = new HashSet<>(crew.isEmpty() || heard.isEmpty() ? seeds : Set.of());
        wanted.addAll(crew);
        for (String gone : moorings.addresses()) {
            if (!wanted.contains(gone)) {
                silent(gone);
                roster.drop(gone);
            }
        }
        moorings.setAddresses(wanted);
    }

    /** Tells all harbours what has changed here. */
    void tell() {
        eachLine(this::tell);
    }

    private void eachLine(Consumer<PeerConnection> what) {
        for (String address : moorings.addresses()) {
            PeerConnection line = moorings.connection(address);
            if (line != null) {
                what.accept(line);
            }
        }
    }

    private void tell(PeerConnection line) {
        line.send(JsonCodec.map("t", "berth", "berth", berth.get().toMap(micros.getAsLong())));
    }

    /** Tells what tenants ask here, as far as that has changed. */
    void tellAsked() {
        boolean all = ++tellings % TELLINGS_A_WHOLE == 0;
        Map<String, Double> asked = quotas.news(micros.getAsLong(), all);
        if (!asked.isEmpty()) {
            byte[] told = JsonCodec.bytes(JsonCodec.map("t", "tally", "asked", asked, "whole", all));
            eachLine(line -> line.sendEncoded(told));
        }
        chooseTeller();
    }

    /** One harbour tells the sums: all hear the same pilots, and links are narrow. */
    private void chooseTeller() {
        Set<String> able = freshness.inContact(heard);
        if (teller != null && able.contains(teller) && moorings.connection(teller) == tellersLine) {
            return;
        }
        if (teller != null) {
            moorings.send(teller, JsonCodec.map("t", "sums", "on", false));
            quotas.silent(teller);
        }
        List<String> all = able.stream()
                .filter(a -> moorings.connection(a) != null)
                .sorted()
                .toList();
        teller = all.isEmpty() ? null : all.get(Math.floorMod(name.hashCode(), all.size()));
        if (teller != null) {
            tellersLine = moorings.connection(teller);
            tellersLine.send(JsonCodec.map("t", "sums", "on", true));
        }
    }

    /** To be called some times a second. */
    void tick() {
        long now = micros.getAsLong();
        moorings.tick();
        for (String address : List.copyOf(heard)) {
            if (!moorings.isResponsive(address)) {
                silent(address);
            }
        }
        ask(now);
        if (freshness.asks(now)) {
            eachLine(line -> line.send(JsonCodec.map("t", "contact", "asked", now)));
        }
    }

    private void ask(long now) {
        String whom = following.ask(now);
        if (whom != null) {
            moorings.send(
                    whom, JsonCodec.map("t", "want", "have", following.stamp().toString()));
        }
    }

    private void silent(String address) {
        boolean last = heard.remove(address) && heard.isEmpty();
        if (last) {
            // Whoever is the core now, one of the seeds may know.
            want();
        }
        roster.silent(micros.getAsLong(), address);
        following.lost(address);
        freshness.lost(address);
        quotas.silent(address);
    }

    /** Where a harbour is asked by operators, as it said last; null where it never did. */
    String control(String address) {
        return controls.get(address);
    }

    /** All harbours that lines are wanted to, each with whether it is heard. */
    Map<String, Boolean> harbours() {
        Map<String, Boolean> all = new TreeMap<>();
        moorings.addresses().forEach(address -> all.put(address, heard.contains(address)));
        return all;
    }

    @Override
    public void connected(String address, PeerConnection line) {
        tell(line);
        Place place = places.get(address);
        line.send(JsonCodec.map(
                "t", "follow", "life", place == null ? 0 : place.life, "place", place == null ? -1 : place.place));
    }

    @Override
    public void received(String address, PeerConnection line, Map<String, Object> head, byte[] body) {
        long now = micros.getAsLong();
        heard.add(address);
        switch (JsonCodec.text(head, "t")) {
            case "welcome", "stamp" -> {
                if (head.containsKey("control")) {
                    controls.put(address, JsonCodec.text(head, "control"));
                }
                ProposalNumber stamp = ProposalNumber.of(JsonCodec.text(head, "stamp"));
                following.shows(address, stamp);
                freshness.told(address, Json.longValue(head, "age", -1));
                Set<String> told = new HashSet<>();
                Json.array(head, "crew").forEach(one -> told.add(String.valueOf(one)));
                Set<String> before = following.crew();
                following.crew(stamp, told);
                if (!following.crew().equals(before)) {
                    want();
                }
                ask(now);
            }
            case "roster" -> {
                List<ProxyRegistration> berths = new ArrayList<>();
                for (Object one : Json.array(head, "berths")) {
                    ProxyRegistration its = one instanceof Map<?, ?> map ? ProxyRegistration.of(map, now) : null;
                    if (its != null) {
                        berths.add(its);
                    }
                }
                List<String> gone = new ArrayList<>();
                Json.array(head, "gone").forEach(name -> gone.add(String.valueOf(name)));
                roster.told(address, Json.flag(head, "whole"), berths, gone);
                places.put(address, new Place(Json.longValue(head, "life", 0), Json.longValue(head, "place", -1)));
            }
            case "items" -> aside.run(() -> ItemChunks.unpack(body), items -> {
                if (following.told(micros.getAsLong(), address, head, items)) {
                    LOG.info("The configuration stands at " + following.stamp() + ".");
                    newBearings.run();
                }
            });
            case "contact" -> {
                long asked = Json.longValue(head, "asked", 0);
                long age = Json.longValue(head, "age", -1);
                if (asked == 0) {
                    freshness.told(address, age);
                } else {
                    freshness.answered(now, address, asked, ProposalNumber.of(JsonCodec.text(head, "stamp")), age);
                }
            }
            case "tallies" -> quotas.told(now, address, Json.object(head, "asked"));
            default -> {}
        }
    }

    @Override
    public void disconnected(String address, PeerConnection line) {
        if (moorings.connection(address) == null) {
            silent(address);
        }
    }

    @Override
    public void connectFailed(String address) {
        silent(address);
    }
}
