package org.cypressweir.controlplane.controller;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import org.cypressweir.common.transport.JsonCodec;
import org.cypressweir.common.transport.PeerConnection;
import org.cypressweir.controlplane.configuration.Configuration;
import org.cypressweir.controlplane.consensus.ProposalNumber;
import org.cypressweir.controlplane.consensus.ReplicaKey;
import org.cypressweir.controlplane.distribution.EndpointChangeLog;
import org.cypressweir.controlplane.distribution.VersionLog;
import org.cypressweir.controlplane.registry.ProxyRegistration;
import org.cypressweir.controlplane.registry.ProxyRegistry;
import org.cypressweir.dataplane.quota.DemandAggregator;
import org.jboss.logging.Logger;

/**
 * Serves the proxies that are connected to this controller: takes in their registrations, demand and rollout reports,
 * passes rate-limit tokens between them, and publishes endpoints, configuration versions and the demand over all
 * proxies. Used by the event loop only; times are microseconds of the controller's clock.
 */
final class UpdatePublisher {

    private static final Logger LOG = Logger.getLogger(UpdatePublisher.class);
    /** How long a proxy stays registered after its connection is lost. */
    private static final long REGISTRATION_GRACE_MICROS = 300_000;

    /** Time without a message after which a proxy's connection counts as lost. */
    private static final long SILENT_AFTER_MICROS = 2_000_000;
    /** A longer interval between two ticks means that this controller was paused and read no messages meanwhile. */
    private static final long MAX_TICK_INTERVAL_MICROS = 500_000;
    /** Time without contact with a quorum after which the proxies are notified. */
    private static final long QUORUM_CONTACT_TIMEOUT_MICROS = 2_000_000;
    /** Every tenth publication holds the demand of all tenants, the others only what has changed. */
    private static final int PUBLICATIONS_PER_FULL_DEMAND = 10;

    /** The state of one connected proxy. */
    private static final class Subscriber {
        private final String name;
        /** Whether it has subscribed to endpoint changes. */
        private boolean endpointsSubscribed;
        /** Offset in the endpoint change log up to which the proxy is up to date; below 0: it needs a snapshot. */
        private long offset = -1;

        private boolean demandSubscribed;

        private Subscriber(String name) {
            this.name = name;
        }
    }

    private final LongSupplier clock;
    private final long incarnation;
    private final String controlAddress;
    private final LongSupplier confirmedAge;
    private final ProxyRegistry registry = new ProxyRegistry(REGISTRATION_GRACE_MICROS);
    private final EndpointChangeLog endpointLog = new EndpointChangeLog();
    private final VersionLog versionLog = new VersionLog();
    private final DemandAggregator demand = new DemandAggregator();
    private final QuotaCoordinator quotas;
    private final RolloutDriver rollouts;
    private final Map<PeerConnection, Subscriber> subscribers = new LinkedHashMap<>();
    private List<String> voterAddresses = List.of();
    private long demandPublications;
    private long endpointUpdates;
    private boolean inQuorumContact;
    private long lastTickAt;
    /** End of this controller's last pause. A proxy's silence counts from here: during the pause nothing was read. */
    private long receivingSince;
    /** Whether endpoint changes were published since the last tick; further ones wait for the next tick. */
    private boolean publishedSinceTick;

    /**
     * @param clock in microseconds
     * @param controlAddress where this controller serves operators
     * @param confirmedAge how long ago the published configuration was known to be the newest; below 0: never
     * @param quotas lends rate-limit tokens to proxies and counts the proxies
     * @param rollouts takes the proxies' rollout reports
     */
    UpdatePublisher(
            LongSupplier clock,
            long incarnation,
            String controlAddress,
            LongSupplier confirmedAge,
            QuotaCoordinator quotas,
            RolloutDriver rollouts) {
        this.rollouts = rollouts;
        this.quotas = quotas;
        this.clock = clock;
        this.incarnation = incarnation;
        this.controlAddress = controlAddress;
        this.confirmedAge = confirmedAge;
        lastTickAt = clock.getAsLong();
        receivingSince = lastTickAt;
    }

    ProxyRegistry registry() {
        return registry;
    }

    VersionLog versionLog() {
        return versionLog;
    }

    /** How many changes of registrations there have been. */
    long endpointChanges() {
        return endpointLog.endOffset();
    }

    /** How many endpoint updates were sent to proxies. */
    long endpointUpdates() {
        return endpointUpdates;
    }

    /** The demand of each tenant over all proxies, in requests per second. */
    Map<String, Double> demandTotals() {
        return demand.totals(clock.getAsLong());
    }

