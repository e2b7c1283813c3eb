package org.cypressweir.testkit;

import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/** Polls conditions of other processes until they hold, on threads of its own that {@link #close} ends. */
final class ConditionPoller implements AutoCloseable {

    private static final int POLL_INTERVAL_MILLIS = 15;
    private static final int THREADS = 4;

    private final ScheduledExecutorService executor = Executors.newScheduledThreadPool(THREADS, task -> {
        Thread thread = new Thread(task, "condition-poller");
        thread.setDaemon(true);
        return thread;
    });

    /** Waits until the condition holds. A condition that throws counts as one that does not hold yet. */
    void await(int timeoutMillis, Callable<Boolean> condition)
            throws InterruptedException, TimeoutException, ExecutionException {
        CompletableFuture<Void> satisfied = new CompletableFuture<>();
        ScheduledFuture<?> polling = executor.scheduleWithFixedDelay(
                () -> {
                    try {
                        if (condition.call()) {
                            satisfied.complete(null);
                        }
                    } catch (Exception e) {
                        // Not yet.
                    }
                },
                0,
                POLL_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
        try {
            satisfied.get(timeoutMillis, TimeUnit.MILLISECONDS);
        } finally {
            polling.cancel(false);
        }
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }
}
