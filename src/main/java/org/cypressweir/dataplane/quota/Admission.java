package org.cypressweir.dataplane.quota;

import java.util.Deque;
import java.util.function.LongConsumer;

/**
 * The admission of one request by a {@link QuotaGate}. It waits for a token until exactly one of three things happens:
 * the request is admitted, it is rejected, or its client leaves. Not thread-safe.
 */
public final class Admission {

    private enum State {
        WAITING,
        ADMITTED,
        REJECTED,
        CANCELLED
    }

    private final Runnable onAdmitted;
    private final LongConsumer onRejected;
    private State state = State.WAITING;
    /** The queue that it waits in; null before it waits. */
    private Deque<Admission> queue;

    private long expiresAt;

    /** @param onRejected gets the time in microseconds after which to retry */
    Admission(Runnable onAdmitted, LongConsumer onRejected) {
        this.onAdmitted = onAdmitted;
        this.onRejected = onRejected;
    }

    /** Whether the request waits for a token. */
    public boolean isWaiting() {
        return state == State.WAITING;
    }

    /** Gives up the wait, since the client has left: the request takes no token. Does nothing after a decision. */
    public void cancel() {
        if (isWaiting()) {
            state = State.CANCELLED;
            queue.remove(this);
        }
    }

    void admit() {
        state = State.ADMITTED;
        onAdmitted.run();
    }

    void reject(long retryAfterMicros) {
        state = State.REJECTED;
        onRejected.accept(retryAfterMicros);
    }

    /** Waits as the last of a queue until the given time. */
    void waitIn(Deque<Admission> waitingQueue, long untilMicros) {
        queue = waitingQueue;
        expiresAt = untilMicros;
        queue.add(this);
    }

    boolean isExpired(long nowMicros) {
        return expiresAt <= nowMicros;
    }
}