    /** Time since the last message from the named proxy; below 0 if it is not connected. */
    long microsSinceLastMessage(String name) {
        long shortest = -1;
        for (Map.Entry<PeerConnection, Subscriber> entry : subscribers.entrySet()) {
            long elapsed = clock.getAsLong() - entry.getKey().lastReceivedMicros();
            if (entry.getValue().name.equals(name) && (shortest < 0 || elapsed < shortest)) {
                shortest = elapsed;
            }
        }
        return shortest;
    }

    /** A proxy has opened this connection. */
    void connected(PeerConnection connection, String name) {
        subscribers.put(connection, new Subscriber(name));
        connection.attach(name);
        connection.send(ControllerMessages.welcome(
                incarnation, voterAddresses, controlAddress, versionLog.version(), confirmedAge.getAsLong()));
        // Sent before any configuration, because a proxy divides the tenants' limits in it by this number.
        int proxyCount = quotas.connected(clock.getAsLong(), name);
        connection.send(ControllerMessages.proxyCount(proxyCount));
    }

    /** Handles a message from a proxy; without a preceding hello on the connection it is ignored. */
    void received(PeerConnection connection, Map<String, Object> message) {
        Subscriber subscriber = subscribers.get(connection);
        if (subscriber == null) {
            return;
        }
        registry.connectionAlive(connection);
        handle(connection, subscriber, ControllerMessages.decode(message, clock.getAsLong()));
    }

    private void handle(PeerConnection connection, Subscriber subscriber, ProxyMessage message) {
        if (message instanceof ProxyMessage.Registration heartbeat) {
            register(connection, heartbeat.registration());
        } else if (message instanceof ProxyMessage.DemandReport report) {
            demand.report(clock.getAsLong(), subscriber.name, report.demandByTenant(), report.complete());
        } else if (message instanceof ProxyMessage.ContactQuery query) {
            connection.send(contact(query.askedAt()));
        } else if (message instanceof ProxyMessage.EndpointSubscription subscription) {
            subscriber.endpointsSubscribed = true;
            subscriber.offset = subscription.incarnation() == incarnation ? subscription.offset() : -1;
            publishEndpoints(connection, subscriber, new HashMap<>());
        } else if (message instanceof ProxyMessage.ConfigurationRequest request) {
            sendConfiguration(connection, request.version());
        } else if (message instanceof ProxyMessage.DemandSubscription subscription) {
            subscribeToDemand(connection, subscriber, subscription.enabled());
        } else if (message instanceof ProxyMessage.RolloutObserved observed) {
            rollouts.reported(subscriber.name, observed.incarnation(), observed.report());
        } else if (message instanceof ProxyMessage.TokenSurplus surplus) {
            quotas.addSurplus(surplus.tokensByTenant());
        } else if (message instanceof ProxyMessage.TokenRequest request) {
            int count = quotas.takeTokens(request.tenant(), request.count());
            connection.send(ControllerMessages.tokenResponse(request.tenant(), count));
        } else if (message instanceof ProxyMessage.ProxyCount proxies) {
            quotas.countReported(connection, proxies.count());
        }
    }

    /** Announces the number of proxies by which the limits are divided, if it has changed. */
    private void announceProxyCount(long now) {
        int count = quotas.takeChangedCount(now, inQuorumContact);
        if (count > 0) {
            byte[] message = JsonCodec.bytes(ControllerMessages.proxyCount(count));
            subscribers.keySet().forEach(connection -> connection.sendEncoded(message));
        }
    }

    private void register(PeerConnection connection, ProxyRegistration registration) {
        if (registration != null) {
            quotas.registered(clock.getAsLong(), registration);
        }
        if (registration != null && registry.register(connection, registration)) {
            endpointLog.append(registration.name());
            // The first change after a tick is sent at once; further ones are batched until the next tick.
            if (!publishedSinceTick) {
                publishEndpoints();
            }
        }
    }

    private void subscribeToDemand(PeerConnection connection, Subscriber subscriber, boolean enabled) {
        subscriber.demandSubscribed = enabled;
        if (enabled) {
            connection.send(ControllerMessages.demandTotals(demandTotals()));
        }
    }

    void disconnected(PeerConnection connection) {
        Subscriber subscriber = subscribers.remove(connection);
        quotas.disconnected(connection);
        if (subscriber != null) {
            registry.connectionLost(clock.getAsLong(), connection);
            demand.disconnected(clock.getAsLong(), subscriber.name);
        }
    }

    /** Publishes the version of a committed configuration; proxies request its items. */
    void committed(ProposalNumber version, Configuration configuration, List<String> voters) {
        versionLog.append(version, configuration);
        voterAddresses = voters.stream().map(ReplicaKey::address).toList();
        quotas.committed(configuration, voterAddresses.size());
        for (PeerConnection connection : List.copyOf(subscribers.keySet())) {
            connection.send(ControllerMessages.configurationVersion(
                    versionLog.version(), voterAddresses, confirmedAge.getAsLong()));
        }
    }

