package org.cypressweir.loadbalancing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.cypressweir.common.util.Hashes;
import org.cypressweir.loadbalancing.LoadBalancer.Effect;
import org.cypressweir.loadbalancing.LoadBalancer.Group;
import org.cypressweir.loadbalancing.LoadBalancer.ListKind;
import org.cypressweir.loadbalancing.LoadBalancer.Outcome;
import org.cypressweir.loadbalancing.LoadBalancer.Phase;
import org.cypressweir.loadbalancing.LoadBalancer.Request;
import org.cypressweir.loadbalancing.LoadBalancer.Result;
import org.cypressweir.loadbalancing.LoadBalancer.Server;
import org.cypressweir.loadbalancing.LoadBalancer.Settings;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Fleets whose nodes are too large to be scanned: random draws must keep the guarantees of a scan. */
class LargeFleetTest {

    private static final long SLOW_START_MICROS = 10_000_000;
    /** Ten zones with all servers in another one than the instance's: the first node on a path holds about forty. */
    private static final List<String> ZONES = List.of("a", "b", "c", "d", "e", "f", "g", "h", "i", "j");

    private static final int OTHER_ZONE = 5;

    private static Settings settings(boolean warmKeys) {
        Settings s = LoadBalancerRecorder.settings(Effect.SAFE, Group.ALL);
        return new Settings(
                11,
                0,
                3,
                0,
                ZONES,
                s.classes(),
                List.of(),
                1,
                0,
                s.limits().with(20_000, 20_000, 400),
                s.rules(),
                s.reports(),
                false,
                warmKeys,
                1_000);
    }

    private static Server server(long id, Phase phase, long start) {
        return new Server(id, OTHER_ZONE, 0, 0, phase, start, 1);
    }

    private static LoadBalancerRecorder fleet(int size, boolean warmKeys) {
        LoadBalancerRecorder r = new LoadBalancerRecorder(settings(warmKeys), 0);
        List<Server> list = new ArrayList<>();
        for (long id = 1; id <= size; id++) {
            list.add(server(id, Phase.READY, 0));
        }
        r.choice.servers(r.now, ListKind.COMPLETE, list);
        return r;
    }

    private static void change(LoadBalancerRecorder r, Server... changed) {
        r.choice.servers(r.now, ListKind.CHANGES, List.of(changed));
    }

