package org.cypressweir.fleet.membership;

import java.util.Arrays;
import org.cypressweir.fleet.membership.ShareVoter.Grant;

/**
 * The part of what all share that one process may use, worked out by itself from the word of most electors.
 *
 * <p>A grant counts from when it was asked for, and for the hold. A process claims a part once most electors
 * have counted it without a gap for the release, and has the floor before and afterwards. So at any moment
 * any two that claim have been counted by one elector in common before either worked out its part, and each
 * knows of all others: the parts add up to no more than the whole. What it assumes: clocks whose rates differ
 * by under a tenth, the same electors everywhere, and that nothing is used without asking for the part at
 * that moment. What stays open at a process that stands still, as a connection does, is bounded as far as
 * its other end closes it within the linger.
 */
public final class ShareRequest {

    /** What claims share; the rest is for all that may be at the floor. */
    public static final double CLAIMED = 0.95;
    /** Twice the hold, since the answers of two electors may be a hold apart, and a tenth for clocks. */
    private static final double RELEASE = 2.2;

    private static final double CLOCKS = 1.1;

    private final long holdMicros;
    private final long releaseMicros;
    private final int most;
    private final long[] askedAt;
    private final Grant[] grants;
    /** Since when most electors have counted this process without a gap; the largest number for not now. */
    private long heldSince = Long.MAX_VALUE;

    /**
     * @param holdMicros for which a grant counts from when it was asked for
     * @param lingerMicros for which what was in use stays so at a process that stands still
     * @param most processes that may ever run at once
     */
    public ShareRequest(int electors, long holdMicros, long lingerMicros, int most) {
        this.holdMicros = holdMicros;
        this.most = most;
        releaseMicros = release(holdMicros, lingerMicros);
        askedAt = new long[electors];
        grants = new Grant[electors];
        Arrays.fill(askedAt, Long.MIN_VALUE / 2);
    }

    /** The same in all that it has heard, for walks over all that may come next. */
    public ShareRequest copy() {
        ShareRequest copy = new ShareRequest(this);
        System.arraycopy(askedAt, 0, copy.askedAt, 0, askedAt.length);
        System.arraycopy(grants, 0, copy.grants, 0, grants.length);
        copy.heldSince = heldSince;
        return copy;
    }

    private ShareRequest(ShareRequest other) {
        holdMicros = other.holdMicros;
        releaseMicros = other.releaseMicros;
        most = other.most;
        askedAt = new long[other.askedAt.length];
        grants = new Grant[other.grants.length];
    }

    /** All that decides what it will say from now on, as text: ages, not times. */
    public String state(long now) {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < askedAt.length; i++) {
            if (now - askedAt[i] < holdMicros) {
                text.append(now - askedAt[i])
                        .append('=')
                        .append(grants[i].count())
                        .append('/')
                        .append(grants[i].digest());
            }
            text.append(' ');
        }
        return text.append(holds(now) ? Math.min(releaseMicros, now - heldSince) : -1)
                .toString();
    }

    /** For how long an elector counts a process after its last answer to it. */
    public static long release(long holdMicros, long lingerMicros) {
        return (long) (RELEASE * holdMicros + CLOCKS * lingerMicros);
    }

    /** How often to ask, so that an answer may get lost. */
    public long everyMicros() {
        return holdMicros / 4;
    }

    /** An elector has answered what it was asked then. */
    public void granted(long now, int elector, long asked, Grant grant) {
        if (asked <= askedAt[elector]) {
            return;
        }
        boolean before = holds(now);
        askedAt[elector] = asked;
        grants[elector] = grant;
        if (!before) {
            heldSince = holds(now) ? now : Long.MAX_VALUE;
        }
    }

    private int fresh(long now) {
        int fresh = 0;
        for (long asked : askedAt) {
            fresh += now - asked < holdMicros ? 1 : 0;
        }
        return fresh;
    }

    private boolean holds(long now) {
        boolean holds = 2 * fresh(now) > askedAt.length;
        if (!holds) {
            heldSince = Long.MAX_VALUE;
        }
        return holds;
    }

    /** Whether it has more than the floor at this moment. */
    public boolean claims(long now) {
        return holds(now) && heldSince <= now - releaseMicros;
    }

    /** Processes to share with. Electors that count others may each know some that the rest do not. */
    public int count(long now) {
        int sum = 0;
        int largest = 0;
        boolean alike = true;
        long digest = 0;
        boolean first = true;
        for (int i = 0; i < askedAt.length; i++) {
            if (now - askedAt[i] < holdMicros) {
                alike &= first || grants[i].digest() == digest;
                digest = grants[i].digest();
                first = false;
                sum += grants[i].count();
                largest = Math.max(largest, grants[i].count());
            }
        }
        return Math.max(1, alike ? largest : sum);
    }

    /** The part of the whole, 0 to 1, that this process may use at this moment. */
    public double part(long now) {
        return claims(now) ? CLAIMED / count(now) : (1 - CLAIMED) / most;
    }
}
