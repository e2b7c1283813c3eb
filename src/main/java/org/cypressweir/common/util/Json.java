package org.cypressweir.common.util;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Decodes JSON objects to plain maps and lists, and looks up fields with a default where a field is missing or of
 * another type. Integers become {@code Long}, other numbers {@code Double}; of duplicate names the last one counts.
 *
 * <p>The sidecar loads this class at its start, so it needs Jackson's streaming parser only and no class of its
 * own. {@code JsonCodec} of the mesh adds the encoder; {@code JsonDocuments} and {@code StrictJson} read what
 * people write, with DSL-JSON and with other rules for errors, numbers and duplicate names. Stateless.
 */
public final class Json {

    private Json() {}

    /**
     * Decodes the rest of an object into a map.
     *
     * @param parser positioned at the start of the object, and afterwards at its end
     */
    public static void readInto(JsonParser parser, Map<String, Object> into) throws IOException {
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            parser.nextToken();
            into.put(name, value(parser));
        }
    }

    /**
     * Decodes a text that is one object.
     *
     * @param parser positioned before the first token
     * @throws IOException where the text is anything else
     */
    public static Map<String, Object> document(JsonParser parser) throws IOException {
        if (parser.nextToken() != JsonToken.START_OBJECT) {
            throw new IOException("not a JSON object");
        }
        Map<String, Object> object = new LinkedHashMap<>();
        readInto(parser, object);
        if (parser.nextToken() != null) {
            throw new IOException("more than one JSON value");
        }
        return object;
    }

    private static Object value(JsonParser parser) throws IOException {
        return switch (parser.currentToken()) {
            case START_OBJECT -> {
                Map<String, Object> object = new LinkedHashMap<>();
                readInto(parser, object);
                yield object;
            }
            case START_ARRAY -> {
                List<Object> array = new ArrayList<>();
                while (parser.nextToken() != JsonToken.END_ARRAY) {
                    array.add(value(parser));
                }
                yield array;
            }
            case VALUE_STRING -> parser.getText();
            case VALUE_NUMBER_INT -> parser.getNumberValue().longValue();
            case VALUE_NUMBER_FLOAT -> parser.getDoubleValue();
            case VALUE_TRUE -> Boolean.TRUE;
            case VALUE_FALSE -> Boolean.FALSE;
            default -> null;
        };
    }

    /** The number with that name as a long, truncated; the default where there is none. */
    public static long longValue(Map<?, ?> object, String name, long defaultValue) {
        return object.get(name) instanceof Number number ? number.longValue() : defaultValue;
    }

    /** The number with that name as a double; the default where there is none. */
    public static double doubleValue(Map<?, ?> object, String name, double defaultValue) {
        return object.get(name) instanceof Number number ? number.doubleValue() : defaultValue;
    }

    /** The boolean with that name; false where there is none. */
    public static boolean flag(Map<?, ?> object, String name) {
        return Boolean.TRUE.equals(object.get(name));
    }

    /** The object with that name; an empty map where there is none. */
    public static Map<?, ?> object(Map<?, ?> object, String name) {
        return object.get(name) instanceof Map<?, ?> map ? map : Map.of();
    }

    /** The array with that name; an empty list where there is none. */
    public static List<?> array(Map<?, ?> object, String name) {
        return object.get(name) instanceof List<?> list ? list : List.of();
    }
}
