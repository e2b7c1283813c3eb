package org.cypressweir.dataplane.proxy;

import io.netty.channel.EventLoop;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.cypressweir.dataplane.http.server.HttpListener;

/**
 * Shuts the proxy down on SIGTERM without losing a request. During a quiet period clients may still connect, while load
 * balancers in front of the proxy find out that it is not ready. Then the listener drains, and the shutdown completes
 * as soon as nothing is in flight, or shortly before the grace period is over.
 *
 * <p>{@link #run} blocks the thread of the shutdown hook; the checks run on the event loop.
 */
final class GracefulShutdown {

    private static final long CHECK_INTERVAL_MILLIS = 20;
    private static final long MAX_QUIET_PERIOD_MICROS = 3_000_000;
    private static final double USABLE_GRACE_PART = 0.85;

    private final EventLoop loop;
    private final LongSupplier clock;
    private final Supplier<HttpListener> listener;
    private final BooleanSupplier isUpstreamIdle;

    /**
     * @param listener gives the listener for clients' requests; null if it was not opened and never will be
     * @param isUpstreamIdle whether no request is in flight at any application instance
     */
    GracefulShutdown(
            EventLoop loop, LongSupplier clock, Supplier<HttpListener> listener, BooleanSupplier isUpstreamIdle) {
        this.loop = loop;
        this.clock = clock;
        this.listener = listener;
        this.isUpstreamIdle = isUpstreamIdle;
    }

    /**
     * Drains and waits until nothing is in flight, for the grace period at most.
     *
     * @param onStart runs first, on the event loop: announces that this proxy shuts down
     */
    void run(long gracePeriodMicros, Runnable onStart) {
        long forcedEndAt = clock.getAsLong() + (long) (gracePeriodMicros * USABLE_GRACE_PART);
        loop.execute(onStart);
        CountDownLatch drained = new CountDownLatch(1);
        long quietUntil = clock.getAsLong() + Math.min(MAX_QUIET_PERIOD_MICROS, gracePeriodMicros / 2);
        loop.scheduleAtFixedRate(
                () -> check(quietUntil, forcedEndAt, drained),
                CHECK_INTERVAL_MILLIS,
                CHECK_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
        try {
            drained.await(gracePeriodMicros, TimeUnit.MICROSECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void check(long quietUntil, long forcedEndAt, CountDownLatch drained) {
        long now = clock.getAsLong();
        HttpListener openListener = listener.get();
        boolean isQuietPeriodOver = openListener == null || now > quietUntil;
        if (openListener != null && isQuietPeriodOver) {
            // Each connected client gets one more response, then its connection is closed.
            openListener.stopListening();
            openListener.drain();
        }
        boolean isIdle = (openListener == null || openListener.connections() == 0) && isUpstreamIdle.getAsBoolean();
        if (now > forcedEndAt || isQuietPeriodOver && isIdle) {
            drained.countDown();
        }
    }
}
