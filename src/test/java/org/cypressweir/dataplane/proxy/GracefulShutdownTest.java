package org.cypressweir.dataplane.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Shutdown of a proxy on SIGTERM. */
class GracefulShutdownTest {

    private static final long GRACE_MICROS = TimeUnit.MINUTES.toMicros(10);

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();

    @AfterEach
    void stop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    /** SIGTERM may arrive before the listener for clients is open. */
    @Test
    @Timeout(60)
    void endsWithoutAListenerOnceNothingIsInFlight() {
        AtomicBoolean isIdle = new AtomicBoolean();
        AtomicBoolean hasStarted = new AtomicBoolean();
        loop.schedule(() -> isIdle.set(true), 100, TimeUnit.MILLISECONDS);
        new GracefulShutdown(loop, () -> System.nanoTime() / 1_000, () -> null, isIdle::get)
                .run(GRACE_MICROS, () -> hasStarted.set(true));
        assertThat(isIdle).isTrue();
        assertThat(hasStarted).isTrue();
    }
}
