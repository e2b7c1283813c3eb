package org.cypressweir.loadbalancing;

import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.ToLongFunction;

/**
 * Finds the items that are overdue: each has a time at which it was sent and a later one at which it is due. Most items
 * end soon after they were sent, so only those of a minimum age are ordered by the time at which they are due.
 *
 * <p>Not thread-safe. Items are compared by identity or by their own equality.
 *
 * @param <T> the type of the items
 */
final class OverdueQueue<T> {

    private final ToLongFunction<T> sentAt;
    private final ToLongFunction<T> dueAt;
    /** The items that are younger than the minimum age, in sending order. */
    private final Set<T> recent = new LinkedHashSet<>();
    /** The older items by the time at which they are due, including some that have been removed since. */
    private final PriorityQueue<T> older;

    OverdueQueue(ToLongFunction<T> sentAt, ToLongFunction<T> dueAt) {
        this.sentAt = sentAt;
        this.dueAt = dueAt;
        older = new PriorityQueue<>(Comparator.comparingLong(dueAt));
    }

    /** Adds an item, which must have been sent no earlier than those before it. */
    void add(T item) {
        recent.add(item);
    }

    /** Removes an item if it is still recent; an older one stays until it is polled. */
    void remove(T item) {
        recent.remove(item);
    }

    /** Takes out an item that is due and was sent at least the minimum age ago; null if there is none. */
    T pollOverdue(long now, double minimumAge) {
        for (var items = recent.iterator(); items.hasNext(); items.remove()) {
            T item = items.next();
            if (now - sentAt.applyAsLong(item) < minimumAge) {
                break;
            }
            older.add(item);
        }
        return older.isEmpty() || dueAt.applyAsLong(older.peek()) > now ? null : older.poll();
    }
}
