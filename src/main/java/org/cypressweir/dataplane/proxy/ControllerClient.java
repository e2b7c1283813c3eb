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
import org.cypressweir.controlplane.distribution.ItemChunks;
import org.cypressweir.controlplane.registry.EndpointDirectory;
import org.cypressweir.controlplane.registry.ProxyRegistration;
import org.cypressweir.controlplane.registry.RolloutReport;
import org.jboss.logging.Logger;

/**
 * The connections to all controllers: publishes this proxy's registration and the demand of its tenants, and applies
 * the updates that the controllers send. Connects to the voters that the controllers announce, and also to the seed
 * nodes of the settings while no voters are known or no controller is active.
 *
 * <p>Not thread-safe: used on the event loop alone. All times are in microseconds.
 */
final class ControllerClient implements PeerConnectionPool.Listener {

    private static final Logger LOG = Logger.getLogger(ControllerClient.class);
    private static final PeerConnectionPool.Options CONNECTION_OPTIONS =
            new PeerConnectionPool.Options(500_000, 1_200_000, 4_000_000, 100_000, 500_000, 800);

    /** Every so many publications of the demand, all of it is published; in between only the changes are. */
    private static final int PUBLICATIONS_PER_COMPLETE_DEMAND = 10;

    /** The offset at which to resume the subscription to a controller's endpoint updates. */
    private record Offset(long controllerIncarnation, long offset) {
        private static final Offset START = new Offset(0, -1);
    }

    private final LongSupplier clock;
    private final String proxyName;
    private final Supplier<ProxyRegistration> registration;
    private final EndpointDirectory endpoints;
    private final ConfigurationSubscriber configuration;
    private final ReadinessGate readinessGate;
    private final QuotaExchange quotas;
    private final BackgroundTask background;
    private final Runnable onConfiguration;
    private final PeerConnectionPool connections;
    private final Map<String, Offset> offsets = new HashMap<>();
    private final Map<String, String> controlAddresses = new HashMap<>();
    /** Controllers that have sent something and are not silent. */
    private final Set<String> active = new HashSet<>();

    private Set<String> seeds = Set.of();
    private long demandPublications;

    /** @param onConfiguration called when a new version of the configuration is complete */
    ControllerClient(
            PeerTransport transport,
            LongSupplier clock,
            String proxyName,
            Supplier<ProxyRegistration> registration,
            EndpointDirectory endpoints,
            ConfigurationSubscriber configuration,
            ReadinessGate readinessGate,
            QuotaExchange quotas,
            BackgroundTask background,
            Runnable onConfiguration) {
        this.clock = clock;
        this.proxyName = proxyName;
        this.registration = registration;
        this.endpoints = endpoints;
        this.configuration = configuration;
        this.readinessGate = readinessGate;
        this.quotas = quotas;
        this.background = background;
        this.onConfiguration = onConfiguration;
        connections = new PeerConnectionPool(
                transport, clock, CONNECTION_OPTIONS, () -> ControllerMessageCodec.hello(proxyName), this);
    }

    /** Replaces the seed nodes' addresses, which come from the settings. */
    void updateSeeds(Set<String> addresses) {
        seeds = addresses;
        updateConnections();
    }

    private void updateConnections() {
        Set<String> voters = configuration.voters();
        Set<String> wanted = new HashSet<>(voters.isEmpty() || active.isEmpty() ? seeds : Set.of());
        wanted.addAll(voters);
        for (String address : connections.addresses()) {
            if (!wanted.contains(address)) {
                controllerSilent(address);
                endpoints.drop(address);
            }
        }
        connections.setAddresses(wanted);
        quotas.retainControllers(wanted);
    }

    /** Sends this proxy's registration to all controllers. */
    void publishRegistration() {
        forEachConnection(this::sendRegistration);
    }

    private void forEachConnection(Consumer<PeerConnection> action) {
        for (String address : connections.addresses()) {
            PeerConnection connection = connections.connection(address);
            if (connection != null) {
                action.accept(connection);
            }
        }
    }

    private void sendRegistration(PeerConnection connection) {
        connection.send(ControllerMessageCodec.registration(registration.get(), clock.getAsLong()));
    }

    /** Sends the tenants' demand at this proxy to all controllers: usually only what has changed. */
    void publishDemand() {
        boolean isComplete = ++demandPublications % PUBLICATIONS_PER_COMPLETE_DEMAND == 0;
        Map<String, Double> demand = quotas.demand().takeChangedDemand(clock.getAsLong(), isComplete);
        if (!demand.isEmpty()) {
            byte[] message = JsonCodec.bytes(ControllerMessageCodec.demand(demand, isComplete));
            forEachConnection(connection -> connection.sendEncoded(message));
        }
    }

    /** Sends this proxy's report on a rollout to all controllers. */
    void publishRollout(RolloutReport report) {
        long incarnation = registration.get().incarnation();
        byte[] message = JsonCodec.bytes(ControllerMessageCodec.rolloutReport(incarnation, report));
        forEachConnection(connection -> connection.sendEncoded(message));
    }

    /** Sends the number of proxies that this one has counted to all controllers. */
    void publishProxyCount() {
        Map<String, Object> message = ControllerMessageCodec.proxyCount(quotas.seenProxies());
        forEachConnection(connection -> connection.send(message));
    }

