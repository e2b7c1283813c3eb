package org.cypressweir.loadbalancing;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class OverdueQueueTest {

    private static final double MINIMUM_AGE = 10;

    private record Item(long sentAt, long dueAt) {}

    private final OverdueQueue<Item> queue = new OverdueQueue<>(Item::sentAt, Item::dueAt);

    @Test
    void overdueItemsAreTakenOutInTheOrderOfTheirTimes() {
        Item slow = add(0, 100);
        Item fast = add(1, 50);
        assertThat(queue.pollOverdue(49, MINIMUM_AGE)).isNull();
        assertThat(queue.pollOverdue(100, MINIMUM_AGE)).isEqualTo(fast);
        assertThat(queue.pollOverdue(100, MINIMUM_AGE)).isEqualTo(slow);
        assertThat(queue.pollOverdue(100, MINIMUM_AGE)).isNull();
    }

    @Test
    void itemBelowTheMinimumAgeIsNotTakenOutThoughItIsDue() {
        Item item = add(0, 5);
        assertThat(queue.pollOverdue(9, MINIMUM_AGE)).isNull();
        assertThat(queue.pollOverdue(10, MINIMUM_AGE)).isEqualTo(item);
    }

    @Test
    void removedItemIsNotTakenOut() {
        queue.remove(add(0, 20));
        assertThat(queue.pollOverdue(20, MINIMUM_AGE)).isNull();
    }

    private Item add(long sentAt, long dueAt) {
        Item item = new Item(sentAt, dueAt);
        queue.add(item);
        return item;
    }
}
