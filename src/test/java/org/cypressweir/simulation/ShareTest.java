package org.cypressweir.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.stream.LongStream;
import org.cypressweir.fleet.membership.ShareRequest;
import org.cypressweir.fleet.membership.ShareVoter;
import org.junit.jupiter.api.Test;

class ShareTest {

    /** Over all schedules that the seeds draw, no moment has more in use than there is. */
    @Test
    void allTogetherNeverTakeMoreThanTheWhole() {
        LongStream.concat(LongStream.rangeClosed(1, 20), LongStream.of(System.nanoTime() & 0xFFFFF))
                .forEach(seed -> assertNull(ShareChecks.broken(seed)));
    }

    /** Every order of losses and restarts in a small world, and the beginning of a larger one. */
    @Test
    void noScheduleOfASmallWorldBreaksTheBound() {
        ShareWalk.Result one = ShareWalk.walk(new ShareWalk.Shape(2, 1, true, 1), 20_000);
        assertNull(one.breach());
        assertTrue(one.whole() && one.states() > 5_000, one.toString());
        assertTrue(one.most() > 0.9, "somebody claims: " + one);
        ShareWalk.Result three = ShareWalk.walk(new ShareWalk.Shape(2, 3, false, 0), 40_000);
        assertNull(three.breach());
        assertTrue(three.states() >= 40_000, three.toString());
    }

    @Test
    void anElectorThatForgotSaysNothingUntilNobodyReliesOnIt() {
        ShareVoter voter = new ShareVoter(100, 1_000, 2);
        assertNull(voter.count(1_099, "a"));
        assertEquals(1, voter.count(1_100, "a").count());
        assertEquals(2, voter.count(1_200, "b").count());
        assertNull(voter.count(1_300, "c"), "more than it keeps");
        assertNotEquals(
                voter.count(1_400, "a").digest(), voter.count(2_210, "a").digest());
        assertEquals(1, voter.count(2_300, "a").count(), "b has been silent for the release");
    }

    @Test
    void whatElectorsCountDifferentlyIsAddedUp() {
        ShareRequest request = new ShareRequest(3, 1_000, 0, 10);
        for (long at = 0; at <= 4_000; at += 500) {
            request.receiveGrant(at, 0, at, new ShareVoter.Grant(4, 77));
            request.receiveGrant(at, 1, at, new ShareVoter.Grant(4, at < 4_000 ? 77 : 78));
        }
        assertEquals(8, request.processCount(4_000));
        assertEquals(ShareRequest.CLAIMABLE_PART / 8, request.part(4_000));
        assertEquals(0.005, request.part(5_000), 1e-9, "the floor, once most voters are silent");
    }
}
