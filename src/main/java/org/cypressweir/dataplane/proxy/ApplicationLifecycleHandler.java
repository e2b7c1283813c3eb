package org.cypressweir.dataplane.proxy;

import io.vavr.control.Either;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import org.cypressweir.common.settings.DurationText;
import org.cypressweir.common.settings.JsonDocuments;
import org.cypressweir.common.settings.NodeSettings;
import org.cypressweir.common.transport.ApiCall;
import org.cypressweir.common.transport.ErrorKind;
import org.cypressweir.common.transport.JsonCodec;
import org.cypressweir.common.util.Json;
import org.cypressweir.controlplane.registry.ApplicationInstance;
import org.cypressweir.controlplane.registry.ProxyRegistration;
import org.cypressweir.dataplane.http.server.RequestHandler;
import org.cypressweir.dataplane.http.server.ServerRequest;
import org.cypressweir.dataplane.http.server.ServerResponse;
import org.jboss.logging.Logger;

/**
 * Answers the heartbeats of the application instance beside this proxy, and derives from them what the proxy
 * registers: the instance, that it drains, and that it is gone. An instance whose heartbeats stop counts as crashed.
 *
 * <p>Not thread-safe: used on the event loop alone. All times are in microseconds.
 */
final class ApplicationLifecycleHandler implements RequestHandler {

    private static final Logger LOG = Logger.getLogger(ApplicationLifecycleHandler.class);
    /** How many ids of ended instances are kept, so that a late heartbeat doesn't register one of them again. */
    private static final int MAX_ENDED_INSTANCES = 16;

    private static final int MAX_MISSED_HEARTBEATS = 3;
    private static final long HEARTBEAT_TOLERANCE_MICROS = 500_000;

    /** Is notified when the instance, or anything that this proxy registers, changes. */
    interface InstanceListener {
        /** @param instance null where there is none now */
        void instanceChanged(ApplicationInstance instance);
    }

    private final LongSupplier clock;
    private final InstanceListener listener;
    private NodeSettings settings;
    private final long incarnation;
    /** The number of the current registration, within this incarnation. */
    private long registrationNumber;

    private ApplicationInstance instance;
    private long lastSequence;
    private long lastHeartbeatAt;
    private long drainingSince;
    private boolean isShuttingDown;
    private final Set<String> ended = new LinkedHashSet<>();

    ApplicationLifecycleHandler(
            LongSupplier clock, NodeSettings settings, long incarnation, InstanceListener listener) {
        this.clock = clock;
        this.settings = settings;
        this.incarnation = incarnation;
        this.listener = listener;
    }

    void updateSettings(NodeSettings next) {
        settings = next;
    }

    /** The current registration of this proxy. */
    ProxyRegistration registration() {
        return new ProxyRegistration(
                settings.name(),
                incarnation,
                registrationNumber,
                settings.peerAddress(settings.ip()),
                settings.controlAddress(),
                settings.zone(),
                settings.service() == null ? "" : settings.service(),
                isShuttingDown,
                instance);
    }

    /** The registered instance; null if there is none. */
    ApplicationInstance instance() {
        return instance;
    }

    /** When the instance's draining was acknowledged; 0 if it isn't draining. */
    long drainingSince() {
        return drainingSince;
    }

    /** Registers that this proxy shuts down. */
    void startShutdown() {
        isShuttingDown = true;
        registrationChanged();
    }

    private void registrationChanged() {
        registrationNumber++;
        listener.instanceChanged(instance);
    }

    @Override
    public void handle(ServerRequest call) {
        Optional<ApiCall> apiCall = ApiCall.of(call.path());
        if (apiCall.isEmpty()) {
            call.answer(LocalResponses.of(ErrorKind.NO_CALL));
        } else if (!apiCall.get().method().equals(call.method())) {
            call.answer(LocalResponses.of(ErrorKind.NO_METHOD));
        } else {
            String id = apiCall.get().pathParameter(call.path()).orElse("");
            switch (apiCall.get()) {
                case HEARTBEAT -> receiveHeartbeat(call, id);
                case DEREGISTER -> {
                    remove(id, "deregistered");
                    call.answer(acknowledgement());
                }
                default -> call.answer(LocalResponses.of(ErrorKind.NO_CALL));
            }
        }
    }

