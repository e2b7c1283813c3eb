package org.cypressweir.sidecar.admin;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Checks that a reloaded configuration is complete: it must have all keys of the one in force, with values of the same
 * types. Otherwise a file that is still being written, or that lost a key, would be read as one with default values.
 */
public final class ConfigurationCompleteness {

    /** Keys that may be missing: a list of servers, a seed and an address, which never change after the start. */
    private static final Set<String> OPTIONAL_KEYS = Set.of("known", "seed", "operator");

    private final Map<?, ?> inForce;

    public ConfigurationCompleteness(Map<?, ?> document) {
        Map<Object, Object> required = new LinkedHashMap<>(document);
        required.keySet().removeAll(OPTIONAL_KEYS);
        inForce = required;
    }

    /** Describes what another document lacks, in one line; null if it is complete. */
    public String findMissing(Map<?, ?> next) {
        return checkObject("", inForce, next);
    }

    private static String checkObject(String path, Map<?, ?> expected, Map<?, ?> found) {
        for (Map.Entry<?, ?> e : expected.entrySet()) {
            String name = path + e.getKey();
            Object value = found.get(e.getKey());
            String fault = value == null ? "'" + name + "' is missing" : checkValue(name, e.getValue(), value);
            if (fault != null) {
                return fault;
            }
        }
        return null;
    }

    private static String checkValue(String name, Object expected, Object found) {
        if (expected instanceof Map<?, ?> w) {
            return found instanceof Map<?, ?> f ? checkObject(name + ".", w, f) : "'" + name + "' is no object";
        }
        if (expected instanceof List<?> w) {
            return found instanceof List<?> f ? checkList(name, w, f) : "'" + name + "' is no list";
        }
        if (expected instanceof Number) {
            return found instanceof Number ? null : "'" + name + "' is no number";
        }
        return expected == null || expected.getClass() == found.getClass() ? null : "'" + name + "' is of another kind";
    }

    /** Entries may differ in content and number; each must have the keys of the first entry in force. */
    private static String checkList(String name, List<?> expected, List<?> found) {
        if (expected.isEmpty()) {
            return null;
        }
        for (int i = 0; i < found.size(); i++) {
            String fault = checkValue(name + "[" + i + "]", expected.get(0), found.get(i));
            if (fault != null) {
                return fault;
            }
        }
        return null;
    }
}
