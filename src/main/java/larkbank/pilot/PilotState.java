package larkbank.pilot;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import larkbank.berth.Berth;
import larkbank.berth.ServerDirectory;
import larkbank.berth.Ship;
import larkbank.lading.Line;
import larkbank.lading.Moorings;
import larkbank.lading.Scribe;
import larkbank.logbook.Listing;
import larkbank.manifest.Item;
import larkbank.manifest.Table;
import larkbank.manifest.TenantTerms;
import larkbank.quay.Load;
import larkbank.tally.Quotas;

/** What operators are told of a pilot. */
final class PilotState {

    private final long now;
    private final Bearings bearings;
    private final Map<String, Object> state;

    PilotState(long now, String name, String control, String address, Bearings bearings) {
        this.now = now;
        this.bearings = bearings;
        state = Scribe.map(
                "kind",
                "pilot",
                "name",
                name,
                "control",
                control,
                "address",
                address,
                "stamp",
                bearings.stamp().toString(),
                "items",
                bearings.manifest().size());
    }

    void harbours(Lookout lookout) {
        List<Object> all = new ArrayList<>();
        lookout.harbours()
                .forEach((address, heard) ->
                        all.add(Scribe.map("address", address, "control", lookout.control(address), "heard", heard)));
        state.put("harbours", all);
    }

    /** Other pilots that a line is wanted to; down: refused or lost since the last line. */
    void peers(Moorings peers, Set<String> down) {
        List<Object> all = new ArrayList<>();
        peers.addresses().stream().sorted().forEach(address -> {
            Line line = peers.line(address);
            all.add(Scribe.map(
                    "address",
                    address,
                    "line",
                    line != null,
                    "down",
                    down.contains(address),
                    "ageMs",
                    line == null ? null : (now - line.heardAt()) / 1000));
        });
        state.put("peers", all);
    }

    /** All pilots that are known of, and where each is asked. */
    void pilots(ServerDirectory roster) {
        List<Object> all = new ArrayList<>();
        roster.all()
                .forEach(berth -> all.add(
                        Scribe.map("name", berth.name(), "address", berth.address(), "control", berth.control())));
        state.put("pilots", all);
    }

    /** Every server that is known of, with whether it is in the choice. */
    void servers(ServerDirectory roster, Berth own, Predicate<Berth> reaches, Hops hops) {
        Map<String, List<Object>> services = new TreeMap<>();
        for (Berth told : roster.all()) {
            boolean mine = told.name().equals(own.name());
            Berth berth = mine ? own : told;
            Ship ship = berth.ship();
            if (ship != null) {
                boolean reached = reaches.test(berth);
                services.computeIfAbsent(ship.service(), s -> new ArrayList<>())
                        .add(Scribe.map(
                                "pilot",
                                berth.name(),
                                "zone",
                                berth.zone(),
                                "server",
                                ship.id(),
                                "slots",
                                ship.slots(),
                                "draining",
                                ship.draining(),
                                "leaving",
                                berth.leaving(),
                                "line",
                                reached,
                                "silent",
                                !mine && hops.isSilent(berth.address()),
                                "chosen",
                                reached && berth.takes()));
            }
        }
        state.put("services", services);
    }

    void own(Berth own, Load load) {
        Ship ship = own.ship();
        state.put(
                "own",
                Scribe.map(
                        "server",
                        ship == null ? null : ship.id(),
                        "service",
                        ship == null ? null : ship.service(),
                        "draining",
                        ship != null && ship.draining(),
                        "leaving",
                        own.leaving(),
                        "running",
                        load.running(),
                        "waiting",
                        load.waiting(),
                        "slots",
                        load.slots()));
    }

    /** @param hops attempts that are out at other pilots */
    void requests(int open, int hops, Map<String, Helm> helms) {
        Map<String, Object> byService = new TreeMap<>();
        helms.forEach((service, helm) -> byService.put(service, helm.open()));
        state.put("requests", Scribe.map("open", open, "hops", hops, "services", byService));
    }

    /** Answers of the mesh's own since the start, by fault. */
    void refusals(Map<String, Long> front, Map<String, Helm> helms) {
        Map<String, Long> all = new TreeMap<>(front);
        helms.values()
                .forEach(helm -> helm.counts().forEach((fault, count) -> all.merge(fault.name(), count, Long::sum)));
        state.put("refusals", all);
    }

    /** Tenants with what they may and what they ask here, a second. */
    void tenants(Quotas quotas) {
        Map<String, Double> asked = quotas.asked(now);
        List<Object> all = new ArrayList<>();
        for (Item item : bearings.manifest().standing(Table.TENANTS)) {
            TenantTerms.of(item)
                    .forEach(t -> all.add(Scribe.map(
                            "tenant",
                            t.name(),
                            "asked",
                            asked.getOrDefault(t.name(), 0.0),
                            "rate",
                            t.ratePerS(),
                            "burst",
                            t.burst())));
        }
        state.put("tenants", all);
    }

    Map<String, Object> map(boolean items) {
        if (items) {
            state.put("list", Listing.of(bearings.manifest()));
        }
        return state;
    }
}
