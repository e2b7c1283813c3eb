package org.cypressweir.controlplane.registry;

import java.util.Map;
import org.cypressweir.common.transport.JsonCodec;
import org.cypressweir.common.util.Json;

/**
 * One run of an application process, as the proxy beside it describes it. Immutable.
 *
 * @param slots how many requests it handles at the same time
 * @param draining whether it is to get no new requests
 * @param warmAt when its warm-up ends, in microseconds of the local clock; 0: it ended long ago
 * @param version of its software; empty if it is not known
 */
public record ApplicationInstance(
        String id, String service, String address, int slots, boolean draining, long warmAt, String version) {

    // Field names are fixed: other builds read them.
    private static final String ID = "id";
    private static final String SERVICE = "service";
    private static final String ADDRESS = "address";
    private static final String SLOTS = "slots";
    private static final String DRAINING = "draining";
    private static final String WARM_UP_LEFT = "warm";
    private static final String VERSION = "version";

    /** An instance whose version is not known. */
    public ApplicationInstance(String id, String service, String address, int slots, boolean draining, long warmAt) {
        this(id, service, address, slots, draining, warmAt, "");
    }

    /** Encodes it for another process; clocks differ, so the remaining time of the warm-up is sent. */
    public Map<String, Object> toMap(long nowMicros) {
        Map<String, Object> map = JsonCodec.map(
                ID,
                id,
                SERVICE,
                service,
                ADDRESS,
                address,
                SLOTS,
                slots,
                DRAINING,
                draining,
                WARM_UP_LEFT,
                Math.max(0, warmAt - nowMicros));
        if (!version.isEmpty()) {
            map.put(VERSION, version);
        }
        return map;
    }

    /** Decodes an instance; null if the map holds none. */
    static ApplicationInstance of(Map<?, ?> map, long nowMicros) {
        String id = JsonCodec.text(map, ID);
        if (id.isEmpty()) {
            return null;
        }
        long warmUpLeft = Json.longValue(map, WARM_UP_LEFT, 0);
        return new ApplicationInstance(
                id,
                JsonCodec.text(map, SERVICE),
                JsonCodec.text(map, ADDRESS),
                (int) Json.longValue(map, SLOTS, 1),
                Json.flag(map, DRAINING),
                warmUpLeft == 0 ? 0 : nowMicros + warmUpLeft,
                JsonCodec.text(map, VERSION));
    }
}
