package org.cypressweir.dataplane.http.upstream;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.List;

/**
 * Decides which request goes to the server next, and which is refused. It is told what happens with the time
 * of it, and holds nothing that can't be answered in time.
 */
final class RequestScheduler<C extends SchedulableRequest> {
    /** What is left of a deadline for the way. */
    static final long MARGIN_MICROS = 5_000;

    private static final long LEAST_RETRY_MICROS = 20_000;
    /** Up to here a request has only just come, and may go however little time is left. */
    private static final long WAITED_MICROS = 1_000;

    /** A request that is not held any more; it has not been run. */
    record Refusal<C>(C cargo, RejectionReason reason, long retryAfterMicros) {}

    /** How what ran came to an end. */
    enum Ended {
        ANSWERED,
        FULL,
        OVERDUE,
        OTHER
    }

    private final UpstreamOptions plan;
    private final ServiceTimeStatistics means;
    private final ConcurrencyLimit limit;
    private final List<C> waiting = new ArrayList<>();
    private final Collection<C> running = new LinkedHashSet<>();
    private long sequence;

    RequestScheduler(UpstreamOptions plan) {
        this.plan = plan;
        means = new ServiceTimeStatistics(plan.meanMicros());
        limit = new ConcurrencyLimit(plan);
    }

    /** Slots as told, zero without a server. */
    void life(int slots, long warmUntil, boolean another) {
        limit.life(slots, warmUntil, another);
    }

    int slots() {
        return limit.slots();
    }

    int running() {
        return running.size();
    }

    List<C> waiting() {
        return waiting;
    }

    /** Takes a request in; what is refused for it may be another one. */
    List<Refusal<C>> arrive(long now, C cargo) {
        cargo.arrivedAt = now;
        cargo.sequence = ++sequence;
        if (now + MARGIN_MICROS > cargo.deadline) {
            return List.of(new Refusal<>(cargo, RejectionReason.LATE, 0));
        }
        RequestPriority order = order(now);
        int ahead = ahead(order, cargo);
        boolean goes = ahead < limit.at(now) - running.size();
        boolean mayWait = waiting.size() < plan.minWaiting(slots()) && now < cargo.aimAt;
        if (!goes && !mayWait && shortage(now, order, cargo) > 0) {
            return List.of(full(now, order, cargo));
        }
        waiting.add(cargo);
        if (waiting.size() > plan.mostWaiting(slots())) {
            C last = Collections.max(waiting, order);
            waiting.remove(last);
            return List.of(full(now, order, last));
        }
        return List.of();
    }

    /** What can't be answered in time any more; to be asked before each {@link #next}. */
    List<Refusal<C>> due(long now) {
        List<Refusal<C>> refused = new ArrayList<>();
        RequestPriority order = order(now);
        for (C c : List.copyOf(waiting)) {
            if (now + MARGIN_MICROS > c.deadline) {
                refused.add(new Refusal<>(c, RejectionReason.LATE, 0));
                waiting.remove(c);
            } else if (now - c.arrivedAt > WAITED_MICROS && now + means.of(c) > c.aimAt
                    || !c.reviewed && now >= reviewAt(c) && foreseen(now, order, c)) {
                waiting.remove(c);
                refused.add(full(now, order, c));
            }
        }
        return refused;
    }

    private boolean foreseen(long now, RequestPriority order, C c) {
        c.reviewed = true;
        return ahead(order, c) >= plan.minWaiting(slots()) && shortage(now, order, c) > 0;
    }

    /** When {@link #due} is to be asked at the latest. */
    long nextTime() {
        long next = Long.MAX_VALUE;
        for (C c : waiting) {
            next = Math.min(next, c.deadline - MARGIN_MICROS + 1);
            next = Math.min(next, Math.max(c.aimAt - means.of(c), c.arrivedAt + WAITED_MICROS) + 1);
            next = c.reviewed ? next : Math.min(next, reviewAt(c));
        }
        return next;
    }

    private static long reviewAt(SchedulableRequest c) {
        return c.arrivedAt + Math.max(0, c.aimAt - c.arrivedAt) / 4;
    }

    /** Whether one may go now. */
    boolean ready(long now) {
        return !waiting.isEmpty() && running.size() < limit.at(now);
    }

    /** The first in order; only if {@link #ready}. */
    C first(long now) {
        return waiting.size() == 1 ? waiting.get(0) : Collections.min(waiting, order(now));
    }

    /** Lets the first in order go; only if {@link #ready}. */
    C next(long now) {
        return letGo(now, first(now));
    }

    /** Lets go what was found to be the first in order. */
    C letGo(long now, C first) {
        waiting.remove(first);
        for (C c : waiting) {
            if (c.sequence < first.sequence) {
                c.passed++;
            }
        }
        first.sentAt = now;
        running.add(first);
        return first;
    }

    /** It runs no more, or was let go and not sent. */
    void ended(long now, C cargo, Ended how) {
        if (!running.remove(cargo)) {
            return;
        }
        if (how == Ended.ANSWERED) {
            means.saw(cargo, now - cargo.sentAt);
            limit.answered();
        } else if (how == Ended.FULL) {
            limit.full(now, cargo.sentAt);
        } else if (how == Ended.OVERDUE) {
            means.sawAtLeast(cargo, now - cargo.sentAt);
        }
    }

    /** Whether it was waiting; it is held no more. */
    boolean cancel(C cargo) {
        return waiting.remove(cargo);
    }

    /** Hands back all that waits. */
    List<C> clear() {
        List<C> all = List.copyOf(waiting);
        waiting.clear();
        return all;
    }

    /** How long a request that the server had no room for is better held back. */
    long retryAfter(C cargo) {
        return Math.max(LEAST_RETRY_MICROS, means.of(cargo) / Math.max(1, slots()));
    }

    private RequestPriority order(long now) {
        return new RequestPriority(means, now, Math.max(4, 4 * slots()));
    }

    private int ahead(RequestPriority order, C cargo) {
        int ahead = 0;
        for (C c : waiting) {
            ahead += c != cargo && order.compare(c, cargo) < 0 ? 1 : 0;
        }
        return ahead;
    }

    /** By how much it would miss its aim, if all ahead of it take their mean time. */
    private long shortage(long now, RequestPriority order, C cargo) {
        long ahead = 0;
        for (C c : waiting) {
            ahead += c != cargo && order.compare(c, cargo) < 0 ? means.of(c) : 0;
        }
        return now + ahead / limit.parallel(now) + means.mostly(cargo) - cargo.aimAt;
    }

    private Refusal<C> full(long now, RequestPriority order, C cargo) {
        long room = Math.max(shortage(now, order, cargo), means.of(cargo) / limit.parallel(now));
        return new Refusal<>(cargo, RejectionReason.FULL, Math.max(LEAST_RETRY_MICROS, room));
    }
}
