package org.cypressweir.controlplane.controller;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.cypressweir.common.diagnostics.ItemListing;
import org.cypressweir.common.transport.JsonCodec;
import org.cypressweir.controlplane.consensus.ConsensusReplica;
import org.cypressweir.controlplane.consensus.ReplicaKey;
import org.cypressweir.controlplane.registry.ApplicationInstance;
import org.cypressweir.controlplane.registry.ProxyRegistration;
import org.cypressweir.controlplane.registry.ProxyRegistry;

/**
 * Builds a controller's answer to the state call. The field names are fixed: the command line tool of other builds
 * and operators' scripts read them. Stateless; to be called on the event loop.
 */
final class ControllerStatus {

    private static final String CONTROLLER_KIND = "harbour";
    private static final String INCARNATION = "life";
    private static final String PROPOSAL_NUMBER = "stamp";
    private static final String VOTERS = "crew";
    private static final String IS_BLANK = "forgetful";
    private static final String DISK_FAILED = "sick";
    private static final String REGISTRATIONS = "berths";
    private static final String PEERS = "harbours";
    private static final String REACHABLE = "heard";
    private static final String EXPIRED = "missed";
    private static final String EXPIRED_AGE = "goneMs";
    private static final String DEMAND_TOTALS = "tallies";
    private static final String SHUTTING_DOWN = "leaving";
    private static final int MICROS_PER_MILLI = 1_000;

    private ControllerStatus() {}

    /**
     * Another controller that this one connects to.
     *
     * @param controlAddress null until it is known
     * @param reachable whether something was received from it lately
     */
    record Peer(String address, String controlAddress, boolean reachable) {}

    /**
     * @param replica null until the store is open
     * @param includeItems whether the items of the configuration are to be listed
     */
    static Map<String, Object> of(
            long nowMicros,
            ControllerIdentity identity,
            List<Peer> peers,
            ConsensusReplica replica,
            UpdatePublisher publisher,
            boolean includeItems) {
        Map<String, Object> status = overview(identity, replica != null, publisher);
        if (replica != null) {
            addReplica(status, replica, nowMicros);
        }
        status.put(REGISTRATIONS, registrations(publisher));
        status.put(PEERS, peers.stream().map(ControllerStatus::peer).toList());
        status.put(EXPIRED, expired(publisher.registry(), nowMicros));
        status.put(DEMAND_TOTALS, publisher.demandTotals());
        if (includeItems) {
            status.put("list", ItemListing.of(publisher.versionLog().configuration()));
        }
        return status;
    }

    private static Map<String, Object> overview(
            ControllerIdentity identity, boolean storeOpen, UpdatePublisher publisher) {
        return JsonCodec.map(
                "kind",
                CONTROLLER_KIND,
                "name",
                identity.name(),
                "control",
                identity.controlAddress(),
                "address",
                identity.peerAddress(),
                INCARNATION,
                identity.incarnation(),
                PROPOSAL_NUMBER,
                publisher.versionLog().version().toString(),
                "items",
                publisher.versionLog().configuration().size(),
                "open",
                storeOpen);
    }

    private static void addReplica(Map<String, Object> status, ConsensusReplica replica, long nowMicros) {
        status.put("member", replica.replicaKey());
        status.put(VOTERS, addresses(replica.voters()));
        status.put("members", replica.voters());
        status.put("standbys", addresses(replica.standbys()));
        status.put(IS_BLANK, replica.isBlank());
        status.put(DISK_FAILED, replica.diskFailed(nowMicros));
        long confirmedAge = replica.confirmedAge(nowMicros);
        status.put("inContact", replica.inContact(nowMicros));
        status.put("confirmedMs", confirmedAge < 0 ? null : confirmedAge / MICROS_PER_MILLI);
    }

    private static List<String> addresses(List<String> replicas) {
        return replicas.stream().map(ReplicaKey::address).toList();
    }

    private static List<Object> registrations(UpdatePublisher publisher) {
        List<Object> registrations = new ArrayList<>();
        for (ProxyRegistration registration : publisher.registry().all()) {
            registrations.add(registration(registration, publisher.microsSinceLastMessage(registration.name())));
        }
        return registrations;
    }

    private static Map<String, Object> registration(ProxyRegistration registration, long sinceLastMessageMicros) {
        ApplicationInstance instance = registration.instance();
        return JsonCodec.map(
                "name",
                registration.name(),
                "address",
                registration.address(),
                "control",
                registration.control(),
                "zone",
                registration.zone(),
                "service",
                instance == null ? registration.service() : instance.service(),
                "server",
                instance == null ? null : instance.id(),
                "slots",
                instance == null ? null : instance.slots(),
                "draining",
                instance != null && instance.draining(),
                SHUTTING_DOWN,
                registration.shuttingDown(),
                "ageMs",
                sinceLastMessageMicros < 0 ? null : sinceLastMessageMicros / MICROS_PER_MILLI);
    }

    private static Map<String, Object> peer(Peer peer) {
        return JsonCodec.map("address", peer.address(), "control", peer.controlAddress(), REACHABLE, peer.reachable());
    }

    private static List<Object> expired(ProxyRegistry registry, long nowMicros) {
        List<Object> expired = new ArrayList<>();
        for (ProxyRegistry.ExpiredProxy proxy : registry.expired()) {
            expired.add(JsonCodec.map(
                    "name",
                    proxy.registration().name(),
                    "control",
                    proxy.registration().control(),
                    "address",
                    proxy.registration().address(),
                    EXPIRED_AGE,
                    (nowMicros - proxy.sinceMicros()) / MICROS_PER_MILLI));
        }
        return expired;
    }
}
