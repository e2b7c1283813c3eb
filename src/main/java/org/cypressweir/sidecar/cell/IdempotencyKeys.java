package org.cypressweir.sidecar.cell;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/**
 * Remembers the cells of keyed requests for as long as servers deduplicate them: while a unit moves, a retry must go to
 * the cell that got the first request. Memory is bounded: if it is full, the oldest key is forgotten, and
 * {@link #completeSince} tells that earlier keys may be missing.
 */
final class IdempotencyKeys {

    private record Use(long token, long usedAt) {}

    private static final class Entry {
        private final int cell;
        private long lastUsedAt;

        Entry(int cell, long lastUsedAt) {
            this.cell = cell;
            this.lastUsedAt = lastUsedAt;
        }
    }

    private final int maxTokens;
    private final Map<Long, Entry> byToken = new HashMap<>();
    /** In the order of use; a token that was used repeatedly is in it once for each use. */
    private final ArrayDeque<Use> uses = new ArrayDeque<>();

    private long completeSince;

    /** @param maxTokens how many tokens are remembered at most, and half of how many uses of them */
    IdempotencyKeys(int maxTokens) {
        this.maxTokens = maxTokens;
    }

    /** Since when all recorded keys are remembered, apart from expired ones. */
    long completeSince() {
        return completeSince;
    }

    /** Sets that keys are recorded only from this time on. */
    void startRecording(long now) {
        completeSince = Math.max(completeSince, now);
    }

    /** The cell of a token that was used within the window; -1 for any other. */
    int cellOf(long now, long window, long token) {
        Entry entry = byToken.get(token);
        return entry == null || now - entry.lastUsedAt >= window ? -1 : entry.cell;
    }

    /** Records that a keyed request was sent to a cell; a retry keeps the cell of the first request. */
    void recordUse(long now, long window, long token, int cell) {
        removeExpired(now - window);
        byToken.computeIfAbsent(token, t -> new Entry(cell, now)).lastUsedAt = now;
        uses.addLast(new Use(token, now));
        while (byToken.size() > maxTokens || uses.size() > 2 * maxTokens) {
            Use first = uses.pollFirst();
            Entry e = byToken.get(first.token);
            if (e != null && e.lastUsedAt == first.usedAt) {
                byToken.remove(first.token);
                completeSince = now;
            }
        }
    }

    private void removeExpired(long expiryTime) {
        while (!uses.isEmpty() && uses.peekFirst().usedAt <= expiryTime) {
            Use first = uses.pollFirst();
            Entry e = byToken.get(first.token);
            if (e != null && e.lastUsedAt <= expiryTime) {
                byToken.remove(first.token);
            }
        }
    }

    int size() {
        return byToken.size();
    }
}
