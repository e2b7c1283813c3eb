package org.cypressweir.sidecar.plugin;

import java.util.HashMap;
import java.util.Map;

/**
 * What a plug-in keeps from one request for the next. It outlives instances that were thrown away, and is
 * gone with the plug-in; bounded in keys and bytes. What a call puts is taken over once the call has ended
 * well, all of it or nothing.
 */
final class PluginStore {

    static final int MOST_KEYS = 256;
    static final int MOST_BYTES = 65_536;

    private final Map<String, byte[]> values = new HashMap<>();
    private int bytes;

    /** Null where there is none. */
    byte[] get(String key) {
        return values.get(key);
    }

    /** Whether all of these would find room; an empty value takes its key away. */
    boolean fits(Map<String, byte[]> puts) {
        int keys = values.size();
        int size = bytes;
        for (Map.Entry<String, byte[]> put : puts.entrySet()) {
            byte[] before = values.get(put.getKey());
            keys += (put.getValue().length > 0 ? 1 : 0) - (before == null ? 0 : 1);
            size += size(put.getKey(), put.getValue()) - size(put.getKey(), before);
        }
        return keys <= MOST_KEYS && size <= MOST_BYTES;
    }

    private static int size(String key, byte[] value) {
        return value == null || value.length == 0 ? 0 : key.length() + value.length;
    }

    /** Takes over what {@link #fits}. */
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
