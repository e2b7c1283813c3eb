package org.cypressweir.sidecar;

import java.util.ArrayDeque;

/**
 * Delivers the events of one load balancer one after the other. An event that an action of the load balancer causes at
 * once must not reach it inside the call that requested the action.
 *
 * <p>Confined to the event loop.
 */
final class LoadBalancerEvents {

    /** Notifies the load balancer of something that has happened. */
    interface Event {
        void deliver(long nowMicros);
    }

    /** Is called when an event has failed; the request is null if the event concerns none. */
    interface FailureHandler {
        void failed(ClientRequest request, Throwable failure);
    }

    private record PendingEvent(ClientRequest request, Event event) {}

    private final SidecarClock clock;
    private final FailureHandler failureHandler;
    private final ArrayDeque<PendingEvent> pending = new ArrayDeque<>();
    private boolean isDelivering;

    LoadBalancerEvents(SidecarClock clock, FailureHandler failureHandler) {
        this.clock = clock;
        this.failureHandler = failureHandler;
    }

    /**
     * Delivers an event now, or right after the one that is being delivered. An exception affects only the request of
     * its event.
     *
     * @param request the request that the event concerns; null for none
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
            failureHandler.failed(next.request, failure);
        }
    }
}
