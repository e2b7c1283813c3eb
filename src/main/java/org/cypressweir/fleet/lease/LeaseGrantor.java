package org.cypressweir.fleet.lease;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cypressweir.fleet.lease.LeaseMessage.Kind;

/**
 * The grants of one grantor. It grants a lease to one holder at a time, and each new grant has a higher fencing
 * token than all that it knows. Grants are kept in memory only: after a start it grants nothing until every earlier
 * grant has expired, and then learns the tokens from the other grantors ({@link TokenRecovery}). Any two quorums have a
 * grantor in common, so at most one process at a time has the grants of a quorum, and tokens only increase.
 */
final class LeaseGrantor {

    /**
     * A grant, which may have expired or been released.
     *
     * @param requestNumber of its holder's latest request or release; messages that are not newer have no effect
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
    /** Until then a grant from before the start may be in use, and nothing is granted. */
    private final long firstGrantAt;

    private final Map<String, Grant> grants = new HashMap<>();
    private final TokenRecovery tokens;
    private LeaseOptions options;

    /** @param unixMillis wall clock at the start, a lower bound for tokens if no process is left that knows them */
    LeaseGrantor(long now, LeaseOptions options, InetSocketAddress self, long unixMillis) {
        this.options = options;
        this.self = self;
        firstGrantAt = now + options.grantMicros(options.maxTermMicros());
        tokens = new TokenRecovery(options, self, unixMillis, firstGrantAt);
    }

    private LeaseGrantor(LeaseGrantor original) {
        options = original.options;
        self = original.self;
        firstGrantAt = original.firstGrantAt;
        grants.putAll(original.grants);
        tokens = original.tokens.copy(options, firstGrantAt);
    }

    void reconfigure(LeaseOptions newOptions) {
        options = newOptions;
    }

    /** A copy for model checkers. */
    LeaseGrantor copy() {
        return new LeaseGrantor(this);
    }

    /** Appends the state that determines its further behaviour, for model checkers, which do not model wall clocks. */
    void describeState(long now, StateText text) {
        StringBuilder grantorText = new StringBuilder().append(text.remaining(now, firstGrantAt));
        tokens.describeState(now, text, grantorText);
        grants.forEach((lease, grant) -> {
            // The holder of an expired grant is included, since it may still renew the grant.
            grantorText.append(' ').append(lease).append(grant.holder);
            if (grant.expiresAt > now) {
                grantorText.append(grant.expiresAt - now);
            }
        });
        text.addGrantorText(self, grantorText.toString());
        grants.values().forEach(grant -> text.addGrantorToken(self, grant.token));
        tokens.tokens().forEach(token -> text.addGrantorToken(self, token));
    }

    /** Starts to query the other grantors for tokens if that is due; returns whether it did. */
    boolean startTokenQueryIfDue(long now) {
        return tokens.startQueryIfDue(now, options);
    }

    /** The tokens that it knows, and whether these are complete. */
    List<LeaseMessage> answerTokenQuery(LeaseMessage request) {
        return tokens.answerQuery(request, options);
    }

    void learnTokens(InetSocketAddress from, LeaseMessage page) {
        tokens.learn(from, page, options);
    }

    /** Response to a request for a grant or its renewal; null if the request is ignored. */
    LeaseMessage answerRequest(long now, LeaseMessage request) {
        if (!options.acceptsGrantorSet(request.grantorSetId())) {
            return null;
        }
        if (now < firstGrantAt || !tokens.isFinished()) {
            // Refuses explicitly: without a response the requester would assume that it is partitioned.
            long waitMicros = Math.max(TokenRecovery.QUERY_INTERVAL_MICROS, firstGrantAt - now);
            return refusal(request, "", 0, waitMicros);
        }
        boolean isTermAllowed = request.micros() > 0 && request.micros() <= options.maxTermMicros();
        if (!isTermAllowed || !tokens.hasRoomFor(request.lease())) {
            return null;
        }
        Grant grant = grants.get(request.lease());
        boolean isGrantOfRequester = grant != null && grant.isOf(request.holder());
        if (isGrantOfRequester && request.requestNumber() <= grant.requestNumber) {
            return null;
        }
        long highestToken = tokens.highestToken(request.lease(), options);
        boolean isRenewal = isGrantOfRequester && grant.token == request.token() && request.token() == highestToken;
        boolean isFree = grant == null || grant.expiresAt <= now || isGrantOfRequester;
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

    /** Releases a grant; its token is not granted again. */
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
