package org.cypressweir.fleet.membership;

import java.util.Arrays;
import org.cypressweir.fleet.membership.ShareVoter.Grant;

/**
 * The share of one process in a fleet-wide limit, based on the grants of a majority of the voters.
 *
 * <p>A grant is valid for the hold time, from when it was requested. A process claims a share once a majority of the
 * voters has counted it without a gap for the release time; before that, and after it has lost the majority, it has the
 * minimum. So any two processes that claim a share at the same moment were counted by a common voter before either
 * computed its share, and each takes all others into account: the shares add up to at most the whole. Assumptions: the
 * rates of clocks differ by less than a tenth, the voters are the same in all processes, and nothing is used without
 * asking for the share at that moment. What stays open at a paused process, such as connections, is bounded if its
 * peers close it within the linger time.
 */
public final class ShareClaim {

    /** Fraction of the whole that is divided among claims; the rest is for processes at the minimum. */
    public static final double CLAIMABLE_FRACTION = 0.95;
    /**
     * Release time in multiples of the hold time: two, since the responses of two voters may be a hold time apart, plus
     * a tenth for differences between clock rates.
     */
    private static final double RELEASE_HOLDS = 2.2;

    private static final double CLOCK_TOLERANCE = 1.1;
    private static final int REQUESTS_PER_HOLD = 4;
    private static final long NO_MAJORITY = Long.MAX_VALUE;
    private static final long NEVER = Long.MIN_VALUE / 2;

    private final long holdMicros;
    private final long releaseMicros;
    private final int maxProcesses;
    /** By voter: when its last grant was requested. */
    private final long[] requestedAt;

    private final Grant[] grants;
    /** Since when a majority of the voters has counted this process without a gap. */
    private long majoritySince = NO_MAJORITY;

    /**
     * @param holdMicros how long a grant is valid, from when it was requested
     * @param lingerMicros how long a paused process may keep in use what it had in use, such as connections
     * @param maxProcesses maximum number of processes that ever run at once
     */
    public ShareClaim(int voters, long holdMicros, long lingerMicros, int maxProcesses) {
        this.holdMicros = holdMicros;
        this.maxProcesses = maxProcesses;
        releaseMicros = releaseMicros(holdMicros, lingerMicros);
        requestedAt = new long[voters];
        grants = new Grant[voters];
        Arrays.fill(requestedAt, NEVER);
    }

    private ShareClaim(ShareClaim original) {
        holdMicros = original.holdMicros;
        releaseMicros = original.releaseMicros;
        maxProcesses = original.maxProcesses;
        requestedAt = original.requestedAt.clone();
        grants = original.grants.clone();
        majoritySince = original.majoritySince;
    }

    /** A copy for model checkers. */
    public ShareClaim copy() {
        return new ShareClaim(this);
    }

    /** The state that determines further behaviour, for model checkers: ages instead of points in time. */
    public String describeState(long now) {
        StringBuilder text = new StringBuilder();
        for (int voter = 0; voter < requestedAt.length; voter++) {
            if (isCurrent(now, voter)) {
                text.append(now - requestedAt[voter])
                        .append('=')
                        .append(grants[voter].count())
                        .append('/')
                        .append(grants[voter].digest());
            }
            text.append(' ');
        }
        long majorityMicros = hasMajority(now) ? Math.min(releaseMicros, now - majoritySince) : -1;
        return text.append(majorityMicros).toString();
    }

    /** How long a voter counts a process after its last response to it, in microseconds. */
    public static long releaseMicros(long holdMicros, long lingerMicros) {
        return (long) (RELEASE_HOLDS * holdMicros + CLOCK_TOLERANCE * lingerMicros);
    }

    /** Interval between requests; short enough that several may be lost within a hold time. */
    public long requestIntervalMicros() {
        return holdMicros / REQUESTS_PER_HOLD;
    }

    /** Handles the response of a voter to the request that was sent at the given time. */
    public void receiveGrant(long now, int voter, long requestSentAt, Grant grant) {
        if (requestSentAt <= requestedAt[voter]) {
            return;
        }
        boolean hadMajority = hasMajority(now);
        requestedAt[voter] = requestSentAt;
        grants[voter] = grant;
        if (!hadMajority) {
            majoritySince = hasMajority(now) ? now : NO_MAJORITY;
        }
    }

    private boolean isCurrent(long now, int voter) {
        return now - requestedAt[voter] < holdMicros;
    }

    private int currentGrants(long now) {
        int current = 0;
        for (int voter = 0; voter < requestedAt.length; voter++) {
            current += isCurrent(now, voter) ? 1 : 0;
        }
        return current;
    }

    private boolean hasMajority(long now) {
        boolean hasMajority = 2 * currentGrants(now) > requestedAt.length;
        if (!hasMajority) {
            majoritySince = NO_MAJORITY;
        }
        return hasMajority;
    }

    /** Whether this process has more than the minimum at this moment. */
    public boolean hasClaim(long now) {
        return hasMajority(now) && majoritySince <= now - releaseMicros;
    }

    /**
     * Number of processes to share with. The counts of voters with different digests are added up, since each may have
     * counted processes that the others have not.
     */
    public int processCount(long now) {
        int sum = 0;
        int largest = 0;
        boolean isSameDigest = true;
        Grant first = null;
        for (int voter = 0; voter < requestedAt.length; voter++) {
            if (!isCurrent(now, voter)) {
                continue;
            }
            Grant grant = grants[voter];
            first = first == null ? grant : first;
            isSameDigest &= grant.digest() == first.digest();
            sum += grant.count();
            largest = Math.max(largest, grant.count());
        }
        return Math.max(1, isSameDigest ? largest : sum);
    }

    /** The fraction of the whole, 0 to 1, that this process may use at this moment. */
    public double fraction(long now) {
        return hasClaim(now) ? CLAIMABLE_FRACTION / processCount(now) : (1 - CLAIMABLE_FRACTION) / maxProcesses;
    }
}