    private Map<String, Object> contact(long askedAt) {
        return ControllerMessages.contact(askedAt, versionLog.version(), confirmedAge.getAsLong());
    }

    /** To be called several times a second. */
    void tick() {
        long now = clock.getAsLong();
        if (now - lastTickAt > MAX_TICK_INTERVAL_MICROS) {
            receivingSince = now;
        }
        lastTickAt = now;
        checkQuorumContact();
        expireProxies(now);
        announceProxyCount(now);
        publishEndpoints();
        publishedSinceTick = false;
    }

    private void checkQuorumContact() {
        long age = confirmedAge.getAsLong();
        boolean inContact = age >= 0 && age <= QUORUM_CONTACT_TIMEOUT_MICROS;
        if (inContact != inQuorumContact) {
            inQuorumContact = inContact;
            LOG.info(inContact ? "quorum contact established" : "quorum contact lost");
            byte[] message = JsonCodec.bytes(contact(0));
            subscribers.keySet().forEach(connection -> connection.sendEncoded(message));
        }
    }

    private void expireProxies(long now) {
        for (PeerConnection connection : subscribers.keySet()) {
            if (now - Math.max(connection.lastReceivedMicros(), receivingSince) > SILENT_AFTER_MICROS) {
                registry.connectionLost(now, connection);
            }
        }
        for (String name : registry.expire(now)) {
            LOG.info("proxy expired name=" + name);
            endpointLog.append(name);
        }
    }

    /** Publishes the demand totals that have changed, periodically all of them; to be called a few times a second. */
    void publishDemand() {
        demandPublications++;
        if (subscribers.values().stream().noneMatch(subscriber -> subscriber.demandSubscribed)) {
            return;
        }
        boolean all = demandPublications % PUBLICATIONS_PER_FULL_DEMAND == 0;
        Map<String, Double> totals = demand.takeChangedTotals(clock.getAsLong(), all);
        if (totals.isEmpty()) {
            return;
        }
        byte[] message = JsonCodec.bytes(ControllerMessages.demandTotals(totals));
        subscribers.forEach((connection, subscriber) -> {
            if (subscriber.demandSubscribed) {
                connection.sendEncoded(message);
            }
        });
    }

    /** Sends each proxy the endpoint changes it lacks; proxies at the same offset share one encoded update. */
    private void publishEndpoints() {
        Map<Long, byte[]> updatesByOffset = new HashMap<>();
        subscribers.forEach((connection, subscriber) -> publishEndpoints(connection, subscriber, updatesByOffset));
        publishedSinceTick |= !updatesByOffset.isEmpty();
    }

    /** Sends a subscribed proxy the endpoints that have changed since its offset, or a snapshot. */
    private void publishEndpoints(PeerConnection connection, Subscriber subscriber, Map<Long, byte[]> updatesByOffset) {
        if (subscriber.endpointsSubscribed && subscriber.offset != endpointLog.endOffset()) {
            connection.sendEncoded(updatesByOffset.computeIfAbsent(subscriber.offset, this::endpointUpdate));
            subscriber.offset = endpointLog.endOffset();
            endpointUpdates++;
        }
    }

    private byte[] endpointUpdate(long offset) {
        Set<String> changed = offset < 0 ? null : endpointLog.changedSince(offset);
        boolean isSnapshot = changed == null;
        long now = clock.getAsLong();
        List<Object> registrations = new ArrayList<>();
        List<Object> removed = new ArrayList<>();
        for (String name : isSnapshot ? registry.names() : changed) {
            ProxyRegistration registration = registry.get(name);
            if (registration == null) {
                removed.add(name);
            } else {
                registrations.add(registration.toMap(now));
            }
        }
        return JsonCodec.bytes(ControllerMessages.endpointUpdate(
                incarnation, endpointLog.endOffset(), isSnapshot, registrations, removed));
    }

    /** Sends a proxy the delta from its configuration version to the newest, or a snapshot. */
    private void sendConfiguration(PeerConnection connection, ProposalNumber from) {
        if (versionLog.version().compareTo(from) <= 0) {
            return;
        }
        VersionLog.Update update = versionLog.updateSince(from);
        ProposalNumber deltaFrom = update.snapshot() ? null : from;
        int count = update.chunks().size();
        for (int i = 0; i < count; i++) {
            connection.send(
                    ControllerMessages.configurationChunk(versionLog.version(), deltaFrom, i, count),
                    update.chunks().get(i),
                    null);
        }
    }
}
