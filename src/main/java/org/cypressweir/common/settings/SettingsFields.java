package org.cypressweir.common.settings;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import org.cypressweir.common.util.Addresses;

/**
 * Typed access to the fields of an object in the settings file. A field that is missing or of the wrong type adds
 * a problem, one line with the path of the field, to a list that all objects of a file share; the accessor then
 * returns its default, so that all problems of a file are found in one pass. Not thread-safe.
 */
final class SettingsFields {

    private final Map<?, ?> fields;
    private final String path;
    private final List<String> problems;

    private SettingsFields(Map<?, ?> fields, String path, List<String> problems) {
        this.fields = fields;
        this.path = path;
        this.problems = problems;
    }

    /** The top-level object of a file, with an empty list of problems. */
    static SettingsFields root(Map<?, ?> fields) {
        return new SettingsFields(fields, "", new ArrayList<>());
    }

    /** The problems found so far in the whole file. */
    List<String> problems() {
        return problems;
    }

    void addProblem(String problem) {
        problems.add(problem);
    }

    /** The object with that name; one without fields where it is missing. */
    SettingsFields object(String name) {
        Object value = valueOfType(name, Map.class, "an object");
        Map<?, ?> object = value == null ? Map.of() : (Map<?, ?>) value;
        return new SettingsFields(object, path + name + ".", problems);
    }

    void forEach(BiConsumer<String, Object> action) {
        fields.forEach((name, value) -> action.accept((String) name, value));
    }

    /** A text that must be there and not empty. */
    String requiredText(String name) {
        Object value = fields.get(name);
        if (value == null || value.equals("")) {
            addProblem(path + name + " is missing");
        }
        return text(name, "");
    }

    String text(String name, String defaultValue) {
        Object value = valueOfType(name, String.class, "a string");
        return value == null ? defaultValue : (String) value;
    }

    /** A boolean; false where it is missing. */
    boolean flag(String name) {
        Object value = valueOfType(name, Boolean.class, "a boolean");
        return value != null && (Boolean) value;
    }

    double number(String name, double defaultValue) {
        Object value = valueOfType(name, Number.class, "a number");
        return value == null ? defaultValue : ((Number) value).doubleValue();
    }

    long durationMicros(String name, long defaultMicros) {
        Object value = valueOfType(name, String.class, "a duration");
        return value == null ? defaultMicros : parseDuration(path + name, (String) value);
    }

    /** Parses a duration such as 1500ms or 2.5s to microseconds; returns 0 and adds a problem where it is invalid. */
    long parseDuration(String fieldPath, String text) {
        Option<Long> micros = DurationText.micros(text);
        if (micros.isEmpty()) {
            addProblem(fieldPath + " must be a duration: " + text);
        }
        return micros.getOrElse(0L);
    }

    /** A list of addresses, each with its port; empty where it is missing. */
    List<String> addresses(String name) {
        Object value = valueOfType(name, List.class, "a list");
        List<?> elements = value == null ? List.of() : (List<?>) value;
        List<String> addresses = new ArrayList<>();
        for (Object element : elements) {
            try {
                Addresses.parse(String.valueOf(element));
                addresses.add((String) element);
            } catch (IllegalArgumentException e) {
                addProblem(path + name + ": " + e.getMessage());
            }
        }
        return addresses;
    }

    /** A list of integers; -1 stands for an element that is not a number, and no problem is added. */
    List<Long> integers(String name) {
        List<Long> integers = new ArrayList<>();
        if (fields.get(name) instanceof List<?> elements) {
            for (Object element : elements) {
                integers.add(element instanceof Number number ? number.longValue() : -1L);
            }
        }
        return integers;
    }

    /** All fields of this object as texts, in the order of the file. */
    Map<String, String> asTexts() {
        Map<String, String> texts = new LinkedHashMap<>();
        forEach((name, value) -> texts.put(name, String.valueOf(value)));
        return texts;
    }

    /** The value if it is of that type; null where it is missing, or of another type, which adds a problem. */
    private Object valueOfType(String name, Class<?> type, String typeName) {
        Object value = fields.get(name);
        if (value != null && !type.isInstance(value)) {
            addProblem(path + name + " must be " + typeName);
        }
        return type.isInstance(value) ? value : null;
    }
}
