package org.cypressweir.common.transport;

import java.util.Optional;

/**
 * The HTTP API of the mesh: every call that application instances, operators and the platform make, with its
 * method and path. Methods and paths are part of the public interface and are fixed. Immutable.
 */
public enum ApiCall {
    READINESS("GET", "/cypressweir/readiness"),
    HEARTBEAT("POST", "/cypressweir/instances/*/heartbeat"),
    DEREGISTER("POST", "/cypressweir/instances/*/deregister"),
    MODIFY("POST", "/cypressweir/config/modify"),
    READ("GET", "/cypressweir/config/read"),
    /** Moves a service's requests to a new version. */
    ROLLOUT_BEGIN("POST", "/cypressweir/rollouts/begin"),
    ROLLOUT_READ("GET", "/cypressweir/rollouts/*/read"),
    /** Starts a new cluster of controllers on empty stores. */
    BOOTSTRAP("POST", "/cypressweir/copies/begin"),
    STATE("GET", "/cypressweir/state"),
    /** The traces of the last requests with the id in the path. */
    REQUEST_TRACES("GET", "/cypressweir/why/*");

    private static final char WILDCARD = '*';

    private final String method;
    private final String prefix;
    private final String suffix;
    private final boolean hasParameter;

    ApiCall(String method, String pathPattern) {
        this.method = method;
        int wildcard = pathPattern.indexOf(WILDCARD);
        hasParameter = wildcard >= 0;
        prefix = hasParameter ? pathPattern.substring(0, wildcard) : pathPattern;
        suffix = hasParameter ? pathPattern.substring(wildcard + 1) : "";
    }

    public String method() {
        return method;
    }

    /** The path of the call; of a call with a parameter, the part in front of it. */
    public String path() {
        return prefix;
    }

    /** The parameter in a path, or an empty text where this call has none; empty where the path is another call's. */
    public Optional<String> pathParameter(String path) {
        if (!hasParameter) {
            return path.equals(prefix) ? Optional.of("") : Optional.empty();
        }
        if (!path.startsWith(prefix) || !path.endsWith(suffix) || path.length() <= prefix.length() + suffix.length()) {
            return Optional.empty();
        }
        String parameter = path.substring(prefix.length(), path.length() - suffix.length());
        return parameter.indexOf('/') >= 0 ? Optional.empty() : Optional.of(parameter);
    }

    /** The call that a path without its query belongs to. */
    public static Optional<ApiCall> of(String path) {
        for (ApiCall call : values()) {
            if (call.pathParameter(path).isPresent()) {
                return Optional.of(call);
            }
        }
        return Optional.empty();
    }
}
