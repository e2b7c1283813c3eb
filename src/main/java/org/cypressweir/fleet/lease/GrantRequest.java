package org.cypressweir.fleet.lease;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** One request to all grantors, for a grant or its renewal, and the responses so far. */
final class GrantRequest {

    /** Result of {@link #quorumFreeAt} if the responses do not tell when a quorum is free. */
    static final long UNKNOWN = Long.MIN_VALUE;

    final long sentAt;
    final long token;
    private final Set<InetSocketAddress> grantedBy = new HashSet<>();
    /** Grantors that refused, and the holder that each named; empty for none. */
    private final Map<InetSocketAddress, String> refusedBy = new HashMap<>();
    /** When the grant of another holder expires, by the grantor that refused because of it. */
    private final Map<InetSocketAddress, Long> otherExpiresAtByGrantor = new HashMap<>();

    GrantRequest(long sentAt, long token) {
        this.sentAt = sentAt;
        this.token = token;
    }

    GrantRequest copy() {
        GrantRequest copy = new GrantRequest(sentAt, token);
        copy.grantedBy.addAll(grantedBy);
        copy.refusedBy.putAll(refusedBy);
        copy.otherExpiresAtByGrantor.putAll(otherExpiresAtByGrantor);
        return copy;
    }

    /** Appends the responses so far, for model checkers. */
    void describeState(long now, StateText text) {
        text.add("request", now - sentAt);
        text.addToken(token);
        grantedBy.forEach(grantor -> text.addGrantorText(grantor, "granted"));
        refusedBy.forEach((grantor, namedHolder) -> text.addGrantorText(
                grantor, "refused " + namedHolder + " " + text.remaining(now, otherExpiresAtByGrantor.get(grantor))));
    }

    void recordGrant(InetSocketAddress grantor) {
        grantedBy.add(grantor);
    }

    void recordRefusal(InetSocketAddress grantor, String otherHolder, long expiresAt) {
        refusedBy.put(grantor, otherHolder);
        otherExpiresAtByGrantor.put(grantor, expiresAt);
    }

    Set<InetSocketAddress> grantedBy() {
        return grantedBy;
    }

    boolean isGranted(LeaseOptions options) {
        return options.isQuorum(grantedBy);
    }

    /** Whether the grantors that have not refused are no quorum. */
    boolean isRefused(LeaseOptions options) {
        Set<InetSocketAddress> remainingGrantors = new HashSet<>(options.allGrantors());
        remainingGrantors.removeAll(refusedBy.keySet());
        return !options.isQuorum(remainingGrantors);
    }

    /** Whether a quorum has responded at all. */
    boolean hasQuorumResponded(LeaseOptions options) {
        Set<InetSocketAddress> responders = new HashSet<>(grantedBy);
        responders.addAll(refusedBy.keySet());
        return options.isQuorum(responders);
    }

    /** Whether a quorum names that holder. Grants of fewer grantors may be released at any moment. */
    boolean isHeldBy(String otherHolder, LeaseOptions options) {
        Set<InetSocketAddress> grantors = new HashSet<>();
        refusedBy.forEach((grantor, namedHolder) -> {
            if (namedHolder.equals(otherHolder)) {
                grantors.add(grantor);
            }
        });
        return options.isQuorum(grantors);
    }

    /** Earliest time at which a quorum is free by the responses so far; {@link #UNKNOWN} if they do not tell. */
    long quorumFreeAt(LeaseOptions options) {
        long earliest = Long.MAX_VALUE;
        for (long freeAt : otherExpiresAtByGrantor.values()) {
            if (options.isQuorum(freeGrantors(freeAt))) {
                earliest = Math.min(earliest, freeAt);
            }
        }
        return earliest == Long.MAX_VALUE ? UNKNOWN : earliest;
    }

    private Set<InetSocketAddress> freeGrantors(long at) {
        Set<InetSocketAddress> free = new HashSet<>(grantedBy);
        otherExpiresAtByGrantor.forEach((grantor, expiresAt) -> {
            if (expiresAt <= at) {
                free.add(grantor);
            }
        });
        return free;
    }
}
