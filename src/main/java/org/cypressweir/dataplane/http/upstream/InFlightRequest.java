package org.cypressweir.dataplane.http.upstream;

import java.util.function.Consumer;

/**
 * A request from its submission to its outcome, with the callback that receives the outcome. The callback is called
 * once, whatever happens later. For the event loop only.
 */
final class InFlightRequest extends SchedulableRequest implements RequestHandle {
    private final UpstreamRequest request;
    private final Consumer<RequestOutcome> onOutcome;
    /** The id that is sent, and that the response repeats. */
    final String attemptId;
    /** {@code SENT} as soon as the socket has accepted the first byte. */
    ExecutionKnowledge knowledge = ExecutionKnowledge.NOT_SENT;

    private boolean completed;

    InFlightRequest(UpstreamRequest request, Consumer<RequestOutcome> onOutcome) {
        super(
                request.internal(),
                request.priority(),
                request.latencyTargetAtMicros(),
                request.deadlineMicros(),
                request.idempotent());
        this.request = request;
        this.onOutcome = onOutcome;
        attemptId = RequestEncoder.attemptId(request);
    }

    @Override
    public UpstreamRequest request() {
        return request;
    }

    @Override
    public boolean isCompleted() {
        return completed;
    }

    boolean isHead() {
        return request.method().equals("HEAD");
    }

    /** Reports the outcome; later calls have no effect. */
    void complete(RequestOutcome outcome) {
        if (!completed) {
            completed = true;
            onOutcome.accept(outcome);
        }
    }
}
