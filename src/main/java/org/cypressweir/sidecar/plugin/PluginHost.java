package org.cypressweir.sidecar.plugin;

import com.dylibso.chicory.runtime.ChicoryInterruptedException;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicReference;
import org.cypressweir.sidecar.route.PluginConfiguration;

/**
 * Runs one plug-in on a thread of its own. Callers never block: they receive the requested changes later, on their own
 * executor, or cancel the call. A call that is cancelled while it runs is interrupted, which the WebAssembly runtime
 * checks in every loop and call, and the instance is discarded.
 */
public final class PluginHost implements AutoCloseable {

    /** The most calls that may wait for the thread; further calls fail immediately. */
    static final int MAX_QUEUED_CALLS = 256;

    private static final long STACK_BYTES = 512 * 1024;
    private static final long START_TIMEOUT_MILLIS = 2_000;
    /** Warm-up calls with a synthetic request before the first real one, and how long they may take. */
    private static final int WARM_UP_CALLS = 20;

    private static final long WARM_UP_TIMEOUT_MILLIS = 150;
    private static final RequestView WARM_UP_REQUEST = new RequestView("GET", "/", Map.of(), "");
    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

    /** Receives the result of a call, once, unless the call is cancelled. */
    public interface ResultListener {
        void done(RequestedChanges changes);

        /** The call trapped, exceeded a limit, or could not be made. */
        void failed(String reason);
    }

    private enum State {
        QUEUED,
        RUNNING,
        DONE,
        CANCELLED
    }

    /** A call that is queued, running or completed. */
    public final class Call {
        private final RequestView request;
        private final ResultListener listener;
        private final AtomicReference<State> state = new AtomicReference<>(State.QUEUED);
        private final long cpuMicrosBefore = cpuMicros();

        private Call(RequestView request, ResultListener listener) {
            this.request = request;
            this.listener = listener;
        }

        /** CPU time of the plug-in's thread since this call was submitted, in microseconds; -1 if unknown. */
        public long cpuMicrosUsed() {
            long now = cpuMicros();
            return now < 0 || cpuMicrosBefore < 0 ? -1 : now - cpuMicrosBefore;
        }

        /** Cancels the call; true if it had not completed, and then its listener is not notified. */
        public boolean cancel() {
            if (state.compareAndSet(State.QUEUED, State.CANCELLED)) {
                return true;
            }
            if (state.compareAndSet(State.RUNNING, State.CANCELLED)) {
                thread.interrupt();
                return true;
            }
            return false;
        }
    }

    private final PluginConfiguration configuration;
    private final Executor resultExecutor;
    private final PluginModule module;
    private final BlockingQueue<Call> calls = new ArrayBlockingQueue<>(MAX_QUEUED_CALLS);
    private final Thread thread;
    private final CompletableFuture<Void> started = new CompletableFuture<>();
    private final CompletableFuture<Void> warmedUp = new CompletableFuture<>();
    private volatile boolean closed;

