package org.cypressweir.loadbalancing;

import org.cypressweir.loadbalancing.LoadBalancer.Result;

/** One attempt of a request at a server, from its sending until its end is known. */
final class Attempt {

    /** An attempt hangs once it has been out for so many times what was expected of it. */
    static final int HANGING_FACTOR = 4;

    final PendingRequest request;
    final Backend backend;
    /** Its place among the attempts of the request, from 0. */
    final int number;

    final long sentAt;
    /** How long the connection had been idle; 0 for a new one. */
    final long idleMicros;
    /** Latency that was usual for the request, and the load of the server beside this attempt. */
    final double usualMicros;

    final double loadBefore;
    final double expectedMicros;
    final long hangsAt;
    final boolean onNewConnection;
    /** It hangs, and has been counted as such. */
    boolean isSuspected;
    /** Null while it is out. */
    Result result;

    Attempt(PendingRequest request, Backend backend, long now, double usualMicros, double loadBefore, boolean isWarm) {
        this.request = request;
        this.backend = backend;
        this.usualMicros = usualMicros;
        this.loadBefore = loadBefore;
        number = request.attempts.size();
        sentAt = now;
        expectedMicros = usualMicros * Math.max(1, backend.meanLatency) * (1 + loadBefore);
        hangsAt = now + 1 + (long) (HANGING_FACTOR * expectedMicros);
        onNewConnection = !isWarm;
        idleMicros = isWarm ? now - backend.connectionUsedAt : 0;
    }
}
