package org.cypressweir.loadbalancing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.cypressweir.loadbalancing.LoadBalancer.Effect;
import org.cypressweir.loadbalancing.LoadBalancer.Group;
import org.cypressweir.loadbalancing.LoadBalancer.ListKind;
import org.cypressweir.loadbalancing.LoadBalancer.LoadReport;
import org.cypressweir.loadbalancing.LoadBalancer.Outcome;
import org.cypressweir.loadbalancing.LoadBalancer.Phase;
import org.cypressweir.loadbalancing.LoadBalancer.ReportSource;
import org.cypressweir.loadbalancing.LoadBalancer.Request;
import org.cypressweir.loadbalancing.LoadBalancer.RequestClass;
import org.cypressweir.loadbalancing.LoadBalancer.Result;
import org.cypressweir.loadbalancing.LoadBalancer.Server;
import org.cypressweir.loadbalancing.LoadBalancer.Settings;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

class SubsetLoadBalancerTest {

    @ParameterizedTest
    @EnumSource(value = Result.class, mode = EnumSource.Mode.EXCLUDE, names = "SERVED")
    void unsafeRequestIsRetriedOnlyIfItProvablyDidNotRun(Result result) {
        LoadBalancerRecorder r = new LoadBalancerRecorder(LoadBalancerRecorder.settings(Effect.UNSAFE, Group.ALL), 6);
        r.request("x");
        r.answer(0, result, 1000, false);
        if (result.provesNotRun) {
            assertEquals(2, r.sent.size());
            assertNotEquals(r.sent.get(0).server(), r.sent.get(1).server());
        } else {
            assertEquals(1, r.sent.size());
            assertEquals(List.of("x"), r.failed);
            assertTrue(r.refused.isEmpty());
        }
    }

    @Test
    void keyedRequestIsRetriedOnlyInItsGroupAndWindow() {
        for (int seed = 0; seed < 20; seed++) {
            LoadBalancerRecorder r =
                    new LoadBalancerRecorder(LoadBalancerRecorder.settings(Effect.KEYED, Group.ZONE), 8);
            r.request("x" + seed);
            r.answer(0, Result.ERROR, 1000 + seed, false);
            assertEquals(2, r.sent.size());
            assertEquals(r.sent.get(0).server() % 2, r.sent.get(1).server() % 2);
            r.answer(1, Result.ERROR, 600_000, false);
            assertEquals(2, r.sent.size());
            assertEquals(1, r.failed.size());
        }
    }

    @Test
    void drainingServerGetsNoNewRequests() {
        LoadBalancerRecorder r = new LoadBalancerRecorder(LoadBalancerRecorder.settings(Effect.SAFE, Group.ALL), 4);
        Server drained = new Server(1, 0, 0, 0, Phase.DRAINING, 0, 1);
        r.choice.servers(r.now, ListKind.CHANGES, List.of(drained));
        for (int i = 0; i < 200; i++) {
            r.request("r" + i);
            r.answer(0, Result.SERVED, 2000, true);
        }
        assertEquals(200, r.sent.size());
        assertTrue(r.sent.stream().noneMatch(s -> s.server() == 1));
    }

    @Test
    void oldestQueuedIsRefusedPastTheLimitOfOpenRequests() {
        Settings one = LoadBalancerRecorder.settings(Effect.UNSAFE, Group.ALL);
        Settings alike = new Settings(
                one.seed(),
                0,
                3,
                0,
                one.zones(),
                one.classes(),
                List.of(),
                1,
                0,
                one.limits(),
                one.rules(),
                one.reports(),
                false,
                false,
                1000);
        LoadBalancerRecorder r = new LoadBalancerRecorder(alike, 0);
        for (int i = 0; i < 103; i++) {
            r.request("x" + i);
        }
        assertEquals(List.of("x0", "x1", "x2"), r.refused);
        assertTrue(r.failed.isEmpty());
    }

    @Test
    void queuedRequestIsRefusedBeforeTheClientGivesUp() {
        LoadBalancerRecorder r = new LoadBalancerRecorder(LoadBalancerRecorder.settings(Effect.UNSAFE, Group.ALL), 0);
        r.request("x");
        while (r.refused.isEmpty()) {
            r.fireTimers();
        }
        assertEquals(List.of("x"), r.refused);
        assertTrue(r.now < 2_000_000);
        r.fireTimers();
        r.choice.clientLeft(r.now, "x");
        assertEquals(1, r.refused.size());
    }

