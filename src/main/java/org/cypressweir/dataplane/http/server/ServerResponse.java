package org.cypressweir.dataplane.http.server;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * A response with its complete body. The listener itself sets the headers of framing and of the connection
 * (Content-Length, Transfer-Encoding, Connection) and ignores those given here, except that it keeps the Content-Length
 * of a response without a body to HEAD or with status 304.
 */
public record ServerResponse(int status, List<Map.Entry<String, String>> headers, byte[] body) {

    private static final byte[] NO_BYTES = new byte[0];

    /** A response without headers and body. */
    public static ServerResponse of(int status) {
        return new ServerResponse(status, List.of(), NO_BYTES);
    }

    /** A response with one line of plain text. */
    public static ServerResponse text(int status, String line) {
        return new ServerResponse(
                status,
                List.of(Map.entry("Content-Type", "text/plain; charset=utf-8")),
                (line + "\n").getBytes(StandardCharsets.UTF_8));
    }

    /** A response with a JSON document. */
    public static ServerResponse json(int status, byte[] body) {
        return new ServerResponse(status, List.of(Map.entry("Content-Type", "application/json")), body);
    }

    /** The same response with one more header, after the others. */
    public ServerResponse withHeader(String name, String value) {
        List<Map.Entry<String, String>> extended = new ArrayList<>(headers);
        extended.add(Map.entry(name, value));
        return new ServerResponse(status, extended, body);
    }
}
