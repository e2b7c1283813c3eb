package org.cypressweir.loadbalancing;

import java.util.ArrayDeque;
import org.cypressweir.common.util.Hashes;
import org.cypressweir.loadbalancing.LoadBalancer.Phase;
import org.cypressweir.loadbalancing.LoadBalancer.Rules;
import org.cypressweir.loadbalancing.LoadBalancer.Server;

/**
 * A server and all that this instance knows of it; kept by id when the subset tree is rebuilt. It keeps state
 * only: the classes of the policy decide by it. Times are in microseconds of the events' clock, 0 for never.
 */
final class Backend extends SubsetTree.Member {

    static final double INITIAL_CONCURRENCY_LIMIT = 3;

    final long id;
    /** Place in this instance's own stable order of servers. */
    final long order;

    final FailureRates.Of failureRates;
    /** Own attempts that are out, in the order in which they were sent. */
    final ArrayDeque<Attempt> inFlight = new ArrayDeque<>();

    /** Its line of the last list. */
    Server server;

    boolean isReady;
    boolean isListed;

    /** Peak EWMA of latency in units of what is usual (NaN: no sample), and the plain EWMA. */
    double peakLatency = Double.NaN;

    double meanLatency = 1;
    long sampledAt;

    /** Failures since the last answer; ejections that back-off still counts. */
    int failures;

    int ejections;
    /** Attempts out that hang, and when the last was seen to. */
    int hangingAttempts;

    long hangingSeenAt;
    /** Ejected while above 0: no request before that time, then one trial. */
    long ejectedUntil;

    double concurrencyLimit = INITIAL_CONCURRENCY_LIMIT;
    long limitCutAt;
    /** Turned a request away: none before that time. */
    long pausedUntil;
    /** With a limit below one: none before that time. */
    long restUntil;

    /** From its own reports; NaN without one. */
    double othersInFlight = Double.NaN;

    double utilization = Double.NaN;
    long reportedAt;
    long probedAt;
    /** What it carries beside requests, in requests in flight; whether it takes no more of that. */
    double longLivedLoad;

    boolean isFullOfLongLived;

    /** When its connection was last known to work; when a new one may be tried. */
    long connectionUsedAt;

    long connectAt;
    int connectFailures;
    boolean isConnected;
    /** It refused connections, as a process that has died does; when it answered after that. */
    boolean mayHaveDied;

    long returnedAt;

    Backend(long id, int rank, FailureRates.Of failureRates) {
        this.id = id;
        this.failureRates = failureRates;
        order = Hashes.mix(id, rank);
    }

    /** Takes over a line of the list; whether the place in the subset tree is another by it. */
    boolean update(Server line) {
        boolean ready = line.phase() == Phase.READY;
        boolean moved = ready != isReady || server == null || server.zone() != line.zone();
        server = line;
        isReady = ready;
        isListed = line.phase() != Phase.REMOVED;
        return moved;
    }

    /** What it takes in slow start, as a part of what it takes when warm. */
    double coldShare(long now, Rules rules) {
        // A server that came back before the list says so is as cold as one that the list calls new.
        return rules.coldShare(now, mayHaveDied ? now : Math.max(server.startMicros(), returnedAt));
    }

    boolean isEjected() {
        return ejectedUntil != 0;
    }

    /** The connection works: something has come from the server. */
    void connectionWorked(long now) {
        connectionUsedAt = now;
        isConnected = true;
    }

    /** It has answered: connections can be made, and what refused them before was a restart. */
    void answered(long now) {
        connectionWorked(now);
        connectFailures = 0;
        connectAt = 0;
        if (mayHaveDied) {
            returnedAt = now;
        }
        mayHaveDied = false;
    }

    /**
     * An attempt hangs, and nothing has come from the server since that was seen. Once something has, it is the
     * connection or that request.
     */
    boolean isSilent() {
        return hangingAttempts > 0 && connectionUsedAt <= hangingSeenAt;
    }

    /** The attempt out for the longest time that still says something of the server; null without one. */
    Attempt oldestAttempt() {
        if (isSilent()) {
            return inFlight.peekFirst();
        }
        for (Attempt attempt : inFlight) {
            if (!attempt.isSuspected) {
                return attempt;
            }
        }
        return null;
    }
}