    /** Incident i0f9bed: a request that arrived at its deadline was delayed for a probe and got no answer. */
    @Test
    void arrivalAtItsDeadlineIsAnsweredAtOnce() {
        LoadBalancerRecorder r = new LoadBalancerRecorder(LoadBalancerRecorder.settings(Effect.SAFE, Group.ALL), 4);
        r.choice.request(r.now, new Request("x", 0, 0, false, -1, r.now, 0, false));
        assertEquals(List.of("x"), r.refused);
        assertTrue(r.sent.isEmpty());
    }

    /** The load of a server beside requests counts like requests in flight. */
    @Test
    void serverWithExternalLoadGetsFewerRequests() {
        LoadBalancerRecorder r = new LoadBalancerRecorder(LoadBalancerRecorder.settings(Effect.SAFE, Group.ALL), 2);
        r.choice.externalLoad(r.now, 1, 5, false);
        for (int i = 0; i < 200; i++) {
            r.request("r" + i);
            r.answer(0, Result.SERVED, 2000, true);
        }
        long loaded = r.sent.stream().filter(s -> s.server() == 1).count();
        assertTrue(loaded < 20, "sent " + loaded + " of 200");
        r.choice.externalLoad(r.now, 1, 0, false);
        for (int i = 200; i < 400; i++) {
            r.request("r" + i);
            r.answer(0, Result.SERVED, 2000, true);
        }
        assertTrue(r.sent.stream().filter(s -> s.server() == 1).count() > loaded + 20);
    }

    /** Incidents i6f3083 and i5bba91: long queues from the first second on made the servers slow permanently. */
    @Test
    void queuesStayShortBeforeTheFirstAnswers() {
        LoadBalancerRecorder r = new LoadBalancerRecorder(LoadBalancerRecorder.settings(Effect.UNSAFE, Group.ALL), 4);
        for (int i = 0; i < 100; i++) {
            r.request("r" + i);
        }
        assertEquals(12, r.sent.size());
    }

    /** Incident i80c828: one request from each of many sidecars kept overloaded servers slow permanently. */
    @Test
    void overloadedServersGetPausesBetweenRequests() {
        LoadBalancerRecorder r = new LoadBalancerRecorder(LoadBalancerRecorder.settings(Effect.UNSAFE, Group.ALL), 3);
        int sent = 0;
        r.request("slow0");
        while (r.sent.size() > sent && sent < 40) {
            sent++;
            r.answer(0, Result.SERVED, 190_000, true);
            r.request("slow" + sent);
        }
        assertTrue(sent >= 2 && sent < 40, sent + " slow answers without a pause");
        r.now += 900_000;
        r.choice.servers(r.now, ListKind.CHANGES, List.of());
        assertTrue(r.sent.size() > sent, "still paused");
    }

    @Test
    void coldServerGetsItsSlowStartShare() {
        LoadBalancerRecorder r = new LoadBalancerRecorder(LoadBalancerRecorder.settings(Effect.SAFE, Group.ALL), 4);
        long warm = sentToFirst(r, "warm", 200);
        r.choice.servers(r.now, ListKind.CHANGES, List.of(LoadBalancerRecorder.server(1, 0, r.now)));
        long cold = sentToFirst(r, "cold", 200);
        // The share starts at a fifth and has grown to a third by the end of these 2 s.
        assertTrue(cold > 0 && cold <= 0.45 * warm, cold + " while cold, " + warm + " while warm");
    }

    private static long sentToFirst(LoadBalancerRecorder r, String name, int requests) {
        int before = r.sent.size();
        for (int i = 0; i < requests; i++) {
            r.request(name + i);
            r.answer(0, Result.SERVED, 10_000, true);
        }
        return r.sent.stream().skip(before).filter(s -> s.server() == 1).count();
    }

