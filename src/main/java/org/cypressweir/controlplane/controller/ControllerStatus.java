package org.cypressweir.controlplane.controller;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.cypressweir.common.diagnostics.ItemListing;
import org.cypressweir.common.transport.JsonCodec;
import org.cypressweir.controlplane.configuration.Configuration;
import org.cypressweir.controlplane.consensus.ConsensusReplica;
import org.cypressweir.controlplane.consensus.ReplicaKey;
import org.cypressweir.controlplane.registry.ApplicationInstance;
import org.cypressweir.controlplane.registry.ProxyRegistration;

/** What operators are told of a harbour. */
final class ControllerStatus {

    private ControllerStatus() {}

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
            ConsensusReplica copies,
            UpdatePublisher news,
            boolean items) {
        Configuration manifest = news.editions().manifest();
        Map<String, Object> state = JsonCodec.map(
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
            state.put("crew", copies.voters().stream().map(ReplicaKey::address).toList());
            state.put("members", copies.voters());
            state.put(
                    "standbys",
                    copies.standbys().stream().map(ReplicaKey::address).toList());
            state.put("forgetful", copies.isBlank());
            state.put("sick", copies.diskFailed(now));
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
                .forEach(one -> missed.add(JsonCodec.map(
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
            state.put("list", ItemListing.of(manifest));
        }
        return state;
    }

    private static Map<String, Object> line(ProxyRegistration berth, long silence) {
        ApplicationInstance ship = berth.ship();
        return JsonCodec.map(
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
