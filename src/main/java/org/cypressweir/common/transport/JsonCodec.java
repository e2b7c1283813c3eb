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

/**
 * Encodes plain maps and lists as JSON and decodes them, for messages between processes and bodies of API calls.
 * {@link Json} does the decoding; the encoder is a class of its own because the sidecar, which uses {@code Json} too,
 * must not load it. Stateless, so safe for use by several threads.
 */
public final class JsonCodec {

    private static final JsonFactory JSON = new JsonFactory();
    private static final int INITIAL_BUFFER_BYTES = 512;

    private JsonCodec() {}

    /**
     * Encodes an object. Values are maps with text keys, collections, texts, numbers, booleans and null; the order
     * of a map is kept.
     *
     * @throws IllegalArgumentException where a value is of another type
     */
    public static byte[] bytes(Map<String, ?> object) {
        try (ByteArrayBuilder out = new ByteArrayBuilder(INITIAL_BUFFER_BYTES);
                JsonGenerator generator = JSON.createGenerator(out)) {
            write(generator, object);
            generator.flush();
            return out.toByteArray();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Decodes a text that is one JSON object; integers become {@code Long}, other numbers {@code Double}.
     *
     * @throws IOException where the text is anything else
     */
    public static Map<String, Object> read(byte[] bytes, int offset, int length) throws IOException {
        try (JsonParser parser = JSON.createParser(bytes, offset, length)) {
            return Json.document(parser);
        }
    }

    private static void write(JsonGenerator generator, Object value) throws IOException {
        if (value instanceof Map<?, ?> map) {
            generator.writeStartObject();
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                generator.writeFieldName((String) entry.getKey());
                write(generator, entry.getValue());
            }
            generator.writeEndObject();
        } else if (value instanceof Collection<?> elements) {
            generator.writeStartArray();
            for (Object element : elements) {
                write(generator, element);
            }
            generator.writeEndArray();
        } else {
            writeScalar(generator, value);
        }
    }

    private static void writeScalar(JsonGenerator generator, Object value) throws IOException {
        if (value instanceof String text) {
            generator.writeString(text);
        } else if (value instanceof Long || value instanceof Integer) {
            generator.writeNumber(((Number) value).longValue());
        } else if (value instanceof BigDecimal number) {
            generator.writeNumber(number);
        } else if (value instanceof Number number) {
            generator.writeNumber(number.doubleValue());
        } else if (value instanceof Boolean flag) {
            generator.writeBoolean(flag);
        } else if (value == null) {
            generator.writeNull();
        } else {
            throw new IllegalArgumentException("cannot be encoded as JSON: " + value.getClass());
        }
    }

    /** An object of alternating names and values, in this order; a name whose value is null is left out. */
    public static Map<String, Object> map(Object... namesAndValues) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < namesAndValues.length; i += 2) {
            if (namesAndValues[i + 1] != null) {
                map.put((String) namesAndValues[i], namesAndValues[i + 1]);
            }
        }
        return map;
    }

    /** The text with that name; an empty text where there is none. */
    public static String text(Map<?, ?> map, String name) {
        return map.get(name) instanceof String text ? text : "";
    }

    /** The object with that name; an empty map where there is none. */
    @SuppressWarnings("unchecked")
    public static Map<String, Object> object(Map<?, ?> map, String name) {
        return map.get(name) instanceof Map<?, ?> object ? (Map<String, Object>) object : Map.of();
    }
}
