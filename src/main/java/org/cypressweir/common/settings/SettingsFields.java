package org.cypressweir.common.settings;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import org.cypressweir.common.util.Addresses;

/** Fields of an object in a file; what is missing or of another type is noted with its place. */
final class SettingsFields {

    private final Map<?, ?> map;
    private final String place;
    private final List<String> problems;

    SettingsFields(Map<?, ?> map, String place, List<String> problems) {
        this.map = map;
        this.place = place;
        this.problems = problems;
    }

    List<String> problems() {
        return problems;
    }

    void wrong(String what) {
        problems.add(what);
    }

    SettingsFields object(String name) {
        Object value = map.get(name);
        if (value != null && !(value instanceof Map)) {
            wrong(place + name + " is no object");
        }
        return new SettingsFields(value instanceof Map<?, ?> m ? m : Map.of(), place + name + ".", problems);
    }

    void each(BiConsumer<String, Object> task) {
        map.forEach((name, value) -> task.accept((String) name, value));
    }

    String text(String name) {
        Object value = map.get(name);
        if (value == null || value.equals("")) {
            wrong(place + name + " is missing");
        }
        return maybe(name, "");
    }

    String maybe(String name, String otherwise) {
        Object value = map.get(name);
        if (value != null && !(value instanceof String)) {
            wrong(place + name + " is no text");
        }
        return value instanceof String text ? text : otherwise;
    }

    boolean flag(String name) {
        Object value = typed(name, Boolean.class, "flag");
        return value != null && (Boolean) value;
    }

    double number(String name, double otherwise) {
        Object value = typed(name, Number.class, "number");
        return value == null ? otherwise : ((Number) value).doubleValue();
    }

    long time(String name, long otherwise) {
        Object value = typed(name, String.class, "time");
        return value == null ? otherwise : time(place + name, (String) value);
    }

    /** A value of that type; null where it is missing, or of another type, which is noted. */
    private Object typed(String name, Class<?> type, String called) {
        Object value = map.get(name);
        if (value != null && !type.isInstance(value)) {
            wrong(place + name + " is no " + called);
        }
        return type.isInstance(value) ? value : null;
    }

    /** Microseconds of a text such as 1500ms or 2.5s. */
    long time(String where, String text) {
        Option<Long> micros = DurationText.micros(text);
        if (micros.isDefined()) {
            return micros.get();
        }
        wrong(where + " is no time: " + text);
        return 0;
    }

    /** Addresses, each with its port. */
    List<String> addresses(String name) {
        List<String> texts = new ArrayList<>();
        Object value = typed(name, List.class, "list");
        for (Object one : value == null ? List.of() : (List<?>) value) {
            try {
                Addresses.parse(String.valueOf(one));
                texts.add((String) one);
            } catch (IllegalArgumentException e) {
                wrong(place + name + ": " + e.getMessage());
            }
        }
        return texts;
    }

    List<Long> numbers(String name) {
        List<Long> numbers = new ArrayList<>();
        if (map.get(name) instanceof List<?> list) {
            list.forEach(one -> numbers.add(one instanceof Number n ? n.longValue() : -1L));
        }
        return numbers;
    }

    Map<String, String> texts() {
        Map<String, String> texts = new LinkedHashMap<>();
        each((name, value) -> texts.put(name, String.valueOf(value)));
        return texts;
    }
}
