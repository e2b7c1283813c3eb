package org.cypressweir.dataplane.http.upstream;

/** What is known of the execution of one attempt, at the proxy that sends it or beside the server. */
public enum ExecutionKnowledge {
    /** No byte of it has been sent to where it could be executed. */
    NOT_SENT,
    /** It was sent at least in part and may be executing. */
    SENT,
    /** Certain: it was not executed and never will be. */
    NOT_RUN,
    /** The server's own complete response was received. */
    RAN,
    /** Nothing certain will ever be known. */
    MAY_HAVE_RUN;

    /** Whether its outcome is still to come. */
    public boolean isPending() {
        return this == NOT_SENT || this == SENT;
    }

    /** Whether it was executed, may have been or may still be. */
    public boolean mayHaveRun() {
        return this == SENT || this == RAN || this == MAY_HAVE_RUN;
    }

    /** What is known once the connection that carried it, or should have carried it, is lost. */
    public ExecutionKnowledge afterConnectionLoss() {
        return this == NOT_SENT ? NOT_RUN : this == SENT ? MAY_HAVE_RUN : this;
    }

    /** What an outcome says of the execution. */
    public static ExecutionKnowledge of(RequestOutcome outcome) {
        return outcome instanceof RequestOutcome.NotRun
                ? NOT_RUN
                : outcome instanceof RequestOutcome.Responded ? RAN : MAY_HAVE_RUN;
    }
}
