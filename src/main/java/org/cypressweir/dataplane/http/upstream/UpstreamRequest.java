package org.cypressweir.dataplane.http.upstream;

import java.util.List;
import java.util.Map;

/**
 * One request as it goes to the server. The headers are final; only the time that remains and the length of
 * the body are set when it is sent. The id is the one that the answer repeats. Without an instance id it is
 * meant for whatever instance is there.
 */
public record UpstreamRequest(
        String id,
        String method,
        String uri,
        List<Map.Entry<String, String>> headers,
        byte[] body,
        boolean repeatable,
        int rank,
        boolean inner,
        long aimAtMicros,
        long deadlineMicros,
        String instanceId) {}
