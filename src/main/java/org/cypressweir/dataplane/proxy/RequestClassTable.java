package org.cypressweir.dataplane.proxy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cypressweir.loadbalancing.LoadBalancer.Effect;
import org.cypressweir.loadbalancing.LoadBalancer.Group;
import org.cypressweir.loadbalancing.LoadBalancer.RequestClass;

/**
 * Numbers the classes of requests that the load balancer tells apart. Requests of one class are alike in idempotence,
 * latency target, time-out, priority and in whether they are internal calls. The table grows with the routes in use.
 * Used on the event loop alone.
 */
final class RequestClassTable {

    private static final double INTERNAL_WEIGHT = 8;
    private static final double HIGHEST_PRIORITY_WEIGHT = 4;
    private static final double RESERVED_PART = 0.2;
    private static final RequestClass INITIAL =
            new RequestClass("first", Effect.UNSAFE, Group.ALL, 0, 500_000, 0, 2_000_000, 1, RESERVED_PART, false);

    private record Key(
            boolean idempotent, long latencyTargetMicros, long timeoutMicros, int priority, boolean internal) {}

    private final Map<Key, Integer> numbers = new HashMap<>();
    private List<RequestClass> classes = List.of(INITIAL);

    /** All classes, in the order of their numbers. */
    List<RequestClass> classes() {
        return classes;
    }

    /** The number of the request's class; a new class is added to {@link #classes()}. */
    int numberOf(ProxiedRequest request) {
        Key key = new Key(
                request.route.idempotent(),
                request.route.targetLatencyMicros(),
                request.route.timeoutMicros(),
                request.priority,
                request.internal);
        Integer known = numbers.get(key);
        return known != null ? known : add(key);
    }

    private int add(Key key) {
        int number = classes.size();
        List<RequestClass> all = new ArrayList<>(classes);
        all.add(new RequestClass(
                "k" + number,
                key.idempotent ? Effect.SAFE : Effect.UNSAFE,
                Group.ALL,
                0,
                key.latencyTargetMicros,
                0,
                key.timeoutMicros,
                key.internal ? INTERNAL_WEIGHT : HIGHEST_PRIORITY_WEIGHT / (1 + Math.max(0, key.priority)),
                RESERVED_PART,
                false));
        classes = all;
        numbers.put(key, number);
        return number;
    }
}
