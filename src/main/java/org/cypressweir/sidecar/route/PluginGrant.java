package org.cypressweir.sidecar.route;

import java.util.Locale;
import java.util.Set;

/**
 * The operators' permissions for a plug-in beyond reading requests. Calls without permission are rejected.
 *
 * @param headers headers that it may set or remove, in lower case
 * @param classes request classes that it may assign
 * @param weaken changes to a less strict class that it may make, as {@code from>to}, such as {@code book>search}
 * @param refuse whether it may refuse requests
 */
public record PluginGrant(Set<String> headers, Set<String> classes, Set<String> weaken, boolean refuse) {

    /** Headers controlled by the sidecar or the connection, as a regular expression; they can't be granted. */
    public static final String PROTECTED_HEADERS = "host|connection|keep-alive|proxy-.*|te|trailer|upgrade|expect"
            + "|content-length|transfer-encoding|request-id|tenant|request-timeout-ms|idempotency-key"
            + "|client-retry|not-started|server-load|sec-websocket-.*";

    /** Whether the plug-in may set or remove a header. */
    public boolean allowsHeader(String name) {
        String lower = name.toLowerCase(Locale.ROOT);
        return headers.contains(lower) && !lower.matches(PROTECTED_HEADERS);
    }
}
