package org.cypressweir.dataplane.proxy;

import java.util.concurrent.Callable;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import org.jboss.logging.Logger;

/**
 * Runs work that would block the event loop, such as parsing a thousand routes, on a worker thread: one task at a time,
 * with the results delivered on the event loop in the same order.
 */
final class BackgroundTask {

    private static final Logger LOG = Logger.getLogger(BackgroundTask.class);

    private final Executor worker;
    private final Executor loop;

    /** @param worker has one thread, so that tasks run in order */
    BackgroundTask(Executor worker, Executor loop) {
        this.worker = worker;
        this.loop = loop;
    }

    /** Runs the work on the worker; if it throws, the exception is logged and nothing is delivered. */
    <T> void run(Callable<T> work, Consumer<T> onResult) {
        worker.execute(() -> {
            try {
                T result = work.call();
                loop.execute(() -> onResult.accept(result));
            } catch (Exception e) {
                // The work parses what other processes sent: malformed data must not end the worker.
                LOG.warn("Received data can't be used: error=\"" + e.getMessage() + "\"");
            }
        });
    }
}
