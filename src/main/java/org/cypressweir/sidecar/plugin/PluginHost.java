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
 * One plug-in on a thread of its own. The one who asks never waits: it hears of what the plug-in wishes
 * later, on its own executor, or withdraws the call. A call that is withdrawn while it runs is interrupted,
 * which the runtime looks for in every loop and call, and the instance is thrown away.
 */
public final class PluginHost implements AutoCloseable {

    /** Calls that wait for the thread; beyond, one fails at once. */
    static final int WAITING = 256;

    private static final long STACK = 512 * 1024;
    private static final long BEGIN_MILLIS = 2_000;
    /** Calls with a made-up request before the first real one, and how long they may take. */
    private static final int WARM_CALLS = 20;

    private static final long WARM_MILLIS = 150;
    private static final RequestView MADE_UP = new RequestView("GET", "/", Map.of(), "");
    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

    /** What is heard of a call, once, unless it is withdrawn. */
    public interface Heard {
        void done(RequestedChanges wishes);

        /** It trapped, passed a bound, or could not be called. */
        void failed(String why);
    }

    private enum State {
        WAITS,
        RUNS,
        OVER,
        WITHDRAWN
    }

    /** A call on its way. */
    public final class Call {
        private final RequestView request;
        private final Heard heard;
        private final AtomicReference<State> state = new AtomicReference<>(State.WAITS);
        private final long usedBefore = usedMicros();

        private Call(RequestView request, Heard heard) {
            this.request = request;
            this.heard = heard;
        }

        /** Microseconds of a processor that the plug-in's thread had since this was asked; -1 if unknown. */
        public long used() {
            long now = usedMicros();
            return now < 0 || usedBefore < 0 ? -1 : now - usedBefore;
        }

        /** Nobody waits for it any more; true where it was not over, and then nothing is heard of it. */
        public boolean withdraw() {
            if (state.compareAndSet(State.WAITS, State.WITHDRAWN)) {
                return true;
            }
            if (state.compareAndSet(State.RUNS, State.WITHDRAWN)) {
                thread.interrupt();
                return true;
            }
            return false;
        }
    }

    private final PluginConfiguration spec;
    private final Executor answers;
    private final PluginModule guest;
    private final BlockingQueue<Call> calls = new ArrayBlockingQueue<>(WAITING);
    private final Thread thread;
    private final CompletableFuture<Void> begun = new CompletableFuture<>();
    private final CompletableFuture<Void> warm = new CompletableFuture<>();
    private volatile boolean closed;

    /**
     * Compiles a module and starts it.
     *
     * @param answers where calls are heard of
     * @throws InvalidPluginException where it is no plug-in, or its start fails or takes more than 2 s
     */
    public PluginHost(PluginConfiguration spec, Executor answers) throws InvalidPluginException {
        this.spec = spec;
        this.answers = answers;
        guest = new PluginModule(spec);
        thread = new Thread(null, this::run, "plug-in " + spec.name(), STACK);
        thread.setDaemon(true);
        thread.start();
        try {
            begun.get(BEGIN_MILLIS, TimeUnit.MILLISECONDS);
            awaitWarm();
        } catch (ExecutionException e) {
            close();
            throw e.getCause() instanceof InvalidPluginException b
                    ? b
                    : new InvalidPluginException("its start failed: " + PluginModule.why(e.getCause()), e);
        } catch (TimeoutException e) {
            close();
            throw new InvalidPluginException("its start took more than " + BEGIN_MILLIS + " ms", e);
        } catch (InterruptedException e) {
            close();
            Thread.currentThread().interrupt();
            throw new InvalidPluginException("interrupted", e);
        }
    }

    /** A plug-in that does not come back from a made-up request is stopped there, as in a real one. */
    private void awaitWarm() throws InterruptedException, ExecutionException {
        try {
            warm.get(WARM_MILLIS, TimeUnit.MILLISECONDS);
        } catch (TimeoutException e) {
            thread.interrupt();
        }
    }

