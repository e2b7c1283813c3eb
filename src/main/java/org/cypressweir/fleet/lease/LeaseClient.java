package org.cypressweir.fleet.lease;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.function.LongUnaryOperator;
import org.cypressweir.fleet.lease.LeaseMessage.Kind;

/**
 * One lease as seen by one process that may hold it. The process holds the lease once a quorum of grantors has granted
 * a request, for a term that counts from before the request was sent. It renews well before the end of the term and
 * stops by itself where no quorum responds.
 *
 * <p>States, and what leads from one to another:
 * <ul>
 *   <li>idle: after some time it sends a request to all grantors and is acquiring;
 *   <li>acquiring: a quorum grants the request and it is holding; a quorum refuses or does not respond in time, it
 *       releases what was granted and is idle;
 *   <li>holding: it renews several times a term; the term expires or the lease is released and it is idle, or has a
 *       pending release where somebody outside this process may still act;
 *   <li>pending release: that time is over, it releases the lease and is idle.
 * </ul>
 */
final class LeaseClient {

    /** Requests whose responses may still arrive. */
    private static final int OPEN_REQUESTS = 8;
    /** So that of each grantor several renewals in a row may be lost. */
    private static final int RENEWALS_PER_TERM = 5;
    /** An attempt that met others doubles the time that the next delay is drawn from, up to so many times. */
    private static final int MAX_BACKOFF_DOUBLINGS = 3;
    /** So many requests in a row without responses of a quorum are more than message loss. */
    private static final int UNANSWERED_LIMIT = 3;
    /** Times that a request is sent anew at once because its token was too low. */
    private static final int MAX_TOKEN_INCREASES = 3;

    private static final int RESPONSE_TIMEOUTS_PER_TERM = 16;
    private static final long MIN_RESPONSE_TIMEOUT_MICROS = 20_000;
    private static final long MAX_RESPONSE_TIMEOUT_MICROS = 500_000;

    /** What the process has to do; none of it calls back into this object. */
    interface Actions {
        void sendToGrantors(LeaseMessage message);

        void acquired(String lease, long token);

        void ended(String lease, long token, String reason);

        /** The lease was released: as far as this process knows others may have it from now on. */
        void released(String lease, long token);
    }

    private final String lease;
    private final String holder;
    private final LongUnaryOperator random;
    private final Actions actions;
    private LeaseOptions options;

    private final Map<Long, GrantRequest> openRequests = new HashMap<>();
    /** Number of the last request; rises within an incarnation. */
    private long requestNumber;
    /** The request while acquiring; else null. */
    private GrantRequest acquisition;

    private boolean isHolding;
    private long token;
    private final GrantTimes grantTimes = new GrantTimes();
    /** End of the term while holding. */
    private long expiresAt = Long.MIN_VALUE;

    private long renewAt;
    private long nextAttemptAt;
    /** Attempts in a row that met others. */
    private int contendedAttempts;

    private int tokenIncreases;
    /** Requests in a row without responses of a quorum. */
    private int unansweredRequests;
    /** Somebody outside this process may act until then, at most. */
    private long delegatedUntil = Long.MIN_VALUE;

    private boolean hasPendingRelease;
    /** The highest token that this process knows of. */
    private long highestToken;

    private String otherHolder = "";
    private long otherExpiresAt = Long.MIN_VALUE;

    /**
     * @param firstNumber requests are numbered from here; above those of earlier incarnations
     * @param random returns a number from 0 to below its argument
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

    /** Appends what decides its further behaviour, for model checkers. */
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

