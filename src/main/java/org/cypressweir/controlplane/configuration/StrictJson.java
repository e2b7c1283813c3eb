package org.cypressweir.controlplane.configuration;

import com.dslplatform.json.DslJson;
import com.dslplatform.json.JsonReader;
import com.dslplatform.json.NumberConverter;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Parses JSON objects to unmodifiable maps, and keeps the exact value of every number. Stricter than the library:
 * rejects duplicate names, data after the end, and deep nesting. Thread-safe.
 */
final class StrictJson {

    private static final int MAX_DEPTH = 40;
    private static final DslJson<Object> DSL_JSON = new DslJson<>();

    private StrictJson() {}

    /**
     * Parses a text that is one JSON object.
     *
     * @throws IOException with what is wrong and where
     */
    static Map<String, Object> readObject(byte[] text) throws IOException {
        try {
            JsonReader<Object> reader = DSL_JSON.newReader(text);
            if (reader.getNextToken() != '{') {
                throw new IOException("not a JSON object");
            }
            Map<String, Object> object = readObjectAt(reader, 0);
            requireOnlyWhitespace(text, reader.getCurrentIndex());
            return object;
        } catch (RuntimeException e) {
            throw new IOException("invalid JSON: " + e.getMessage(), e);
        }
    }

    static Map<String, Object> readObject(String text) throws IOException {
        return readObject(text.getBytes(StandardCharsets.UTF_8));
    }

    private static void requireOnlyWhitespace(byte[] text, int start) throws IOException {
        for (int i = start; i < text.length; i++) {
            if (text[i] != ' ' && text[i] != '\n' && text[i] != '\r' && text[i] != '\t') {
                throw new IOException("unexpected data after the JSON object at byte " + i);
            }
        }
    }

    private static Map<String, Object> readObjectAt(JsonReader<Object> reader, int depth) throws IOException {
        Map<String, Object> object = new LinkedHashMap<>();
        if (reader.getNextToken() == '}') {
            return Collections.unmodifiableMap(object);
        }
        while (true) {
            if (reader.last() != '"') {
                throw reader.newParseError("expected a name");
            }
            String name = reader.readString();
            if (reader.getNextToken() != ':') {
                throw reader.newParseError("expected ':'");
            }
            reader.getNextToken();
            Object value = readValueAt(reader, depth + 1);
            if (object.containsKey(name)) {
                throw new IOException("duplicate name \"" + name + "\"");
            }
            object.put(name, value);
            byte next = reader.getNextToken();
            if (next == '}') {
                return Collections.unmodifiableMap(object);
            }
            if (next != ',') {
                throw reader.newParseError("expected ',' or '}'");
            }
            reader.getNextToken();
        }
    }

    private static List<Object> readListAt(JsonReader<Object> reader, int depth) throws IOException {
        List<Object> list = new ArrayList<>();
        if (reader.getNextToken() == ']') {
            return Collections.unmodifiableList(list);
        }
        while (true) {
            list.add(readValueAt(reader, depth + 1));
            byte next = reader.getNextToken();
            if (next == ']') {
                return Collections.unmodifiableList(list);
            }
            if (next != ',') {
                throw reader.newParseError("expected ',' or ']'");
            }
            reader.getNextToken();
        }
    }

    private static Object readValueAt(JsonReader<Object> reader, int depth) throws IOException {
        if (depth > MAX_DEPTH) {
            throw new IOException("nested too deeply");
        }
        byte first = reader.last();
        switch (first) {
            case '{':
                return readObjectAt(reader, depth);
            case '[':
                return readListAt(reader, depth);
            case '"':
                return reader.readString();
            case 't':
                require(reader.wasTrue(), reader);
                return Boolean.TRUE;
            case 'f':
                require(reader.wasFalse(), reader);
                return Boolean.FALSE;
            case 'n':
                require(reader.wasNull(), reader);
                return null;
            default:
                require(first == '-' || first >= '0' && first <= '9', reader);
                return NumberConverter.deserializeNumber(reader);
        }
    }

    private static void require(boolean valid, JsonReader<Object> reader) throws IOException {
        if (!valid) {
            throw reader.newParseError("expected a value");
        }
    }
}
