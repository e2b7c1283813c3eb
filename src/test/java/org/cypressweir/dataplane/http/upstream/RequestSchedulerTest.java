package org.cypressweir.dataplane.http.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.cypressweir.dataplane.http.upstream.RequestScheduler.Ended;
import org.cypressweir.dataplane.http.upstream.RequestScheduler.Refusal;
import org.junit.jupiter.api.Test;

class RequestSchedulerTest {
    private static final long MS = 1000;

    private final UpstreamOptions plan = UpstreamOptions.defaults();
    private final RequestScheduler<SchedulableRequest> stevedore = new RequestScheduler<>(plan);

    private static SchedulableRequest cargo(boolean inner, int rank, long aim, boolean repeatable) {
        return new SchedulableRequest(inner, rank, aim, aim + 500 * MS, repeatable);
    }

    private static SchedulableRequest plain(long aim) {
        return cargo(false, 1, aim, true);
    }

    /** Lets as many run as may. */
    private List<SchedulableRequest> go(long now) {
        List<SchedulableRequest> gone = new ArrayList<>();
        while (stevedore.ready(now)) {
            gone.add(stevedore.next(now));
        }
        return gone;
    }

    private List<SchedulableRequest> fill(int slots, long now) {
        stevedore.life(slots, 0, true);
        for (int i = 0; i <= slots; i++) {
            assertThat(stevedore.arrive(now, plain(now + 1000 * MS))).isEmpty();
        }
        return go(now);
    }

    @Test
    void innerThenRankThenTheEarliestAimThatCanBeMet() {
        fill(8, 0);
        List<SchedulableRequest> wanted = List.of(
                cargo(true, 2, 900 * MS, true),
                cargo(false, 0, 400 * MS, true),
                cargo(false, 1, 300 * MS, true),
                cargo(false, 1, 600 * MS, true),
                // Neither can be in time: the newer first.
                cargo(false, 1, 45 * MS, true),
                cargo(false, 1, 40 * MS, true),
                cargo(false, 2, 200 * MS, true));
        for (int i : new int[] {6, 5, 3, 4, 2, 1, 0}) {
            stevedore.waiting().clear();
            stevedore.arrive(0, wanted.get(i));
            wanted.get(i).sequence = i == 4 ? 9 : i == 5 ? 8 : i;
        }
        stevedore.waiting().clear();
        stevedore
                .waiting()
                .addAll(List.of(
                        wanted.get(3),
                        wanted.get(5),
                        wanted.get(0),
                        wanted.get(6),
                        wanted.get(1),
                        wanted.get(4),
                        wanted.get(2)));
        stevedore.life(16, 0, true);
        assertThat(go(0)).containsExactlyElementsOf(wanted);
    }

    @Test
    void whatCannotBeInTimeIsRefusedOnArrivalButForAFew() {
        fill(4, 0);
        assertThat(stevedore.arrive(0, plain(20 * MS))).isEmpty();
        assertThat(stevedore.arrive(0, plain(30 * MS))).isEmpty();
        List<Refusal<SchedulableRequest>> refused = stevedore.arrive(0, plain(40 * MS));
        assertThat(refused).hasSize(1);
        assertThat(refused.get(0).reason()).isEqualTo(RejectionReason.FULL);
        assertThat(refused.get(0).retryAfterMicros()).isGreaterThanOrEqualTo(20 * MS);
        assertThat(stevedore.arrive(0, plain(400 * MS))).isEmpty();
        assertThat(stevedore
                        .arrive(0, new SchedulableRequest(false, 0, 4 * MS, 4 * MS, true))
                        .get(0)
                        .reason())
                .isEqualTo(RejectionReason.LATE);
    }

    @Test
    void withAFreeSlotOneGoesHoweverLittleTimeIsLeft() {
        stevedore.life(1, 0, true);
        SchedulableRequest late = plain(10 * MS);
        assertThat(stevedore.arrive(11 * MS, late)).isEmpty();
        assertThat(stevedore.due(11 * MS)).isEmpty();
        assertThat(go(11 * MS)).containsExactly(late);
    }

