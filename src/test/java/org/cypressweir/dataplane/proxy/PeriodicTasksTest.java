package org.cypressweir.dataplane.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Periods and order of periodic tasks, and the effect of a failing task on the others. */
class PeriodicTasksTest {

    private static final int TICK_MILLIS = 50;

    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final List<String> runs = new ArrayList<>();
    private final PeriodicTasks tasks = new PeriodicTasks(channel.eventLoop(), () -> 7);

    @Test
    void tasksRunInTheirOrderAndAtTheirPeriods() {
        channel.freezeTime();
        tasks.everyTick(now -> runs.add("a" + now));
        tasks.every(3, () -> runs.add("b"));
        tasks.everyTick(now -> runs.add("c"));
        tasks.start();
        advance(6);
        assertThat(runs).containsExactly("a7", "c", "a7", "c", "a7", "b", "c", "a7", "c", "a7", "c", "a7", "b", "c");
    }

    @Test
    void failedTaskEndsItsTickAndNotTheTimer() {
        channel.freezeTime();
        tasks.everyTick(now -> runs.add("before"));
        tasks.every(2, () -> {
            throw new IllegalStateException("planted");
        });
        tasks.everyTick(now -> runs.add("after"));
        tasks.start();
        advance(3);
        assertThat(runs).containsExactly("before", "after", "before", "before", "after");
    }

    private void advance(int ticks) {
        for (int i = 0; i < ticks; i++) {
            channel.advanceTimeBy(TICK_MILLIS, TimeUnit.MILLISECONDS);
            channel.runScheduledPendingTasks();
        }
    }
}
