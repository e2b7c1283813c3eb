package org.cypressweir.loadbalancing;

import java.util.HashMap;
import java.util.Map;
import org.cypressweir.loadbalancing.LoadBalancer.Actions;

/** Timers that the balancer has asked for; a token says the kind of its timer, and leads to its request. */
final class BalancerTimers {

    /** What is due; the order is that of the numbers in tokens. */
    enum Kind {
        WAITING,
        PROBED,
        DISCOVERY,
        HEDGE,
        RELABEL
    }

    private static final Kind[] KINDS = Kind.values();

    private final Actions actions;
    private final Map<Long, PendingRequest> requests = new HashMap<>();
    private long lastNumber;

    BalancerTimers(Actions actions) {
        this.actions = actions;
    }

    /** Asks for a timer, of a request or (null) of the balancer. */
    void start(long at, Kind kind, PendingRequest request) {
        long token = ++lastNumber * KINDS.length + kind.ordinal();
        if (request != null) {
            requests.put(token, request);
        }
        actions.timer(at, token);
    }

    static Kind kind(long token) {
        return KINDS[(int) (token % KINDS.length)];
    }

    /** The request of a timer that is due; null where it is the balancer's. */
    PendingRequest take(long token) {
        return requests.remove(token);
    }
}
