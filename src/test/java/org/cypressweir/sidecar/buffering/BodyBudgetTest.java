package org.cypressweir.sidecar.buffering;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.cypressweir.sidecar.buffering.BodyBudget.Decision;
import org.cypressweir.sidecar.buffering.BodyBudget.GrantDecisions;
import org.cypressweir.sidecar.buffering.BodyBudget.Reservation;
import org.junit.jupiter.api.Test;

class BodyBudgetTest {

    private final BodyBudget budget = new BodyBudget(100);

    private Reservation newReservation() {
        return budget.newReservation(() -> {}, () -> {});
    }

    @Test
    void waitingRequestsAreGrantedInOrder() {
        Reservation a = newReservation();
        Reservation b = newReservation();
        Reservation c = newReservation();
        assertEquals(Decision.GRANTED, budget.request(a, 80));
        assertEquals(Decision.WAITS, budget.request(b, 30));
        // It would fit, but b asked first.
        assertEquals(Decision.WAITS, budget.request(c, 10));
        assertEquals(new GrantDecisions(List.of(), List.of()), budget.decideWaiting());
        assertEquals(List.of(b, c), budget.release(a).granted());
        assertEquals(40, budget.usedBytes());
    }

    @Test
    void requestsLargerThanTheBudgetAreRefused() {
        assertEquals(Decision.REFUSED, budget.request(newReservation(), 101));
        Reservation a = newReservation();
        assertEquals(Decision.GRANTED, budget.request(a, 60));
        assertEquals(Decision.REFUSED, budget.request(a, 41));
    }

    @Test
    void theNewestHolderIsRefusedIfAllHoldersWait() {
        Reservation a = newReservation();
        Reservation b = newReservation();
        assertEquals(Decision.GRANTED, budget.request(a, 50));
        assertEquals(Decision.GRANTED, budget.request(b, 50));
        assertEquals(Decision.WAITS, budget.request(b, 10));
        assertEquals(List.of(), budget.decideWaiting().refused());
        assertEquals(Decision.WAITS, budget.request(a, 10));
        GrantDecisions decisions = budget.decideWaiting();
        assertEquals(List.of(b), decisions.refused());
        assertEquals(List.of(a), decisions.granted());
        assertEquals(60, budget.usedBytes());
    }

    /**
     * Guards against refusing a request that was read completely while it waited: as the newest waiting request it was
     * refused, and its memory was granted to others while its bytes were still held.
     */
    @Test
    void aRequestReadCompletelyWhileWaitingIsNotRefused() {
        Reservation a = newReservation();
        Reservation b = newReservation();
        assertEquals(Decision.GRANTED, budget.request(a, 50));
        assertEquals(Decision.GRANTED, budget.request(b, 50));
        assertEquals(Decision.WAITS, budget.request(b, 10));
        assertEquals(new GrantDecisions(List.of(), List.of()), budget.complete(b, 52));
        assertEquals(102, budget.usedBytes());
        assertEquals(Decision.WAITS, budget.request(a, 10));
        assertEquals(new GrantDecisions(List.of(), List.of()), budget.decideWaiting());
        assertEquals(List.of(a), budget.release(b).granted());
        assertEquals(60, budget.usedBytes());
    }

    /** Random requests: never more is granted than there is, and no request waits for ever. */
    @Test
    void memoryIsNeverGrantedTwiceAndNoRequestWaitsForEver() {
        long seed = System.nanoTime();
        SplittableRandom random = new SplittableRandom(seed);
        Map<Reservation, Long> granted = new HashMap<>();
        List<Reservation> waiting = new ArrayList<>();
        for (int i = 0; i < 20_000; i++) {
            List<Reservation> free =
                    granted.keySet().stream().filter(s -> !waiting.contains(s)).toList();
            if (!free.isEmpty() && random.nextInt(3) == 0) {
                Reservation ended = free.get(random.nextInt(free.size()));
                granted.remove(ended);
                apply(budget.release(ended), granted, waiting);
            } else {
                boolean more = !free.isEmpty() && random.nextBoolean();
                Reservation asking = more ? free.get(random.nextInt(free.size())) : newReservation();
                granted.putIfAbsent(asking, 0L);
                Decision decision = budget.request(asking, 1 + random.nextInt(60));
                if (decision == Decision.WAITS) {
                    waiting.add(asking);
                    apply(budget.decideWaiting(), granted, waiting);
                } else if (decision == Decision.REFUSED) {
                    granted.remove(asking);
                    apply(budget.release(asking), granted, waiting);
                }
            }
            long sum = granted.keySet().stream()
                    .mapToLong(Reservation::grantedBytes)
                    .sum();
            assertEquals(sum, budget.usedBytes(), "seed " + seed);
            assertTrue(sum <= 100, "seed " + seed);
            assertEquals(waiting.size(), budget.waiting(), "seed " + seed);
            // At least one request does not wait, so it can end and free its memory.
            assertTrue(granted.size() > waiting.size() || granted.isEmpty(), "seed " + seed);
        }
    }

    private static void apply(GrantDecisions decisions, Map<Reservation, Long> granted, List<Reservation> waiting) {
        waiting.removeAll(decisions.granted());
        waiting.removeAll(decisions.refused());
        decisions.refused().forEach(granted::remove);
    }
}
