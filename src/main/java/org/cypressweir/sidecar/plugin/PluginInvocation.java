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
 * One call of a plug-in: the data it may read, the changes it has requested, and how much of its limits it has used.
 * Pointers and lengths come from the plug-in and are not trusted.
 */
final class PluginInvocation {

    /** Result codes of host functions, which otherwise return lengths. */
    static final int DONE = 0;

    static final int ABSENT = -1;
    static final int NOT_GRANTED = -2;
    static final int MALFORMED = -3;
    static final int LIMIT_EXCEEDED = -4;
    /** Limits of one invocation: calls of host functions, bytes of header changes, and log lines. */
    static final int MAX_HOST_CALLS = 1_000;

    static final int MAX_CHANGE_BYTES = 16_384;
    static final int MAX_LOG_LINES = 4;

    private static final int MAX_NAME_BYTES = 128;
    private static final int MAX_VALUE_BYTES = 4_096;
    private static final String TOKEN = "[!#$%&'*+.^_`|~0-9A-Za-z-]+";

    private final RequestView request;
    private final PluginStore store;
    private final Map<String, byte[]> storePuts = new LinkedHashMap<>();
    private final PluginConfiguration configuration;
    /** Headers to set, or to remove if the value is empty. */
    private final Map<String, String> headers = new LinkedHashMap<>();

    private final List<String> logLines = new ArrayList<>();
    private String requestClass;
    private String refusal;
    private long retryAfterMillis;
    private int hostCalls;
    private int changeBytes;

    PluginInvocation(RequestView request, PluginConfiguration configuration, PluginStore store) {
        this.store = store;
        this.request = request;
        this.configuration = configuration;
    }

    RequestedChanges requestedChanges() {
        return new RequestedChanges(
                Map.copyOf(headers), requestClass, refusal, retryAfterMillis, List.copyOf(logLines));
    }

    /** Counts a call of a host function; above the limit the invocation traps. */
    void countHostCall() {
        if (++hostCalls > MAX_HOST_CALLS) {
            throw new IllegalStateException("more than " + MAX_HOST_CALLS + " calls of host functions");
        }
    }

    /**
     * {@code get(field, name, nameLength, out, capacity)}: returns the length of the value, which is written if it
     * fits.
     */
    int get(Memory memory, int field, int name, int nameLength, int out, int capacity) {
        String key = readText(memory, name, nameLength, MAX_NAME_BYTES);
        if (key == null) {
            return MALFORMED;
        }
        String value =
                switch (field) {
                    case 0 -> request.method();
                    case 1 -> request.path();
                    case 2 -> header(key.toLowerCase(Locale.ROOT));
                    case 3 -> requestClass != null ? requestClass : request.requestClass();
                    case 4 -> configuration.config().get(key);
                    default -> null;
                };
        if (value == null) {
            return ABSENT;
        }
        return writeValue(memory, value.getBytes(StandardCharsets.UTF_8), out, capacity);
    }

    private static int writeValue(Memory memory, byte[] value, int out, int capacity) {
        if (value.length <= capacity) {
            if (!isInMemory(memory, out, value.length)) {
                return MALFORMED;
            }
            memory.write(out, value);
        }
        return value.length;
    }

    int storeGet(Memory memory, int key, int keyLength, int out, int capacity) {
        String name = readText(memory, key, keyLength, MAX_NAME_BYTES);
        if (name == null) {
            return MALFORMED;
        }
        byte[] value = storePuts.containsKey(name) ? storePuts.get(name) : store.get(name);
        return value == null || value.length == 0 ? ABSENT : writeValue(memory, value, out, capacity);
    }

    int storePut(Memory memory, int key, int keyLength, int value, int valueLength) {
        String name = readText(memory, key, keyLength, MAX_NAME_BYTES);
        if (name == null
                || valueLength < 0
                || valueLength > MAX_VALUE_BYTES
                || !isInMemory(memory, value, valueLength)) {
            return MALFORMED;
        }
        byte[] previous = storePuts.put(name, memory.readBytes(value, valueLength));
        if (store.fits(storePuts)) {
            return DONE;
        }
        if (previous == null) {
            storePuts.remove(name);
        } else {
            storePuts.put(name, previous);
        }
        return LIMIT_EXCEEDED;
    }

    /** Commits the stored values of this invocation. */
    void commitStore() {
        store.put(storePuts);
    }

    private String header(String lower) {
        String changed = headers.get(lower);
        return changed == null ? request.headers().get(lower) : changed.isEmpty() ? null : changed;
    }

    int setHeader(Memory memory, int name, int nameLength, int value, int valueLength) {
        String key = readText(memory, name, nameLength, MAX_NAME_BYTES);
        String text = readText(memory, value, valueLength, MAX_VALUE_BYTES);
        if (key == null
                || text == null
                || !key.matches(TOKEN)
                || text.isBlank()
                || !text.equals(text.trim())
                || !text.chars().allMatch(c -> c >= ' ' && c < 0x7f)) {
            return MALFORMED;
        }
        return putHeader(key, text, key.length() + text.length());
    }

    int removeHeader(Memory memory, int name, int nameLength) {
        String key = readText(memory, name, nameLength, MAX_NAME_BYTES);
        return key == null || !key.matches(TOKEN) ? MALFORMED : putHeader(key, "", key.length());
    }

    private int putHeader(String name, String value, int size) {
        if (!configuration.grant().allowsHeader(name)) {
            return NOT_GRANTED;
        }
        changeBytes += size;
        if (changeBytes > MAX_CHANGE_BYTES) {
            return LIMIT_EXCEEDED;
        }
        headers.put(name.toLowerCase(Locale.ROOT), value);
        return DONE;
    }

    int setClass(Memory memory, int name, int nameLength) {
        String newClass = readText(memory, name, nameLength, MAX_NAME_BYTES);
        if (newClass == null) {
            return MALFORMED;
        }
        if (!configuration.grant().classes().contains(newClass)) {
            return NOT_GRANTED;
        }
        requestClass = newClass;
        return DONE;
    }

    int refuse(Memory memory, int reason, int reasonLength, int millis) {
        String reasonText = readText(memory, reason, reasonLength, MAX_VALUE_BYTES);
        if (reasonText == null || millis < 0) {
            return MALFORMED;
        }
        if (!configuration.grant().refuse()) {
            return NOT_GRANTED;
        }
        refusal = reasonText.replaceAll("[^\\x20-\\x7e]+", " ");
        retryAfterMillis = millis;
        return DONE;
    }

    int log(Memory memory, int line, int length) {
        String text = readText(memory, line, length, MAX_VALUE_BYTES);
        if (text == null) {
            return MALFORMED;
        }
        if (logLines.size() == MAX_LOG_LINES) {
            return LIMIT_EXCEEDED;
        }
        logLines.add(text.replaceAll("[^\\x20-\\x7e]+", " "));
        return DONE;
    }

    /** Reads a string from the plug-in's memory; null if it is out of range, too long, or not UTF-8. */
    private static String readText(Memory memory, int offset, int length, int maxBytes) {
        if (length < 0 || length > maxBytes || !isInMemory(memory, offset, length)) {
            return null;
        }
        try {
            return StandardCharsets.UTF_8
                    .newDecoder()
                    .decode(ByteBuffer.wrap(memory.readBytes(offset, length)))
                    .toString();
        } catch (CharacterCodingException e) {
            return null;
        }
    }

    private static boolean isInMemory(Memory memory, int offset, int length) {
        return offset >= 0 && length >= 0 && (long) offset + length <= (long) memory.pages() * Memory.PAGE_SIZE;
    }
}