    /** Appends what a late response to that request would do, for model checkers. */
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
        long partOfTerm = termMicros() / RESPONSE_TIMEOUTS_PER_TERM;
        return Math.max(MIN_RESPONSE_TIMEOUT_MICROS, Math.min(MAX_RESPONSE_TIMEOUT_MICROS, partOfTerm));
    }

    boolean isHolder(long now) {
        return isHolding && now < expiresAt;
    }

    long token() {
        return token;
    }

    /** What is left of this process's term; 0 where it does not hold the lease. */
    long remainingMicros(long now) {
        return isHolder(now) ? expiresAt - now : 0;
    }

    /** What is left of another holder's term, as far as this process knows. */
    long otherRemainingMicros(long now) {
        if (isHolder(now) || otherExpiresAt == Long.MIN_VALUE) {
            return 0;
        }
        return Math.max(0, otherExpiresAt - now);
    }

    /** The holder as far as this process knows; empty for none. */
    String knownHolder(long now) {
        if (isHolder(now)) {
            return holder;
        }
        return now < otherExpiresAt ? otherHolder : "";
    }

    long highestToken() {
        return highestToken;
    }

    /** Whether the lease was given up and its release has to wait for somebody outside this process. */
    boolean hasPendingRelease() {
        return hasPendingRelease;
    }

    /** A token that is in use somewhere: the next grant has to be above it. */
    void observeToken(long usedToken) {
        highestToken = Math.max(highestToken, usedToken);
    }

    /**
     * Does what is due.
     *
     * @param mayAcquire whether this process may request the lease at all
     * @param delayMicros time that it leaves to processes that come before it
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
        // Grantors may have received the renewals, and only their responses were lost.
        sendRelease(token);
        backOffUnanswered(now, UNANSWERED_LIMIT);
    }

    private void checkResponseTimeout(long now, long delayMicros) {
        if (now - acquisition.sentAt < responseTimeoutMicros()) {
            return;
        }
        boolean isAnswered = acquisition.isAnswered(options);
        abandonAcquisition(now, 0, delayMicros);
        if (!isAnswered) {
            backOffUnanswered(now, 1);
        }
    }

    private GrantRequest request(long now, long requestedToken) {
        GrantRequest request = new GrantRequest(now, requestedToken);
        openRequests.put(++requestNumber, request);
        openRequests.remove(requestNumber - OPEN_REQUESTS);
        actions.sendToGrantors(LeaseMessage.of(
                Kind.ASK, lease, holder, requestedToken, requestNumber, termMicros(), options.grantorSetId()));
        return request;
    }

    /** A response of a grantor. */
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
            // What was granted under the lower token is replaced by grants under the higher one.
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
     * Grantors may receive the requests of this process while it does not receive their responses: then it must not
     * keep others from acquiring the lease.
     */
    private void backOffUnanswered(long now, int requests) {
        unansweredRequests = Math.min(unansweredRequests + requests, UNANSWERED_LIMIT + MAX_BACKOFF_DOUBLINGS);
        if (unansweredRequests >= UNANSWERED_LIMIT) {
            long backoffMicros = termMicros() << unansweredRequests - UNANSWERED_LIMIT;
            nextAttemptAt = now + backoffMicros + random.applyAsLong(termMicros());
        }
    }

    /**
     * Releases what was granted so far, so that others may have it at once, and sets the time of the next attempt.
     *
     * @param waitMicros until another holder's term is over; 0 where none is known
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
     * Stops holding or acquiring the lease. Others may have it before the term is over: now, or when those outside
     * this process that may act have finished.
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
     * Lets somebody outside this process act; the lease is not released meanwhile.
     *
     * @return for how long, at most as asked; 0 for not at all
     */
    long delegate(long now, long maxMicros) {
        long delegatedMicros = Math.min(remainingMicros(now), maxMicros);
        if (delegatedMicros > 0) {
            delegatedUntil = Math.max(delegatedUntil, now + delegatedMicros);
        }
        return delegatedMicros;
    }

    /** Another process has released the lease and says that this one is to request it next. */
    void receiveHint(long now, long releasedToken, long delayMicros) {
        observeToken(releasedToken);
        if (!isHolding && acquisition == null) {
            contendedAttempts = 0;
            nextAttemptAt = now + Math.min(termMicros(), delayMicros);
        }
    }
}
