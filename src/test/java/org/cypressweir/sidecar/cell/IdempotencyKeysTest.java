package org.cypressweir.sidecar.cell;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Which cell knows a keyed request. */
class IdempotencyKeysTest {

    private static final long WINDOW = 1_000;

    @Test
    void aRepeatKeepsTheCellOfTheFirst() {
        IdempotencyKeys repeats = new IdempotencyKeys(10);
        repeats.used(0, WINDOW, 7, 2);
        repeats.used(900, WINDOW, 7, 5);
        assertEquals(2, repeats.cellOf(1_800, WINDOW, 7));
        assertEquals(-1, repeats.cellOf(1_900, WINDOW, 7));
        assertEquals(-1, repeats.cellOf(0, WINDOW, 8));
    }

    @Test
    void whatIsForgottenTooEarlyIsSaid() {
        IdempotencyKeys repeats = new IdempotencyKeys(3);
        for (int i = 0; i < 3; i++) {
            repeats.used(i, WINDOW, i, 0);
        }
        assertEquals(0, repeats.completeSince());
        repeats.used(50, WINDOW, 3, 0);
        assertEquals(50, repeats.completeSince());
        assertEquals(-1, repeats.cellOf(50, WINDOW, 0));
        assertEquals(0, repeats.cellOf(50, WINDOW, 1));
    }

    /** Against a plain map that forgets nothing; memory stays within its bound. */
    @Test
    void likeAMapThatForgetsNothing() {
        long seed = 41;
        SplittableRandom random = new SplittableRandom(seed);
        IdempotencyKeys repeats = new IdempotencyKeys(200);
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
            assertEquals(expected, repeats.cellOf(now, WINDOW, token), "seed " + seed + ", step " + i);
            int cell = expected >= 0 ? expected : random.nextInt(4);
            repeats.used(now, WINDOW, token, cell);
            plain.put(token, new long[] {cell, now});
            assertTrue(repeats.size() <= 200);
        }
        assertEquals(0, repeats.completeSince());
    }
}
