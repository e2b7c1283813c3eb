package org.cypressweir.dataplane.http.upstream;

import java.util.List;
import java.util.Map;

/**
 * One request as it is sent to the server. Times are absolute, in microseconds of the dispatcher's clock.
 *
 * @param id the attempt id, which the response repeats
 * @param headers final, but for the remaining time and the length of the body, which are set when it is sent
 * @param priority the lower the number, the earlier it is sent
 * @param internal whether it is one of the mesh's own services' requests that no tenant sends
 * @param instanceId the instance that it is meant for; null for whatever instance is there
 */
public record UpstreamRequest(
        String id,
        String method,
        String uri,
        List<Map.Entry<String, String>> headers,
        byte[] body,
        boolean idempotent,
        int priority,
        boolean internal,
        long latencyTargetAtMicros,
        long deadlineMicros,
        String instanceId) {}
