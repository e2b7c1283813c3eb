package org.cypressweir.sidecar.cell;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/**
 * At which cell keyed requests were, for as long as servers drop their repeats. While a unit moves, a repeat
 * must go to the cell that knows the first. Bounded: the oldest is forgotten where it is full, and from then
 * on {@link #completeSince} says that what is older may be unknown.
 */
final class IdempotencyKeys {

    private record Seen(long token, long at) {}

    private static final class Entry {
        private final int cell;
        private long lastAt;

        Entry(int cell, long lastAt) {
            this.cell = cell;
            this.lastAt = lastAt;
        }
    }

    private final int most;
    private final Map<Long, Entry> byToken = new HashMap<>();
    /** In the order of use; a token that was used again stands in it more than once. */
    private final ArrayDeque<Seen> order = new ArrayDeque<>();

    private long completeSince;

    /** @param most tokens that are remembered; the order holds twice as many uses */
    IdempotencyKeys(int most) {
        this.most = most;
    }

    /** From when on every keyed request that was told is known. */
    long completeSince() {
        return completeSince;
    }

    /** Nothing before this time was told. */
    void begin(long now) {
        completeSince = Math.max(completeSince, now);
    }

    /** The cell of a token that is remembered; -1 for others. */
    int cellOf(long now, long window, long token) {
        Entry e = byToken.get(token);
        return e == null || now - e.lastAt >= window ? -1 : e.cell;
    }

    /** A keyed request has gone to a cell; a repeat keeps the cell of the first. */
    void used(long now, long window, long token, int cell) {
        forget(now - window);
        byToken.computeIfAbsent(token, t -> new Entry(cell, now)).lastAt = now;
        order.addLast(new Seen(token, now));
        while (byToken.size() > most || order.size() > 2 * most) {
            Seen first = order.pollFirst();
            Entry e = byToken.get(first.token);
            if (e != null && e.lastAt == first.at) {
                byToken.remove(first.token);
                completeSince = now;
            }
        }
    }

    private void forget(long before) {
        while (!order.isEmpty() && order.peekFirst().at <= before) {
            Seen first = order.pollFirst();
            Entry e = byToken.get(first.token);
            if (e != null && e.lastAt <= before) {
                byToken.remove(first.token);
            }
        }
    }

    int size() {
        return byToken.size();
    }
}
