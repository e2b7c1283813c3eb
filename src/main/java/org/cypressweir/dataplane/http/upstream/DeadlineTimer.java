package org.cypressweir.dataplane.http.upstream;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/** Rings once at the earliest time it was set to, or a little later. Who hears it sets it anew. */
final class DeadlineTimer {
    /** The shortest time that is waited for, so that a clock that lags behind the loop's costs little. */
    private static final long LEAST_MICROS = 500;

    private final EventLoop loop;
    private final LongSupplier micros;
    private final Runnable hears;
    private long setTo = Long.MAX_VALUE;
    private Future<?> timer;

    DeadlineTimer(EventLoop loop, LongSupplier micros, Runnable hears) {
        this.loop = loop;
        this.micros = micros;
        this.hears = hears;
    }

    void at(long time) {
        if (time >= setTo || loop.isShuttingDown()) {
            return;
        }
        off();
        setTo = time;
        timer = loop.schedule(this::rings, Math.max(LEAST_MICROS, time - micros.getAsLong()), TimeUnit.MICROSECONDS);
    }

    private void rings() {
        setTo = Long.MAX_VALUE;
        hears.run();
    }

    void off() {
        setTo = Long.MAX_VALUE;
        if (timer != null) {
            timer.cancel(false);
        }
    }
}
