package org.cypressweir.fleet.lease;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.function.LongUnaryOperator;
import org.cypressweir.fleet.lease.LeaseMessage.Kind;

/**
 * The state of one lease in a process that may hold it. The process holds the lease once a quorum of grantors has
 * granted a request, for a term that counts from before the request was sent. It renews the lease well before the end
 * of the term, and stops holding it at that end if no quorum has granted a renewal.
 *
 * <p>States and transitions:
 * <ul>
 *   <li>idle: after a delay it sends a request to all grantors and is acquiring;
 *   <li>acquiring: a quorum grants the request and it is holding; a quorum refuses or does not respond in time, it
 *       releases the grants it received and is idle;
 *   <li>holding: it renews several times a term; the term expires or the lease is released and it is idle, or has a
 *       pending release while a client outside this process may still act;
 *   <li>pending release: once that time is over, it releases the lease and is idle.
 * </ul>
 */
final class LeaseClient {

    /** Latest requests whose responses are still accepted. */
    private static final int MAX_OPEN_REQUESTS = 8;
    /** Several consecutive renewals to a grantor may be lost without losing its grant. */
    private static final int RENEWALS_PER_TERM = 5;
    /** A failed attempt doubles the range of the next random delay, at most this many times. */
    private static final int MAX_BACKOFF_DOUBLINGS = 3;
    /** This many consecutive requests without responses from a quorum are not explained by message loss. */
    private static final int UNANSWERED_LIMIT = 3;
    /** How often a request is repeated at once because its token was too low. */
    private static final int MAX_TOKEN_INCREASES = 3;

    private static final int RESPONSE_TIMEOUTS_PER_TERM = 16;
    private static final long MIN_RESPONSE_TIMEOUT_MICROS = 20_000;
    private static final long MAX_RESPONSE_TIMEOUT_MICROS = 500_000;

    /** Effects that the process carries out. Implementations must not call back into this object. */
    interface Actions {
        void sendToGrantors(LeaseMessage message);

        void acquired(String lease, long token);

        void ended(String lease, long token, String reason);

        /** This process has released the lease: as far as it knows, others may acquire it from now on. */
        void released(String lease, long token);
    }

    private final String lease;
    private final String holder;
    private final LongUnaryOperator random;
    private final Actions actions;
    private LeaseOptions options;

    private final Map<Long, GrantRequest> openRequests = new HashMap<>();
    /** Number of the last message to grantors; increases within an incarnation. */
    private long requestNumber;
    /** The current request while acquiring; otherwise null. */
    private GrantRequest acquisition;

    private boolean isHolding;
    private long token;
    private final GrantTimes grantTimes = new GrantTimes();
    /** End of the term while holding. */
    private long expiresAt = Long.MIN_VALUE;

    private long renewAt;
    private long nextAttemptAt;
    /** Consecutive attempts that failed while no holder was known, as when several processes compete. */
    private int contendedAttempts;

    private int tokenIncreases;
    /** Consecutive requests without responses from a quorum. */
    private int unansweredRequests;
    /** A client outside this process may act until then, at most. */
    private long delegatedUntil = Long.MIN_VALUE;

    private boolean hasPendingRelease;
    /** The highest token that this process knows of. */
    private long highestToken;

    private String otherHolder = "";
    private long otherExpiresAt = Long.MIN_VALUE;

    /**
     * @param firstNumber requests are numbered from here; has to exceed the numbers of earlier incarnations
     * @param random returns a number from 0 to its argument, exclusive
     */
    LeaseClient(
            long firstNumber,
            String lease,
            String holder,
            LeaseOptions options,
            long firstAttemptAt,
            LongUnaryOperator random,
            Actions actions) {
        this.lease = lease;
        this.holder = holder;
        this.options = options;
        this.random = random;
        this.actions = actions;
        nextAttemptAt = firstAttemptAt;
        requestNumber = firstNumber;
    }

