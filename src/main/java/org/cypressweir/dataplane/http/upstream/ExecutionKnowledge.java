package org.cypressweir.dataplane.http.upstream;

/** What is known of one attempt, wherever it is looked at from. */
public enum ExecutionKnowledge {
    /** No byte of it has gone to where it could run. */
    NOT_SENT,
    /** It is out, and may be at work. */
    SENT,
    /** Certain: it did not run and never will. */
    UNRUN,
    /** The server's own whole answer is there. */
    RAN,
    /** Nothing certain will ever be known. */
    MAY_HAVE_RUN;

    /** Whether its end is still to come. */
    public boolean isOpen() {
        return this == NOT_SENT || this == SENT;
    }

    public boolean mayHaveRun() {
        return this == SENT || this == RAN || this == MAY_HAVE_RUN;
    }

    /** What it is once the way that it went, or should have gone, is lost. */
    public ExecutionKnowledge lost() {
        return this == NOT_SENT ? UNRUN : this == SENT ? MAY_HAVE_RUN : this;
    }

    /** What an end that was told says. */
    public static ExecutionKnowledge of(RequestOutcome outcome) {
        return outcome instanceof RequestOutcome.NotRun
                ? UNRUN
                : outcome instanceof RequestOutcome.Answered ? RAN : MAY_HAVE_RUN;
    }
}
