package org.cypressweir.common.settings;

import com.dslplatform.json.DslJson;
import com.dslplatform.json.JsonReader;
import com.dslplatform.json.ObjectConverter;
import io.vavr.control.Either;
import java.io.IOException;
import java.util.Map;

/**
 * Parses files and request bodies that people write, each one JSON object, to plain maps and lists. Stateless, so
 * safe for use by several threads.
 *
 * <p>It differs from the two other readers: {@link org.cypressweir.common.util.Json} reads messages of our own
 * programs with Jackson, which the sidecar loads anyway; {@code StrictJson} of the configuration keeps numbers as
 * written and rejects duplicate names. This one reports an error in one line with its position; of duplicate names
 * the last one counts.
 */
public final class JsonDocuments {

    private static final DslJson<Object> JSON = new DslJson<>(new DslJson.Settings<>());

    private JsonDocuments() {}

    /** The object, or one line that says what is wrong and where. */
    public static Either<String, Map<String, Object>> read(byte[] bytes) {
        try {
            JsonReader<Object> reader = JSON.newReader(bytes, bytes.length);
            if (bytes.length == 0 || reader.getNextToken() != '{') {
                return Either.left("not a JSON object");
            }
            Map<String, Object> object = ObjectConverter.deserializeMap(reader);
            while (reader.length() > reader.getCurrentIndex()) {
                if (!Character.isWhitespace(bytes[reader.getCurrentIndex()])) {
                    return Either.left("unexpected data after the object at byte " + reader.getCurrentIndex());
                }
                reader.read();
            }
            return Either.right(object);
        } catch (IOException | RuntimeException e) {
            // The library reports malformed text by unchecked exceptions of several types as well.
            return Either.left(firstLine(String.valueOf(e.getMessage())));
        }
    }

    private static String firstLine(String message) {
        int end = message.indexOf('\n');
        return end < 0 ? message : message.substring(0, end);
    }
}
