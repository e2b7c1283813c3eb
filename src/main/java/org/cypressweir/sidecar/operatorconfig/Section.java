package org.cypressweir.sidecar.operatorconfig;

import java.time.Instant;
import java.time.OffsetDateTime;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.tomlj.TomlArray;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;

/**
 * One table of the file. Values are checked for type and range as they are read; keys that were never requested
 * are reported as unknown, with a spelling suggestion.
 */
final class Section {

    private final TomlTable table;
    private final String title;
    private final int line;
    private final Problems problems;
    private final Set<String> knownKeys = new TreeSet<>();

    Section(TomlTable table, String title, int line, Problems problems) {
        this.table = table;
        this.title = title;
        this.line = line;
        this.problems = problems;
    }

    Problems problems() {
        return problems;
    }

    String title() {
        return title;
    }

    int line() {
        return line;
    }

    boolean has(String key) {
        knownKeys.add(key);
        return table.contains(List.of(key));
    }

    int lineOf(String key) {
        TomlPosition position = table.inputPositionOf(List.of(key));
        return position == null ? line : position.line();
    }

    /** Section and line that set a key, as printed for operators. */
    private String origin(String key) {
        return title.isEmpty() ? "line " + lineOf(key) : "[" + title + "], line " + lineOf(key);
    }

    void problem(String key, String reason) {
        problems.add(lineOf(key), reason);
    }

    <T> Setting<T> setting(String key, T value) {
        return new Setting<>(value, lineOf(key), origin(key));
    }

    /** Returns the value of a key, or null if it is absent or, after reporting that, of another type. */
    private <T> T value(String key, Class<T> type, String expected) {
        knownKeys.add(key);
        Object value = table.get(List.of(key));
        if (value == null || type.isInstance(value)) {
            return type.cast(value);
        }
        problem(key, "'" + key + "' must be " + expected);
        return null;
    }

    /** Whether a key has exactly this text; a value of any other type is not an error. */
    boolean hasText(String key, String text) {
        return text.equals(table.get(List.of(key)));
    }

    String text(String key) {
        return value(key, String.class, "a text");
    }

    String required(String key) {
        String text = text(key);
        if (!table.contains(List.of(key))) {
            problems.add(line, "[" + title + "] lacks '" + key + "'");
        }
        return text;
    }

    boolean isBoolean(String key) {
        return table.get(List.of(key)) instanceof Boolean;
    }

    Boolean flag(String key) {
        return value(key, Boolean.class, "true or false");
    }

    /** Returns a whole number within a range, or null. */
    Long count(String key, long min, long max) {
        Long count = value(key, Long.class, "a whole number");
        if (count != null && (count < min || count > max)) {
            problem(key, "'" + key + "' is " + count + "; it must be " + min + " to " + max);
            return null;
        }
        return count;
    }

    /** Returns a whole number within a range, or the default. */
    long count(String key, long min, long max, long defaultValue) {
        Long count = count(key, min, max);
        return count == null ? defaultValue : count;
    }

    /** Returns a number within a range, or null. */
    Double number(String key, double min, double max) {
        knownKeys.add(key);
        Object value = table.get(List.of(key));
        double number = value instanceof Number n ? n.doubleValue() : Double.NaN;
        if (value == null) {
            return null;
        }
        if (!(number >= min && number <= max)) {
            problem(key, "'" + key + "' must be a number from " + min + " to " + max);
            return null;
        }
        return number;
    }

    /** Returns a duration in microseconds within a range, or null. */
    Long time(String key, long min, long max) {
        String text = value(key, String.class, "a time in quotes, such as \"800ms\" or \"1.5s\"");
        if (text == null) {
            return null;
        }
        long micros = DurationText.parseMicros(text);
        if (micros < 0) {
            problem(
                    key,
                    "'" + key + "' is '" + text
                            + "', which is no time; write a number and us, ms, s or m, such as \"800ms\"");
            return null;
        }
        if (micros < min || micros > max) {
            problem(
                    key,
                    "'" + key + "' is " + text + "; it must be " + DurationText.format(min) + " to "
                            + DurationText.format(max));
            return null;
        }
        return micros;
    }

    /** Returns a duration in microseconds within a range, or the default. */
    long time(String key, long min, long max, long defaultValue) {
        Long time = time(key, min, max);
        return time == null ? defaultValue : time;
    }

