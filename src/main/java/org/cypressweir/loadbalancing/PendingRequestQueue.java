package org.cypressweir.loadbalancing;

import java.util.Arrays;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * Requests that wait for a server, in the order in which they came, parted into lots (of one class and kind,
 * such as inside a tenant's share): the newest of a kind and the oldest of a lot are at hand whatever their
 * number.
 */
final class PendingRequestQueue<T extends PendingRequestQueue.Item> {

    /** What can wait; in one queue at most. */
    abstract static class Item {
        Item before;
        Item after;
        int lot = -1;
        long number;

        final boolean isHeld() {
            return lot >= 0;
        }
    }

    private final int kinds;
    private Item[] oldest = {};
    private Item[] newest = {};
    private long numbers;
    private int size;

    /** So many kinds of lots; lots of one kind are that many apart; further ones come with use. */
    PendingRequestQueue(int kinds) {
        this.kinds = kinds;
    }

    int size() {
        return size;
    }

    void add(T t, int lot) {
        Item item = t;
        if (lot >= newest.length) {
            int lots = (lot / kinds + 1) * kinds;
            oldest = Arrays.copyOf(oldest, lots);
            newest = Arrays.copyOf(newest, lots);
        }
        item.lot = lot;
        item.number = ++numbers;
        item.before = newest[lot];
        item.after = null;
        if (item.before == null) oldest[lot] = item;
        else item.before.after = item;
        newest[lot] = item;
        size++;
    }

    /** Takes out what is held; anything else stays as it is. */
    void remove(T t) {
        Item item = t;
        if (item.lot < 0) return;
        if (item.before == null) oldest[item.lot] = item.after;
        else item.before.after = item.after;
        if (item.after == null) newest[item.lot] = item.before;
        else item.after.before = item.before;
        item.lot = -1;
        size--;
    }

    /** The newest of the first kind of which there are any; null where nothing is held. */
    T newest() {
        T best = null;
        for (int kind = 0; kind < kinds && best == null; kind++) {
            best = newest(kind);
        }
        return best;
    }

    private T newest(int kind) {
        Item best = null;
        for (int lot = kind; lot < newest.length; lot += kinds) {
            if (newest[lot] != null && (best == null || newest[lot].number > best.number)) best = newest[lot];
        }
        return cast(best);
    }

    /** The oldest of a lot that passes; null where none does. */
    T oldest(int lot, Predicate<T> test) {
        Item item = lot < oldest.length ? oldest[lot] : null;
        while (item != null && !test.test(cast(item))) item = item.after;
        return cast(item);
    }

    boolean isBefore(T one, T other) {
        return one.number < other.number;
    }

    /** Shows each; it may take out the one that it is shown. */
    void forEach(Consumer<T> task) {
        for (Item first : oldest) {
            for (Item item = first, next; item != null; item = next) {
                next = item.after;
                task.accept(cast(item));
            }
        }
    }

    @SuppressWarnings("unchecked")
    private T cast(Item item) {
        return (T) item;
    }
}
