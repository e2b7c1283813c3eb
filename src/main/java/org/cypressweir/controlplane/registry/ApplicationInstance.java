package org.cypressweir.controlplane.registry;

import java.util.Map;
import org.cypressweir.common.transport.JsonCodec;
import org.cypressweir.common.util.Json;

/**
 * One life of an application server.
 *
 * @param warmAt when it will be as fast as it gets, by the clock of who holds this; 0: long since
 */
public record ApplicationInstance(String id, String service, String address, int slots, boolean draining, long warmAt) {

    /** What another process is told; times are told as what is left of them. */
    public Map<String, Object> toMap(long now) {
        return JsonCodec.map(
                "id",
                id,
                "service",
                service,
                "address",
                address,
                "slots",
                slots,
                "draining",
                draining,
                "warm",
                Math.max(0, warmAt - now));
    }

    static ApplicationInstance of(Map<?, ?> map, long now) {
        long warm = Json.longValue(map, "warm", 0);
        return JsonCodec.text(map, "id").isEmpty()
                ? null
                : new ApplicationInstance(
                        JsonCodec.text(map, "id"),
                        JsonCodec.text(map, "service"),
                        JsonCodec.text(map, "address"),
                        (int) Json.longValue(map, "slots", 1),
                        Json.flag(map, "draining"),
                        warm == 0 ? 0 : now + warm);
    }
}
