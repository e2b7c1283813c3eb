package org.cypressweir.controlplane.registry;

import java.util.Map;
import org.cypressweir.common.transport.JsonCodec;
import org.cypressweir.common.util.Json;

/**
 * What one proxy has observed of a rollout since it learned of it. Reports are cumulative: the latest one of a proxy's
 * incarnation replaces the earlier ones, so that no outcome counts twice when a report is repeated.
 *
 * @param seenVersion version of the rollout's configuration item that the proxy applies
 * @param oldInFlight requests in flight at instances of any version but the new one
 */
public record RolloutReport(
        String service,
        String targetVersion,
        long seenVersion,
        long oldInFlight,
        VersionSamples old,
        VersionSamples target) {

    private static final String SERVICE = "service";
    private static final String TARGET_VERSION = "targetVersion";
    private static final String SEEN_VERSION = "seen";
    private static final String OLD_IN_FLIGHT = "oldInFlight";
    private static final String OLD = "old";
    private static final String TARGET = "target";

    /** Encodes it for another process. */
    public Map<String, Object> toMap() {
        return JsonCodec.map(
                SERVICE,
                service,
                TARGET_VERSION,
                targetVersion,
                SEEN_VERSION,
                seenVersion,
                OLD_IN_FLIGHT,
                oldInFlight,
                OLD,
                old.toMap(),
                TARGET,
                target.toMap());
    }

    /** Decodes the result of {@link #toMap}. */
    public static RolloutReport of(Map<?, ?> map) {
        return new RolloutReport(
                JsonCodec.text(map, SERVICE),
                JsonCodec.text(map, TARGET_VERSION),
                Json.longValue(map, SEEN_VERSION, 0),
                Json.longValue(map, OLD_IN_FLIGHT, 0),
                VersionSamples.of(Json.object(map, OLD)),
                VersionSamples.of(Json.object(map, TARGET)));
    }
}