    /**
     * Compiles and starts a module.
     *
     * @param resultExecutor executor on which listeners are notified
     * @throws InvalidPluginException if the module is not a valid plug-in, or its start fails or takes more than 2 s
     */
    public PluginHost(PluginConfiguration configuration, Executor resultExecutor) throws InvalidPluginException {
        this.configuration = configuration;
        this.resultExecutor = resultExecutor;
        module = new PluginModule(configuration);
        thread = new Thread(null, this::run, "plug-in " + configuration.name(), STACK_BYTES);
        thread.setDaemon(true);
        thread.start();
        try {
            started.get(START_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            awaitWarmUp();
        } catch (ExecutionException e) {
            close();
            throw e.getCause() instanceof InvalidPluginException b
                    ? b
                    : new InvalidPluginException("its start failed: " + PluginModule.describe(e.getCause()), e);
        } catch (TimeoutException e) {
            close();
            throw new InvalidPluginException("its start took longer than " + START_TIMEOUT_MILLIS + " ms", e);
        } catch (InterruptedException e) {
            close();
            Thread.currentThread().interrupt();
            throw new InvalidPluginException("interrupted", e);
        }
    }

    /** Waits for the warm-up calls; interrupts them after the time-out, as calls with real requests are. */
    private void awaitWarmUp() throws InterruptedException, ExecutionException {
        try {
            warmedUp.get(WARM_UP_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (TimeoutException e) {
            thread.interrupt();
        }
    }

    private long cpuMicros() {
        long nanos = THREADS.isThreadCpuTimeSupported() ? THREADS.getThreadCpuTime(thread.getId()) : -1;
        return nanos < 0 ? -1 : nanos / 1_000;
    }

    /** The configuration of the plug-in that this host runs. */
    public PluginConfiguration configuration() {
        return configuration;
    }

    /** The host functions that the module imports. */
    public List<String> imports() {
        return module.imports();
    }

    /** Calls the plug-in for a request; returns without waiting for the result. */
    public Call submit(RequestView request, ResultListener listener) {
        Call call = new Call(request, listener);
        if (closed || !calls.offer(call)) {
            call.state.set(State.DONE);
            resultExecutor.execute(() -> listener.failed(
                    closed ? "the plug-in is closed" : "more than " + MAX_QUEUED_CALLS + " calls are queued"));
        }
        return call;
    }

    private void run() {
        try {
            module.instantiate();
            started.complete(null);
            warmUp();
        } catch (InvalidPluginException
                | RuntimeException
                | AssertionError
                | LinkageError
                | StackOverflowError
                | OutOfMemoryError e) {
            started.completeExceptionally(e);
            return;
        }
        warmedUp.complete(null);
        while (!closed) {
            try {
                execute(calls.take());
            } catch (InterruptedException e) {
                // A late interrupt for a call that had already completed, or the host is closing.
                Thread.interrupted();
            }
        }
    }

    /**
     * Makes warm-up calls, because the first calls are the slowest by far and would exceed the deadline. Their results
     * and stored values are dropped, and the instance is discarded. The first request creates the new instance in
     * {@link #execute}, not here: a late interrupt for a warm-up call that hit the instantiation here would end the
     * thread.
     */
    private void warmUp() {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(WARM_UP_TIMEOUT_MILLIS / 2);
        try {
            for (int i = 0; i < WARM_UP_CALLS && System.nanoTime() < end; i++) {
                module.onRequest(WARM_UP_REQUEST);
            }
        } catch (RuntimeException | AssertionError | LinkageError | StackOverflowError | OutOfMemoryError e) {
            // A trap may be correct for the synthetic request; real requests show whether the plug-in works.
            Thread.interrupted();
        }
        module.discard();
    }

    private void execute(Call call) {
        if (!call.state.compareAndSet(State.QUEUED, State.RUNNING)) {
            return;
        }
        RequestedChanges changes = null;
        String failure = null;
        // A late interrupt for the previous call may have hit this one, so an interrupted call is tried once more.
        for (int tries = 0; tries < 2 && changes == null && call.state.get() == State.RUNNING; tries++) {
            try {
                if (!module.isInstantiated()) {
                    module.instantiate();
                }
                changes = module.onRequest(call.request);
            } catch (InvalidPluginException
                    | RuntimeException
                    | AssertionError
                    | LinkageError
                    | StackOverflowError
                    | OutOfMemoryError e) {
                module.discard();
                failure = PluginModule.describe(e);
                if (!(e instanceof ChicoryInterruptedException)) {
                    break;
                }
                Thread.interrupted();
            }
        }
        boolean completed = call.state.compareAndSet(State.RUNNING, State.DONE);
        // An interrupt meant for this call must not hit the next one.
        Thread.interrupted();
        if (!completed) {
            module.discard();
            return;
        }
        if (changes != null) {
            module.commitStore();
        }
        RequestedChanges result = changes;
        String reason = failure;
        resultExecutor.execute(() -> {
            if (result != null) {
                call.listener.done(result);
            } else {
                call.listener.failed(reason);
            }
        });
    }

    /** Interrupts the running call and ends the thread after it; queued calls fail. */
    @Override
    public void close() {
        closed = true;
        thread.interrupt();
        for (Call c; (c = calls.poll()) != null; ) {
            if (c.state.compareAndSet(State.QUEUED, State.DONE)) {
                Call queued = c;
                resultExecutor.execute(() -> queued.listener.failed("the plug-in is closed"));
            }
        }
    }
}
