package org.cypressweir.dataplane.http.upstream;

import java.util.Arrays;

/**
 * What is known about one client request and all its attempts. This alone determines whether another attempt may be
 * sent and what the client gets: a request that is not idempotent is never sent again once it may have run, and a
 * rejection is never sent for a request that may have run.
 *
 * <p>No clock and no I/O. Not thread-safe: for the event loop only.
 */
public final class RequestState {

    /** The states from submission to response. */
    public enum State {
        /** No attempt is in flight, and none has run. */
        PENDING,
        /** An attempt is in flight; any others have not run. */
        IN_FLIGHT,
        /** None is in flight; one may have run. */
        IN_DOUBT,
        /** One is in flight, and another may have run. */
        IN_FLIGHT_IN_DOUBT,
        /** None is in flight; the server's own response, a failure, is saved. */
        FAILURE_SAVED,
        /** As {@link #FAILURE_SAVED}, and another attempt is in flight. */
        IN_FLIGHT_FAILURE_SAVED,
        /** The client has its one response. */
        RESPONDED,
        /** The client disconnected: it gets no response. */
        DISCONNECTED
    }

    /** What is to be done for the client now. */
    public enum ClientAction {
        NONE,
        /** Send the response that was just received. */
        SEND_RESPONSE,
        /** Save the response that was just received. */
        SAVE_RESPONSE,
        /** Send the response that was saved. */
        SEND_SAVED_RESPONSE,
        /** Respond that the request has not run and never will. */
        REJECT,
        /** Respond that it is unknown whether the request has run. */
        BAD_GATEWAY,
        /** As {@link #BAD_GATEWAY}, at the deadline. */
        GATEWAY_TIMEOUT
    }

    /** Responses with this status or a higher one are failures, after which another attempt may succeed. */
    private static final int FIRST_FAILURE_STATUS = 500;

    private final boolean idempotent;
    private ExecutionKnowledge[] attempts = new ExecutionKnowledge[2];
    private int attemptCount;
    private boolean failureSaved;
    private boolean responded;
    private boolean disconnected;

    public RequestState(boolean idempotent) {
        this.idempotent = idempotent;
    }

    public State state() {
        if (responded) {
            return State.RESPONDED;
        }
        if (disconnected) {
            return State.DISCONNECTED;
        }
        boolean inFlight = any(ExecutionKnowledge.SENT);
        if (failureSaved) {
            return inFlight ? State.IN_FLIGHT_FAILURE_SAVED : State.FAILURE_SAVED;
        }
        if (any(ExecutionKnowledge.MAY_HAVE_RUN) || any(ExecutionKnowledge.RAN)) {
            return inFlight ? State.IN_FLIGHT_IN_DOUBT : State.IN_DOUBT;
        }
        return inFlight ? State.IN_FLIGHT : State.PENDING;
    }

    private boolean any(ExecutionKnowledge knowledge) {
        for (int i = 0; i < attemptCount; i++) {
            if (attempts[i] == knowledge) {
                return true;
            }
        }
        return false;
    }

    /** Whether nothing more is sent to the client: it has its response or has disconnected. */
    public boolean isClosed() {
        return responded || disconnected;
    }

    /** Whether the client disconnected before it had a response. */
    public boolean isDisconnected() {
        return disconnected;
    }

    /** Whether an attempt may be sent now. */
    public boolean maySend() {
        return !isClosed() && (idempotent || !mayHaveRun());
    }

    /** Whether any attempt has run, may have run or may still run. */
    public boolean mayHaveRun() {
        for (int i = 0; i < attemptCount; i++) {
            if (attempts[i].mayHaveRun()) {
                return true;
            }
        }
        return false;
    }

    /** Whether any attempt has no outcome yet. */
    public boolean hasPendingAttempt() {
        return any(ExecutionKnowledge.SENT) || any(ExecutionKnowledge.NOT_SENT);
    }

    /** Whether this attempt has no outcome yet. */
    public boolean isPending(int attempt) {
        return attempts[attempt].isPending();
    }

    /** Adds an attempt that is not sent yet; returns its index. */
    public int beginAttempt() {
        if (attemptCount == attempts.length) {
            attempts = Arrays.copyOf(attempts, 2 * attemptCount);
        }
        attempts[attemptCount] = ExecutionKnowledge.NOT_SENT;
        return attemptCount++;
    }

    /** Marks an attempt as sent, if it may be sent; returns whether it may. */
    public boolean trySend(int attempt) {
        if (attempts[attempt] != ExecutionKnowledge.NOT_SENT || !maySend()) {
            return false;
        }
        attempts[attempt] = ExecutionKnowledge.SENT;
        return true;
    }

    /** Records the outcome of an attempt; only the first one counts. Returns what to do for the client. */
    public ClientAction onOutcome(int attempt, RequestOutcome outcome) {
        if (!isPending(attempt)) {
            return ClientAction.NONE;
        }
        attempts[attempt] = ExecutionKnowledge.of(outcome);
        if (isClosed() || !(outcome instanceof RequestOutcome.Responded response)) {
            return ClientAction.NONE;
        }
        if (!idempotent && impliesNotRun(response.status())) {
            return ClientAction.BAD_GATEWAY;
        }
        if (response.status() < FIRST_FAILURE_STATUS) {
            return ClientAction.SEND_RESPONSE;
        }
        failureSaved = true;
        return ClientAction.SAVE_RESPONSE;
    }

    /** Whether clients take a status to mean that the request has not run and never will, whoever sends it. */
    static boolean impliesNotRun(int status) {
        return status == 408 || status == 421 || status == 429 || status == 503;
    }

    /** What the client gets when no further attempt is sent and none is awaited. */
    public ClientAction finalAction(boolean deadlineExceeded) {
        if (isClosed()) {
            return ClientAction.NONE;
        }
        if (failureSaved) {
            return ClientAction.SEND_SAVED_RESPONSE;
        }
        if (!mayHaveRun()) {
            return ClientAction.REJECT;
        }
        return deadlineExceeded ? ClientAction.GATEWAY_TIMEOUT : ClientAction.BAD_GATEWAY;
    }

    /** Marks the request as responded to; returns whether the response is to be sent: only the first one is. */
    public boolean markResponded() {
        boolean first = !isClosed();
        responded |= first;
        return first;
    }

    /** The client has disconnected. */
    public void onDisconnect() {
        disconnected |= !responded;
    }
}
