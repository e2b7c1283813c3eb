package org.cypressweir.loadbalancing;

import java.util.HashMap;
import java.util.Map;

/** Counters by name; a counter at 0 takes no memory. */
final class CounterMap {

    private final Map<String, Integer> counts = new HashMap<>();

    /** Adds to a counter and returns the new count. */
    int add(String name, int change) {
        Integer after = counts.merge(name, change, (a, b) -> a + b == 0 ? null : Integer.valueOf(a + b));
        return after == null ? 0 : after;
    }

    int get(String name) {
        return counts.getOrDefault(name, 0);
    }
}
