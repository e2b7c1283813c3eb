package org.cypressweir.sidecar.cell;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Which cell got a keyed request first, and for how long this is remembered. */
class IdempotencyKeysTest {

    private static final long WINDOW = 1_000;

    @Test
    void aRetryKeepsTheCellOfTheFirstRequest() {
        IdempotencyKeys keys = new IdempotencyKeys(10);
        keys.recordUse(0, WINDOW, 7, 2);
        keys.recordUse(900, WINDOW, 7, 5);
        assertEquals(2, keys.cellOf(1_800, WINDOW, 7));
        assertEquals(-1, keys.cellOf(1_900, WINDOW, 7));
        assertEquals(-1, keys.cellOf(0, WINDOW, 8));
    }

    @Test
    void completeSinceTellsWhatWasForgottenEarly() {
        IdempotencyKeys keys = new IdempotencyKeys(3);
        for (int i = 0; i < 3; i++) {
            keys.recordUse(i, WINDOW, i, 0);
        }
        assertEquals(0, keys.completeSince());
        keys.recordUse(50, WINDOW, 3, 0);
        assertEquals(50, keys.completeSince());
        assertEquals(-1, keys.cellOf(50, WINDOW, 0));
        assertEquals(0, keys.cellOf(50, WINDOW, 1));
    }

    /** Compares with a map that forgets nothing; memory stays within its bound. */
    @Test
    void behavesLikeAnUnboundedMap() {
        long seed = 41;
        SplittableRandom random = new SplittableRandom(seed);
        IdempotencyKeys keys = new IdempotencyKeys(200);
        Map<Long, long[]> plain = new HashMap<>();
        List<Long> tokens = new ArrayList<>();
        long now = 0;
        for (int i = 0; i < 50_000; i++) {
            now += random.nextInt(20);
            long token = !tokens.isEmpty() && random.nextInt(3) == 0
                    ? tokens.get(tokens.size() - 1 - random.nextInt(Math.min(tokens.size(), 60)))
                    : i;
            tokens.add(token);
            long[] known = plain.get(token);
            int expected = known == null || now - known[1] >= WINDOW ? -1 : (int) known[0];
            assertEquals(expected, keys.cellOf(now, WINDOW, token), "seed " + seed + ", step " + i);
            int cell = expected >= 0 ? expected : random.nextInt(4);
            keys.recordUse(now, WINDOW, token, cell);
            plain.put(token, new long[] {cell, now});
            assertTrue(keys.size() <= 200);
        }
        assertEquals(0, keys.completeSince());
    }
}
