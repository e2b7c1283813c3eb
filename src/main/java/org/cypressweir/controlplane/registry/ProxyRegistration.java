package org.cypressweir.controlplane.registry;

import java.util.Map;
import org.cypressweir.common.transport.JsonCodec;
import org.cypressweir.common.util.Json;

/**
 * A pilot and the server beside it, as the pilot tells it. A later life goes before an earlier one, and
 * within a life a higher number.
 *
 * @param address where its lines are taken
 * @param control where it answers what operators ask; empty of a pilot that does not tell it
 * @param leaving whether it ends soon and takes nothing new
 * @param ship null where no server is known
 */
public record ProxyRegistration(
        String name,
        long life,
        long number,
        String address,
        String control,
        String zone,
        String service,
        boolean leaving,
        ApplicationInstance ship) {

    public Map<String, Object> toMap(long now) {
        return JsonCodec.map(
                "name",
                name,
                "life",
                life,
                "number",
                number,
                "address",
                address,
                "control",
                control,
                "zone",
                zone,
                "service",
                service,
                "leaving",
                leaving,
                "ship",
                ship == null ? null : ship.toMap(now));
    }

    /** What was told; null where it is no berth. */
    public static ProxyRegistration of(Map<?, ?> map, long now) {
        if (JsonCodec.text(map, "name").isEmpty()
                || JsonCodec.text(map, "address").isEmpty()) {
            return null;
        }
        return new ProxyRegistration(
                JsonCodec.text(map, "name"),
                Json.longValue(map, "life", 0),
                Json.longValue(map, "number", 0),
                JsonCodec.text(map, "address"),
                JsonCodec.text(map, "control"),
                JsonCodec.text(map, "zone"),
                JsonCodec.text(map, "service"),
                Json.flag(map, "leaving"),
                ApplicationInstance.of(Json.object(map, "ship"), now));
    }

    /** Whether this tells more than the other, which may be null. */
    public boolean isNewer(ProxyRegistration other) {
        return other == null || life > other.life || life == other.life && number > other.number;
    }

    /** Whether requests may be sent to its server, as far as it tells itself. */
    public boolean takes() {
        return ship != null && !ship.draining() && !leaving;
    }
}
