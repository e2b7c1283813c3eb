package org.cypressweir.dataplane.http.upstream;

import java.util.List;
import java.util.Map;

/**
 * One request as it is sent to the server. Times are absolute, in microseconds of the dispatcher's clock.
 *
 * @param id the attempt id, which the response repeats
 * @param headers as they are sent, except the remaining time and the body's length, which are set on sending
 * @param priority requests with a lower number are sent earlier
 * @param internal whether it comes from one of the mesh's own services rather than from a tenant
 * @param instanceId the instance that it is meant for; null for any
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
