package org.cypressweir.fleet.membership;

import java.util.Arrays;
import org.cypressweir.fleet.membership.ShareVoter.Grant;

/**
 * The share of one process in a limit of the whole fleet, by the grants of a majority of the voters.
 *
 * <p>A grant counts for the hold, from when it was requested. A process claims a share once a majority of the voters
 * has counted it without a gap for the release; before and afterwards it has the minimum. So any two processes that
 * claim a share at some moment were counted by a voter in common before either computed its share, and each knows of
 * all others: the shares add up to the whole at most. Assumptions: the rates of clocks differ by under a tenth, the
 * voters are the same in all processes, and nothing is used without asking for the share at that moment. What stays
 * open at a paused process, such as connections, is bounded if its peers close it within the linger time.
 */
public final class ShareRequest {

    /** Part of the whole that claims are divided from; the rest is for processes at the minimum. */
    public static final double CLAIMABLE_PART = 0.95;
    /** Twice the hold, since the responses of two voters may be a hold apart, and a tenth for clocks. */
    private static final double RELEASE_HOLDS = 2.2;

    private static final double CLOCK_TOLERANCE = 1.1;
    private static final int REQUESTS_PER_HOLD = 4;
    private static final long NOT_HELD = Long.MAX_VALUE;
    private static final long NEVER = Long.MIN_VALUE / 2;

    private final long holdMicros;
    private final long releaseMicros;
    private final int maxProcesses;
    /** By voter, when its last grant was requested. */
    private final long[] requestedAt;

    private final Grant[] grants;
    /** Since when a majority of the voters has counted this process without a gap. */
    private long heldSince = NOT_HELD;

    /**
     * @param holdMicros for which a grant counts from when it was requested
     * @param lingerMicros for which what was in use stays in use at a paused process
     * @param maxProcesses processes that may ever run at once
     */
    public ShareRequest(int voters, long holdMicros, long lingerMicros, int maxProcesses) {
        this.holdMicros = holdMicros;
        this.maxProcesses = maxProcesses;
        releaseMicros = releaseMicros(holdMicros, lingerMicros);
        requestedAt = new long[voters];
        grants = new Grant[voters];
        Arrays.fill(requestedAt, NEVER);
    }

    private ShareRequest(ShareRequest original) {
        holdMicros = original.holdMicros;
        releaseMicros = original.releaseMicros;
        maxProcesses = original.maxProcesses;
        requestedAt = original.requestedAt.clone();
        grants = original.grants.clone();
        heldSince = original.heldSince;
    }

    /** A copy for model checkers. */
    public ShareRequest copy() {
        return new ShareRequest(this);
    }

    /** What decides its further behaviour, for model checkers: ages instead of points in time. */
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
        long heldMicros = isHeld(now) ? Math.min(releaseMicros, now - heldSince) : -1;
        return text.append(heldMicros).toString();
    }

    /** For how long a voter counts a process after its last response to it. */
    public static long releaseMicros(long holdMicros, long lingerMicros) {
        return (long) (RELEASE_HOLDS * holdMicros + CLOCK_TOLERANCE * lingerMicros);
    }

    /** From one request to the next, so that several may be lost. */
    public long requestIntervalMicros() {
        return holdMicros / REQUESTS_PER_HOLD;
    }

    /** A voter has responded to the request of that time. */
    public void receiveGrant(long now, int voter, long requestSentAt, Grant grant) {
        if (requestSentAt <= requestedAt[voter]) {
            return;
        }
        boolean wasHeld = isHeld(now);
        requestedAt[voter] = requestSentAt;
        grants[voter] = grant;
        if (!wasHeld) {
            heldSince = isHeld(now) ? now : NOT_HELD;
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

    private boolean isHeld(long now) {
        boolean isHeld = 2 * currentGrants(now) > requestedAt.length;
        if (!isHeld) {
            heldSince = NOT_HELD;
        }
        return isHeld;
    }

    /** Whether it has more than the minimum at this moment. */
    public boolean hasClaim(long now) {
        return isHeld(now) && heldSince <= now - releaseMicros;
    }

    /** Processes to share with. Voters with different digests may each have counted some that the others have not. */
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

    /** The part of the whole, 0 to 1, that this process may use at this moment. */
    public double part(long now) {
        return hasClaim(now) ? CLAIMABLE_PART / processCount(now) : (1 - CLAIMABLE_PART) / maxProcesses;
    }
}
