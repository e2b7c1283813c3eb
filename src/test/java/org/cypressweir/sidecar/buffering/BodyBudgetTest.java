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

    private Share newReservation() {
        return budget.share(() -> {}, () -> {});
    }

    @Test
    void waitingRequestsAreGrantedInOrder() {
        Share a = newReservation();
        Share b = newReservation();
        Share c = newReservation();
        assertEquals(Word.GRANTED, budget.ask(a, 80));
        assertEquals(Word.WAITS, budget.ask(b, 30));
        // It would fit, but b asked first.
        assertEquals(Word.WAITS, budget.ask(c, 10));
        assertEquals(new GrantDecisions(List.of(), List.of()), budget.settle());
        assertEquals(List.of(b, c), budget.free(a).granted());
        assertEquals(40, budget.used());
    }

    @Test
    void requestsLargerThanTheBudgetAreRefused() {
        assertEquals(Word.REFUSED, budget.ask(newReservation(), 101));
        Share a = newReservation();
        assertEquals(Word.GRANTED, budget.ask(a, 60));
        assertEquals(Word.REFUSED, budget.ask(a, 41));
    }

    @Test
    void theNewestHolderIsRefusedIfAllHoldersWait() {
        Share a = newReservation();
        Share b = newReservation();
        assertEquals(Word.GRANTED, budget.ask(a, 50));
        assertEquals(Word.GRANTED, budget.ask(b, 50));
        assertEquals(Word.WAITS, budget.ask(b, 10));
        assertEquals(List.of(), budget.settle().refused());
        assertEquals(Word.WAITS, budget.ask(a, 10));
        GrantDecisions decisions = budget.settle();
        assertEquals(List.of(b), decisions.refused());
        assertEquals(List.of(a), decisions.granted());
        assertEquals(60, budget.used());
    }

    /**
     * Guards against refusing a request that was read completely while it waited: as the newest waiting request it was
     * refused, and its memory was granted to others while its bytes were still held.
     */
    @Test
    void aRequestReadCompletelyWhileWaitingIsNotRefused() {
        Share a = newReservation();
        Share b = newReservation();
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

    /** Random requests: never more is granted than there is, and no request waits for ever. */
    @Test
    void memoryIsNeverGrantedTwiceAndNoRequestWaitsForEver() {
        long seed = System.nanoTime();
        SplittableRandom random = new SplittableRandom(seed);
        Map<Share, Long> granted = new HashMap<>();
        List<Share> waiting = new ArrayList<>();
        for (int i = 0; i < 20_000; i++) {
            List<Share> free =
                    granted.keySet().stream().filter(s -> !waiting.contains(s)).toList();
            if (!free.isEmpty() && random.nextInt(3) == 0) {
                Share ended = free.get(random.nextInt(free.size()));
                granted.remove(ended);
                apply(budget.free(ended), granted, waiting);
            } else {
                boolean more = !free.isEmpty() && random.nextBoolean();
                Share asking = more ? free.get(random.nextInt(free.size())) : newReservation();
                granted.putIfAbsent(asking, 0L);
                Word decision = budget.ask(asking, 1 + random.nextInt(60));
                if (decision == Word.WAITS) {
                    waiting.add(asking);
                    apply(budget.settle(), granted, waiting);
                } else if (decision == Word.REFUSED) {
                    granted.remove(asking);
                    apply(budget.free(asking), granted, waiting);
                }
            }
            long sum = granted.keySet().stream().mapToLong(Share::has).sum();
            assertEquals(sum, budget.used(), "seed " + seed);
            assertTrue(sum <= 100, "seed " + seed);
            assertEquals(waiting.size(), budget.waiting(), "seed " + seed);
            // At least one request does not wait, so it can end and free its memory.
            assertTrue(granted.size() > waiting.size() || granted.isEmpty(), "seed " + seed);
        }
    }

    private static void apply(GrantDecisions decisions, Map<Share, Long> granted, List<Share> waiting) {
        waiting.removeAll(decisions.granted());
        waiting.removeAll(decisions.refused());
        decisions.refused().forEach(granted::remove);
    }
}
