package larkbank.papers;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;

/** Fields of an object in a file; what is missing or of another type is noted with its place. */
final class Fields {

    private final Map<?, ?> map;
    private final String place;
    private final List<String> problems;

    Fields(Map<?, ?> map, String place, List<String> problems) {
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

    Fields object(String name) {
        Object value = map.get(name);
        if (value != null && !(value instanceof Map)) {
            wrong(place + name + " is no object");
        }
        return new Fields(value instanceof Map<?, ?> m ? m : Map.of(), place + name + ".", problems);
    }

    void each(BiConsumer<String, Object> task) {
        map.forEach((name, value) -> task.accept((String) name, value));
    }

    String text(String name) {
        String text = maybe(name, "");
        if (text.isEmpty()) {
            wrong(place + name + " is missing");
        }
        return text;
    }

    String maybe(String name, String otherwise) {
        Object value = map.get(name);
        if (value != null && !(value instanceof String)) {
            wrong(place + name + " is no text");
        }
        return value instanceof String text ? text : otherwise;
    }

    boolean flag(String name) {
        return Boolean.TRUE.equals(map.get(name));
    }

    double number(String name, double otherwise) {
        return map.get(name) instanceof Number n ? n.doubleValue() : otherwise;
    }

    long time(String name, long otherwise) {
        return map.get(name) instanceof String text ? time(place + name, text) : otherwise;
    }

    /** Microseconds of a text such as 1500ms or 2.5s. */
    long time(String where, String text) {
        Option<Long> micros = Duration.micros(text);
        if (micros.isDefined()) {
            return micros.get();
        }
        wrong(where + " is no time: " + text);
        return 0;
    }

    List<String> list(String name) {
        List<String> texts = new ArrayList<>();
        if (map.get(name) instanceof List<?> list) {
            list.forEach(one -> texts.add(String.valueOf(one)));
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
