package larkbank.gangway;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * An answer with its whole body. What frames it (Content-Length, Transfer-Encoding, Connection) is set by
 * the gangway whatever its headers say.
 */
public record Answer(int status, List<Map.Entry<String, String>> headers, byte[] body) {

    private static final byte[] NOTHING = new byte[0];

    /** Without headers and body. */
    public static Answer of(int status) {
        return new Answer(status, List.of(), NOTHING);
    }

    /** A line of text. */
    public static Answer text(int status, String reason) {
        return new Answer(
                status,
                List.of(Map.entry("Content-Type", "text/plain; charset=utf-8")),
                (reason + "\n").getBytes(StandardCharsets.UTF_8));
    }

    /** A JSON text. */
    public static Answer json(int status, byte[] body) {
        return new Answer(status, List.of(Map.entry("Content-Type", "application/json")), body);
    }

    /** The same with one more header behind the others. */
    public Answer withHeader(String name, String value) {
        List<Map.Entry<String, String>> more = new ArrayList<>(headers);
        more.add(Map.entry(name, value));
        return new Answer(status, more, body);
    }
}
