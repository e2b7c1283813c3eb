package org.cypressweir.dataplane.http.server;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * An answer with its whole body. What frames it (Content-Length, Transfer-Encoding, Connection) is set by
 * the gangway whatever its headers say.
 */
public record ServerResponse(int status, List<Map.Entry<String, String>> headers, byte[] body) {

    private static final byte[] NOTHING = new byte[0];

    /** Without headers and body. */
    public static ServerResponse of(int status) {
        return new ServerResponse(status, List.of(), NOTHING);
    }

    /** A line of text. */
    public static ServerResponse text(int status, String reason) {
        return new ServerResponse(
                status,
                List.of(Map.entry("Content-Type", "text/plain; charset=utf-8")),
                (reason + "\n").getBytes(StandardCharsets.UTF_8));
    }

    /** A JSON text. */
    public static ServerResponse json(int status, byte[] body) {
        return new ServerResponse(status, List.of(Map.entry("Content-Type", "application/json")), body);
    }

    /** The same with one more header behind the others. */
    public ServerResponse withHeader(String name, String value) {
        List<Map.Entry<String, String>> more = new ArrayList<>(headers);
        more.add(Map.entry(name, value));
        return new ServerResponse(status, more, body);
    }
}
