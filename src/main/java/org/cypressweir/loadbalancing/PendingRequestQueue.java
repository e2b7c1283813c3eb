package org.cypressweir.loadbalancing;

import java.util.Arrays;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * Queued requests in the order of arrival, in one lane per request class and priority: the newest of a priority and
 * the oldest of a lane are found quickly however many are queued. Lane numbers are class x priorities + priority; of
 * the priorities, 0 is served first.
 */
final class PendingRequestQueue<T extends PendingRequestQueue.Item> {

    /** A request that can be queued, in one queue at a time. */
    abstract static class Item {
        Item previous;
        Item next;
        int lane = -1;
        long sequence;

        final boolean isQueued() {
            return lane >= 0;
        }
    }

    private final int priorities;
    private Item[] oldest = {};
    private Item[] newest = {};
    private long lastSequence;
    private int size;

    /** Creates a queue with the given number of priorities; lanes are created on demand. */
    PendingRequestQueue(int priorities) {
        this.priorities = priorities;
    }

    int size() {
        return size;
    }

    void add(T t, int lane) {
        Item item = t;
        if (lane >= newest.length) {
            int lanes = (lane / priorities + 1) * priorities;
            oldest = Arrays.copyOf(oldest, lanes);
            newest = Arrays.copyOf(newest, lanes);
        }
        item.lane = lane;
        item.sequence = ++lastSequence;
        item.previous = newest[lane];
        item.next = null;
        if (item.previous == null) oldest[lane] = item;
        else item.previous.next = item;
        newest[lane] = item;
        size++;
    }

    /** Removes an item; does nothing if it is not queued. */
    void remove(T t) {
        Item item = t;
        if (item.lane < 0) return;
        if (item.previous == null) oldest[item.lane] = item.next;
        else item.previous.next = item.next;
        if (item.next == null) newest[item.lane] = item.previous;
        else item.next.previous = item.previous;
        item.lane = -1;
        size--;
    }

    /** The newest item of the first priority that has any; null if the queue is empty. */
    T newest() {
        T best = null;
        for (int priority = 0; priority < priorities && best == null; priority++) {
            best = newest(priority);
        }
        return best;
    }

    private T newest(int priority) {
        Item best = null;
        for (int lane = priority; lane < newest.length; lane += priorities) {
            if (newest[lane] != null && (best == null || newest[lane].sequence > best.sequence)) best = newest[lane];
        }
        return cast(best);
    }

    /** The oldest item of a lane that passes the test; null if none does. */
    T oldest(int lane, Predicate<T> test) {
        Item item = lane < oldest.length ? oldest[lane] : null;
        while (item != null && !test.test(cast(item))) item = item.next;
        return cast(item);
    }

    boolean isBefore(T one, T other) {
        return one.sequence < other.sequence;
    }

    /** Calls the task with each item; the task may remove that item. */
    void forEach(Consumer<T> task) {
        for (Item first : oldest) {
            for (Item item = first, next; item != null; item = next) {
                next = item.next;
                task.accept(cast(item));
            }
        }
    }

    @SuppressWarnings("unchecked")
    private T cast(Item item) {
        return (T) item;
    }
}
