package org.cypressweir.loadbalancing;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.cypressweir.loadbalancing.LoadBalancer.Bound;

/**
 * The requests in hand by id, those of them that wait for a server, and how many there are under each bound of the
 * operators. Those that wait stand in three kinds for each class: within a tenant's share, beyond it, and those for
 * connections that stay.
 */
final class PendingRequests {

    private static final int KINDS = 3;

    private final Map<String, PendingRequest> byId = new HashMap<>();
    private final PendingRequestQueue<PendingRequest> waiting = new PendingRequestQueue<>(KINDS);
    private final CounterMap inHandByBound = new CounterMap();
    private final CounterMap waitingByBound = new CounterMap();

    /** Whether the id was free. */
    boolean add(PendingRequest request) {
        return byId.putIfAbsent(request.request.id(), request) == null;
    }

    PendingRequest get(String id) {
        return byId.get(id);
    }

    void remove(PendingRequest request) {
        byId.remove(request.request.id());
    }

    int size() {
        return byId.size();
    }

    int waiting() {
        return waiting.size();
    }

    /** Takes a request in under a bound of its own; the count of those in hand under it. */
    int enter(Bound bound) {
        return inHandByBound.add(bound.name(), 1);
    }

    /** A request is in hand no more for any of its bounds. */
    void leave(PendingRequest request) {
        for (Bound bound : request.request.terms().bounds()) {
            inHandByBound.add(bound.name(), -1);
        }
    }

    int waitingUnder(Bound bound) {
        return waitingByBound.of(bound.name());
    }

    /** Lets a request wait, if it does not yet. */
    void hold(PendingRequest request) {
        if (!request.isHeld()) {
            int kind = request.isLongLived() ? 2 : request.isOverQuota ? 1 : 0;
            waiting.add(request, KINDS * request.requestClass + kind);
            countWaiting(request, 1);
        }
    }

    /** Ends the wait of a request, if it waits. */
    void release(PendingRequest request) {
        if (request.isHeld()) {
            waiting.remove(request);
            countWaiting(request, -1);
        }
    }

    private void countWaiting(PendingRequest request, int change) {
        for (Bound bound : request.request.terms().bounds()) {
            waitingByBound.add(bound.name(), change);
        }
    }

    /** The newest of the first kind of which there are any; null where none waits. */
    PendingRequest newest() {
        return waiting.newest();
    }

    /** So many lots for each class; lot numbers are below the classes times this. */
    static int lots(int classes) {
        return KINDS * classes;
    }

    /** The oldest of a lot under this bound (null: any) beside one; null without it. */
    PendingRequest oldest(int lot, Bound bound, PendingRequest except) {
        return waiting.oldest(lot, each -> each != except && each.countsFor(bound));
    }

    boolean isBefore(PendingRequest one, PendingRequest other) {
        return waiting.isBefore(one, other);
    }

    /** Shows each that waits; its wait may end on that. */
    void forEachWaiting(Consumer<PendingRequest> task) {
        waiting.forEach(task);
    }
}
