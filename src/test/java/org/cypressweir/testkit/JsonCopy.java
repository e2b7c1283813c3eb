package org.cypressweir.testkit;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Copies a message as encoding and decoding it would, and fails on values that JSON cannot represent. */
public final class JsonCopy {

    private JsonCopy() {}

    public static Map<String, Object> map(Map<?, ?> map) {
        Map<String, Object> copy = new LinkedHashMap<>();
        map.forEach((name, value) -> copy.put((String) name, value(value)));
        return copy;
    }

    private static Object value(Object value) {
        if (value instanceof Map<?, ?> map) {
            return map(map);
        }
        if (value instanceof List<?> list) {
            List<Object> copy = new ArrayList<>();
            list.forEach(each -> copy.add(value(each)));
            return copy;
        }
        if (value instanceof String || value instanceof Long || value instanceof Double || value instanceof Boolean) {
            return value;
        }
        throw new AssertionError("cannot be represented in JSON: " + value);
    }
}
