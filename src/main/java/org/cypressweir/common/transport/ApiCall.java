package org.cypressweir.common.transport;

import java.util.Optional;

/** All calls that servers, operators and the platform make, in one table. */
public enum ApiCall {
    READINESS("GET", "/cypressweir/readiness"),
    HEARTBEAT("POST", "/cypressweir/instances/*/heartbeat"),
    DEREGISTER("POST", "/cypressweir/instances/*/deregister"),
    MODIFY("POST", "/cypressweir/config/modify"),
    READ("GET", "/cypressweir/config/read"),
    BEGIN("POST", "/cypressweir/copies/begin"),
    STATE("GET", "/cypressweir/state"),
    WHY("GET", "/cypressweir/why/*");

    private final String method;
    private final String before;
    private final String after;
    private final boolean named;

    ApiCall(String method, String pattern) {
        this.method = method;
        int star = pattern.indexOf('*');
        named = star >= 0;
        before = named ? pattern.substring(0, star) : pattern;
        after = named ? pattern.substring(star + 1) : "";
    }

    public String method() {
        return method;
    }

    /** The path of a call without a name in it. */
    public String path() {
        return before;
    }

    /** The name in the path, an empty text where the call has none; nothing: it is another call. */
    public Optional<String> name(String path) {
        if (!named) {
            return path.equals(before) ? Optional.of("") : Optional.empty();
        }
        if (!path.startsWith(before) || !path.endsWith(after) || path.length() <= before.length() + after.length()) {
            return Optional.empty();
        }
        String name = path.substring(before.length(), path.length() - after.length());
        return name.indexOf('/') >= 0 ? Optional.empty() : Optional.of(name);
    }

    /** The call of a path without its query. */
    public static Optional<ApiCall> of(String path) {
        for (ApiCall call : values()) {
            if (call.name(path).isPresent()) {
                return Optional.of(call);
            }
        }
        return Optional.empty();
    }
}
