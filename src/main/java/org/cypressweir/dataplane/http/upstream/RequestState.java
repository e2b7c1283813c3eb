package org.cypressweir.dataplane.http.upstream;

import java.util.Arrays;

/**
 * What is known of one request and of all attempts at it. From this alone follows what may still be sent and
 * what may be answered: nothing is sent or answered that it does not allow. No clock, no I/O.
 */
public final class RequestState {

    /** From taken to answered. */
    public enum State {
        /** Taken; no attempt is out, and none has run. */
        HELD,
        /** An attempt is out; what others there were have not run. */
        OUT,
        /** None is out; one may have run. */
        IN_DOUBT,
        /** One is out, and another may have run. */
        OUT_IN_DOUBT,
        /** None is out; a failure that the server itself answered is kept. */
        KEPT,
        /** The same, and another is out. */
        OUT_KEPT,
        /** The client has its one answer. */
        ANSWERED,
        /** The client left: nothing is owed. */
        LEFT
    }

    /** What the client is to get now. */
    public enum Due {
        NOTHING,
        /** The answer that has just come. */
        THIS_ANSWER,
        /** Nothing yet; the answer that has just come is to be kept. */
        KEEP,
        /** The answer that was kept. */
        KEPT_ANSWER,
        /** That it has not run and never will. */
        REFUSAL,
        /** That nobody knows whether it has run. */
        BROKEN,
        /** The same, at its deadline. */
        TIMED_OUT
    }

    /** From here on an answer of the server's is a failure, and another attempt may do better. */
    private static final int FAILURE = 500;

    private final boolean repeatable;
    private ExecutionKnowledge[] attempts = new ExecutionKnowledge[2];
    private int size;
    private boolean kept;
    private boolean answered;
    private boolean left;

    public RequestState(boolean repeatable) {
        this.repeatable = repeatable;
    }

    public State state() {
        if (answered || left) {
            return answered ? State.ANSWERED : State.LEFT;
        }
        boolean out = any(ExecutionKnowledge.SENT);
        if (kept) {
            return out ? State.OUT_KEPT : State.KEPT;
        }
        if (any(ExecutionKnowledge.MAY_HAVE_RUN) || any(ExecutionKnowledge.RAN)) {
            return out ? State.OUT_IN_DOUBT : State.IN_DOUBT;
        }
        return out ? State.OUT : State.HELD;
    }

    private boolean any(ExecutionKnowledge what) {
        for (int i = 0; i < size; i++) {
            if (attempts[i] == what) {
                return true;
            }
        }
        return false;
    }

    /** Whether nothing is owed any more. */
    public boolean isClosed() {
        return answered || left;
    }

    /** Whether an attempt may go out now. */
    public boolean maySend() {
        return !isClosed() && (repeatable || !mayHaveRun());
    }

    /** Whether any attempt has run, may have run or may still run. */
    public boolean mayHaveRun() {
        for (int i = 0; i < size; i++) {
            if (attempts[i].mayHaveRun()) {
                return true;
            }
        }
        return false;
    }

    /** Whether the end of any attempt is still to come. */
    public boolean isOut() {
        return any(ExecutionKnowledge.SENT) || any(ExecutionKnowledge.NOT_SENT);
    }

    public boolean isOpen(int attempt) {
        return attempts[attempt].isOpen();
    }

    /** One more attempt is meant; its number. */
    public int begin() {
        if (size == attempts.length) {
            attempts = Arrays.copyOf(attempts, 2 * size);
        }
        attempts[size] = ExecutionKnowledge.NOT_SENT;
        return size++;
    }

    /** Whether it may go, and then it counts as out. */
    public boolean goes(int attempt) {
        if (attempts[attempt] != ExecutionKnowledge.NOT_SENT || !maySend()) {
            return false;
        }
        attempts[attempt] = ExecutionKnowledge.SENT;
        return true;
    }

    /** The end of an attempt, and what is due for it. Only the first end counts. */
    public Due ended(int attempt, RequestOutcome outcome) {
        if (!isOpen(attempt)) {
            return Due.NOTHING;
        }
        attempts[attempt] = ExecutionKnowledge.of(outcome);
        if (isClosed() || !(outcome instanceof RequestOutcome.Answered answer)) {
            return Due.NOTHING;
        }
        if (!repeatable && promises(answer.status())) {
            return Due.BROKEN;
        }
        if (answer.status() < FAILURE) {
            return Due.THIS_ANSWER;
        }
        kept = true;
        return Due.KEEP;
    }

    /** Clients take these as a promise that it has not run and never will, whoever says them. */
    static boolean promises(int status) {
        return status == 408 || status == 421 || status == 429 || status == 503;
    }

    /** What is due where nothing more is sent and nothing more is waited for. */
    public Due last(boolean timeOver) {
        if (isClosed()) {
            return Due.NOTHING;
        }
        if (kept) {
            return Due.KEPT_ANSWER;
        }
        if (!mayHaveRun()) {
            return Due.REFUSAL;
        }
        return timeOver ? Due.TIMED_OUT : Due.BROKEN;
    }

    /** Whether an answer goes out: only the first does. */
    public boolean answer() {
        boolean first = !isClosed();
        answered |= first;
        return first;
    }

    /** The client is gone. */
    public void leave() {
        left |= !answered;
    }
}
