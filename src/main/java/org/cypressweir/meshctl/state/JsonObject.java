package org.cypressweir.meshctl.state;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cypressweir.common.transport.JsonCodec;

/** An object of an answer. The decoders turn it into records; the order of its fields is that of the answer. */
public record JsonObject(Map<String, Object> fields) {

    private static final JsonObject EMPTY = new JsonObject(Map.of());

    /** @throws IOException where the text is not one JSON object */
    static JsonObject read(byte[] json) throws IOException {
        return new JsonObject(JsonCodec.read(json, 0, json.length));
    }

    public Set<String> names() {
        return fields.keySet();
    }

    /** The value of a field; {@link JsonValue#ABSENT} where there is none. */
    public JsonValue get(String name) {
        return fields.containsKey(name) ? JsonValue.decoded(fields.get(name)) : JsonValue.ABSENT;
    }

    /** The object in a field; an empty one where there is none. */
    JsonObject object(String name) {
        return get(name).object().orElse(EMPTY);
    }

    /** The objects in a field that is an array; empty where there is none. */
    List<JsonObject> objects(String name) {
        return get(name).objects();
    }
}
