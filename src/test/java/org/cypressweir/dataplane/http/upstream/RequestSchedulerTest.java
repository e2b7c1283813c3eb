package org.cypressweir.dataplane.http.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.cypressweir.dataplane.http.upstream.RequestScheduler.Completion;
import org.cypressweir.dataplane.http.upstream.RequestScheduler.Rejection;
import org.junit.jupiter.api.Test;

class RequestSchedulerTest {
    private static final long MS = 1000;

    private final UpstreamOptions options = UpstreamOptions.defaults();
    private final RequestScheduler<SchedulableRequest> scheduler = new RequestScheduler<>(options);

    private static SchedulableRequest request(boolean internal, int priority, long latencyTarget, boolean idempotent) {
        return new SchedulableRequest(internal, priority, latencyTarget, latencyTarget + 500 * MS, idempotent);
    }

    private static SchedulableRequest ordinary(long latencyTarget) {
        return request(false, 1, latencyTarget, true);
    }

    /** Dispatches as many requests as the limit allows. */
    private List<SchedulableRequest> dispatchAll(long now) {
        List<SchedulableRequest> dispatched = new ArrayList<>();
        while (scheduler.isReady(now)) {
            dispatched.add(scheduler.next(now));
        }
        return dispatched;
    }

    private List<SchedulableRequest> fillServer(int concurrency, long now) {
        scheduler.instanceChanged(concurrency, 0, true);
        for (int i = 0; i <= concurrency; i++) {
            assertThat(scheduler.enqueue(now, ordinary(now + 1000 * MS))).isEmpty();
        }
        return dispatchAll(now);
    }

    @Test
    void ordersByInternalThenPriorityThenEarliestReachableTarget() {
        fillServer(8, 0);
        List<SchedulableRequest> expected = List.of(
                request(true, 2, 900 * MS, true),
                request(false, 0, 400 * MS, true),
                request(false, 1, 300 * MS, true),
                request(false, 1, 600 * MS, true),
                // Neither can meet its target: the newer one comes first.
                request(false, 1, 45 * MS, true),
                request(false, 1, 40 * MS, true),
                request(false, 2, 200 * MS, true));
        for (int i : new int[] {6, 5, 3, 4, 2, 1, 0}) {
            scheduler.queue().clear();
            scheduler.enqueue(0, expected.get(i));
            expected.get(i).sequence = i == 4 ? 9 : i == 5 ? 8 : i;
        }
        scheduler.queue().clear();
        scheduler
                .queue()
                .addAll(List.of(
                        expected.get(3),
                        expected.get(5),
                        expected.get(0),
                        expected.get(6),
                        expected.get(1),
                        expected.get(4),
                        expected.get(2)));
        scheduler.instanceChanged(16, 0, true);
        assertThat(dispatchAll(0)).containsExactlyElementsOf(expected);
    }

    @Test
    void rejectsOnArrivalWhatMissesItsTargetUnlessTheQueueIsShort() {
        fillServer(4, 0);
        assertThat(scheduler.enqueue(0, ordinary(20 * MS))).isEmpty();
        assertThat(scheduler.enqueue(0, ordinary(30 * MS))).isEmpty();
        List<Rejection<SchedulableRequest>> rejections = scheduler.enqueue(0, ordinary(40 * MS));
        assertThat(rejections).hasSize(1);
        assertThat(rejections.get(0).reason()).isEqualTo(RejectionReason.FULL);
        assertThat(rejections.get(0).retryAfterMicros()).isGreaterThanOrEqualTo(20 * MS);
        assertThat(scheduler.enqueue(0, ordinary(400 * MS))).isEmpty();
        assertThat(scheduler
                        .enqueue(0, new SchedulableRequest(false, 0, 4 * MS, 4 * MS, true))
                        .get(0)
                        .reason())
                .isEqualTo(RejectionReason.LATE);
    }

    @Test
    void dispatchesAtOnceToAnIdleServerHoweverLittleTimeIsLeft() {
        scheduler.instanceChanged(1, 0, true);
        SchedulableRequest late = ordinary(10 * MS);
        assertThat(scheduler.enqueue(11 * MS, late)).isEmpty();
        assertThat(scheduler.expire(11 * MS)).isEmpty();
        assertThat(dispatchAll(11 * MS)).containsExactly(late);
    }