    @Test
    void aHigherOrderPutsTheLastOut() {
        fill(2, 0);
        List<SchedulableRequest> low = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            low.add(plain(9_000 * MS + i));
            assertThat(stevedore.arrive(0, low.get(i))).isEmpty();
        }
        List<Refusal<SchedulableRequest>> refused = stevedore.arrive(0, cargo(false, 0, 9_000 * MS, true));
        assertThat(refused).extracting(Refusal::cargo).containsExactly(low.get(7));
    }

    @Test
    void aQuarterIntoItsTimeWhatCannotBeServedIsGivenBack() {
        fill(2, 0);
        SchedulableRequest first = plain(200 * MS);
        SchedulableRequest last = cargo(false, 2, 400 * MS, true);
        stevedore.arrive(0, last);
        stevedore.arrive(0, first);
        for (int i = 0; i < 5; i++) {
            stevedore.arrive(0, cargo(false, 0, 900 * MS, true));
        }
        assertThat(stevedore.due(49 * MS)).isEmpty();
        List<SchedulableRequest> given = new ArrayList<>();
        stevedore.due(50 * MS).forEach(r -> given.add(r.cargo()));
        assertThat(given).containsExactly(first);
        stevedore.due(100 * MS).forEach(r -> given.add(r.cargo()));
        assertThat(given).containsExactly(first);
    }

    @Test
    void whatMustNotBeRepeatedIsNotPassedOverForEver() {
        stevedore.life(1, 0, true);
        stevedore.arrive(0, plain(9_000 * MS));
        stevedore.arrive(0, plain(9_000 * MS));
        List<SchedulableRequest> running = new ArrayList<>(go(0));
        SchedulableRequest once = cargo(false, 2, 90_000 * MS, false);
        stevedore.arrive(0, once);
        int passed = 0;
        while (!running.contains(once)) {
            stevedore.arrive(0, cargo(true, 0, 9_000 * MS, true));
            stevedore.ended(0, running.remove(0), Ended.OTHER);
            running.addAll(go(0));
            assertThat(++passed).isLessThan(7);
        }
    }

    @Test
    void aFullServerCutsTheLimitOnceForAllThatWasSentBefore() {
        List<SchedulableRequest> running = fill(10, 0);
        assertThat(running).hasSize(11);
        running.subList(0, 5).forEach(c -> stevedore.ended(10 * MS, c, Ended.FULL));
        assertThat(limit(10 * MS)).isEqualTo(8);
        for (int i = 0; i < 40; i++) {
            SchedulableRequest c = plain(1000 * MS);
            stevedore.arrive(10 * MS, c);
            stevedore.next(10 * MS);
            stevedore.ended(10 * MS, c, Ended.ANSWERED);
        }
        assertThat(limit(10 * MS)).isEqualTo(11);
    }

    private int limit(long now) {
        int room = 0;
        for (SchedulableRequest c; stevedore.running() < 100; room++) {
            c = plain(now + 9_000 * MS);
            stevedore.arrive(now, c);
            if (!stevedore.ready(now)) {
                stevedore.cancel(c);
                break;
            }
            stevedore.next(now);
        }
        int limit = stevedore.running();
        return limit;
    }

    /** Every request ends once, no more run than may, and none is held past what was wished for it. */
    @Test
    void nothingIsLostOrHeldTooLongInARandomWalk() {
        for (int seed = 0; seed < 10; seed++) {
            walk(new SplittableRandom(seed), new RequestScheduler<>(plan));
        }
    }

    private static void walk(SplittableRandom random, RequestScheduler<SchedulableRequest> s) {
        int slots = 1 + random.nextInt(12);
        s.life(slots, 0, true);
        Set<SchedulableRequest> open = new HashSet<>();
        Map<SchedulableRequest, String> ended = new HashMap<>();
        List<SchedulableRequest> running = new ArrayList<>();
        long now = 0;
        for (int step = 0; step < 10_000; step++) {
            switch (random.nextInt(6)) {
                case 0, 1, 2 -> {
                    long aim = now + random.nextInt(400_000) - 10_000;
                    SchedulableRequest c = new SchedulableRequest(
                            random.nextInt(4) == 0,
                            random.nextInt(3),
                            aim,
                            aim + random.nextInt(100_000),
                            random.nextBoolean());
                    open.add(c);
                    s.arrive(now, c)
                            .forEach(r -> end(ended, r.cargo(), r.reason().name()));
                }
                case 3 -> {
                    if (!running.isEmpty()) {
                        SchedulableRequest c = running.remove(random.nextInt(running.size()));
                        s.ended(now, c, Ended.values()[Math.max(0, random.nextInt(20) - 16)]);
                        end(ended, c, "ran");
                    }
                }
                case 4 -> {
                    if (!s.waiting().isEmpty()) {
                        SchedulableRequest c =
                                s.waiting().get(random.nextInt(s.waiting().size()));
                        assertThat(s.cancel(c)).isTrue();
                        end(ended, c, "cancelled");
                    }
                }
                default -> now = Math.min(s.nextTime(), now + random.nextInt(40_000));
            }
            s.due(now).forEach(r -> end(ended, r.cargo(), r.reason().name()));
            while (s.ready(now)) {
                running.add(s.next(now));
            }
            assertThat(s.running()).isEqualTo(running.size()).isLessThanOrEqualTo(slots + 1);
            assertThat(s.waiting().size()).isLessThanOrEqualTo(4 * Math.max(slots, 1));
            for (SchedulableRequest c : s.waiting()) {
                assertThat(now).isLessThanOrEqualTo(Math.max(c.aimAt, c.arrivedAt + 1000));
                assertThat(now + RequestScheduler.MARGIN_MICROS).isLessThanOrEqualTo(c.deadline);
            }
            assertThat(s.nextTime()).isGreaterThan(now);
        }
        s.clear().forEach(c -> end(ended, c, "cleared"));
        running.forEach(c -> end(ended, c, "ran"));
        assertThat(ended.keySet()).isEqualTo(open);
        assertThat(new HashSet<>(ended.values())).contains("ran", "FULL", "LATE", "cancelled");
    }

    private static void end(Map<SchedulableRequest, String> ended, SchedulableRequest cargo, String how) {
        assertThat(ended.put(cargo, how)).isNull();
    }
}
