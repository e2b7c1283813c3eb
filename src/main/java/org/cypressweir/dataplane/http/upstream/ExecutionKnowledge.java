package org.cypressweir.dataplane.http.upstream;

/** What is known about the execution of one attempt, at the sending proxy or at the proxy beside the server. */
public enum ExecutionKnowledge {
    /** No byte of it has been sent to a process that could execute it. */
    NOT_SENT,
    /** It was sent at least in part and may be executing. */
    SENT,
    /** Certain: it was not executed and never will be. */
    NOT_RUN,
    /** The server's own complete response was received. */
    RAN,
    /** It will never be known whether it was executed. */
    MAY_HAVE_RUN;

    /** Whether the attempt has no outcome yet. */
    public boolean isPending() {
        return this == NOT_SENT || this == SENT;
    }

    /** Whether it was executed, may have been or may still be. */
    public boolean mayHaveRun() {
        return this == SENT || this == RAN || this == MAY_HAVE_RUN;
    }

    /** What is known after the loss of the connection that carried it or was to carry it. */
    public ExecutionKnowledge afterConnectionLoss() {
        return this == NOT_SENT ? NOT_RUN : this == SENT ? MAY_HAVE_RUN : this;
    }

    /** What an outcome says about the execution. */
    public static ExecutionKnowledge of(RequestOutcome outcome) {
        return outcome instanceof RequestOutcome.NotRun
                ? NOT_RUN
                : outcome instanceof RequestOutcome.Responded ? RAN : MAY_HAVE_RUN;
    }
}
