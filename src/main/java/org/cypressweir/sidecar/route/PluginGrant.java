package org.cypressweir.sidecar.route;

import java.util.Locale;
import java.util.Set;

/**
 * What operators let a plug-in do beside reading. What is not granted it can't ask for.
 *
 * @param headers that it may set or remove, in small letters
 * @param classes that it may give to a request
 * @param weaken {@code from>to}: classes that it may make less strict, such as {@code book>search}
 * @param refuse whether it may refuse requests
 */
public record PluginGrant(Set<String> headers, Set<String> classes, Set<String> weaken, boolean refuse) {

    /** What the sidecar or the connection owns: no operator can grant it. */
    public static final String OWN_HEADERS = "host|connection|keep-alive|proxy-.*|te|trailer|upgrade|expect"
            + "|content-length|transfer-encoding|request-id|tenant|request-timeout-ms|idempotency-key"
            + "|client-retry|not-started|server-load|sec-websocket-.*";

    /** Whether a header may be set or removed. */
    public boolean header(String name) {
        String lower = name.toLowerCase(Locale.ROOT);
        return headers.contains(lower) && !lower.matches(OWN_HEADERS);
    }
}
