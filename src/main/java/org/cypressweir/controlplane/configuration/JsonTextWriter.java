package org.cypressweir.controlplane.configuration;

import java.math.BigDecimal;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Writes maps, lists and scalars as JSON in ASCII. Stateless. */
final class JsonTextWriter {

    private static final int INITIAL_LENGTH = 128;

    private JsonTextWriter() {}

    /** The JSON text of a value, with the names of each object in the order of its map. */
    static String write(Object value) {
        StringBuilder text = new StringBuilder(INITIAL_LENGTH);
        write(value, text, false);
        return text.toString();
    }

    /** The same text for all equivalent values, to be hashed: names are sorted, numbers have one form. */
    static String canonical(Object value) {
        StringBuilder text = new StringBuilder(INITIAL_LENGTH);
        write(value, text, true);
        return text.toString();
    }

    private static void write(Object value, StringBuilder text, boolean canonical) {
        if (value instanceof Map<?, ?> map) {
            writeObject(canonical ? new TreeMap<>(map) : map, text, canonical);
        } else if (value instanceof List<?> list) {
            writeList(list, text, canonical);
        } else if (value instanceof Number number) {
            text.append(canonical ? canonicalNumber(number) : number.toString());
        } else if (value instanceof Boolean || value == null) {
            text.append(value);
        } else {
            quote(value.toString(), text);
        }
    }

    private static void writeObject(Map<?, ?> map, StringBuilder text, boolean canonical) {
        text.append('{');
        boolean first = true;
        for (Map.Entry<?, ?> entry : map.entrySet()) {
            if (!first) {
                text.append(',');
            }
            first = false;
            quote(String.valueOf(entry.getKey()), text);
            text.append(':');
            write(entry.getValue(), text, canonical);
        }
        text.append('}');
    }

    private static void writeList(List<?> list, StringBuilder text, boolean canonical) {
        text.append('[');
        boolean first = true;
        for (Object element : list) {
            if (!first) {
                text.append(',');
            }
            first = false;
            write(element, text, canonical);
        }
        text.append(']');
    }

    private static String canonicalNumber(Number number) {
        BigDecimal exact = new BigDecimal(number.toString()).stripTrailingZeros();
        return exact.signum() == 0 ? "0" : exact.toString();
    }

    private static void quote(String value, StringBuilder text) {
        text.append('"');
        for (int i = 0; i < value.length(); i++) {
            char character = value.charAt(i);
            if (character == '"' || character == '\\') {
                text.append('\\').append(character);
            } else if (character >= ' ' && character < 127) {
                text.append(character);
            } else {
                text.append("\\u");
                for (int shift = 12; shift >= 0; shift -= 4) {
                    text.append(Character.forDigit(character >> shift & 15, 16));
                }
            }
        }
        text.append('"');
    }
}