    private static ServerResponse acknowledgement() {
        return ServerResponse.json(200, new byte[] {'{', '}'});
    }

    private void receiveHeartbeat(ServerRequest call, String id) {
        Either<String, Map<String, Object>> document = JsonDocuments.read(call.body());
        if (document.isLeft()) {
            call.answer(malformed(document.getLeft()));
            return;
        }
        Map<String, Object> heartbeat = document.get();
        Map<String, Object> nodeInfo = JsonCodec.object(heartbeat, "nodeInfo");
        Map<String, Object> operStatus = JsonCodec.object(heartbeat, "operStatus");
        if (JsonCodec.text(nodeInfo, "service").isEmpty() || !(operStatus.get("callSequence") instanceof Number)) {
            call.answer(malformed("a heartbeat needs nodeInfo.service and operStatus.callSequence"));
            return;
        }
        call.answer(acknowledgement());
        long sequence = Json.longValue(operStatus, "callSequence", 0);
        boolean isKnown = instance != null && instance.id().equals(id);
        if (ended.contains(id) || isKnown && sequence < lastSequence) {
            return;
        }
        lastSequence = sequence;
        lastHeartbeatAt = clock.getAsLong();
        update(isKnown, newInstance(isKnown, id, heartbeat, nodeInfo, operStatus));
    }

    private static ServerResponse malformed(String problem) {
        return ServerResponse.text(ErrorKind.MALFORMED.status(), problem);
    }

    private ApplicationInstance newInstance(
            boolean isKnown,
            String id,
            Map<String, Object> heartbeat,
            Map<String, Object> nodeInfo,
            Map<String, Object> operStatus) {
        boolean wasDraining = isKnown && instance.draining();
        return new ApplicationInstance(
                id,
                JsonCodec.text(nodeInfo, "service"),
                JsonCodec.text(heartbeat, "address"),
                (int) Math.max(1, Json.longValue(nodeInfo, "capacitySlots", 1)),
                wasDraining || JsonCodec.text(operStatus, "operState").equals("draining"),
                isKnown ? instance.warmAt() : warmAt(operStatus),
                JsonCodec.text(nodeInfo, "configVersion"));
    }

    /** When the slow start of a new instance ends; 0 where it has none. */
    private long warmAt(Map<String, Object> operStatus) {
        long remaining =
                DurationText.micros(JsonCodec.text(operStatus, "warmupLeft")).getOrElse(0L);
        return remaining <= 0 ? 0 : lastHeartbeatAt + remaining;
    }

    private void update(boolean isKnown, ApplicationInstance next) {
        boolean wasDraining = isKnown && instance.draining();
        if (!next.draining()) {
            drainingSince = 0;
        } else if (!wasDraining) {
            drainingSince = lastHeartbeatAt;
        }
        if (next.equals(instance)) {
            return;
        }
        if (!isKnown) {
            LOG.info("Application instance registered: id=" + next.id() + " service=" + next.service() + " version="
                    + next.version());
        } else if (next.draining()) {
            LOG.info("Application instance draining: id=" + next.id());
        }
        instance = next;
        registrationChanged();
    }

    private void remove(String id, String reason) {
        ended.add(id);
        if (ended.size() > MAX_ENDED_INSTANCES) {
            ended.remove(ended.iterator().next());
        }
        if (instance != null && instance.id().equals(id)) {
            LOG.info("Application instance removed: id=" + id + " reason=\"" + reason + "\"");
            instance = null;
            drainingSince = 0;
            registrationChanged();
        }
    }

    /** To be called several times a second: removes an instance whose heartbeats have stopped. */
    void tick() {
        long timeoutMicros = MAX_MISSED_HEARTBEATS * settings.heartbeatMicros() + HEARTBEAT_TOLERANCE_MICROS;
        if (instance != null && clock.getAsLong() - lastHeartbeatAt > timeoutMicros) {
            String id = instance.id();
            remove(id, "heartbeat timeout");
            // The process may only have been paused: unlike a deregistered instance, it may come back.
            ended.remove(id);
        }
    }
}