    /**
     * The typical latency was learned relative to its value at the time of sending. With many requests in flight each
     * answer then repeated the changes by the answers before it, and the value swung between a third and five times
     * the true one. It shows in the time at which a queued request is refused: the latency target less the typical
     * latency after its arrival.
     */
    @ParameterizedTest
    @ValueSource(ints = {1, 8, 64})
    void typicalLatencyDoesNotDependOnRequestsInFlight(int requestsInFlight) {
        LoadBalancerRecorder r = new LoadBalancerRecorder(LoadBalancerRecorder.settings(Effect.SAFE, Group.ALL), 120);
        for (int wave = 0; wave < 1 + 400 / requestsInFlight; wave++) {
            int first = r.sent.size();
            for (int i = 0; i < requestsInFlight; i++) {
                r.request("u" + wave + "-" + i);
            }
            r.now += 90_000;
            for (LoadBalancerRecorder.Sent s : List.copyOf(r.sent.subList(first, r.sent.size()))) {
                r.choice.outcome(r.now, new Outcome(s.request(), 0, s.server(), Result.SERVED, 90_000, true, null));
            }
        }
        r.choice.servers(r.now, ListKind.COMPLETE, List.of());
        r.timers.clear();
        r.request("held");
        double typicalMicros =
                r.now + 200_000 - r.timers.stream().mapToLong(t -> t[0]).max().orElseThrow();
        assertEquals(90_000, typicalMicros, 10_000);
    }

    /** Requests queued up to their deadline kept connections that clients needed for requests still in time. */
    @Test
    void underHighLoadQueuedRequestsAreRefusedBeforeHalfOfTheirTime() {
        Settings s = LoadBalancerRecorder.settings(Effect.UNSAFE, Group.ALL);
        LoadBalancerRecorder r = new LoadBalancerRecorder(
                new Settings(
                        s.seed(),
                        s.rank(),
                        s.replicas(),
                        s.zone(),
                        s.zones(),
                        List.of(new RequestClass(
                                "c", Effect.UNSAFE, Group.ALL, 0, 200_000, 0, 1_000_000, 1, 0.5, false)),
                        s.tenants(),
                        s.overShareWorth(),
                        s.probePrice(),
                        s.limits(),
                        s.rules(),
                        s.reports(),
                        s.discoveryOnAsk(),
                        s.keyAffinity(),
                        s.tickMicros()),
                4);
        long arrived = r.now;
        for (int i = 0; i < 100; i++) {
            r.request("r" + i);
        }
        while (r.now < arrived + 480_000) {
            r.fireTimers();
        }
        assertTrue(r.refused.size() >= 50, r.refused.size() + " refused");
    }

    /** An occasional broken response or connection reset made every server look as if it had just restarted. */
    @Test
    void oneBrokenConnectionIsNotTakenForARestart() {
        LoadBalancerRecorder r = new LoadBalancerRecorder(LoadBalancerRecorder.settings(Effect.SAFE, Group.ALL), 4);
        long before = sentToFirst(r, "before", 200);
        boolean broken = false;
        for (int i = 0; i < 100 && !broken; i++) {
            r.request("x" + i);
            broken = r.sent.get(r.sent.size() - 1).server() == 1;
            r.answer(0, broken ? Result.BROKEN : Result.SERVED, 10_000, true);
        }
        assertTrue(broken);
        r.now += 20_000_000;
        long after = sentToFirst(r, "after", 200);
        assertTrue(after >= 0.6 * before, after + " after it, " + before + " before");
    }

    /** After a start the first answers are slow for other reasons; idle servers then got hardly any requests. */
    @ParameterizedTest
    @CsvSource({"0.1, true", "0.9, false"})
    void slowAnswersCutTheLimitOfBusyServersOnly(double utilization, boolean limitKept) {
        LoadBalancerRecorder r = reportingFleet(3, 4);
        LoadReport report = report(utilization);
        for (int i = 0; i < 40; i++) {
            r.request("a" + i);
            LoadBalancerRecorder.Sent last = r.sent.get(r.sent.size() - 1);
            r.now += 150_000;
            r.choice.outcome(
                    r.now, new Outcome(last.request(), 0, last.server(), Result.SERVED, 150_000, true, report));
        }
        int before = r.sent.size();
        for (int i = 0; i < 100; i++) {
            r.request("b" + i);
        }
        assertEquals(limitKept, r.sent.size() - before >= 12);
    }