    /** A copy for model checkers. */
    LeaseClient copy(LongUnaryOperator randomOfCopy, Actions actionsOfCopy) {
        LeaseClient copy =
                new LeaseClient(requestNumber, lease, holder, options, nextAttemptAt, randomOfCopy, actionsOfCopy);
        openRequests.forEach((number, request) -> {
            GrantRequest copied = request.copy();
            copy.openRequests.put(number, copied);
            if (request == acquisition) {
                copy.acquisition = copied;
            }
        });
        grantTimes.copyTo(copy.grantTimes);
        copy.isHolding = isHolding;
        copy.token = token;
        copy.expiresAt = expiresAt;
        copy.renewAt = renewAt;
        copy.contendedAttempts = contendedAttempts;
        copy.tokenIncreases = tokenIncreases;
        copy.unansweredRequests = unansweredRequests;
        copy.delegatedUntil = delegatedUntil;
        copy.hasPendingRelease = hasPendingRelease;
        copy.highestToken = highestToken;
        copy.otherHolder = otherHolder;
        copy.otherExpiresAt = otherExpiresAt;
        return copy;
    }

    /** Appends the state that determines its further behaviour, for model checkers. */
    void describeState(long now, StateText text) {
        text.add(
                "client",
                isHolding ? Math.max(0, expiresAt - now) : -1,
                text.remaining(now, renewAt),
                text.remaining(now, nextAttemptAt),
                contendedAttempts,
                hasPendingRelease ? text.remaining(now, delegatedUntil) : -1,
                tokenIncreases,
                unansweredRequests,
                otherHolder.isEmpty() ? 0 : text.remaining(now, otherExpiresAt));
        text.addToken(isHolding || hasPendingRelease ? token : 0);
        text.addToken(highestToken);
        text.addName(otherHolder);
        if (acquisition != null) {
            acquisition.describeState(now, text);
        }
        if (isHolding) {
            grantTimes.describeState(now, termMicros(), text);
        }
    }

    /** Appends the state that determines the effect of a late response to that request, for model checkers. */
    void describeRequest(long now, long number, StateText text) {
        GrantRequest request = openRequests.get(number);
        long ageMicros = request == null ? -1 : now - request.sentAt;
        text.add("late", ageMicros, request == acquisition ? 1 : 0);
        text.addToken(request == null ? 0 : request.token);
    }

    void reconfigure(LeaseOptions newOptions) {
        options = newOptions;
    }

    private long termMicros() {
        return options.termMicrosByLease().get(lease);
    }

    private long responseTimeoutMicros() {
        long fractionOfTerm = termMicros() / RESPONSE_TIMEOUTS_PER_TERM;
        return Math.max(MIN_RESPONSE_TIMEOUT_MICROS, Math.min(MAX_RESPONSE_TIMEOUT_MICROS, fractionOfTerm));
    }

    boolean isHolder(long now) {
        return isHolding && now < expiresAt;
    }

    long token() {
        return token;
    }

    /** Time remaining of this process's term; 0 if it does not hold the lease. */
    long remainingMicros(long now) {
        return isHolder(now) ? expiresAt - now : 0;
    }

    /** Time remaining of another holder's term, as far as this process knows. */
    long otherRemainingMicros(long now) {
        if (isHolder(now) || otherExpiresAt == Long.MIN_VALUE) {
            return 0;
        }
        return Math.max(0, otherExpiresAt - now);
    }

    /** The holder as far as this process knows; empty if none is known. */
    String knownHolder(long now) {
        if (isHolder(now)) {
            return holder;
        }
        return now < otherExpiresAt ? otherHolder : "";
    }

    long highestToken() {
        return highestToken;
    }

    /** Whether the lease was given up, but a client outside this process may still act, which delays the release. */
    boolean hasPendingRelease() {
        return hasPendingRelease;
    }

    /** Records a token that is in use elsewhere: the next grant has to exceed it. */
    void observeToken(long usedToken) {
        highestToken = Math.max(highestToken, usedToken);
    }

