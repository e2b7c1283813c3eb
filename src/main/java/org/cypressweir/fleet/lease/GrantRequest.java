package org.cypressweir.fleet.lease;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** One request to all grantors, for a grant or its renewal, and the responses so far. */
final class GrantRequest {

    /** {@link #quorumFreeAt} where the refusals name no time at which a quorum is free. */
    static final long UNKNOWN = Long.MIN_VALUE;

    final long sentAt;
    final long token;
    private final Set<InetSocketAddress> grantedBy = new HashSet<>();
    /** Grantors that refused, and the holder that each named; empty for none. */
    private final Map<InetSocketAddress, String> refusedBy = new HashMap<>();
    /** Until when the grantors that refused keep the grant of another holder. */
    private final Map<InetSocketAddress, Long> otherExpiresAt = new HashMap<>();

    GrantRequest(long sentAt, long token) {
        this.sentAt = sentAt;
        this.token = token;
    }

    GrantRequest copy() {
        GrantRequest copy = new GrantRequest(sentAt, token);
        copy.grantedBy.addAll(grantedBy);
        copy.refusedBy.putAll(refusedBy);
        copy.otherExpiresAt.putAll(otherExpiresAt);
        return copy;
    }

    /** Appends the responses so far, for model checkers. */
    void describeState(long now, StateText text) {
        text.add("request", now - sentAt);
        text.addToken(token);
        grantedBy.forEach(grantor -> text.addOf(grantor, "granted"));
        refusedBy.forEach((grantor, named) ->
                text.addOf(grantor, "refused " + named + " " + text.remaining(now, otherExpiresAt.get(grantor))));
    }

    void recordGrant(InetSocketAddress grantor) {
        grantedBy.add(grantor);
    }

    void recordRefusal(InetSocketAddress grantor, String otherHolder, long expiresAt) {
        refusedBy.put(grantor, otherHolder);
        otherExpiresAt.put(grantor, expiresAt);
    }

    Set<InetSocketAddress> grantedBy() {
        return grantedBy;
    }

    boolean isGranted(LeaseOptions options) {
        return options.isQuorum(grantedBy);
    }

    /** Whether too few grantors are left that could grant it. */
    boolean isRefused(LeaseOptions options) {
        Set<InetSocketAddress> others = new HashSet<>(options.allGrantors());
        others.removeAll(refusedBy.keySet());
        return !options.isQuorum(others);
    }

    /** Whether a quorum has responded at all. */
    boolean isAnswered(LeaseOptions options) {
        Set<InetSocketAddress> responders = new HashSet<>(grantedBy);
        responders.addAll(refusedBy.keySet());
        return options.isQuorum(responders);
    }

    /** Whether a quorum names that holder; what one or two grantors have granted may be released any moment. */
    boolean isHeldBy(String otherHolder, LeaseOptions options) {
        Set<InetSocketAddress> grantors = new HashSet<>();
        refusedBy.forEach((grantor, named) -> {
            if (named.equals(otherHolder)) {
                grantors.add(grantor);
            }
        });
        return options.isQuorum(grantors);
    }

    /** When a quorum will be free by the responses so far; {@link #UNKNOWN} where these do not say. */
    long quorumFreeAt(LeaseOptions options) {
        long earliest = Long.MAX_VALUE;
        for (long freeAt : otherExpiresAt.values()) {
            if (options.isQuorum(freeGrantors(freeAt))) {
                earliest = Math.min(earliest, freeAt);
            }
        }
        return earliest == Long.MAX_VALUE ? UNKNOWN : earliest;
    }

    private Set<InetSocketAddress> freeGrantors(long at) {
        Set<InetSocketAddress> free = new HashSet<>(grantedBy);
        otherExpiresAt.forEach((grantor, expiresAt) -> {
            if (expiresAt <= at) {
                free.add(grantor);
            }
        });
        return free;
    }
}
