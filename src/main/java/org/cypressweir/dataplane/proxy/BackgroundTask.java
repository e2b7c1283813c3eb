package org.cypressweir.dataplane.proxy;

import java.util.concurrent.Callable;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import org.jboss.logging.Logger;

/**
 * Work that would hold the loop up, such as reading a thousand routes: it is done beside the loop, one piece
 * after the other, and what came of it is told on the loop in the same order.
 */
final class BackgroundTask {

    private static final Logger LOG = Logger.getLogger(BackgroundTask.class);

    private final Executor worker;
    private final Executor loop;

    /** @param worker one thread, so that the order holds */
    BackgroundTask(Executor worker, Executor loop) {
        this.worker = worker;
        this.loop = loop;
    }

    <T> void run(Callable<T> work, Consumer<T> then) {
        worker.execute(() -> {
            try {
                T made = work.call();
                loop.execute(() -> then.accept(made));
            } catch (Exception e) {
                LOG.warn("What came can't be used: " + e.getMessage());
            }
        });
    }
}
