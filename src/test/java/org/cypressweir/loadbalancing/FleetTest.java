package org.cypressweir.loadbalancing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.cypressweir.loadbalancing.LoadBalancer.Effect;
import org.cypressweir.loadbalancing.LoadBalancer.Group;
import org.cypressweir.loadbalancing.LoadBalancer.ListKind;
import org.cypressweir.loadbalancing.LoadBalancer.Request;
import org.cypressweir.loadbalancing.LoadBalancer.Result;
import org.cypressweir.loadbalancing.LoadBalancer.Rules;
import org.cypressweir.loadbalancing.LoadBalancer.Settings;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Fleets of hundreds of sidecars with few requests each: each test names the failure that it guards against. */
class FleetTest {

    private static final long RETRY_WINDOW_MICROS = 5_000_000;

    private static Settings fleet(int rank, int replicas, Rules rules, boolean warmKeys) {
        Settings s = LoadBalancerRecorder.settings(Effect.UNSAFE, Group.ALL);
        return new Settings(
                1000 + rank,
                rank,
                replicas,
                0,
                s.zones(),
                s.classes(),
                s.tenants(),
                s.overShareWorth(),
                0,
                s.limits(),
                rules,
                s.reports(),
                false,
                warmKeys,
                1000);
    }

    private static Rules rulesWithoutRetryBudget() {
        return new Rules(0.2, 10_000_000, 2_000_000, 10_000_000, 0, 0, 0);
    }

    private static Rules rulesWithRetryBudget(double floor, double perRequest) {
        return new Rules(0.2, 10_000_000, 2_000_000, 10_000_000, floor, perRequest, RETRY_WINDOW_MICROS);
    }

    /** The enlarged nairobi fleet exceeded its retry budget. Checks all windows of a random run by brute force. */
    @ParameterizedTest
    @ValueSource(longs = {3, 4, 5, 6})
    void retryBudgetHoldsInEveryWindow(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        LoadBalancerRecorder r = new LoadBalancerRecorder(fleet(0, 3, rulesWithRetryBudget(2, 0.03), false), 8);
        List<Long> arrivals = new ArrayList<>();
        List<Long> retries = new ArrayList<>();
        Set<String> seen = new HashSet<>();
        int next = 0;
        for (int i = 0; i < 3000; i++) {
            r.now += random.nextInt(random.nextInt(10) == 0 ? 2_000_000 : 20_000);
            arrivals.add(r.now);
            r.request("r" + i);
            for (; next < r.sent.size(); next++) {
                if (!seen.add(r.sent.get(next).request())) {
                    retries.add(r.sent.get(next).at());
                    r.answer(1, Result.SERVED, 1000, true);
                } else if (random.nextInt(3) == 0) {
                    r.answer(0, Result.FULL, 0, false);
                } else {
                    r.answer(0, Result.SERVED, 5000, true);
                }
            }
        }
        assertTrue(retries.size() > 20, "only " + retries.size() + " retries");
        for (long from : retries) {
            long tries = retries.stream()
                    .filter(t -> t >= from && t < from + RETRY_WINDOW_MICROS)
                    .count();
            long taken = arrivals.stream()
                    .filter(t -> t >= from && t < from + RETRY_WINDOW_MICROS)
                    .count();
            assertTrue(tries <= 2 + 0.03 * taken, tries + " retries and " + taken + " requests");
        }
    }

    @Test
    void floorAllowsARetryAndAFloorBelowOneAllowsNone() {
        for (double floor : new double[] {2, 0.9}) {
            LoadBalancerRecorder r = new LoadBalancerRecorder(fleet(0, 3, rulesWithRetryBudget(floor, 0.03), false), 8);
            r.request("x");
            r.answer(0, Result.FULL, 1000, false);
            assertEquals(floor >= 1 ? 2 : 1, r.sent.size());
        }
    }

    @Test
    void invalidBudgetsAreRejected() {
        assertThrows(IllegalArgumentException.class, () -> rulesWithRetryBudget(-1, 0.03));
        assertThrows(IllegalArgumentException.class, () -> rulesWithRetryBudget(2, -0.1));
        assertThrows(IllegalArgumentException.class, () -> rulesWithRetryBudget(2, 1.1));
    }

    /** 400 instances with one request per second: a cold server gets its slow-start share of all in any second. */
    @Test
    void manyInstancesTogetherSendAColdServerItsSlowStartShare() {
        List<LoadBalancerRecorder> all = new ArrayList<>();
        for (int rank = 0; rank < 400; rank++) {
            LoadBalancerRecorder r = new LoadBalancerRecorder(fleet(rank, 400, rulesWithoutRetryBudget(), false), 20);
            all.add(r);
            for (int i = 0; i < 5; i++) {
                r.request("warm" + i);
                r.answer(0, Result.SERVED, 10_000, true);
            }
            r.choice.servers(r.now, ListKind.CHANGES, List.of(LoadBalancerRecorder.server(1, 0, r.now)));
        }
        int total = 0;
        for (int second = 0; second < 5; second++) {
            int cold = 0;
            for (LoadBalancerRecorder r : all) {
                int before = r.sent.size();
                r.now += 900_000;
                r.request("cold" + second);
                cold += r.sent.stream()
                        .skip(before)
                        .filter(s -> s.server() == 1)
                        .count();
                r.answer(0, Result.SERVED, 10_000, true);
            }
            // A warm server gets about 40 in a zone that all clients share, a cold one a fifth of that, growing.
            assertTrue(cold <= 2.5 * 40 * (0.2 + 0.08 * (second + 1)), "second " + second + ": " + cold);
            total += cold;
        }
        assertTrue(total > 10, "a cold server must get some: " + total);
    }

