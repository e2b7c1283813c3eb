package org.cypressweir.sidecar.plugin;

import java.util.List;
import java.util.Map;

/**
 * What a plug-in asks for after one call; nothing of it has happened yet.
 *
 * @param headers to set, or to remove where the value is empty; by name in small letters
 * @param requestClass another class; null for none
 * @param refusal why it is to be refused; null where it is not
 * @param retryAfterMillis when to come back; 0 for no word on that
 * @param notes lines for the log
 */
public record RequestedChanges(
        Map<String, String> headers, String requestClass, String refusal, long retryAfterMillis, List<String> notes) {

    /** Nothing is asked for. */
    public static final RequestedChanges NONE = new RequestedChanges(Map.of(), null, null, 0, List.of());
}
