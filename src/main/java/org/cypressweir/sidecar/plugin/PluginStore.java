package org.cypressweir.sidecar.plugin;

import java.util.HashMap;
import java.util.Map;

/**
 * Key-value store of a plug-in, kept between requests. It outlives discarded instances and ends with the plug-in; keys
 * and bytes are limited. The values that a call stores are committed together, once the call has succeeded.
 */
final class PluginStore {

    static final int MAX_KEYS = 256;
    static final int MAX_BYTES = 65_536;

    private final Map<String, byte[]> values = new HashMap<>();
    private int bytes;

    /** The value of a key; null if there is none. */
    byte[] get(String key) {
        return values.get(key);
    }

    /** Whether all of these entries fit within the limits; an empty value removes its key. */
    boolean fits(Map<String, byte[]> puts) {
        int keys = values.size();
        int size = bytes;
        for (Map.Entry<String, byte[]> put : puts.entrySet()) {
            byte[] previous = values.get(put.getKey());
            keys += (put.getValue().length > 0 ? 1 : 0) - (previous == null ? 0 : 1);
            size += size(put.getKey(), put.getValue()) - size(put.getKey(), previous);
        }
        return keys <= MAX_KEYS && size <= MAX_BYTES;
    }

    private static int size(String key, byte[] value) {
        return value == null || value.length == 0 ? 0 : key.length() + value.length;
    }

    /** Stores entries for which {@link #fits} returned true. */
    void put(Map<String, byte[]> puts) {
        puts.forEach((key, value) -> {
            bytes += size(key, value) - size(key, values.get(key));
            if (value.length == 0) {
                values.remove(key);
            } else {
                values.put(key, value);
            }
        });
    }
}
