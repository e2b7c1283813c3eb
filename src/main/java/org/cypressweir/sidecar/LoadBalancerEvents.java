package org.cypressweir.sidecar;

import java.util.ArrayDeque;

/**
 * The events of one load balancer, one after the other: what an action of the load balancer brings about at once
 * must not reach it inside the very call that asked for the action.
 *
 * <p>Confined to the event loop.
 */
final class LoadBalancerEvents {

    /** Tells the load balancer of something that has happened. */
    interface Event {
        void deliver(long nowMicros);
    }

    /** Is told that an event has failed; the request is null where the event is about none. */
    interface FailureHandler {
        void failed(ClientRequest request, Throwable failure);
    }

    private record PendingEvent(ClientRequest request, Event event) {}

    private final SidecarClock clock;
    private final FailureHandler failures;
    private final ArrayDeque<PendingEvent> pending = new ArrayDeque<>();
    private boolean isDelivering;

    LoadBalancerEvents(SidecarClock clock, FailureHandler failures) {
        this.clock = clock;
        this.failures = failures;
    }

    /**
     * Delivers an event now, or right after the one that is being delivered. An exception costs its own request
     * only.
     *
     * @param request the one that the event is about; null for none
     */
    void deliver(ClientRequest request, Event event) {
        pending.addLast(new PendingEvent(request, event));
        if (isDelivering) {
            return;
        }
        isDelivering = true;
        try {
            PendingEvent next = pending.pollFirst();
            while (next != null) {
                deliver(next);
                next = pending.pollFirst();
            }
        } finally {
            isDelivering = false;
        }
    }

    private void deliver(PendingEvent next) {
        try {
            next.event.deliver(clock.micros());
        } catch (RuntimeException | Error failure) {
            failures.failed(next.request, failure);
        }
    }
}
