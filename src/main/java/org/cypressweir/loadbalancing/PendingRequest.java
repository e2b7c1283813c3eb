package org.cypressweir.loadbalancing;

import java.util.ArrayList;
import java.util.List;
import org.cypressweir.loadbalancing.LoadBalancer.Bound;
import org.cypressweir.loadbalancing.LoadBalancer.Request;
import org.cypressweir.loadbalancing.LoadBalancer.RequestClass;

/** A request from its arrival until the last of its attempts has ended. */
final class PendingRequest extends PendingRequestQueue.Item {

    final Request request;
    /** The class as it was when the request came, and its number. */
    final RequestClass rules;

    final int requestClass;
    final int tenant;
    final long arrivedAt;
    /** An answer after this time is late. */
    final long targetAt;
    /** The most attempts that the site allowed when the request came. */
    final int attemptLimit;

    final List<Attempt> attempts = new ArrayList<>(2);
    /** What is usual for the request in units of what is usual for its class. */
    double scale;
    /** Takes the place of chance wherever all instances together are to send a part of the requests. */
    long randomSeed;

    int cell;
    int probeRounds;
    int attemptsOut;
    /** The tenant had spent its share of the service when the request came. */
    boolean isOverQuota;
    /** The final answer is given: nothing is sent any more. */
    boolean isOver;

    boolean isStreaming;

    PendingRequest(long now, Request request, int requestClass, RequestClass rules, int tenant, int attemptLimit) {
        this.request = request;
        this.requestClass = requestClass;
        this.rules = rules;
        this.tenant = tenant;
        this.attemptLimit = attemptLimit;
        arrivedAt = now;
        targetAt = now + rules.aimMicros() + (long) (rules.aimStretch() * request.hintMicros());
    }

    /** Asks for a connection that stays. */
    boolean isLongLived() {
        return request.terms().stays();
    }

    boolean hasTried(Backend backend) {
        for (Attempt attempt : attempts) {
            if (attempt.backend == backend) {
                return true;
            }
        }
        return false;
    }

    /** The first attempt that may have run or may still run; null without one. */
    Attempt firstThatMayRun() {
        for (Attempt attempt : attempts) {
            if (attempt.result == null || !attempt.result.provesNotRun) {
                return attempt;
            }
        }
        return null;
    }

    /** Counts for this bound of the operators; every request counts for no bound (null). */
    boolean countsFor(Bound bound) {
        if (bound == null) {
            return true;
        }
        for (Bound own : request.terms().bounds()) {
            if (own.name().equals(bound.name())) {
                return true;
            }
        }
        return false;
    }
}