    /**
     * A server that many sidecars have filled still meets the latency target of each from time to time. Each sidecar
     * raised its limit after such answers, and together they kept every server of a fleet that had lost a zone at
     * twice its capacity.
     */
    @ParameterizedTest
    @CsvSource({"14, 0.7, true", "14, 0.97, false", "3, 0.97, true"})
    void limitsOfManyInstancesGrowOnlyBelowFullUtilization(int sidecars, double use, boolean grows) {
        LoadBalancerRecorder r = reportingFleet(sidecars, 16);
        for (int wave = 0; wave < 30; wave++) {
            int first = r.sent.size();
            for (int i = 0; i < 40; i++) {
                r.request("g" + wave + "-" + i);
            }
            r.now += 50_000;
            // Queued requests are sent as others are answered, and are answered too.
            for (int i = first; i < r.sent.size(); i++) {
                LoadBalancerRecorder.Sent sent = r.sent.get(i);
                r.choice.outcome(
                        r.now, new Outcome(sent.request(), 0, sent.server(), Result.SERVED, 50_000, true, report(use)));
            }
        }
        int before = r.sent.size();
        for (int i = 0; i < 100; i++) {
            r.request("h" + i);
        }
        int out = r.sent.size() - before;
        assertEquals(grows, out > 60, out + " out at 16 servers whose first limit is 3");
    }

    /** A sidecar of a fleet whose servers report their load in responses. */
    private static LoadBalancerRecorder reportingFleet(int sidecars, int servers) {
        Settings s = LoadBalancerRecorder.settings(Effect.UNSAFE, Group.ALL);
        return new LoadBalancerRecorder(
                new Settings(
                        s.seed(),
                        s.rank(),
                        sidecars,
                        s.zone(),
                        s.zones(),
                        s.classes(),
                        s.tenants(),
                        s.overShareWorth(),
                        s.probePrice(),
                        s.limits(),
                        s.rules(),
                        ReportSource.ANSWERS,
                        s.discoveryOnAsk(),
                        s.keyAffinity(),
                        s.tickMicros()),
                servers);
    }

    private static LoadReport report(double utilization) {
        return new LoadReport(Double.NaN, Double.NaN, utilization, Double.NaN, Double.NaN, Double.NaN);
    }

    @Test
    void hangingServerLosesItsTraffic() {
        LoadBalancerRecorder r = new LoadBalancerRecorder(LoadBalancerRecorder.settings(Effect.UNSAFE, Group.ALL), 4);
        int sentToHanging = 0;
        for (int i = 0; i < 300; i++) {
            r.request("r" + i);
            if (r.sent.get(r.sent.size() - 1).server() == 2) {
                sentToHanging++;
                r.now += 20_000;
            } else {
                r.answer(0, Result.SERVED, 20_000, true);
            }
        }
        assertTrue(sentToHanging <= 8, "sent " + sentToHanging + " to a server that answers nothing");
    }

    @Test
    void fastFailuresDoNotAttractTraffic() {
        LoadBalancerRecorder r = new LoadBalancerRecorder(LoadBalancerRecorder.settings(Effect.UNSAFE, Group.ALL), 4);
        int failing = sentToFailing(r, 300, 0, 500, 0);
        assertTrue(failing > 0 && failing <= 20, "sent " + failing + " to a server that only fails");
    }

    /**
     * A sidecar that seldom calls a server finds the connection idle each time. An error is still an answer on that
     * connection: three in a row make the server an outlier, however far apart they are.
     */
    @Test
    void errorsAfterIdlePeriodsCount() {
        LoadBalancerRecorder r = new LoadBalancerRecorder(LoadBalancerRecorder.settings(Effect.UNSAFE, Group.ALL), 6);
        int failing = sentToFailing(r, 600, 60, 20_000, 60_000);
        assertTrue(r.actions.contains("log server 3 ejected: ERROR"), failing + " sent to it: " + r.actions);
        assertTrue(failing <= 25, "sent " + failing + " to a server that only fails");
    }

    /** Sends requests one by one, with pauses; from one of them on, server 3 answers with errors only. */
    private static int sentToFailing(LoadBalancerRecorder r, int requests, int from, long errorMicros, long pause) {
        int failing = 0;
        for (int i = 0; i < requests; i++) {
            r.request("r" + i);
            boolean bad = i >= from && r.sent.get(r.sent.size() - 1).server() == 3;
            failing += bad ? 1 : 0;
            r.answer(0, bad ? Result.ERROR : Result.SERVED, bad ? errorMicros : 20_000, !bad);
            r.now += pause;
        }
        return failing;
    }

    @Test
    void invalidSettingsAreNamedInTheError() {
        Settings s = LoadBalancerRecorder.settings(Effect.SAFE, Group.ALL);
        String message = assertThrows(
                        IllegalArgumentException.class,
                        () -> new Settings(
                                s.seed(),
                                0,
                                1,
                                0,
                                s.zones(),
                                List.of(),
                                s.tenants(),
                                1,
                                0,
                                s.limits(),
                                s.rules(),
                                s.reports(),
                                false,
                                false,
                                1000))
                .getMessage();
        assertTrue(message.contains("classes"), message);
    }

