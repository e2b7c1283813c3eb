package org.cypressweir.common.util;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** JSON as plain maps and lists, and look-ups that fall back where a value is missing or of another type. */
public final class Json {

    private Json() {}

    /** Reads the object that the parser stands at. */
    public static void readInto(JsonParser parser, Map<String, Object> into) throws IOException {
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            parser.nextToken();
            into.put(name, value(parser));
        }
    }

    /** Reads a text that holds one object and nothing else. */
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

    public static long whole(Map<?, ?> m, String name, long otherwise) {
        return m.get(name) instanceof Number n ? n.longValue() : otherwise;
    }

    public static double real(Map<?, ?> m, String name, double otherwise) {
        return m.get(name) instanceof Number n ? n.doubleValue() : otherwise;
    }

    public static boolean flag(Map<?, ?> m, String name) {
        return Boolean.TRUE.equals(m.get(name));
    }

    public static Map<?, ?> object(Map<?, ?> m, String name) {
        return m.get(name) instanceof Map<?, ?> o ? o : Map.of();
    }

    public static List<?> array(Map<?, ?> m, String name) {
        return m.get(name) instanceof List<?> a ? a : List.of();
    }
}