    /** Sends a request that its client cancels, so that the balancer learns nothing; returns the server, or -1. */
    private static long probe(LoadBalancerRecorder r, String id, long key) {
        int before = r.sent.size();
        r.choice.request(r.now, new Request(id, 0, 0, false, key, r.now + 1_000_000, 0, false));
        r.choice.clientLeft(r.now, id);
        if (r.sent.size() == before) {
            return -1;
        }
        long server = r.sent.get(before).server();
        r.choice.outcome(r.now, new Outcome(id, 0, server, Result.CANCELLED, 0, true, null));
        return server;
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void drawsAreUniform(long salt) {
        LoadBalancerRecorder r = fleet(1_000, false);
        Map<Long, Integer> counts = new HashMap<>();
        int requests = 100_000;
        for (int i = 0; i < requests; i++) {
            counts.merge(probe(r, salt + "-" + i, -1), 1, Integer::sum);
        }
        assertEquals(1_000, counts.size(), "some are never drawn");
        // Cells are drawn uniformly, and so are servers within a cell: within each cell counts differ by chance only.
        Map<Integer, List<Integer>> cells = new HashMap<>();
        int count = (int) (0.5 + 1_000 / 40.0);
        counts.forEach((id, n) -> cells.computeIfAbsent(Hashes.jump(Hashes.mix(id, 0), count), c -> new ArrayList<>())
                .add(n));
        double chiSquared = 0;
        int degreesOfFreedom = 0;
        for (List<Integer> cell : cells.values()) {
            double mean = cell.stream().mapToInt(n -> n).average().orElseThrow();
            chiSquared += cell.stream()
                    .mapToDouble(n -> (n - mean) * (n - mean) / mean)
                    .sum();
            degreesOfFreedom += cell.size() - 1;
        }
        assertTrue(
                Math.abs(chiSquared - degreesOfFreedom) < 4 * Math.sqrt(2.0 * degreesOfFreedom),
                "chi-squared " + chiSquared + " at " + degreesOfFreedom + " degrees");
    }

    /** 95% of the servers are at their limit; each further request still finds one of the others. */
    @Test
    void oneWithRoomIsFoundAmongNineteenThatHaveNone() {
        LoadBalancerRecorder r = fleet(2_000, false);
        int requests = 0;
        for (int idle = 0; idle < 200; requests++) {
            int before = r.sent.size();
            r.request("f" + requests);
            idle = r.sent.size() == before ? idle + 1 : 0;
        }
        assertTrue(r.sent.size() > 5_900, "filled with " + r.sent.size());
        for (int i = 0; i < requests; i++) {
            r.choice.clientLeft(r.now, "f" + i);
        }
        for (LoadBalancerRecorder.Sent sent : List.copyOf(r.sent)) {
            if (sent.server() % 20 == 0) {
                r.choice.outcome(r.now, new Outcome(sent.request(), 0, sent.server(), Result.CANCELLED, 0, true, null));
            }
        }
        int missed = 0;
        for (int i = 0; i < 2_000; i++) {
            long server = probe(r, "q" + i, -1);
            missed += server < 0 ? 1 : 0;
            assertTrue(server < 0 || server % 20 == 0, "sent to a full one");
        }
        assertTrue(missed <= 2, missed + " of 2000 found none");
    }

    /** The sum over all requests is the share that a scan of all members would give. */
    @Test
    void coldServersGetTheirShareAndNoMore() {
        LoadBalancerRecorder r = fleet(1_000, false);
        r.now = 50_000_000;
        List<Server> cold = new ArrayList<>();
        for (long id = 1; id <= 200; id++) {
            cold.add(server(id, Phase.READY, r.now));
        }
        change(r, cold.toArray(Server[]::new));
        int requests = 60_000;
        int toCold = 0;
        for (int i = 0; i < requests; i++) {
            toCold += probe(r, "c" + i, -1) <= 200 ? 1 : 0;
        }
        // Their part of the fleet's capacity: a fifth of a warm server's each, of 840 warm servers' in all.
        double fair = requests * 200 * 0.2 / 840;
        assertTrue(toCold > 0.8 * fair && toCold < 1.2 * fair, toCold + " to the cold, fair " + fair);
    }

    /**
     * Each cold server got its slow-start share of an even part, and the rest overloaded the few warm ones. In
     * proportion to the capacity of the whole fleet it gets more, but never more than 1.4 times its share.
     */
    @ParameterizedTest
    @CsvSource({"6, 1.32", "12, 1.4", "18, 1.4"})
    void mostlyColdFleetSendsByCapacity(int coldCount, double factor) {
        LoadBalancerRecorder r = fleet(20, false);
        r.now = 50_000_000;
        List<Server> cold = new ArrayList<>();
        for (long id = 1; id <= coldCount; id++) {
            cold.add(server(id, Phase.READY, r.now));
        }
        change(r, cold.toArray(Server[]::new));
        int requests = 40_000;
        int toCold = 0;
        for (int i = 0; i < requests; i++) {
            long server = probe(r, "m" + i, -1);
            toCold += server > 0 && server <= coldCount ? 1 : 0;
        }
        double share = requests * 0.2 * coldCount / 20;
        // The first cold server that a request's hash admits gets it, so several that it admits count as one.
        assertTrue(
                toCold > 0.8 * factor * share && toCold < 1.05 * factor * share,
                toCold + " to the cold, by share " + share);
    }

    @Test
    void entirelyColdFleetAdmitsItsSlowStartShare() {
        LoadBalancerRecorder r = fleet(1_000, false);
        r.now = 50_000_000;
        List<Server> cold = new ArrayList<>();
        for (long id = 1; id <= 1_000; id++) {
            cold.add(server(id, Phase.READY, r.now));
        }
        change(r, cold.toArray(Server[]::new));
        int sent = 0;
        for (int i = 0; i < 10_000; i++) {
            sent += probe(r, "c" + i, -1) > 0 ? 1 : 0;
        }
        assertTrue(sent > 2_000 && sent < 5_500, sent + " of 10000 sent, the cold share is 0.2");
    }

    /** Draws skip ejected servers, but each gets its trial requests and is re-admitted. */
    @Test
    void ejectedServersAreReadmitted() {
        LoadBalancerRecorder r = fleet(400, false);
        List<LoadBalancerRecorder.Sent> silent = new ArrayList<>();
        for (int i = 0; i < 3_000; i++) {
            int before = r.sent.size();
            r.request("e" + i);
            if (r.sent.size() > before && r.sent.get(before).server() <= 120) {
                silent.add(r.sent.get(before));
            } else if (r.sent.size() > before) {
                r.choice.outcome(
                        r.now, new Outcome("e" + i, 0, r.sent.get(before).server(), Result.SERVED, 2_000, true, null));
            }
        }
        r.now += 3_000_000;
        r.request("last");
        Set<Long> ejected = new HashSet<>();
        r.actions.stream()
                .filter(a -> a.contains(" ejected: "))
                .forEach(a -> ejected.add(Long.parseLong(a.split(" ")[2])));
        assertTrue(ejected.size() >= 80, "ejected " + ejected.size());
        silent.forEach(s -> r.choice.outcome(
                r.now, new Outcome(s.request(), 0, s.server(), Result.TIMED_OUT, 1_000_000, false, null)));
        r.choice.clientLeft(r.now, "last");
        int readmitted = 0;
        for (int i = 0; i < 200_000; i++) {
            int before = r.sent.size();
            r.now += 200;
            r.request("b" + i);
            if (r.sent.size() > before) {
                r.choice.outcome(
                        r.now, new Outcome("b" + i, 0, r.sent.get(before).server(), Result.SERVED, 2_000, true, null));
            }
        }
        for (long id : ejected) {
            readmitted += r.actions.contains("log server " + id + " re-admitted") ? 1 : 0;
        }
        assertEquals(ejected.size(), readmitted, "re-admitted");
    }

    /** A key keeps its server while others drain, return and flap around a boundary of the cell count. */
    @Test
    void aKeyKeepsItsServer() {
        LoadBalancerRecorder r = fleet(1_000, true);
        Map<Long, Long> serverByKey = new HashMap<>();
        for (long key = 0; key < 500; key++) {
            serverByKey.put(key, probe(r, "k" + key, key));
        }
        assertTrue(new HashSet<>(serverByKey.values()).size() > 300, "keys share few servers");
        SplittableRandom random = new SplittableRandom(8);
        int moved = 0;
        int asked = 0;
        for (int round = 0; round < 60; round++) {
            long gone = 1 + random.nextInt(1_000);
            change(r, server(gone, Phase.DRAINING, 0));
            for (long key = 0; key < 500; key += 5) {
                long now = probe(r, round + "k" + key, key);
                asked++;
                if (serverByKey.get(key) == gone) {
                    assertFalse(now == gone, "sent to one that drains");
                } else if (now != serverByKey.get(key)) {
                    moved++;
                }
            }
            change(r, server(gone, Phase.READY, 0));
        }
        assertTrue(moved < asked / 100, moved + " of " + asked + " moved with another's server");
    }

    /** The number of servers flaps around a boundary of the cell count: no key moves. */
    @Test
    void flappingCellCountMovesNoKeys() {
        LoadBalancerRecorder r = fleet(1_019, true);
        List<Long> before = new ArrayList<>();
        for (long key = 0; key < 300; key++) {
            before.add(probe(r, "a" + key, key));
        }
        for (int flap = 0; flap < 40; flap++) {
            Phase phase = flap % 2 == 0 ? Phase.DRAINING : Phase.READY;
            change(r, server(1_018, phase, 0), server(1_019, phase, 0));
        }
        for (long key = 0; key < 300; key++) {
            assertEquals(before.get((int) key), probe(r, "b" + key, key));
        }
    }

    /**
     * A new cell count is applied in several turns: all keys are served meanwhile, and end at their new server.
     */
    @Test
    void newCellCountIsAppliedInTurns() {
        LoadBalancerRecorder grown = fleet(1_000, true);
        grown.fireTimers();
        List<Server> all = new ArrayList<>();
        for (long id = 1; id <= 8_000; id++) {
            all.add(server(id, Phase.READY, 0));
        }
        grown.choice.servers(grown.now, ListKind.COMPLETE, all);
        int turns = 0;
        for (; !grown.timers.isEmpty(); turns++) {
            change(grown, server(1 + turns, Phase.DRAINING, 0));
            long server = probe(grown, "t" + turns, turns);
            assertTrue(server > 1 + turns, "sent to " + server + " in turn " + turns);
            grown.fireTimers();
        }
        assertTrue(turns >= 40, "all in " + turns + " turns");
        LoadBalancerRecorder fresh = fleet(8_000, true);
        for (long id = 1; id <= turns; id++) {
            change(fresh, server(id, Phase.DRAINING, 0));
        }
        while (!fresh.timers.isEmpty()) {
            fresh.fireTimers();
        }
        for (long key = 0; key < 300; key++) {
            assertEquals(probe(fresh, "f" + key, key), probe(grown, "g" + key, key));
        }
    }

    /**
     * Servers join, drain, restart and leave at random; a draining one gets nothing once the list says so.
     */
    @ParameterizedTest
    @ValueSource(longs = {21, 22})
    void drainingServersGetNothingMore(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        LoadBalancerRecorder r = fleet(600, false);
        Map<Long, Phase> phases = new HashMap<>();
        Map<String, Long> out = new HashMap<>();
        for (int i = 0; i < 30_000; i++) {
            r.now += 500;
            if (i % 3 == 0) {
                long id = 1 + random.nextInt(600);
                Phase phase = Phase.values()[random.nextInt(3)];
                phases.put(id, phase);
                change(r, server(id, phase, random.nextInt(4) == 0 ? r.now - SLOW_START_MICROS - 1 : 0));
            }
            int before = r.sent.size();
            r.request("w" + i);
            if (r.sent.size() > before) {
                long server = r.sent.get(before).server();
                assertEquals(Phase.READY, phases.getOrDefault(server, Phase.READY), "seed " + seed);
                out.put("w" + i, server);
            }
            // A server may change while attempts to it are in flight; they end later.
            if (out.size() > 40) {
                String id = out.keySet().iterator().next();
                r.choice.outcome(r.now, new Outcome(id, 0, out.remove(id), Result.SERVED, 20_000, true, null));
            }
        }
        assertTrue(r.sent.size() > 20_000, "sent " + r.sent.size());
    }

    /** All of a cell's servers are removed: its requests go to another cell. */
    @Test
    void requestsLeaveAnEmptyCell() {
        LoadBalancerRecorder r = fleet(1_000, true);
        int count = (int) (0.5 + 1_000 / 40.0);
        long home = probe(r, "x", 77);
        int cell = Hashes.jump(Hashes.mix(home, 0), count);
        List<Server> all = new ArrayList<>();
        for (long id = 1; id <= 1_000; id++) {
            if (Hashes.jump(Hashes.mix(id, 0), count) == cell) {
                all.add(server(id, Phase.REMOVED, 0));
            }
        }
        change(r, all.toArray(Server[]::new));
        long next = probe(r, "y", 77);
        assertTrue(next > 0 && Hashes.jump(Hashes.mix(next, 0), count) != cell, "went to " + next);
    }

    @Test
    void oneIdTwiceInAListIsOneServer() {
        LoadBalancerRecorder r = fleet(0, false);
        change(
                r,
                server(1, Phase.READY, 0),
                server(1, Phase.READY, 0),
                server(2, Phase.DRAINING, 0),
                server(2, Phase.READY, 0));
        Set<Long> seen = new HashSet<>();
        for (int i = 0; i < 50; i++) {
            seen.add(probe(r, "d" + i, -1));
        }
        assertEquals(Set.of(1L, 2L), seen);
        change(r, server(1, Phase.REMOVED, 0));
        assertEquals(2, probe(r, "e", -1));
    }

    /** A sidecar with few connections uses a subset of a large fleet, and each sidecar another subset. */
    @Test
    void connectionsDoNotGrowWithTheFleet() {
        Set<Long> all = new HashSet<>();
        for (int rank = 0; rank < 6; rank++) {
            Settings s = settings(false);
            LoadBalancerRecorder r = new LoadBalancerRecorder(
                    new Settings(
                            rank,
                            rank,
                            6,
                            OTHER_ZONE,
                            ZONES,
                            s.classes(),
                            List.of(),
                            1,
                            0,
                            s.limits(),
                            s.rules(),
                            s.reports(),
                            false,
                            false,
                            1_000),
                    0);
            List<Server> list = new ArrayList<>();
            for (long id = 1; id <= 8_000; id++) {
                list.add(new Server(id, (int) (id % 10), 0, 0, Phase.READY, 0, 1));
            }
            r.choice.servers(r.now, ListKind.COMPLETE, list);
            Set<Long> used = new HashSet<>();
            for (int i = 0; i < 5_000; i++) {
                used.add(probe(r, rank + "-" + i, -1));
            }
            assertTrue(used.size() <= 400, "connections to " + used.size());
            all.addAll(used);
        }
        assertTrue(all.size() > 450, "all of them use the same " + all.size());
    }

    /** With thousands of queued requests, each answer lets the newest be sent. */
    @Test
    void thousandsHeldAreServedNewestFirst() {
        LoadBalancerRecorder r = new LoadBalancerRecorder(settings(false), 0);
        for (int i = 0; i < 5_000; i++) {
            r.request("h" + i);
        }
        assertEquals(0, r.sent.size());
        change(r, server(1, Phase.READY, 0));
        assertEquals("h4999", r.sent.get(0).request());
        int served = r.sent.size();
        for (int i = 0; i < 100; i++) {
            LoadBalancerRecorder.Sent oldest = r.sent.get(i);
            r.choice.outcome(r.now, new Outcome(oldest.request(), 0, 1, Result.SERVED, 1_000, true, null));
        }
        assertTrue(r.sent.size() >= served + 100);
        for (int i = 0; i < r.sent.size(); i++) {
            assertEquals("h" + (4_999 - i), r.sent.get(i).request());
        }
    }
}
