package org.cypressweir.fleet.lease;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** When the latest request that each grantor has granted under the holder's current token was sent. */
final class GrantTimes {

    private static final long NEVER = Long.MIN_VALUE / 2;

    private final Map<InetSocketAddress, Long> sentAtByGrantor = new HashMap<>();

    void copyTo(GrantTimes copy) {
        copy.sentAtByGrantor.putAll(sentAtByGrantor);
    }

    /** Appends the grants that have not expired, for model checkers. */
    void describeState(long now, long termMicros, StateText text) {
        sentAtByGrantor.forEach((grantor, sentAt) -> {
            if (now - sentAt < termMicros) {
                text.addGrantorText(grantor, "granted " + (now - sentAt));
            }
        });
    }

    /** Resets to the grants of one request. */
    void startWith(GrantRequest request) {
        sentAtByGrantor.clear();
        request.grantedBy().forEach(grantor -> sentAtByGrantor.put(grantor, request.sentAt));
    }

    void record(InetSocketAddress grantor, long sentAt) {
        sentAtByGrantor.merge(grantor, sentAt, Math::max);
    }

    /** The latest time such that a quorum has granted requests sent at or after it; these may be different requests. */
    long quorumGrantedAt(LeaseOptions options) {
        long latest = NEVER;
        for (long sentAt : sentAtByGrantor.values()) {
            Set<InetSocketAddress> grantors = grantorsSince(sentAt);
            latest = options.isQuorum(grantors) ? Math.max(latest, sentAt) : latest;
        }
        return latest;
    }

    private Set<InetSocketAddress> grantorsSince(long since) {
        Set<InetSocketAddress> grantors = new HashSet<>();
        sentAtByGrantor.forEach((grantor, sentAt) -> {
            if (sentAt >= since) {
                grantors.add(grantor);
            }
        });
        return grantors;
    }
}
