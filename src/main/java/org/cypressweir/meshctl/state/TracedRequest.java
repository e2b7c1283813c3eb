package org.cypressweir.meshctl.state;

import java.util.List;

/**
 * The trace of a request at a proxy.
 *
 * @param arrived when it arrived
 * @param status of the response
 * @param error why the mesh itself generated the response
 * @param respondedMillis time from its arrival to the response
 */
public record TracedRequest(
        JsonValue arrived,
        JsonValue host,
        JsonValue path,
        JsonValue route,
        JsonValue tenant,
        JsonValue service,
        JsonValue status,
        JsonValue error,
        JsonValue respondedMillis,
        List<Attempt> attempts) {

    /**
     * One attempt of the request.
     *
     * @param proxy the name of the proxy beside the server
     * @param sentMillis time from the request's arrival to this attempt
     */
    public record Attempt(
            JsonValue server, JsonValue proxy, JsonValue sentMillis, JsonValue durationMillis, JsonValue outcome) {}
}
