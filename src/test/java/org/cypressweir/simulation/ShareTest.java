package org.cypressweir.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.stream.LongStream;
import org.cypressweir.fleet.membership.ShareClaim;
import org.cypressweir.fleet.membership.ShareVoter;
import org.junit.jupiter.api.Test;

class ShareTest {

    /** At no moment of any drawn schedule do the shares in use add up to more than the whole. */
    @Test
    void sharesNeverAddUpToMoreThanTheWhole() {
        LongStream.concat(LongStream.rangeClosed(1, 20), LongStream.of(System.nanoTime() & 0xFFFFF))
                .forEach(seed -> assertNull(ShareChecks.broken(seed)));
    }

    /** Explores all orders of message loss and restarts in a small fleet, and a bounded number in a larger one. */
    @Test
    void noScheduleOfASmallFleetExceedsTheWhole() {
        ShareWalk.Result oneVoter = ShareWalk.walk(new ShareWalk.WorldParameters(2, 1, true, 1), 20_000);
        assertNull(oneVoter.breach());
        assertTrue(oneVoter.complete() && oneVoter.states() > 5_000, oneVoter.toString());
        assertTrue(oneVoter.maxTotalShare() > 0.9, "no process gets a share: " + oneVoter);
        ShareWalk.Result threeVoters = ShareWalk.walk(new ShareWalk.WorldParameters(2, 3, false, 0), 40_000);
        assertNull(threeVoters.breach());
        assertTrue(threeVoters.states() >= 40_000, threeVoters.toString());
    }

    @Test
    void aRestartedVoterStaysSilentForTheReleaseTime() {
        ShareVoter voter = new ShareVoter(100, 1_000, 2);
        assertNull(voter.count(1_099, "a"));
        assertEquals(1, voter.count(1_100, "a").count());
        assertEquals(2, voter.count(1_200, "b").count());
        assertNull(voter.count(1_300, "c"), "more processes than the voter counts");
        assertNotEquals(
                voter.count(1_400, "a").digest(), voter.count(2_210, "a").digest());
        assertEquals(1, voter.count(2_300, "a").count(), "b has been silent for the release time");
    }

    @Test
    void differingCountsOfVotersAreAddedUp() {
        ShareClaim request = new ShareClaim(3, 1_000, 0, 10);
        for (long at = 0; at <= 4_000; at += 500) {
            request.receiveGrant(at, 0, at, new ShareVoter.Grant(4, 77));
            request.receiveGrant(at, 1, at, new ShareVoter.Grant(4, at < 4_000 ? 77 : 78));
        }
        assertEquals(8, request.processCount(4_000));
        assertEquals(ShareClaim.CLAIMABLE_FRACTION / 8, request.fraction(4_000));
        assertEquals(0.005, request.fraction(5_000), 1e-9, "minimum share without a quorum of voters");
    }
}