    /** Returns a date-time with UTC offset as microseconds since the Unix epoch, or null. */
    Long timestamp(String key) {
        OffsetDateTime timestamp =
                value(key, OffsetDateTime.class, "a moment such as 2026-12-24T18:00:00Z, without quotes");
        return timestamp == null ? null : ChronoUnit.MICROS.between(Instant.EPOCH, timestamp.toInstant());
    }

    /** Returns a list of strings, or null. */
    List<String> texts(String key) {
        TomlArray array = value(key, TomlArray.class, "a list of texts");
        if (array == null) {
            return null;
        }
        List<String> texts = new ArrayList<>();
        for (int i = 0; i < array.size(); i++) {
            if (!(array.get(i) instanceof String text)) {
                problems.add(array.inputPositionOf(i).line(), "'" + key + "' must be a list of texts");
                return null;
            }
            texts.add(text);
        }
        return texts;
    }

    /** Returns the named subtables of a table; values that are not tables are reported. */
    List<Section> tables(String key) {
        TomlTable all = value(key, TomlTable.class, "tables [" + path(key) + ".NAME]");
        List<Section> sections = new ArrayList<>();
        if (all == null) {
            return sections;
        }
        for (String name : all.keySet()) {
            TomlPosition position = all.inputPositionOf(List.of(name));
            int entryLine = position == null ? lineOf(key) : position.line();
            if (all.get(List.of(name)) instanceof TomlTable t) {
                sections.add(new Section(t, path(key) + "." + name, entryLine, problems));
            } else {
                problems.add(
                        entryLine, "'" + path(key) + "." + name + "' must be a table [" + path(key) + "." + name + "]");
            }
        }
        return sections;
    }

    /** Returns a subtable, or null if there is none. */
    Section table(String key) {
        TomlTable inner = value(key, TomlTable.class, "a table");
        return inner == null ? null : new Section(inner, path(key), lineOf(key), problems);
    }

    /** Returns the tables of an array of tables. */
    List<Section> tableList(String key) {
        TomlArray array = value(key, TomlArray.class, "a list of tables");
        List<Section> sections = new ArrayList<>();
        for (int i = 0; array != null && i < array.size(); i++) {
            if (array.get(i) instanceof TomlTable t) {
                // The parser gives a table entry the position of the whole array, so use that of its first key.
                int entryLine = t.keySet().stream()
                        .mapToInt(k -> t.inputPositionOf(List.of(k)).line())
                        .min()
                        .orElse(array.inputPositionOf(i).line());
                sections.add(new Section(t, path(key), entryLine, problems));
            } else {
                problems.add(array.inputPositionOf(i).line(), "'" + key + "' must be a list of tables");
            }
        }
        return sections;
    }

    private String path(String key) {
        return title.isEmpty() ? key : title + "." + key;
    }

    Set<String> keys() {
        return table.keySet();
    }

    /** Reads the limits that are allowed in this section. */
    LimitSet limits(Set<LimitKey> allowed) {
        LimitSet limits = new LimitSet();
        for (LimitKey key : allowed) {
            Object value =
                    switch (key.kind) {
                        case TIME -> time(key.key, key.min, key.max);
                        case COUNT -> count(key.key, key.min, key.max);
                        case OUTCOMES -> outcomes(key.key);
                    };
            if (value != null) {
                limits.put(key, setting(key.key, value));
            }
        }
        return limits;
    }

    private Set<Retryable> outcomes(String key) {
        List<String> words = texts(key);
        if (words == null) {
            return null;
        }
        Set<Retryable> outcomes = EnumSet.noneOf(Retryable.class);
        for (String word : words) {
            Retryable outcome = Retryable.of(word);
            if (outcome == null) {
                problem(
                        key,
                        "'" + key + "' has no outcome '" + word + "'"
                                + SpellingHint.didYouMean(word, Retryable.words()));
            } else {
                outcomes.add(outcome);
            }
        }
        return outcomes;
    }

    /** Reports every key that was not requested; must be called after all other reads. */
    void rejectUnknownKeys() {
        for (String key : table.keySet()) {
            if (!knownKeys.contains(key)) {
                String where = title.isEmpty() ? "" : " in [" + title + "]";
                problem(key, "unknown key '" + key + "'" + where + SpellingHint.didYouMean(key, knownKeys));
            }
        }
    }
}
