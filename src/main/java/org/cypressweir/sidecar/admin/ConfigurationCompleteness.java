package org.cypressweir.sidecar.admin;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Whether a configuration that was read again is whole: it has all that the one in force has, each of its
 * kind. A file that is being written, or that lost a key, would be taken for one with other defaults.
 */
public final class ConfigurationCompleteness {

    /** May come and go: a list of servers, a seed and an address that hold from the start to the end. */
    private static final Set<String> FREE = Set.of("known", "seed", "operator");

    private final Map<?, ?> inForce;

    public ConfigurationCompleteness(Map<?, ?> document) {
        Map<Object, Object> kept = new LinkedHashMap<>(document);
        kept.keySet().removeAll(FREE);
        inForce = kept;
    }

    /** What is wrong with another document, as a line; null for nothing. */
    public String fault(Map<?, ?> next) {
        return object("", inForce, next);
    }

    private static String object(String path, Map<?, ?> wanted, Map<?, ?> found) {
        for (Map.Entry<?, ?> e : wanted.entrySet()) {
            String name = path + e.getKey();
            Object value = found.get(e.getKey());
            String fault = value == null ? "'" + name + "' is missing" : value(name, e.getValue(), value);
            if (fault != null) {
                return fault;
            }
        }
        return null;
    }

    private static String value(String name, Object wanted, Object found) {
        if (wanted instanceof Map<?, ?> w) {
            return found instanceof Map<?, ?> f ? object(name + ".", w, f) : "'" + name + "' is no object";
        }
        if (wanted instanceof List<?> w) {
            return found instanceof List<?> f ? list(name, w, f) : "'" + name + "' is no list";
        }
        if (wanted instanceof Number) {
            return found instanceof Number ? null : "'" + name + "' is no number";
        }
        return wanted == null || wanted.getClass() == found.getClass() ? null : "'" + name + "' is of another kind";
    }

    /** Entries may be others and more or fewer; each has what the first one has that holds now. */
    private static String list(String name, List<?> wanted, List<?> found) {
        if (wanted.isEmpty()) {
            return null;
        }
        for (int i = 0; i < found.size(); i++) {
            String fault = value(name + "[" + i + "]", wanted.get(0), found.get(i));
            if (fault != null) {
                return fault;
            }
        }
        return null;
    }
}
