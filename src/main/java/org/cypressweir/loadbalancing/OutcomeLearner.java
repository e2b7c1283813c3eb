package org.cypressweir.loadbalancing;

import org.cypressweir.loadbalancing.LoadBalancer.Outcome;
import org.cypressweir.loadbalancing.LoadBalancer.ReportSource;
import org.cypressweir.loadbalancing.LoadBalancer.Result;

/** Decides what the end of an attempt says of its server, its connection, its class and the service. */
final class OutcomeLearner {

    private final BalancerContext context;
    private final ServerEstimates estimates;
    private final AdmissionControl admission;
    private final OutlierDetector outliers;

    OutcomeLearner(BalancerContext context, AdmissionControl admission, OutlierDetector outliers) {
        this.context = context;
        this.admission = admission;
        this.outliers = outliers;
        estimates = context.estimates;
    }

    void learn(long now, Attempt attempt, Outcome outcome) {
        switch (outcome.result()) {
            case SERVED -> served(now, attempt, outcome);
            case FULL -> {
                attempt.backend.connectionWorked(now);
                attempt.backend.failureRates.failed(now, attempt.request.requestClass);
                admission.turnedAway(now, attempt);
            }
            case NO_CONNECTION -> notConnected(now, attempt.backend, outcome.elapsedMicros());
            case CANCELLED, NOT_SENT -> {}
            default -> failed(now, attempt, outcome);
        }
    }

    private void served(long now, Attempt attempt, Outcome outcome) {
        long elapsed = outcome.elapsedMicros();
        estimates.addInFlight(now, attempt.backend, outcome.report());
        if (context.settings.reports() == ReportSource.ANSWERS) {
            estimates.addUtilization(now, attempt.backend, outcome.report());
        }
        cleared(now, attempt, elapsed);
        double alone = elapsed / (1 + attempt.loadBefore);
        context.classes.answered(attempt.request, alone);
        // A slow set-up says nothing of the server.
        boolean slowSetup = attempt.onNewConnection && alone > Attempt.HANGING_FACTOR * attempt.usualMicros;
        if (!slowSetup || !context.hasManyInstances) {
            estimates.addAnswer(now, attempt.backend, alone / attempt.usualMicros);
            admission.adaptLimit(now, attempt, elapsed / attempt.request.scale);
        }
    }

    /** An answer clears the server, its connection and the class. */
    private void cleared(long now, Attempt attempt, long elapsed) {
        Backend backend = attempt.backend;
        if (attempt.onNewConnection) estimates.setupMicros.mean(now, Math.max(0, elapsed - attempt.expectedMicros));
        backend.answered(now);
        backend.failureRates.answered(now, attempt.request.requestClass);
        outliers.answered(attempt);
        admission.answered(attempt, elapsed);
    }

    /** At its limit, slow to set up, or down: only new connections stay away. */
    private void notConnected(long now, Backend backend, long elapsed) {
        estimates.setupMicros.mean(now, 2 * elapsed);
        admission.serverIsCrowded();
        backend.connectionUsedAt = 0;
        int doublings = Math.min(backend.connectFailures++, OutlierDetector.MAX_BACKOFF);
        double wait = context.classes.targetMicros * (1 << doublings);
        // A process that dies refuses connections for a while. Broken ones come from any server: taken for deaths
        // and so for restarts, they made the whole fleet look cold.
        backend.mayHaveDied |= backend.connectFailures > 1;
        backend.connectAt = now + (long) (wait * (0.75 + context.random.nextDouble() / 2));
    }

    private void failed(long now, Attempt attempt, Outcome outcome) {
        Backend backend = attempt.backend;
        long elapsed = outcome.elapsedMicros();
        boolean timedOut = outcome.result() == Result.TIMED_OUT;
        // A client that has no patience says nothing of the server.
        if (timedOut && elapsed * 2 < Attempt.HANGING_FACTOR * attempt.expectedMicros) return;
        if (timedOut && !attempt.isSuspected) outliers.suspect(now, attempt);
        if (admission.isSlow(now, attempt)) admission.serverIsCrowded();
        if (outcome.result() == Result.ERROR) {
            // It has answered: the connection works, and no idle spell before is to blame.
            backend.failureRates.failed(now, attempt.request.requestClass);
            backend.connectionWorked(now);
        } else if (outliers.wasIdle(attempt)
                || attempt.isSuspected && backend.connectionUsedAt > backend.hangingSeenAt) {
            return;
        }
        estimates.addPeak(now, backend, Math.max(elapsed, context.classes.targetMicros) / attempt.usualMicros);
        outliers.failed(now, backend, outcome.result().toString());
    }
}
