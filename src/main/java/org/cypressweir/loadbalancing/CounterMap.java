package org.cypressweir.loadbalancing;

import java.util.HashMap;
import java.util.Map;

/** Counts by name; what is at 0 takes no room. */
final class CounterMap {

    private final Map<String, Integer> counts = new HashMap<>();

    /** The count after a change. */
    int add(String name, int change) {
        Integer after = counts.merge(name, change, (a, b) -> a + b == 0 ? null : Integer.valueOf(a + b));
        return after == null ? 0 : after;
    }

    int of(String name) {
        return counts.getOrDefault(name, 0);
    }
}