    /**
     * Performs the actions that are due.
     *
     * @param mayAcquire whether this process may request the lease at all
     * @param delayMicros how long it waits so that preferred processes can request the lease first
     */
    void tick(long now, boolean mayAcquire, long delayMicros) {
        if (isHolding && now >= expiresAt) {
            expire(now);
        }
        if (hasPendingRelease) {
            if (now >= delegatedUntil) {
                hasPendingRelease = false;
                releaseToken();
            }
        } else if (isHolding) {
            if (now >= renewAt) {
                renewAt = now + termMicros() / RENEWALS_PER_TERM;
                request(now, token);
            }
        } else if (acquisition != null) {
            checkResponseTimeout(now, delayMicros);
        } else if (mayAcquire && now >= nextAttemptAt) {
            tokenIncreases = 0;
            acquisition = request(now, highestToken + 1);
        }
    }

    private void expire(long now) {
        stopHolding(now, "its term ran out without most keepers");
        // Grantors may have received the renewals while only their responses were lost.
        sendRelease(token);
        backOffUnanswered(now, UNANSWERED_LIMIT);
    }

    private void checkResponseTimeout(long now, long delayMicros) {
        if (now - acquisition.sentAt < responseTimeoutMicros()) {
            return;
        }
        boolean hasQuorumResponded = acquisition.hasQuorumResponded(options);
        abandonAcquisition(now, 0, delayMicros);
        if (!hasQuorumResponded) {
            backOffUnanswered(now, 1);
        }
    }

    private GrantRequest request(long now, long requestedToken) {
        GrantRequest request = new GrantRequest(now, requestedToken);
        openRequests.put(++requestNumber, request);
        openRequests.remove(requestNumber - MAX_OPEN_REQUESTS);
        actions.sendToGrantors(LeaseMessage.of(
                Kind.ASK, lease, holder, requestedToken, requestNumber, termMicros(), options.grantorSetId()));
        return request;
    }

    /** Handles a response of a grantor. */
    void receiveResponse(long now, InetSocketAddress grantor, LeaseMessage response, long delayMicros) {
        boolean isGrant = response.kind() == Kind.YES;
        if (isGrant && !response.holder().equals(holder)) {
            return;
        }
        GrantRequest request = openRequests.get(response.requestNumber());
        if (request == null) {
            return;
        }
        unansweredRequests = 0;
        if (!isGrant) {
            receiveRefusal(now, grantor, request, response, delayMicros);
        } else if (response.token() == request.token) {
            receiveGrant(now, grantor, request);
        }
    }

    private void receiveRefusal(
            long now, InetSocketAddress grantor, GrantRequest request, LeaseMessage refusal, long delayMicros) {
        highestToken = Math.max(highestToken, refusal.token());
        long remainingMicros = refusal.micros();
        request.recordRefusal(grantor, refusal.holder(), now + remainingMicros);
        if (remainingMicros > 0 && request.isHeldBy(refusal.holder(), options)) {
            otherHolder = refusal.holder();
            otherExpiresAt = now + remainingMicros;
        }
        if (request != acquisition) {
            return;
        }
        boolean isTokenTooLow = remainingMicros == 0 && refusal.token() >= request.token;
        if (isTokenTooLow && tokenIncreases < MAX_TOKEN_INCREASES) {
            // Grants under the higher token replace those under the lower one.
            tokenIncreases++;
            acquisition = request(now, highestToken + 1);
        } else if (request.isRefused(options)) {
            abandonAcquisition(now, Math.max(0, otherExpiresAt - now), delayMicros);
        }
    }

    private void receiveGrant(long now, InetSocketAddress grantor, GrantRequest request) {
        request.recordGrant(grantor);
        if (request == acquisition) {
            if (request.isGranted(options) && now < request.sentAt + termMicros()) {
                startHolding(request);
            }
        } else if (isHolding && request.token == token) {
            grantTimes.record(grantor, request.sentAt);
            expiresAt = Math.max(expiresAt, grantTimes.quorumGrantedAt(options) + termMicros());
        }
    }

