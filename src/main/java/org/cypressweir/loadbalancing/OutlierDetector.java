package org.cypressweir.loadbalancing;

/** Ejects servers that fail or hang, for a time with back-off, and takes them back; distrusts idle connections. */
final class OutlierDetector {

    /** Most of the ready servers that may be ejected; failures in a row; doublings of the time of one target. */
    private static final double MAX_EJECTED = 0.5;

    private static final int FAILURES = 3;
    static final int MAX_BACKOFF = 4;
    /** A server is taken for slow, and not its connection for dead, from so many times what is usual. */
    private static final double SLOW = 1.5;

    private final BalancerContext context;
    private final SubsetTree<Backend> tree;
    private final OutstandingAttempts outstanding;
    private int ejected;

    OutlierDetector(BalancerContext context, SubsetTree<Backend> tree, OutstandingAttempts outstanding) {
        this.context = context;
        this.tree = tree;
        this.outstanding = outstanding;
    }

    int ejectedServers() {
        return ejected;
    }

    /** Looks at attempts without an answer for far longer than expected. */
    void watch(long now) {
        outstanding.findSlow(now, context.classes.targetMicros / 2);
        for (Attempt a = outstanding.pollHanging(now); a != null; a = outstanding.pollHanging(now)) {
            a.isSuspected = true;
            a.backend.hangingAttempts++;
            a.backend.hangingSeenAt = now;
            suspect(now, a);
        }
    }

    /** Silence. After an idle spell it is the connection that died: such spells are not trusted for a while,
     * elsewhere either. While the server answers others it is the class. Else it is the server. */
    void suspect(long now, Attempt attempt) {
        Backend backend = attempt.backend;
        backend.failureRates.failed(now, attempt.request.requestClass);
        if (backend.connectionUsedAt > attempt.sentAt) return;
        if (wasIdle(attempt) && backend.meanLatency < SLOW) {
            context.idleTrust.died(now, attempt.idleMicros);
            backend.connectionUsedAt = 0;
            context.actions.log(
                    "idle connections are not trusted: no answer after " + attempt.idleMicros / 1000 + " ms idle");
        } else {
            eject(now, backend, "no answer for " + (now - attempt.sentAt) / 1000 + " ms");
        }
    }

    /** The connection had been idle for so long before that it may have died meanwhile. */
    boolean wasIdle(Attempt attempt) {
        return attempt.idleMicros > context.classes.targetMicros / 4;
    }

    /** An attempt that was out for long has failed. */
    void failed(long now, Backend backend, String why) {
        if (backend.isEjected() || ++backend.failures >= FAILURES) eject(now, backend, why);
    }

    /** An answer clears the server; one that was slow after all clears idle connections too. */
    void answered(Attempt attempt) {
        Backend backend = attempt.backend;
        backend.failures = 0;
        if (attempt.isSuspected && attempt.idleMicros > 0) context.idleTrust.reset();
        if (backend.isEjected()) {
            backend.ejections = Math.max(0, backend.ejections - 1);
            readmit(backend);
            context.actions.log("server " + backend.id + " re-admitted");
        }
    }

    /** Ejects a server, or one that is ejected for a longer time, unless too many are. */
    void eject(long now, Backend backend, String why) {
        boolean isNew = !backend.isEjected();
        if (!backend.isReady || isNew && ejected + 1 > MAX_EJECTED * tree.size()) return;
        if (isNew) {
            ejected++;
            tree.mark(backend, true);
            context.actions.log("server " + backend.id + " ejected: " + why);
        }
        double wait = context.classes.targetMicros * (1 << Math.min(backend.ejections++, MAX_BACKOFF));
        backend.ejectedUntil = now + (long) (wait * (0.75 + context.random.nextDouble() / 2));
        backend.failures = 0;
    }

    /** Ends an ejection, if there is one. */
    void readmit(Backend backend) {
        ejected -= backend.isEjected() ? 1 : 0;
        tree.mark(backend, false);
        backend.ejectedUntil = 0;
    }
}
