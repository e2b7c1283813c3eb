package org.cypressweir.dataplane.proxy;

import io.netty.channel.EventLoop;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.cypressweir.dataplane.http.server.HttpListener;

/**
 * Ends the proxy on SIGTERM without losing a request: clients may connect for a quiet period, so that load
 * balancers in front of the proxy see that it is not ready; then the listener drains, and the proxy ends as
 * soon as nothing is in flight, or shortly before the grace period is over.
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
     * @param listener of clients' requests; gives null where it was not opened and will not be
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
     * @param onStart run first on the event loop: says everywhere that this proxy shuts down
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
        HttpListener open = listener.get();
        boolean isQuietPeriodOver = open == null || now > quietUntil;
        if (open != null && isQuietPeriodOver) {
            // Connected clients get one more response, then their connection closes.
            open.stopListening();
            open.drain();
        }
        boolean isIdle = (open == null || open.connections() == 0) && isUpstreamIdle.getAsBoolean();
        if (now > forcedEndAt || isQuietPeriodOver && isIdle) {
            drained.countDown();
        }
    }
}