    private void startHolding(GrantRequest request) {
        acquisition = null;
        contendedAttempts = 0;
        isHolding = true;
        token = request.token;
        observeToken(token);
        grantTimes.startWith(request);
        expiresAt = request.sentAt + termMicros();
        renewAt = request.sentAt + termMicros() / RENEWALS_PER_TERM;
        actions.acquired(lease, token);
    }

    private void stopHolding(long now, String reason) {
        isHolding = false;
        expiresAt = Long.MIN_VALUE;
        openRequests.clear();
        nextAttemptAt = now + responseTimeoutMicros() + random.applyAsLong(responseTimeoutMicros());
        actions.ended(lease, token, reason);
    }

    /**
     * Backs off after requests without responses. Grantors may receive the requests of this process while it does not
     * receive their responses; in that case it must not keep others from acquiring the lease.
     */
    private void backOffUnanswered(long now, int requests) {
        unansweredRequests = Math.min(unansweredRequests + requests, UNANSWERED_LIMIT + MAX_BACKOFF_DOUBLINGS);
        if (unansweredRequests >= UNANSWERED_LIMIT) {
            long backoffMicros = termMicros() << unansweredRequests - UNANSWERED_LIMIT;
            nextAttemptAt = now + backoffMicros + random.applyAsLong(termMicros());
        }
    }

    /**
     * Releases the grants received so far, so that others may acquire the lease at once, and sets the time of the next
     * attempt.
     *
     * @param waitMicros time until another holder's term is over; 0 if none is known
     */
    private void abandonAcquisition(long now, long waitMicros, long delayMicros) {
        sendRelease(acquisition.token);
        // Processes that wait for the end of one term need not back off from each other as well.
        contendedAttempts = waitMicros > 0 ? 0 : Math.min(contendedAttempts + 1, MAX_BACKOFF_DOUBLINGS);
        long jitterBound = responseTimeoutMicros() / 2;
        nextAttemptAt = now + waitMicros + delayMicros + 1 + random.applyAsLong(jitterBound << contendedAttempts);
        long quorumFreeAt = acquisition.quorumFreeAt(options);
        if (waitMicros == 0 && quorumFreeAt > now) {
            nextAttemptAt = Math.min(nextAttemptAt, quorumFreeAt + 1 + random.applyAsLong(jitterBound));
        }
        acquisition = null;
    }

    private void sendRelease(long releasedToken) {
        actions.sendToGrantors(
                LeaseMessage.of(Kind.FREE, lease, holder, releasedToken, ++requestNumber, 0, options.grantorSetId()));
    }

    private void releaseToken() {
        sendRelease(token);
        actions.released(lease, token);
    }

    /**
     * Stops holding or acquiring the lease. Others may acquire it before the term is over: at once, or when the time
     * is over for which clients outside this process may act.
     */
    void release(long now, String reason) {
        if (acquisition != null) {
            abandonAcquisition(now, termMicros(), 0);
        }
        if (!isHolding) {
            return;
        }
        stopHolding(now, reason);
        nextAttemptAt = now + termMicros();
        hasPendingRelease = delegatedUntil > now;
        if (!hasPendingRelease) {
            releaseToken();
        }
    }

    /**
     * Permits a client outside this process to act; the lease is not released meanwhile.
     *
     * @return for how long, at most {@code maxMicros}; 0 if it may not act
     */
    long delegate(long now, long maxMicros) {
        long delegatedMicros = Math.min(remainingMicros(now), maxMicros);
        if (delegatedMicros > 0) {
            delegatedUntil = Math.max(delegatedUntil, now + delegatedMicros);
        }
        return delegatedMicros;
    }

    /** Handles a hint: another process has released the lease, and this one may request it after the delay. */
    void receiveHint(long now, long releasedToken, long delayMicros) {
        observeToken(releasedToken);
        if (!isHolding && acquisition == null) {
            contendedAttempts = 0;
            nextAttemptAt = now + Math.min(termMicros(), delayMicros);
        }
    }
}
