package org.cypressweir.controlplane.distribution;

import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.Set;

/** Names of what has changed, by place: who stands at a place is told the names from there on, once each. */
public final class EndpointChangeLog {

    private static final int MOST = 4_096;

    private final ArrayDeque<String> names = new ArrayDeque<>();
    private long end;

    /** Something about this name has changed. */
    public void changed(String name) {
        names.addLast(name);
        end++;
        if (names.size() > MOST) {
            names.removeFirst();
        }
    }

    /** The place behind all changes. */
    public long end() {
        return end;
    }

    /** Names that have changed since this place; null where the log does not reach back so far. */
    public Set<String> since(long place) {
        long first = end - names.size();
        if (place < first || place > end) {
            return null;
        }
        Set<String> changed = new LinkedHashSet<>();
        long at = first;
        for (String name : names) {
            if (at++ >= place) {
                changed.add(name);
            }
        }
        return changed;
    }
}
