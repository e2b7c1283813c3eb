package org.cypressweir.meshctl.validation;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.cypressweir.common.settings.JsonDocuments;
import org.cypressweir.common.transport.JsonCodec;

/** A JSON object of a file, whose fields can be replaced; the order of fields is kept. Confined to one thread. */
final class MutableJsonObject {

    private final Map<String, Object> fields;

    /** An empty object. */
    MutableJsonObject() {
        this(new LinkedHashMap<>());
    }

    private MutableJsonObject(Map<String, Object> fields) {
        this.fields = fields;
    }

    /** Parses a file that consists of one object; the left value is one line that describes what is wrong. */
    static Either<String, MutableJsonObject> read(byte[] file) {
        return JsonDocuments.read(file).map(MutableJsonObject::new);
    }

    /** A copy that shares nothing with this object. */
    MutableJsonObject copy() {
        return new MutableJsonObject(copy(fields));
    }

    byte[] encoded() {
        return JsonCodec.bytes(fields);
    }

    /** The names of the fields at the time of the call. */
    List<String> names() {
        return List.copyOf(fields.keySet());
    }

    boolean has(String name) {
        return fields.containsKey(name);
    }

    boolean hasObject(String name) {
        return fields.get(name) instanceof Map<?, ?>;
    }

    boolean hasArray(String name) {
        return fields.get(name) instanceof List<?>;
    }

    /** The object in a field, created if there is none. Changes to it are changes to this object. */
    @SuppressWarnings("unchecked")
    MutableJsonObject object(String name) {
        if (!hasObject(name)) {
            fields.put(name, new LinkedHashMap<String, Object>());
        }
        return new MutableJsonObject((Map<String, Object>) fields.get(name));
    }

    /** The objects in an array field; empty if there is no array. Changes to them are changes to this object. */
    @SuppressWarnings("unchecked")
    List<MutableJsonObject> objects(String name) {
        List<MutableJsonObject> objects = new ArrayList<>();
        if (fields.get(name) instanceof List<?> array) {
            for (Object element : array) {
                if (element instanceof Map<?, ?>) {
                    objects.add(new MutableJsonObject((Map<String, Object>) element));
                }
            }
        }
        return objects;
    }

    MutableJsonObject set(String name, String text) {
        fields.put(name, text);
        return this;
    }

    MutableJsonObject set(String name, long number) {
        fields.put(name, number);
        return this;
    }

    MutableJsonObject set(String name, boolean flag) {
        fields.put(name, flag);
        return this;
    }

    MutableJsonObject set(String name, MutableJsonObject object) {
        fields.put(name, object.fields);
        return this;
    }

    MutableJsonObject setEmptyArray(String name) {
        fields.put(name, new ArrayList<>());
        return this;
    }

    /** Replaces the value of a field if it is exactly this text. */
    void replace(String name, String text, String replacement) {
        fields.replace(name, text, replacement);
    }

    void remove(String name) {
        fields.remove(name);
    }

    /** Removes all fields whose names match; returns whether there was any. */
    boolean removeIf(Predicate<String> condition) {
        return fields.keySet().removeIf(condition);
    }

    /** Removes an element of an array. */
    void removeElement(String name, int index) {
        ((List<?>) fields.get(name)).remove(index);
    }

    private static Map<String, Object> copy(Map<?, ?> object) {
        Map<String, Object> copy = new LinkedHashMap<>();
        object.forEach((name, value) -> copy.put((String) name, copyOfValue(value)));
        return copy;
    }

    private static Object copyOfValue(Object value) {
        if (value instanceof Map<?, ?> object) {
            return copy(object);
        }
        if (value instanceof List<?> array) {
            List<Object> copy = new ArrayList<>();
            array.forEach(element -> copy.add(copyOfValue(element)));
            return copy;
        }
        return value;
    }
}
