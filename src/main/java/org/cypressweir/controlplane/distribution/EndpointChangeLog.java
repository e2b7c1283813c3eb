package org.cypressweir.controlplane.distribution;

import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * A bounded log of the names of proxies whose registration has changed. A subscriber remembers the offset up to
 * which it has been updated and asks for the distinct names that have changed since; if the log no longer reaches
 * back that far, it needs a snapshot. Not thread-safe.
 */
public final class EndpointChangeLog {

    private static final int MAX_ENTRIES = 4_096;

    private final ArrayDeque<String> names = new ArrayDeque<>();
    private long endOffset;

    /** Appends a change of the named proxy. */
    public void append(String name) {
        names.addLast(name);
        endOffset++;
        if (names.size() > MAX_ENTRIES) {
            names.removeFirst();
        }
    }

    /** The offset after the last change. */
    public long endOffset() {
        return endOffset;
    }

    /** The names that have changed from this offset on, each once; null if the log does not hold that offset. */
    public Set<String> changedSince(long offset) {
        long firstOffset = endOffset - names.size();
        if (offset < firstOffset || offset > endOffset) {
            return null;
        }
        Set<String> changed = new LinkedHashSet<>();
        long current = firstOffset;
        for (String name : names) {
            if (current >= offset) {
                changed.add(name);
            }
            current++;
        }
        return changed;
    }
}
