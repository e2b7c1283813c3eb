package org.cypressweir.common.transport;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.util.ByteArrayBuilder;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.math.BigDecimal;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import org.cypressweir.common.util.Json;

/** Plain maps and lists as JSON and back. */
public final class JsonCodec {

    private static final JsonFactory JSON = new JsonFactory();

    private JsonCodec() {}

    public static byte[] bytes(Map<String, ?> object) {
        try (ByteArrayBuilder out = new ByteArrayBuilder(512);
                JsonGenerator to = JSON.createGenerator(out)) {
            write(to, object);
            to.flush();
            return out.toByteArray();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    public static Map<String, Object> read(byte[] bytes, int from, int length) throws IOException {
        try (JsonParser parser = JSON.createParser(bytes, from, length)) {
            return Json.document(parser);
        }
    }

    private static void write(JsonGenerator to, Object value) throws IOException {
        if (value instanceof Map<?, ?> map) {
            to.writeStartObject();
            for (Map.Entry<?, ?> e : map.entrySet()) {
                to.writeFieldName((String) e.getKey());
                write(to, e.getValue());
            }
            to.writeEndObject();
        } else if (value instanceof Collection<?> list) {
            to.writeStartArray();
            for (Object one : list) {
                write(to, one);
            }
            to.writeEndArray();
        } else if (value instanceof String text) {
            to.writeString(text);
        } else if (value instanceof Long || value instanceof Integer) {
            to.writeNumber(((Number) value).longValue());
        } else if (value instanceof BigDecimal number) {
            to.writeNumber(number);
        } else if (value instanceof Number number) {
            to.writeNumber(number.doubleValue());
        } else if (value instanceof Boolean flag) {
            to.writeBoolean(flag);
        } else if (value == null) {
            to.writeNull();
        } else {
            throw new IllegalArgumentException("no JSON: " + value.getClass());
        }
    }

    /** An object of these names and values, in this order; a value of null is left out. */
    public static Map<String, Object> map(Object... namesAndValues) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < namesAndValues.length; i += 2) {
            if (namesAndValues[i + 1] != null) {
                map.put((String) namesAndValues[i], namesAndValues[i + 1]);
            }
        }
        return map;
    }

    public static String text(Map<?, ?> map, String name) {
        return map.get(name) instanceof String text ? text : "";
    }

    /** A field that is an object, as one; empty where it is none. */
    @SuppressWarnings("unchecked")
    public static Map<String, Object> object(Map<?, ?> map, String name) {
        return map.get(name) instanceof Map<?, ?> m ? (Map<String, Object>) m : Map.of();
    }
}