    /** Full connection tables were the main loss of enlarged fleets: one of many sidecars must use few servers. */
    @Test
    void oneOfManyInstancesUsesFewServers() {
        LoadBalancerRecorder r = new LoadBalancerRecorder(fleet(3, 400, rulesWithoutRetryBudget(), false), 60);
        for (int i = 0; i < 300; i++) {
            r.now += 800_000;
            r.request("r" + i);
            r.answer(0, Result.SERVED, 20_000, true);
        }
        long servers = r.sent.stream()
                .map(LoadBalancerRecorder.Sent::server)
                .distinct()
                .count();
        assertTrue(servers <= 12, servers + " servers of 60");
    }

    /** Dead idle connections: a hang after an idle period closes the connection, and long idle periods are avoided. */
    @Test
    void hangAfterAnIdlePeriodMeansADeadConnection() {
        LoadBalancerRecorder r = new LoadBalancerRecorder(fleet(3, 400, rulesWithoutRetryBudget(), false), 20);
        for (int i = 0; i < 40; i++) {
            r.request("warm" + i);
            r.answer(0, Result.SERVED, 20_000, true);
        }
        r.now += 3_000_000;
        r.request("silent");
        long server = r.sent.get(r.sent.size() - 1).server();
        r.now += 900_000;
        r.request("next");
        assertTrue(r.actions.stream().anyMatch(a -> a.startsWith("log idle connections are not trusted")));
        assertTrue(r.actions.stream().noneMatch(a -> a.startsWith("log server " + server + " ejected")));
        r.answer(0, Result.SERVED, 20_000, true);
        r.now += 5_000_000;
        r.request("later");
        assertTrue(r.actions.stream().anyMatch(a -> a.startsWith("close ")), "the idle connection stays");
    }

    /** A server that refuses new connections is not faulty: it is not ejected, and gets none for a while. */
    @Test
    void refusedConnectionIsNotAnOutlier() {
        LoadBalancerRecorder r = new LoadBalancerRecorder(fleet(3, 400, rulesWithoutRetryBudget(), false), 20);
        for (int i = 0; i < 6; i++) {
            r.request("r" + i);
            int last = r.sent.size();
            r.answer(0, Result.NO_CONNECTION, 1000, false);
            assertTrue(r.sent.size() == last
                    || r.sent.get(last).server() != r.sent.get(last - 1).server());
        }
        assertTrue(r.actions.stream().noneMatch(a -> a.contains("ejected")), r.actions.toString());
    }

    /** Retry abuse on lakes-later: short time-outs of impatient clients caused ejections of healthy servers. */
    @Test
    void impatientClientsDoNotEjectServers() {
        LoadBalancerRecorder r = new LoadBalancerRecorder(fleet(3, 400, rulesWithoutRetryBudget(), false), 20);
        for (int i = 0; i < 30; i++) {
            r.request("r" + i);
            r.answer(0, Result.TIMED_OUT, 20_000, false);
        }
        assertTrue(r.actions.stream().noneMatch(a -> a.contains("ejected")), r.actions.toString());
    }

    /** Where servers keep state for keys, all sidecars of a zone with the same cells send a key to the same server. */
    @Test
    void keyGoesToTheSameServerFromAllInstances() {
        Set<Long> servers = new HashSet<>();
        for (int rank = 0; rank < 30; rank++) {
            LoadBalancerRecorder r = new LoadBalancerRecorder(fleet(rank, 400, rulesWithoutRetryBudget(), true), 60);
            r.choice.request(r.now, new Request("x", 0, 0, false, 77, r.now + 1_000_000, 0, false));
            servers.add(r.sent.get(0).server());
        }
        assertEquals(1, servers.size());
    }

    /** Servers that have left the list are not used, however often the list changes. */
    @Test
    void unlistedServersAreNotUsed() {
        LoadBalancerRecorder r = new LoadBalancerRecorder(fleet(0, 3, rulesWithoutRetryBudget(), false), 6);
        for (int round = 0; round < 50; round++) {
            long id = 100 + round;
            r.choice.servers(
                    r.now,
                    ListKind.COMPLETE,
                    List.of(LoadBalancerRecorder.server(id, 0, 0), LoadBalancerRecorder.server(1, 0, 0)));
            r.request("r" + round);
            assertTrue(Set.of(id, 1L).contains(r.sent.get(r.sent.size() - 1).server()));
            r.answer(0, Result.SERVED, 1000, true);
        }
    }
}
