package org.cypressweir.sidecar.plugin;

import java.util.List;
import java.util.Map;

/**
 * The changes that a plug-in requested in one call; none of them is applied yet.
 *
 * @param headers headers to set, or to remove if the value is empty; by name in lower case
 * @param requestClass the new class; null for no change
 * @param refusal reason to refuse the request; null to accept it
 * @param retryAfterMillis when the client should retry a refused request; 0 if not specified
 * @param logLines lines for the log
 */
public record RequestedChanges(
        Map<String, String> headers,
        String requestClass,
        String refusal,
        long retryAfterMillis,
        List<String> logLines) {

    /** No changes requested. */
    public static final RequestedChanges NONE = new RequestedChanges(Map.of(), null, null, 0, List.of());
}
