package org.cypressweir.controlplane.registry;

import java.util.Map;
import org.cypressweir.common.transport.JsonCodec;
import org.cypressweir.common.util.Json;

/**
 * A proxy and the application instance beside it, as the proxy describes them in its heartbeats. Immutable. Of two
 * registrations of a proxy the one of the later incarnation is newer, and within an incarnation the one with the
 * higher number.
 *
 * @param incarnation higher for each run of the proxy's process
 * @param number counts the proxy's changes within the incarnation
 * @param address where the proxy accepts connections of its peers
 * @param control where the proxy serves operators; empty if that is not known
 * @param shuttingDown whether the proxy is about to terminate and accepts no new requests
 * @param instance null if no application instance is known
 */
public record ProxyRegistration(
        String name,
        long incarnation,
        long number,
        String address,
        String control,
        String zone,
        String service,
        boolean shuttingDown,
        ApplicationInstance instance) {

    // Field names are fixed: other builds read them.
    private static final String NAME = "name";
    private static final String INCARNATION = "life";
    private static final String NUMBER = "number";
    private static final String ADDRESS = "address";
    private static final String CONTROL = "control";
    private static final String ZONE = "zone";
    private static final String SERVICE = "service";
    private static final String SHUTTING_DOWN = "leaving";
    private static final String INSTANCE = "ship";

    /** Encodes it for another process. */
    public Map<String, Object> toMap(long nowMicros) {
        return JsonCodec.map(
                NAME,
                name,
                INCARNATION,
                incarnation,
                NUMBER,
                number,
                ADDRESS,
                address,
                CONTROL,
                control,
                ZONE,
                zone,
                SERVICE,
                service,
                SHUTTING_DOWN,
                shuttingDown,
                INSTANCE,
                instance == null ? null : instance.toMap(nowMicros));
    }

    /** Decodes a registration; null if name or address is missing. */
    public static ProxyRegistration of(Map<?, ?> map, long nowMicros) {
        String name = JsonCodec.text(map, NAME);
        String address = JsonCodec.text(map, ADDRESS);
        if (name.isEmpty() || address.isEmpty()) {
            return null;
        }
        return new ProxyRegistration(
                name,
                Json.longValue(map, INCARNATION, 0),
                Json.longValue(map, NUMBER, 0),
                address,
                JsonCodec.text(map, CONTROL),
                JsonCodec.text(map, ZONE),
                JsonCodec.text(map, SERVICE),
                Json.flag(map, SHUTTING_DOWN),
                ApplicationInstance.of(Json.object(map, INSTANCE), nowMicros));
    }

    /** Whether this is newer than the other registration of the same proxy, which may be null. */
    public boolean isNewer(ProxyRegistration other) {
        return other == null
                || incarnation > other.incarnation
                || incarnation == other.incarnation && number > other.number;
    }

    /** Whether new requests may be sent to the application instance. */
    public boolean acceptsRequests() {
        return instance != null && !instance.draining() && !shuttingDown;
    }
}