    /** The active controllers that there is a connection to; their order is stable while they stay active. */
    List<String> connectedControllers() {
        List<String> connected = new ArrayList<>(active.size());
        for (String address : active) {
            if (connections.connection(address) != null) {
                connected.add(address);
            }
        }
        return connected;
    }

    /** Whether one of the active controllers is in contact with a majority. */
    boolean isInQuorumContact() {
        return readinessGate.isAnyInContact(active);
    }

    /** Sends a message to one controller; drops it if there is no connection. */
    void send(String address, Map<String, Object> message) {
        connections.send(address, message);
    }

    /** To be called several times a second. */
    void tick() {
        long now = clock.getAsLong();
        connections.tick();
        for (String address : List.copyOf(active)) {
            if (!connections.isResponsive(address)) {
                controllerSilent(address);
            }
        }
        requestConfiguration(now);
        if (readinessGate.isQueryDue(now)) {
            forEachConnection(connection -> connection.send(ControllerMessageCodec.contactQuery(now)));
        }
    }

    private void requestConfiguration(long now) {
        String address = configuration.nextRequestTarget(now);
        if (address != null) {
            connections.send(address, ControllerMessageCodec.configurationRequest(configuration.version()));
        }
    }

    private void controllerSilent(String address) {
        boolean wasActive = active.remove(address);
        if (wasActive) {
            LOG.info("Controller silent: address=" + address + " stillActive=" + active.size());
        }
        if (wasActive && active.isEmpty()) {
            // The voters may have changed: connect to the seed nodes as well.
            updateConnections();
        }
        endpoints.markSilent(clock.getAsLong(), address);
        configuration.controllerLost(address);
        readinessGate.controllerLost(address);
    }

    /** The address for operators that a controller announced last; null if it has announced none. */
    String controlAddress(String address) {
        return controlAddresses.get(address);
    }

    /** All controllers that this proxy connects to, each with whether it is active. */
    Map<String, Boolean> controllers() {
        Map<String, Boolean> all = new TreeMap<>();
        connections.addresses().forEach(address -> all.put(address, active.contains(address)));
        return all;
    }

    @Override
    public void connected(String address, PeerConnection connection) {
        sendRegistration(connection);
        Offset offset = offsets.getOrDefault(address, Offset.START);
        connection.send(ControllerMessageCodec.subscription(offset.controllerIncarnation, offset.offset));
        connection.send(ControllerMessageCodec.proxyCount(quotas.seenProxies()));
    }

    @Override
    public void received(String address, PeerConnection connection, Map<String, Object> head, byte[] body) {
        long now = clock.getAsLong();
        if (active.add(address)) {
            LOG.info("Controller active: address=" + address);
        }
        ControllerMessage message = ControllerMessageCodec.decode(head, now);
        if (message instanceof ControllerMessage.VersionAnnouncement announcement) {
            apply(now, address, announcement);
        } else if (message instanceof ControllerMessage.EndpointUpdate update) {
            apply(address, update);
        } else if (message instanceof ControllerMessage.ConfigurationChunk chunk) {
            background.run(() -> ItemChunks.unpack(body), items -> {
                if (configuration.chunkReceived(clock.getAsLong(), address, chunk, items)) {
                    LOG.info("Configuration updated: version=" + configuration.version());
                    onConfiguration.run();
                }
            });
        } else if (message instanceof ControllerMessage.ContactConfirmation confirmation) {
            apply(now, address, confirmation);
        } else if (message instanceof ControllerMessage.TokenResponse response) {
            quotas.tokensReceived(address, response.tenant(), response.count());
        } else if (message instanceof ControllerMessage.ProxyCount proxies) {
            quotas.proxyCountAnnounced(address, proxies.count());
        }
    }

    private void apply(long now, String address, ControllerMessage.VersionAnnouncement announcement) {
        if (announcement.controlAddress() != null) {
            controlAddresses.put(address, announcement.controlAddress());
        }
        configuration.versionAnnounced(address, announcement.version());
        readinessGate.contactAgeReceived(address, announcement.contactAgeMicros());
        Set<String> votersBefore = configuration.voters();
        configuration.votersAnnounced(announcement.version(), announcement.voters());
        if (!configuration.voters().equals(votersBefore)) {
            updateConnections();
        }
        requestConfiguration(now);
    }

    private void apply(String address, ControllerMessage.EndpointUpdate update) {
        endpoints.updateView(address, update.isComplete(), update.registrations(), update.removed());
        offsets.put(address, new Offset(update.controllerIncarnation(), update.offset()));
    }

    private void apply(long now, String address, ControllerMessage.ContactConfirmation confirmation) {
        if (confirmation.queriedAt() == 0) {
            readinessGate.contactAgeReceived(address, confirmation.contactAgeMicros());
        } else {
            readinessGate.confirmationReceived(
                    now, address, confirmation.queriedAt(), confirmation.version(), confirmation.contactAgeMicros());
        }
    }

    @Override
    public void disconnected(String address, PeerConnection connection) {
        if (connections.connection(address) == null) {
            controllerSilent(address);
        }
    }

    @Override
    public void connectFailed(String address) {
        controllerSilent(address);
    }
}
