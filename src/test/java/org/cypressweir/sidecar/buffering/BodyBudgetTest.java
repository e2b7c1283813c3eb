package org.cypressweir.sidecar.buffering;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.cypressweir.sidecar.buffering.BodyBudget.GrantDecisions;
import org.cypressweir.sidecar.buffering.BodyBudget.Share;
import org.cypressweir.sidecar.buffering.BodyBudget.Word;
import org.junit.jupiter.api.Test;

class BodyBudgetTest {

    private final BodyBudget budget = new BodyBudget(100);

    private Share share() {
        return budget.share(() -> {}, () -> {});
    }

    @Test
    void whoMustWaitGoesOnInTurn() {
        Share a = share();
        Share b = share();
        Share c = share();
        assertEquals(Word.GRANTED, budget.ask(a, 80));
        assertEquals(Word.WAITS, budget.ask(b, 30));
        // It would fit, but b was there first.
        assertEquals(Word.WAITS, budget.ask(c, 10));
        assertEquals(new GrantDecisions(List.of(), List.of()), budget.settle());
        assertEquals(List.of(b, c), budget.free(a).granted());
        assertEquals(40, budget.used());
    }

    @Test
    void whatCanNeverFitIsTurnedAway() {
        assertEquals(Word.REFUSED, budget.ask(share(), 101));
        Share a = share();
        assertEquals(Word.GRANTED, budget.ask(a, 60));
        assertEquals(Word.REFUSED, budget.ask(a, 41));
    }

    @Test
    void whereAllThatHaveSomethingWaitTheLastGivesWay() {
        Share a = share();
        Share b = share();
        assertEquals(Word.GRANTED, budget.ask(a, 50));
        assertEquals(Word.GRANTED, budget.ask(b, 50));
        assertEquals(Word.WAITS, budget.ask(b, 10));
        assertEquals(List.of(), budget.settle().refused());
        assertEquals(Word.WAITS, budget.ask(a, 10));
        GrantDecisions news = budget.settle();
        assertEquals(List.of(b), news.refused());
        assertEquals(List.of(a), news.granted());
        assertEquals(60, budget.used());
    }

    /** It was turned away as the last one that waits, its room given to others and its bytes still held. */
    @Test
    void whatHasComeWholeWhileItWaitedCountsAndIsNotTurnedAway() {
        Share a = share();
        Share b = share();
        assertEquals(Word.GRANTED, budget.ask(a, 50));
        assertEquals(Word.GRANTED, budget.ask(b, 50));
        assertEquals(Word.WAITS, budget.ask(b, 10));
        assertEquals(new GrantDecisions(List.of(), List.of()), budget.whole(b, 52));
        assertEquals(102, budget.used());
        assertEquals(Word.WAITS, budget.ask(a, 10));
        assertEquals(new GrantDecisions(List.of(), List.of()), budget.settle());
        assertEquals(List.of(a), budget.free(b).granted());
        assertEquals(60, budget.used());
    }

    /** Whatever is wished for: never more than there is, and each wish ends once all others are over. */
    @Test
    void nothingIsGivenTwiceAndNobodyWaitsForEver() {
        long seed = System.nanoTime();
        SplittableRandom random = new SplittableRandom(seed);
        Map<Share, Long> has = new HashMap<>();
        List<Share> waits = new ArrayList<>();
        for (int i = 0; i < 20_000; i++) {
            List<Share> free =
                    has.keySet().stream().filter(s -> !waits.contains(s)).toList();
            if (!free.isEmpty() && random.nextInt(3) == 0) {
                Share gone = free.get(random.nextInt(free.size()));
                has.remove(gone);
                hear(budget.free(gone), has, waits);
            } else {
                boolean more = !free.isEmpty() && random.nextBoolean();
                Share asks = more ? free.get(random.nextInt(free.size())) : share();
                has.putIfAbsent(asks, 0L);
                Word word = budget.ask(asks, 1 + random.nextInt(60));
                if (word == Word.WAITS) {
                    waits.add(asks);
                    hear(budget.settle(), has, waits);
                } else if (word == Word.REFUSED) {
                    has.remove(asks);
                    hear(budget.free(asks), has, waits);
                }
            }
            long sum = has.keySet().stream().mapToLong(Share::has).sum();
            assertEquals(sum, budget.used(), "seed " + seed);
            assertTrue(sum <= 100, "seed " + seed);
            assertEquals(waits.size(), budget.waiting(), "seed " + seed);
            // Somebody can go on, and so give back.
            assertTrue(has.size() > waits.size() || has.isEmpty(), "seed " + seed);
        }
    }

    private static void hear(GrantDecisions news, Map<Share, Long> has, List<Share> waits) {
        waits.removeAll(news.granted());
        waits.removeAll(news.refused());
        news.refused().forEach(has::remove);
    }
}
