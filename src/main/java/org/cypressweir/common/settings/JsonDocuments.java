package org.cypressweir.common.settings;

import com.dslplatform.json.DslJson;
import com.dslplatform.json.JsonReader;
import com.dslplatform.json.ObjectConverter;
import io.vavr.control.Either;
import java.io.IOException;
import java.util.Map;

/** A JSON object of a file or a call, read with DSL-JSON to plain maps and lists. */
public final class JsonDocuments {

    private static final DslJson<Object> JSON = new DslJson<>(new DslJson.Settings<>());

    private JsonDocuments() {}

    /** The object, or in one line what is wrong and where. */
    public static Either<String, Map<String, Object>> read(byte[] bytes) {
        try {
            JsonReader<Object> reader = JSON.newReader(bytes, bytes.length);
            if (bytes.length == 0 || reader.getNextToken() != '{') {
                return Either.left("not a JSON object");
            }
            Map<String, Object> object = ObjectConverter.deserializeMap(reader);
            while (reader.length() > reader.getCurrentIndex()) {
                if (!Character.isWhitespace(bytes[reader.getCurrentIndex()])) {
                    return Either.left("something follows the object at byte " + reader.getCurrentIndex());
                }
                reader.read();
            }
            return Either.right(object);
        } catch (IOException | RuntimeException e) {
            String message = String.valueOf(e.getMessage());
            int end = message.indexOf('\n');
            return Either.left(end < 0 ? message : message.substring(0, end));
        }
    }
}
