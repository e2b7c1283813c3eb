package larkbank.harbour;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import larkbank.berth.Berth;
import larkbank.berth.Ship;
import larkbank.copies.Copies;
import larkbank.copies.Member;
import larkbank.lading.Scribe;
import larkbank.logbook.Listing;
import larkbank.manifest.Manifest;

/** What operators are told of a harbour. */
final class HarbourState {

    private HarbourState() {}

    /**
     * @param control where this harbour is asked
     * @param address where it takes lines
     * @param harbours the others
     * @param copies null as long as the disk is not open
     */
    static Map<String, Object> of(
            long now,
            String name,
            String control,
            String address,
            long life,
            List<Object> harbours,
            Copies copies,
            NewsDesk news,
            boolean items) {
        Manifest manifest = news.editions().manifest();
        Map<String, Object> state = Scribe.map(
                "kind",
                "harbour",
                "name",
                name,
                "control",
                control,
                "address",
                address,
                "life",
                life,
                "stamp",
                news.editions().stamp().toString(),
                "items",
                manifest.size(),
                "open",
                copies != null);
        if (copies != null) {
            state.put("member", copies.own());
            state.put("crew", copies.crew().stream().map(Member::address).toList());
            state.put("members", copies.crew());
            state.put(
                    "standbys", copies.standbys().stream().map(Member::address).toList());
            state.put("forgetful", copies.forgetful());
            state.put("sick", copies.sick(now));
            long age = copies.confirmedAge(now);
            state.put("inContact", copies.inContact(now));
            state.put("confirmedMs", age < 0 ? null : age / 1000);
        }
        List<Object> berths = new ArrayList<>();
        news.register().all().forEach(berth -> berths.add(line(berth, news.silence(berth.name()))));
        state.put("berths", berths);
        state.put("harbours", harbours);
        List<Object> missed = new ArrayList<>();
        news.register()
                .missed()
                .forEach(one -> missed.add(Scribe.map(
                        "name",
                        one.berth().name(),
                        "control",
                        one.berth().control(),
                        "address",
                        one.berth().address(),
                        "goneMs",
                        (now - one.since()) / 1000)));
        state.put("missed", missed);
        state.put("tallies", news.asked());
        if (items) {
            state.put("list", Listing.of(manifest));
        }
        return state;
    }

    private static Map<String, Object> line(Berth berth, long silence) {
        Ship ship = berth.ship();
        return Scribe.map(
                "name",
                berth.name(),
                "address",
                berth.address(),
                "control",
                berth.control(),
                "zone",
                berth.zone(),
                "service",
                ship == null ? berth.service() : ship.service(),
                "server",
                ship == null ? null : ship.id(),
                "slots",
                ship == null ? null : ship.slots(),
                "draining",
                ship != null && ship.draining(),
                "leaving",
                berth.leaving(),
                "ageMs",
                silence < 0 ? null : silence / 1000);
    }
}