    private long usedMicros() {
        long nanos = THREADS.isThreadCpuTimeSupported() ? THREADS.getThreadCpuTime(thread.getId()) : -1;
        return nanos < 0 ? -1 : nanos / 1_000;
    }

    /** The plug-in that it runs. */
    public PluginConfiguration plan() {
        return spec;
    }

    /** Functions of the host that the module may call. */
    public List<String> imports() {
        return guest.imports();
    }

    /** Asks what the plug-in wishes for a request; does not wait. */
    public Call ask(RequestView request, Heard heard) {
        Call call = new Call(request, heard);
        if (closed || !calls.offer(call)) {
            call.state.set(State.OVER);
            answers.execute(() -> heard.failed(closed ? "it is gone" : "more than " + WAITING + " calls wait"));
        }
        return call;
    }

    private void run() {
        try {
            guest.begin();
            begun.complete(null);
            warmUp();
        } catch (InvalidPluginException
                | RuntimeException
                | AssertionError
                | LinkageError
                | StackOverflowError
                | OutOfMemoryError e) {
            begun.completeExceptionally(e);
            return;
        }
        warm.complete(null);
        while (!closed) {
            try {
                serve(calls.take());
            } catch (InterruptedException e) {
                // Late word of a call that was over by then, or the end.
                Thread.interrupted();
            }
        }
    }

    /**
     * The first calls are the slowest by far, and would be the ones that fail. Nothing of these is kept: what
     * they wish and put is dropped, and requests meet a fresh instance. The first of them makes it: an
     * interrupt that comes late for a call here would end the thread if it met the making.
     */
    private void warmUp() {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(WARM_MILLIS / 2);
        try {
            for (int i = 0; i < WARM_CALLS && System.nanoTime() < end; i++) {
                guest.onRequest(MADE_UP);
            }
        } catch (RuntimeException | AssertionError | LinkageError | StackOverflowError | OutOfMemoryError e) {
            // It may be right to trap at such a request; a real one shows it.
            Thread.interrupted();
        }
        guest.discard();
    }

    private void serve(Call call) {
        if (!call.state.compareAndSet(State.WAITS, State.RUNS)) {
            return;
        }
        RequestedChanges wishes = null;
        String why = null;
        // An interrupt may come late, for the call before: then this one failed through no fault of its own.
        for (int tries = 0; tries < 2 && wishes == null && call.state.get() == State.RUNS; tries++) {
            try {
                if (!guest.begun()) {
                    guest.begin();
                }
                wishes = guest.onRequest(call.request);
            } catch (InvalidPluginException
                    | RuntimeException
                    | AssertionError
                    | LinkageError
                    | StackOverflowError
                    | OutOfMemoryError e) {
                guest.discard();
                why = PluginModule.why(e);
                if (!(e instanceof ChicoryInterruptedException)) {
                    break;
                }
                Thread.interrupted();
            }
        }
        boolean mine = call.state.compareAndSet(State.RUNS, State.OVER);
        // An interrupt that was meant for this call must not meet the next one.
        Thread.interrupted();
        if (!mine) {
            guest.discard();
            return;
        }
        if (wishes != null) {
            guest.keep();
        }
        RequestedChanges result = wishes;
        String reason = why;
        answers.execute(() -> {
            if (result != null) {
                call.heard.done(result);
            } else {
                call.heard.failed(reason);
            }
        });
    }

    /** Ends the thread, once the call that runs has ended or was interrupted; calls that wait fail. */
    @Override
    public void close() {
        closed = true;
        thread.interrupt();
        for (Call c; (c = calls.poll()) != null; ) {
            if (c.state.compareAndSet(State.WAITS, State.OVER)) {
                Call over = c;
                answers.execute(() -> over.heard.failed("it is gone"));
            }
        }
    }
}
