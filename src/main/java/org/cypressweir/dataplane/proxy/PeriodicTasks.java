package org.cypressweir.dataplane.proxy;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;
import org.jboss.logging.Logger;

/**
 * Runs the periodic tasks of a proxy on its event loop, in the order in which they were added: some at every tick,
 * others at every n-th tick. A task that throws ends the current tick, but neither the timer nor the process.
 *
 * <p>Tasks are added before {@link #start}, on one thread; the timer runs until the event loop ends.
 */
final class PeriodicTasks {

    /** Logs under the name of the process: operators find the process's own log lines by it. */
    private static final Logger LOG = Logger.getLogger(Proxy.class);

    private static final int TICK_MILLIS = 50;

    /**
     * @param ticks the period, in ticks
     * @param task takes the time at which the tick began, in microseconds
     */
    private record PeriodicTask(int ticks, LongConsumer task) {}

    private final EventLoop loop;
    private final LongSupplier clock;
    private final List<PeriodicTask> tasks = new ArrayList<>();
    private long ticks;

    PeriodicTasks(EventLoop loop, LongSupplier clock) {
        this.loop = loop;
        this.clock = clock;
    }

    /** Adds a task that runs at every tick; it takes the time at which the tick began, in microseconds. */
    void everyTick(LongConsumer task) {
        tasks.add(new PeriodicTask(1, task));
    }

    /** Adds a task that runs once in this many ticks. */
    void every(int ticksPerRun, Runnable task) {
        tasks.add(new PeriodicTask(ticksPerRun, now -> task.run()));
    }

    void start() {
        loop.scheduleAtFixedRate(this::tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void tick() {
        try {
            ticks++;
            long now = clock.getAsLong();
            for (PeriodicTask each : tasks) {
                if (ticks % each.ticks == 0) {
                    each.task.accept(now);
                }
            }
        } catch (RuntimeException | Error e) {
            // The executor stops repeating a periodic task that throws.
            LOG.error("A tick failed.", e);
        }
    }
}
