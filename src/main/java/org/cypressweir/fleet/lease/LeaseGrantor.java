package org.cypressweir.fleet.lease;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cypressweir.fleet.lease.LeaseMessage.Kind;

/**
 * The grants of one grantor. It grants a lease to one holder at a time, and each new grant has a higher fencing
 * token than all that it knows of. Grants are kept in memory only: after a start it grants nothing until any earlier
 * grant has expired, and then learns the tokens from the other grantors ({@link TokenRecovery}). Two quorums have a
 * grantor in common, so at any moment one process at most has the grants of a quorum, and tokens only rise.
 */
final class LeaseGrantor {

    /**
     * A grant, also one that has expired or was released.
     *
     * @param requestNumber of its holder's last request or release, so that a late message changes nothing
     */
    private record Grant(String holder, long token, long expiresAt, long requestNumber) {

        boolean isOf(String process) {
            return holder.equals(process);
        }

        Grant releasedAt(long now, long releaseNumber) {
            return new Grant(holder, token, Math.min(now, expiresAt), releaseNumber);
        }
    }

    private final InetSocketAddress self;
    /** Until then a grant of before the start may be in use. */
    private final long silentUntil;

    private final Map<String, Grant> grants = new HashMap<>();
    private final TokenRecovery tokens;
    private LeaseOptions options;

    /** @param unixMillis wall clock at the start, a floor for tokens where nobody is left who knows them */
    LeaseGrantor(long now, LeaseOptions options, InetSocketAddress self, long unixMillis) {
        this.options = options;
        this.self = self;
        silentUntil = now + options.grantMicros(options.maxTermMicros());
        tokens = new TokenRecovery(options, self, unixMillis, silentUntil);
    }

    private LeaseGrantor(LeaseGrantor original) {
        options = original.options;
        self = original.self;
        silentUntil = original.silentUntil;
        grants.putAll(original.grants);
        tokens = original.tokens.copy(options, silentUntil);
    }

    void reconfigure(LeaseOptions newOptions) {
        options = newOptions;
    }

    /** A copy for model checkers. */
    LeaseGrantor copy() {
        return new LeaseGrantor(this);
    }

    /** Appends what decides its further behaviour, for model checkers; these leave wall clocks out. */
    void describeState(long now, StateText text) {
        StringBuilder ofGrantor = new StringBuilder().append(text.remaining(now, silentUntil));
        tokens.describeState(now, text, ofGrantor);
        grants.forEach((lease, grant) -> {
            // The holder of an expired grant counts as well, since it may renew it.
            ofGrantor.append(' ').append(lease).append(grant.holder);
            if (grant.expiresAt > now) {
                ofGrantor.append(grant.expiresAt - now);
            }
        });
        text.addOf(self, ofGrantor.toString());
        grants.values().forEach(grant -> text.addTokenOf(self, grant.token));
        tokens.tokens().forEach(token -> text.addTokenOf(self, token));
    }

    /** Whether it has to ask the other grantors for tokens now. */
    boolean startsTokenQuery(long now) {
        return tokens.startsQuery(now, options);
    }

    /** What it knows of tokens, and whether that is all. */
    List<LeaseMessage> answerTokenQuery(LeaseMessage request) {
        return tokens.answerQuery(request, options);
    }

    void learnTokens(InetSocketAddress from, LeaseMessage page) {
        tokens.learn(from, page, options);
    }

    /** Response to a request for a grant or its renewal; null for none. */
    LeaseMessage answerRequest(long now, LeaseMessage request) {
        if (!options.acceptsGrantorSet(request.grantorSetId())) {
            return null;
        }
        if (now < silentUntil || !tokens.isFinished()) {
            // It grants nothing, and says so: without a response the requester takes itself to be partitioned.
            long waitMicros = Math.max(TokenRecovery.QUERY_INTERVAL_MICROS, silentUntil - now);
            return refusal(request, "", 0, waitMicros);
        }
        boolean isTermAllowed = request.micros() > 0 && request.micros() <= options.maxTermMicros();
        if (!isTermAllowed || !tokens.hasRoomFor(request.lease())) {
            return null;
        }
        Grant grant = grants.get(request.lease());
        boolean isRequesters = grant != null && grant.isOf(request.holder());
        if (isRequesters && request.requestNumber() <= grant.requestNumber) {
            return null;
        }
        long highestToken = tokens.highestToken(request.lease(), options);
        boolean isRenewal = isRequesters && grant.token == request.token() && request.token() == highestToken;
        boolean isFree = grant == null || grant.expiresAt <= now || isRequesters;
        if (isRenewal || isFree && request.token() > highestToken) {
            return grant(now, request);
        }
        return isFree
                ? refusal(request, "", highestToken, 0)
                : refusal(request, grant.holder, highestToken, grant.expiresAt - now);
    }

    private LeaseMessage grant(long now, LeaseMessage request) {
        long expiresAt = now + options.grantMicros(request.micros());
        Grant granted = new Grant(request.holder(), request.token(), expiresAt, request.requestNumber());
        grants.put(request.lease(), granted);
        tokens.recordGranted(request.lease(), request.token());
        return LeaseMessage.of(
                Kind.YES,
                request.lease(),
                request.holder(),
                request.token(),
                request.requestNumber(),
                0,
                request.grantorSetId());
    }

    private static LeaseMessage refusal(LeaseMessage request, String holder, long highestToken, long remainingMicros) {
        return LeaseMessage.of(
                Kind.NO,
                request.lease(),
                holder,
                highestToken,
                request.requestNumber(),
                remainingMicros,
                request.grantorSetId());
    }

    /** A grant is released; its token stays used. */
    void release(long now, LeaseMessage release) {
        Grant grant = grants.get(release.lease());
        if (grant != null
                && grant.isOf(release.holder())
                && grant.token == release.token()
                && release.requestNumber() > grant.requestNumber) {
            grants.put(release.lease(), grant.releasedAt(now, release.requestNumber()));
        }
    }
}
