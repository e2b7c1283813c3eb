package org.cypressweir.meshctl.state;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cypressweir.common.transport.JsonCodec;

/** An object of a response, with its fields in the order of the response. The decoders convert it to records. */
public record JsonObject(Map<String, Object> fields) {

    private static final JsonObject EMPTY = new JsonObject(Map.of());

    /** @throws IOException if the text is not one JSON object */
    static JsonObject read(byte[] json) throws IOException {
        return new JsonObject(JsonCodec.read(json, 0, json.length));
    }

    public Set<String> names() {
        return fields.keySet();
    }

    /** The value of a field; {@link JsonValue#ABSENT} if there is none. */
    public JsonValue get(String name) {
        return fields.containsKey(name) ? JsonValue.decoded(fields.get(name)) : JsonValue.ABSENT;
    }

    /** The object in a field; an empty one if there is none. */
    JsonObject object(String name) {
        return get(name).object().orElse(EMPTY);
    }

    /** The objects in an array field; empty if there is no array. */
    List<JsonObject> objects(String name) {
        return get(name).objects();
    }
}