    /** Random valid events: one final answer per request, no action after it, effects and drains respected. */
    @ParameterizedTest
    @EnumSource(Effect.class)
    void randomEventsKeepTheRules(Effect effect) {
        SplittableRandom random = new SplittableRandom(11);
        LoadBalancerRecorder r = new LoadBalancerRecorder(LoadBalancerRecorder.settings(effect, Group.ZONE), 7);
        Map<String, Integer> attempts = new HashMap<>();
        Map<String, Boolean> mayHaveRun = new HashMap<>();
        Map<String, Boolean> ended = new HashMap<>();
        Map<Long, Boolean> draining = new HashMap<>();
        int seen = 0;
        Result[] results = Result.values();
        record Out(String request, int attempt, long server, long at) {}
        List<Out> out = new java.util.ArrayList<>();
        for (int step = 0; step < 6000; step++) {
            r.now += random.nextInt(4000);
            if (random.nextInt(3) == 0) {
                String id = "q" + step;
                ended.put(id, false);
                r.request(id);
            } else if (!out.isEmpty() && random.nextInt(3) > 0) {
                Out o = out.remove(random.nextInt(out.size()));
                boolean served = random.nextInt(4) > 0;
                Result result = served ? Result.SERVED : results[random.nextInt(results.length)];
                boolean closed = ended.get(o.request) || result == Result.SERVED;
                if (!result.provesNotRun) {
                    mayHaveRun.put(o.request, true);
                }
                ended.put(o.request, closed);
                r.choice.outcome(
                        r.now, new Outcome(o.request, o.attempt, o.server, result, r.now - o.at, closed, null));
            } else if (random.nextInt(40) == 0) {
                long id = 1 + random.nextInt(7);
                boolean drain = random.nextBoolean();
                draining.put(id, drain);
                r.choice.servers(
                        r.now,
                        ListKind.CHANGES,
                        List.of(new Server(
                                id, (int) (id - 1) % 2, 0, (int) id % 3, drain ? Phase.DRAINING : Phase.READY, 0, 1)));
            }
            for (long[] t : List.copyOf(r.timers)) {
                if (t[0] <= r.now) {
                    r.timers.remove(t);
                    r.choice.timer(r.now, t[1]);
                }
            }
            for (; seen < r.actions.size(); seen++) {
                String[] a = r.actions.get(seen).split(" ");
                if (a[0].equals("send")) {
                    assertFalse(ended.get(a[1]), "sent after the end");
                    assertFalse(draining.getOrDefault(Long.parseLong(a[2]), false), "sent to a draining server");
                    assertTrue(effect != Effect.UNSAFE || !mayHaveRun.getOrDefault(a[1], false), "sent twice");
                    int n = attempts.merge(a[1], 1, Integer::sum) - 1;
                    assertTrue(n < 4);
                    assertTrue(effect == Effect.SAFE || out.stream().noneMatch(o -> o.request.equals(a[1])));
                    out.add(new Out(a[1], n, Long.parseLong(a[2]), r.now));
                } else if (a[0].equals("refuse") || a[0].equals("fail")) {
                    assertFalse(ended.put(a[1], true), "a second final answer");
                    assertTrue(
                            a[0].equals("fail") || effect == Effect.SAFE || !mayHaveRun.getOrDefault(a[1], false),
                            "refused what may have run");
                }
            }
        }
        assertTrue(attempts.size() > 300, "only " + attempts.size() + " were sent");
    }

    @Test
    void sameEventsGiveTheSameActions() {
        LoadBalancerRecorder a = new LoadBalancerRecorder(LoadBalancerRecorder.settings(Effect.SAFE, Group.ALL), 6);
        LoadBalancerRecorder b = new LoadBalancerRecorder(LoadBalancerRecorder.settings(Effect.SAFE, Group.ALL), 6);
        for (int i = 0; i < 200; i++) {
            for (LoadBalancerRecorder r : List.of(a, b)) {
                r.choice.request(r.now, new Request("r" + i, 0, i % 2, false, -1, r.now + 1_000_000, 0, false));
                r.answer(0, i % 9 == 0 ? Result.FULL : Result.SERVED, 3000 + i, i % 9 != 0);
            }
        }
        assertEquals(a.actions, b.actions);
    }
}
