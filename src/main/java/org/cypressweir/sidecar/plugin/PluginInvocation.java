package org.cypressweir.sidecar.plugin;

import com.dylibso.chicory.runtime.Memory;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.cypressweir.sidecar.route.PluginConfiguration;

/**
 * One call of a plug-in: what it may read, what it has asked for, and how much of its bounds it has used.
 * Pointers and lengths come from the plug-in and are taken for hostile.
 */
final class PluginInvocation {

    /** Results of host functions that are no lengths. */
    static final int DONE = 0;

    static final int ABSENT = -1;
    static final int NOT_GRANTED = -2;
    static final int MALFORMED = -3;
    static final int TOO_MUCH = -4;
    /** Calls of the host, bytes that it may hand over, and lines for the log, in one visit. */
    static final int MOST_CALLS = 1_000;

    static final int MOST_BYTES = 16_384;
    static final int MOST_NOTES = 4;

    private static final int MOST_NAME = 128;
    private static final int MOST_VALUE = 4_096;
    private static final String TOKEN = "[!#$%&'*+.^_`|~0-9A-Za-z-]+";

    private final RequestView request;
    private final PluginStore store;
    private final Map<String, byte[]> puts = new LinkedHashMap<>();
    private final PluginConfiguration spec;
    /** To set, or to remove where the value is empty. */
    private final Map<String, String> headers = new LinkedHashMap<>();

    private final List<String> notes = new ArrayList<>();
    private String requestClass;
    private String refusal;
    private long retryAfterMillis;
    private int calls;
    private int bytes;

    PluginInvocation(RequestView request, PluginConfiguration spec, PluginStore store) {
        this.store = store;
        this.request = request;
        this.spec = spec;
    }

    RequestedChanges wishes() {
        return new RequestedChanges(Map.copyOf(headers), requestClass, refusal, retryAfterMillis, List.copyOf(notes));
    }

    /** Counts a call of the host; past the bound the visit ends in a trap. */
    void called() {
        if (++calls > MOST_CALLS) {
            throw new IllegalStateException("more than " + MOST_CALLS + " calls of the host");
        }
    }

    /**
     * {@code get(field, name, nameLength, out, capacity)}: the length of the value, written where it fits.
     */
    int get(Memory memory, int field, int name, int nameLength, int out, int capacity) {
        String key = text(memory, name, nameLength, MOST_NAME);
        if (key == null) {
            return MALFORMED;
        }
        String value =
                switch (field) {
                    case 0 -> request.method();
                    case 1 -> request.path();
                    case 2 -> header(key.toLowerCase(Locale.ROOT));
                    case 3 -> requestClass != null ? requestClass : request.requestClass();
                    case 4 -> spec.config().get(key);
                    default -> null;
                };
        if (value == null) {
            return ABSENT;
        }
        return give(memory, value.getBytes(StandardCharsets.UTF_8), out, capacity);
    }

    private static int give(Memory memory, byte[] value, int out, int capacity) {
        if (value.length <= capacity) {
            if (!within(memory, out, value.length)) {
                return MALFORMED;
            }
            memory.write(out, value);
        }
        return value.length;
    }

    int storeGet(Memory memory, int key, int keyLength, int out, int capacity) {
        String name = text(memory, key, keyLength, MOST_NAME);
        if (name == null) {
            return MALFORMED;
        }
        byte[] value = puts.containsKey(name) ? puts.get(name) : store.get(name);
        return value == null || value.length == 0 ? ABSENT : give(memory, value, out, capacity);
    }

    int storePut(Memory memory, int key, int keyLength, int value, int valueLength) {
        String name = text(memory, key, keyLength, MOST_NAME);
        if (name == null || valueLength < 0 || valueLength > MOST_VALUE || !within(memory, value, valueLength)) {
            return MALFORMED;
        }
        byte[] before = puts.put(name, memory.readBytes(value, valueLength));
        if (store.fits(puts)) {
            return DONE;
        }
        if (before == null) {
            puts.remove(name);
        } else {
            puts.put(name, before);
        }
        return TOO_MUCH;
    }

    /** What it put is kept from now on. */
    void keep() {
        store.put(puts);
    }

    private String header(String lower) {
        String own = headers.get(lower);
        return own == null ? request.headers().get(lower) : own.isEmpty() ? null : own;
    }

    int setHeader(Memory memory, int name, int nameLength, int value, int valueLength) {
        String key = text(memory, name, nameLength, MOST_NAME);
        String text = text(memory, value, valueLength, MOST_VALUE);
        if (key == null
                || text == null
                || !key.matches(TOKEN)
                || text.isBlank()
                || !text.equals(text.trim())
                || !text.chars().allMatch(c -> c >= ' ' && c < 0x7f)) {
            return MALFORMED;
        }
        return put(key, text, key.length() + text.length());
    }

    int removeHeader(Memory memory, int name, int nameLength) {
        String key = text(memory, name, nameLength, MOST_NAME);
        return key == null || !key.matches(TOKEN) ? MALFORMED : put(key, "", key.length());
    }

    private int put(String name, String value, int size) {
        if (!spec.grant().header(name)) {
            return NOT_GRANTED;
        }
        bytes += size;
        if (bytes > MOST_BYTES) {
            return TOO_MUCH;
        }
        headers.put(name.toLowerCase(Locale.ROOT), value);
        return DONE;
    }

    int setClass(Memory memory, int name, int nameLength) {
        String wanted = text(memory, name, nameLength, MOST_NAME);
        if (wanted == null) {
            return MALFORMED;
        }
        if (!spec.grant().classes().contains(wanted)) {
            return NOT_GRANTED;
        }
        requestClass = wanted;
        return DONE;
    }

    int refuse(Memory memory, int reason, int reasonLength, int millis) {
        String why = text(memory, reason, reasonLength, MOST_VALUE);
        if (why == null || millis < 0) {
            return MALFORMED;
        }
        if (!spec.grant().refuse()) {
            return NOT_GRANTED;
        }
        refusal = why.replaceAll("[^\\x20-\\x7e]+", " ");
        retryAfterMillis = millis;
        return DONE;
    }

    int log(Memory memory, int line, int length) {
        String text = text(memory, line, length, MOST_VALUE);
        if (text == null) {
            return MALFORMED;
        }
        if (notes.size() == MOST_NOTES) {
            return TOO_MUCH;
        }
        notes.add(text.replaceAll("[^\\x20-\\x7e]+", " "));
        return DONE;
    }

    /** A text of the plug-in's memory; null where it is not within it, too long, or no UTF-8. */
    private static String text(Memory memory, int at, int length, int most) {
        if (length < 0 || length > most || !within(memory, at, length)) {
            return null;
        }
        try {
            return StandardCharsets.UTF_8
                    .newDecoder()
                    .decode(ByteBuffer.wrap(memory.readBytes(at, length)))
                    .toString();
        } catch (CharacterCodingException e) {
            return null;
        }
    }

    private static boolean within(Memory memory, int at, int length) {
        return at >= 0 && length >= 0 && (long) at + length <= (long) memory.pages() * Memory.PAGE_SIZE;
    }
}