    @Test
    void evictsTheLastInOrderFromAFullQueue() {
        fillServer(2, 0);
        List<SchedulableRequest> lowPriority = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            lowPriority.add(ordinary(9_000 * MS + i));
            assertThat(scheduler.enqueue(0, lowPriority.get(i))).isEmpty();
        }
        List<Rejection<SchedulableRequest>> rejections = scheduler.enqueue(0, request(false, 0, 9_000 * MS, true));
        assertThat(rejections).extracting(Rejection::request).containsExactly(lowPriority.get(7));
    }

    @Test
    void recheckRejectsWhatIsPredictedToMissItsTarget() {
        fillServer(2, 0);
        SchedulableRequest first = ordinary(200 * MS);
        SchedulableRequest last = request(false, 2, 400 * MS, true);
        scheduler.enqueue(0, last);
        scheduler.enqueue(0, first);
        for (int i = 0; i < 5; i++) {
            scheduler.enqueue(0, request(false, 0, 900 * MS, true));
        }
        assertThat(scheduler.expire(49 * MS)).isEmpty();
        List<SchedulableRequest> rejected = new ArrayList<>();
        scheduler.expire(50 * MS).forEach(r -> rejected.add(r.request()));
        assertThat(rejected).containsExactly(first);
        scheduler.expire(100 * MS).forEach(r -> rejected.add(r.request()));
        assertThat(rejected).containsExactly(first);
    }

    @Test
    void nonIdempotentRequestDoesNotStarve() {
        scheduler.instanceChanged(1, 0, true);
        scheduler.enqueue(0, ordinary(9_000 * MS));
        scheduler.enqueue(0, ordinary(9_000 * MS));
        List<SchedulableRequest> running = new ArrayList<>(dispatchAll(0));
        SchedulableRequest nonIdempotent = request(false, 2, 90_000 * MS, false);
        scheduler.enqueue(0, nonIdempotent);
        int dispatchedBefore = 0;
        while (!running.contains(nonIdempotent)) {
            scheduler.enqueue(0, request(true, 0, 9_000 * MS, true));
            scheduler.onCompletion(0, running.remove(0), Completion.OTHER);
            running.addAll(dispatchAll(0));
            assertThat(++dispatchedBefore).isLessThan(7);
        }
    }

    @Test
    void overloadResponsesToEarlierRequestsDecreaseTheLimitOnce() {
        List<SchedulableRequest> running = fillServer(10, 0);
        assertThat(running).hasSize(11);
        running.subList(0, 5).forEach(request -> scheduler.onCompletion(10 * MS, request, Completion.OVERLOADED));
        assertThat(measureLimit(10 * MS)).isEqualTo(8);
        for (int i = 0; i < 40; i++) {
            SchedulableRequest request = ordinary(1000 * MS);
            scheduler.enqueue(10 * MS, request);
            scheduler.next(10 * MS);
            scheduler.onCompletion(10 * MS, request, Completion.RESPONDED);
        }
        assertThat(measureLimit(10 * MS)).isEqualTo(11);
    }

    /** Dispatches requests until no more are allowed; returns how many run. */
    private int measureLimit(long now) {
        int added = 0;
        for (SchedulableRequest request; scheduler.running() < 100; added++) {
            request = ordinary(now + 9_000 * MS);
            scheduler.enqueue(now, request);
            if (!scheduler.isReady(now)) {
                scheduler.cancel(request);
                break;
            }
            scheduler.next(now);
        }
        return scheduler.running();
    }

    /** Every request ends once, no more run than the limit allows, and none stays queued past its latency target. */
    @Test
    void randomOperationsEndEveryRequestInTime() {
        for (int seed = 0; seed < 10; seed++) {
            runRandomOperations(new SplittableRandom(seed), new RequestScheduler<>(options));
        }
    }

    private static void runRandomOperations(SplittableRandom random, RequestScheduler<SchedulableRequest> scheduler) {
        int concurrency = 1 + random.nextInt(12);
        scheduler.instanceChanged(concurrency, 0, true);
        Set<SchedulableRequest> open = new HashSet<>();
        Map<SchedulableRequest, String> ended = new HashMap<>();
        List<SchedulableRequest> running = new ArrayList<>();
        long now = 0;
        for (int step = 0; step < 10_000; step++) {
            switch (random.nextInt(6)) {
                case 0, 1, 2 -> {
                    long latencyTarget = now + random.nextInt(400_000) - 10_000;
                    SchedulableRequest request = new SchedulableRequest(
                            random.nextInt(4) == 0,
                            random.nextInt(3),
                            latencyTarget,
                            latencyTarget + random.nextInt(100_000),
                            random.nextBoolean());
                    open.add(request);
                    scheduler
                            .enqueue(now, request)
                            .forEach(r -> end(ended, r.request(), r.reason().name()));
                }
                case 3 -> {
                    if (!running.isEmpty()) {
                        SchedulableRequest request = running.remove(random.nextInt(running.size()));
                        scheduler.onCompletion(now, request, Completion.values()[Math.max(0, random.nextInt(20) - 16)]);
                        end(ended, request, "ran");
                    }
                }
                case 4 -> {
                    if (!scheduler.queue().isEmpty()) {
                        SchedulableRequest request = scheduler
                                .queue()
                                .get(random.nextInt(scheduler.queue().size()));
                        assertThat(scheduler.cancel(request)).isTrue();
                        end(ended, request, "cancelled");
                    }
                }
                default -> now = Math.min(scheduler.nextTime(), now + random.nextInt(40_000));
            }
            scheduler
                    .expire(now)
                    .forEach(r -> end(ended, r.request(), r.reason().name()));
            while (scheduler.isReady(now)) {
                running.add(scheduler.next(now));
            }
            assertThat(scheduler.running()).isEqualTo(running.size()).isLessThanOrEqualTo(concurrency + 1);
            assertThat(scheduler.queue().size()).isLessThanOrEqualTo(4 * Math.max(concurrency, 1));
            for (SchedulableRequest request : scheduler.queue()) {
                assertThat(now).isLessThanOrEqualTo(Math.max(request.latencyTargetAt, request.arrivedAt + 1000));
                assertThat(now + RequestScheduler.DEADLINE_MARGIN_MICROS).isLessThanOrEqualTo(request.deadline);
            }
            assertThat(scheduler.nextTime()).isGreaterThan(now);
        }
        scheduler.clear().forEach(request -> end(ended, request, "cleared"));
        running.forEach(request -> end(ended, request, "ran"));
        assertThat(ended.keySet()).isEqualTo(open);
        assertThat(new HashSet<>(ended.values())).contains("ran", "FULL", "LATE", "cancelled");
    }

    private static void end(Map<SchedulableRequest, String> ended, SchedulableRequest request, String outcome) {
        assertThat(ended.put(request, outcome)).isNull();
    }
}
