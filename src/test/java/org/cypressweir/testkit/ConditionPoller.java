package org.cypressweir.testkit;

import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.BooleanSupplier;

/** Polls conditions on other processes until they hold, on threads of its own that {@link #close} ends. */
final class ConditionPoller implements AutoCloseable {

    private static final int POLL_INTERVAL_MILLIS = 15;
    private static final int THREADS = 4;
    /** A process that has not started by then is taken to hang. */
    private static final int MAX_START_MILLIS = 60_000;

    private final ScheduledExecutorService executor = Executors.newScheduledThreadPool(THREADS, task -> {
        Thread thread = new Thread(task, "condition-poller");
        thread.setDaemon(true);
        return thread;
    });

    /** Waits until the condition holds. A condition that throws counts as one that does not hold yet. */
    void await(int timeoutMillis, Callable<Boolean> condition)
            throws InterruptedException, TimeoutException, ExecutionException {
        await(timeoutMillis, () -> true, condition);
    }

    /**
     * Waits until the condition holds.
     *
     * @param hasStarted the time-out begins once this holds, so that the time that processes take to start is left out
     */
    void await(int timeoutMillis, BooleanSupplier hasStarted, Callable<Boolean> condition)
            throws InterruptedException, TimeoutException, ExecutionException {
        CompletableFuture<Void> satisfied = new CompletableFuture<>();
        CompletableFuture<Void> started = new CompletableFuture<>();
        started.thenRun(() -> satisfied.orTimeout(timeoutMillis, TimeUnit.MILLISECONDS));
        ScheduledFuture<?> starting = poll(hasStarted::getAsBoolean, started);
        ScheduledFuture<?> polling = poll(condition, satisfied);
        try {
            satisfied.get(MAX_START_MILLIS + timeoutMillis, TimeUnit.MILLISECONDS);
        } finally {
            starting.cancel(false);
            polling.cancel(false);
        }
    }

    private ScheduledFuture<?> poll(Callable<Boolean> condition, CompletableFuture<Void> satisfied) {
        return executor.scheduleWithFixedDelay(
                () -> {
                    try {
                        if (!satisfied.isDone() && condition.call()) {
                            satisfied.complete(null);
                        }
                    } catch (Exception e) {
                        // The condition does not hold yet.
                    }
                },
                0,
                POLL_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }
}
