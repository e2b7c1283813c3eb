package org.cypressweir.dataplane.http.upstream;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * A one-shot timer that fires at the earliest of the times it was scheduled for, or slightly later. The callback
 * schedules it again. For the event loop only.
 */
final class DeadlineTimer {
    /** The shortest delay: if the clock lags behind the event loop's, the timer must not fire in a tight loop. */
    private static final long MIN_DELAY_MICROS = 500;

    private final EventLoop loop;
    private final LongSupplier clockMicros;
    private final Runnable callback;
    private long scheduledAt = Long.MAX_VALUE;
    private Future<?> timeout;

    DeadlineTimer(EventLoop loop, LongSupplier clockMicros, Runnable callback) {
        this.loop = loop;
        this.clockMicros = clockMicros;
        this.callback = callback;
    }

    /** Schedules the callback for this time, unless it is already scheduled for an earlier one. */
    void schedule(long timeMicros) {
        if (timeMicros >= scheduledAt || loop.isShuttingDown()) {
            return;
        }
        cancel();
        scheduledAt = timeMicros;
        long delay = Math.max(MIN_DELAY_MICROS, timeMicros - clockMicros.getAsLong());
        timeout = loop.schedule(this::fire, delay, TimeUnit.MICROSECONDS);
    }

    private void fire() {
        scheduledAt = Long.MAX_VALUE;
        callback.run();
    }

    void cancel() {
        scheduledAt = Long.MAX_VALUE;
        if (timeout != null) {
            timeout.cancel(false);
        }
    }
}
