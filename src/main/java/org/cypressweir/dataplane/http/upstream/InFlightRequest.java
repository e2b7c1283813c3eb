package org.cypressweir.dataplane.http.upstream;

import java.util.function.Consumer;

/** A request that was taken, with whom to tell of its end. The end is told once, whatever comes after. */
final class InFlightRequest extends SchedulableRequest implements RequestHandle {
    private final UpstreamRequest freight;
    private final Consumer<RequestOutcome> end;
    /** The id that is sent, and that its answer repeats. */
    final String attemptId;
    /** Sent is what the socket took at least a byte of. */
    ExecutionKnowledge known = ExecutionKnowledge.NOT_SENT;

    private boolean over;

    InFlightRequest(UpstreamRequest freight, Consumer<RequestOutcome> end) {
        super(freight.inner(), freight.rank(), freight.aimAtMicros(), freight.deadlineMicros(), freight.repeatable());
        this.freight = freight;
        this.end = end;
        attemptId = RequestEncoder.attemptId(freight);
    }

    @Override
    public UpstreamRequest freight() {
        return freight;
    }

    @Override
    public boolean isOver() {
        return over;
    }

    boolean isHead() {
        return freight.method().equals("HEAD");
    }

    void tell(RequestOutcome outcome) {
        if (!over) {
            over = true;
            end.accept(outcome);
        }
    }
}
