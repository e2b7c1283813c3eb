package org.cypressweir.controlplane.configuration;

import com.dslplatform.json.DslJson;
import com.dslplatform.json.JsonReader;
import com.dslplatform.json.NumberConverter;
import java.io.IOException;
import java.math.BigDecimal;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * JSON texts as maps and back, with every number kept as it was sent. Stricter than the library where that
 * guards us: no name twice in one object, nothing behind the end, not too deep.
 */
final class StrictJson {

    private static final int DEEPEST = 40;
    private static final DslJson<Object> DSL = new DslJson<>();

    private StrictJson() {}

    /** The object that the text holds; an exception tells what is wrong and where. */
    static Map<String, Object> object(byte[] text) throws IOException {
        try {
            JsonReader<Object> reader = DSL.newReader(text);
            if (reader.getNextToken() != '{') {
                throw new IOException("not a JSON object");
            }
            Map<String, Object> object = objectAt(reader, 0);
            for (int i = reader.getCurrentIndex(); i < text.length; i++) {
                if (text[i] != ' ' && text[i] != '\n' && text[i] != '\r' && text[i] != '\t') {
                    throw new IOException("something follows the end of the JSON object at byte " + i);
                }
            }
            return object;
        } catch (RuntimeException e) {
            throw new IOException("not readable as JSON: " + e.getMessage(), e);
        }
    }

    static Map<String, Object> object(String text) throws IOException {
        return object(text.getBytes(StandardCharsets.UTF_8));
    }

    private static Map<String, Object> objectAt(JsonReader<Object> reader, int depth) throws IOException {
        Map<String, Object> object = new LinkedHashMap<>();
        if (reader.getNextToken() == '}') {
            return Collections.unmodifiableMap(object);
        }
        while (true) {
            if (reader.last() != '"') {
                throw reader.newParseError("a name was expected");
            }
            String name = reader.readString();
            if (reader.getNextToken() != ':') {
                throw reader.newParseError("':' was expected");
            }
            reader.getNextToken();
            Object value = valueAt(reader, depth + 1);
            if (object.containsKey(name)) {
                throw new IOException("\"" + name + "\" is there twice");
            }
            object.put(name, value);
            byte next = reader.getNextToken();
            if (next == '}') {
                return Collections.unmodifiableMap(object);
            }
            if (next != ',') {
                throw reader.newParseError("',' or '}' was expected");
            }
            reader.getNextToken();
        }
    }

    private static List<Object> listAt(JsonReader<Object> reader, int depth) throws IOException {
        List<Object> list = new ArrayList<>();
        if (reader.getNextToken() == ']') {
            return Collections.unmodifiableList(list);
        }
        while (true) {
            list.add(valueAt(reader, depth + 1));
            byte next = reader.getNextToken();
            if (next == ']') {
                return Collections.unmodifiableList(list);
            }
            if (next != ',') {
                throw reader.newParseError("',' or ']' was expected");
            }
            reader.getNextToken();
        }
    }

    private static Object valueAt(JsonReader<Object> reader, int depth) throws IOException {
        if (depth > DEEPEST) {
            throw new IOException("nested too deep");
        }
        byte first = reader.last();
        switch (first) {
            case '{':
                return objectAt(reader, depth);
            case '[':
                return listAt(reader, depth);
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

    private static void require(boolean holds, JsonReader<Object> reader) throws IOException {
        if (!holds) {
            throw reader.newParseError("a value was expected");
        }
    }

    /** The text of a value, in ASCII and in the order of its names. */
    static String of(Object value) {
        StringBuilder text = new StringBuilder(128);
        write(value, text, false);
        return text.toString();
    }

    /** A text that is the same for values that mean the same: names in order, numbers in one form. */
    static String plain(Object value) {
        StringBuilder text = new StringBuilder(128);
        write(value, text, true);
        return text.toString();
    }

    private static void write(Object value, StringBuilder text, boolean plain) {
        if (value instanceof Map<?, ?> map) {
            char before = '{';
            Map<?, ?> ordered = plain ? new TreeMap<>(map) : map;
            for (Map.Entry<?, ?> entry : ordered.entrySet()) {
                text.append(before);
                quote(String.valueOf(entry.getKey()), text);
                text.append(':');
                write(entry.getValue(), text, plain);
                before = ',';
            }
            text.append(before == '{' ? "{}" : "}");
        } else if (value instanceof List<?> list) {
            char before = '[';
            for (Object each : list) {
                text.append(before);
                write(each, text, plain);
                before = ',';
            }
            text.append(before == '[' ? "[]" : "]");
        } else if (value instanceof Number number) {
            text.append(plain ? plainNumber(number) : number.toString());
        } else if (value instanceof Boolean || value == null) {
            text.append(value);
        } else {
            quote(value.toString(), text);
        }
    }

    private static String plainNumber(Number number) {
        BigDecimal exact = new BigDecimal(number.toString()).stripTrailingZeros();
        return exact.signum() == 0 ? "0" : exact.toString();
    }

    private static void quote(String value, StringBuilder text) {
        text.append('"');
        for (int i = 0; i < value.length(); i++) {
            char c = value.charAt(i);
            if (c == '"' || c == '\\') {
                text.append('\\').append(c);
            } else if (c >= ' ' && c < 127) {
                text.append(c);
            } else {
                text.append("\\u");
                for (int shift = 12; shift >= 0; shift -= 4) {
                    text.append(Character.forDigit(c >> shift & 15, 16));
                }
            }
        }
        text.append('"');
    }
}
