package org.cypressweir.controlplane.controller;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.ConnectException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.IntStream;
import org.cypressweir.testkit.ApplicationStubs;
import org.cypressweir.testkit.ConnectionRelay;
import org.cypressweir.testkit.ConnectionRelay.Way;
import org.cypressweir.testkit.MeshFixture;
import org.cypressweir.testkit.OperatorChecks;
import org.cypressweir.testkit.RawHttpClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.condition.EnabledIfSystemProperty;
import org.junit.jupiter.api.io.TempDir;

/**
 * Scripts of the five points that control and state must bear, over processes with cuts between them; in
 * full length with -Dharbour.full=true.
 */
@Timeout(600)
class WorstDaysTest {

    private static final boolean FULL = Boolean.getBoolean("harbour.full");
    /** Orders sent again after many newer ones. */
    private static final boolean REPEATS = !"false".equals(System.getProperty("harbour.repeats"));
    /** Whether a pilot that starts waits for a configuration that a majority stands behind. */
    private static final boolean CONFIRMED = Boolean.getBoolean("harbour.confirmed");
    /** Whether a majority stands, as soon as a successor has had its time, without whom it replaced. */
    private static final boolean REPLACED = Boolean.getBoolean("harbour.replaced");

    private static final int CUT_SECONDS = FULL ? 20 : 3;
    /** Over each time-out of the lines. */
    private static final int SILENCE_SECONDS = FULL ? 10 : 5;

    private static final int SYNC_SECONDS = 4;
    private static final int CHANGES = FULL ? 1_000 : 60;
    private static final int ROUNDS = REPEATS ? 40 : 6;
    /** Who was away is up to date within this, its own start among it. */
    private static final int CAUGHT_UP_MILLIS = 5_000;

    private static final int CALLERS = 24;
    private static final List<String> HARBOURS = List.of("h1", "h2", "h3");

    @TempDir
    private Path folder;

    private MeshFixture rig;
    private final OperatorChecks checks = new OperatorChecks();
    private final AtomicLong versions = new AtomicLong();

    private void begin(List<String> services, int harbours) throws Exception {
        rig = MeshFixture.withCuts(folder, harbours, services);
        rig.order("h1", setup("old.mesh", 1));
        rig.begun();
        for (int i = 1; i <= services.size(); i++) {
            rig.ready("p" + i);
        }
    }

    @AfterEach
    void end() throws IOException {
        if (rig != null) {
            rig.close();
        }
    }

    private static String setup(String host, int version) {
        return "{'upsert':{'serviceTable':{'orders':{'healthPath':'/health','maxConnections':64,"
                + "'configVersion':'r1'}},'routeTable':{'one':{'hostname':'" + host + "','pathPrefix':'/',"
                + "'routeType':'non_idempotent','timeout':'9s','targetLatency':'3s','priority':1,"
                + "'service':'orders','maxAttempts':3,'publicAccess':true,'configVersion':'r" + version
                + "'}}}}";
    }

    private static long in(int seconds) {
        return System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
    }

    private static Thread side(Step step, Queue<Throwable> failed) {
        Thread thread = new Thread(
                () -> {
                    try {
                        step.run();
                    } catch (Exception | AssertionError e) {
                        failed.add(e);
                    }
                },
                "side");
        thread.start();
        return thread;
    }

    private interface Step {
        void run() throws Exception;
    }

    /** Orders and reads one after the other at these; how many orders were acknowledged. */
    private int operate(List<String> harbours, long until) {
        int taken = 0;
        for (int n = 0; System.nanoTime() < until; n++) {
            String harbour = harbours.get(n % harbours.size());
            try {
                String order = OperatorChecks.order("t" + n % 5, "k" + n % 5, versions.incrementAndGet());
                int status = rig.modify(harbour, order).status();
                checks.modified(order, status);
                taken += status == 200 ? 1 : 0;
                read(harbour);
            } catch (IOException e) {
                // Not reached: the next one may be.
            }
        }
        return taken;
    }

    private boolean read(String harbour) throws IOException {
        Map<String, Long> least = checks.floor();
        RawHttpClient.Message answer = rig.firstAnswer(harbour);
        if (answer.status() == 200) {
            checks.read(least, answer.body());
        }
        return answer.status() == 200;
    }

    private void allRead() throws InterruptedException {
        for (String harbour : HARBOURS) {
            rig.await(harbour + " reads", () -> read(harbour));
        }
        assertThat(checks.breach()).as("%s", checks).isNull();
    }

    @Test
    void oneHarbourIsCutOff() throws Exception {
        begin(List.of("orders", "orders"), 3);
        ConnectionRelay relay = rig.relay();
        for (Way way : FULL ? List.of(Way.HOLD, Way.LOSE, Way.RESET, Way.REFUSE) : List.of(Way.HOLD)) {
            int route = way.ordinal() * 2;
            rig.kill("p2");
            relay.cut("h1", List.of("h2", "h3", "p1"), way, way);
            relay.cut("p2", List.of("h2", "h3"), way, way);
            rig.order("h2", setup("new.mesh", route));
            rig.restart("p2");
            long until = in(CUT_SECONDS);
            Queue<Throwable> failed = new ConcurrentLinkedQueue<>();
            AtomicInteger there = new AtomicInteger();
            AtomicInteger here = new AtomicInteger();
            AtomicInteger old = new AtomicInteger();
            List<Thread> sides = List.of(
                    side(() -> there.set(operate(List.of("h1"), until)), failed),
                    side(() -> here.set(operate(List.of("h2", "h3"), until)), failed),
                    side(() -> old.set(asked("p2", until)), failed));
            rig.await(
                    "the change is at p1",
                    () -> rig.request("p1", "new.mesh", "/", null).status() == 200);
            for (Thread side : sides) {
                side.join();
            }
            assertThat(failed).isEmpty();
            assertThat(there)
                    .as("orders acknowledged by a harbour that is cut off")
                    .hasValue(0);
            assertThat(here.get()).as("orders acknowledged by the others").isPositive();
            if (CONFIRMED) {
                assertThat(old)
                        .as("served by a pilot that has heard nobody but a harbour that is cut off")
                        .hasValue(0);
            }
            System.out.println(way + ": " + here + " acknowledged, " + old + " requests served by what stood "
                    + "before, at the pilot that reaches only the harbour that is cut off");
            relay.join();
            allRead();
            rig.await(
                    "the change is at p2",
                    () -> rig.request("p2", "new.mesh", "/", null).status() == 200);
            assertThat(rig.request("p2", "old.mesh", "/", null).status()).isEqualTo(404);
            rig.order("h1", setup("old.mesh", route + 1));
            rig.await(
                    "p1 and p2 follow",
                    () -> rig.request("p1", "old.mesh", "/", null).status() == 200
                            && rig.request("p2", "old.mesh", "/", null).status() == 200);
        }
    }

    private int asked(String pilot, long until) {
        int served = 0;
        while (System.nanoTime() < until) {
            try {
                served += rig.request(pilot, "old.mesh", "/", null).status() == 200 ? 1 : 0;
            } catch (IOException e) {
                // It has still to start.
                Thread.onSpinWait();
            }
        }
        return served;
    }

    @Test
    void twoOperatorsTakeOneNumber() throws Exception {
        begin(List.of(), 3);
        List<String> winners = new ArrayList<>();
        List<String> losers = new ArrayList<>();
        for (int n = 1; n <= ROUNDS; n++) {
            List<String> both = List.of(OperatorChecks.order("t", "a" + n, n), OperatorChecks.order("t", "b" + n, n));
            List<String> at = List.of(HARBOURS.get(n % 3), HARBOURS.get((n + 1) % 3));
            if (n % 3 == 0) {
                rig.relay().cut(at.get(0), List.of(at.get(1)), Way.RESET, Way.RESET);
            }
            Queue<Throwable> failed = new ConcurrentLinkedQueue<>();
            boolean lost = n % 2 == 0;
            List<Thread> operators = IntStream.range(0, 2)
                    .mapToObj(i -> side(
                            () -> {
                                try {
                                    if (lost) {
                                        rig.sendAndLeave(at.get(i), both.get(i));
                                    } else {
                                        checks.modified(
                                                both.get(i),
                                                rig.modify(at.get(i), both.get(i))
                                                        .status());
                                    }
                                } catch (ConnectException e) {
                                    // It starts again just now: what is sent everywhere decides.
                                    return;
                                }
                            },
                            failed))
                    .toList();
            for (Thread operator : operators) {
                operator.join();
            }
            rig.relay().join();
            assertThat(failed).isEmpty();
            Map<String, Set<Integer>> told = new TreeMap<>();
            for (String order : both) {
                Set<Integer> its = told.computeIfAbsent(order, o -> new TreeSet<>());
                for (String harbour : HARBOURS) {
                    rig.await(harbour + " answers " + order, () -> {
                        int status = rig.modify(harbour, order).status();
                        checks.modified(order, status);
                        return status == 200 ? its.add(200) || true : status == 409 && (its.add(409) || true);
                    });
                }
                assertThat(its).as("%s", order).hasSize(1);
                (its.contains(200) ? winners : losers).add(order);
            }
            assertThat(winners).hasSize(n);
            assertThat(losers).hasSize(n);
            if (n == 2) {
                rig.kill("h1");
                rig.restart("h1");
            } else if (n == ROUNDS - 1) {
                rig.wipe("h2");
            }
        }
        for (String order : winners) {
            for (String harbour : HARBOURS) {
                rig.await(harbour + " acknowledges again " + order, () -> {
                    int status = rig.modify(harbour, order).status();
                    checks.again(order, status);
                    return status == 200 || checks.breach() != null;
                });
            }
        }
        allRead();
    }

    @Test
    void anotherDiskIsLostAsSoonAsTheFirstCounts() throws Exception {
        begin(List.of(), 3);
        for (String wiped : FULL ? List.of("h1", "h2", "h3", "h1") : List.of("h1", "h2")) {
            rig.wipe(wiped);
            List<String> others =
                    HARBOURS.stream().filter(h -> !h.equals(wiped)).toList();
            othersGoOn(others, wiped);
        }
        allRead();
        for (String harbour : HARBOURS) {
            rig.order(harbour, OperatorChecks.order("t9", "k9", versions.incrementAndGet()));
        }
        allRead();
    }

    /** Who was replaced counts no more once its successor has had its time. */
    @Test
    @EnabledIfSystemProperty(named = "harbour.full", matches = "true")
    void anotherMachineIsLostAsSoonAsASuccessorCounts() throws Exception {
        begin(List.of(), 3);
        assertThat(operate(HARBOURS, in(1))).isPositive();
        rig.kill("h1");
        rig.replacement();
        List<String> left = List.of("h2", "h3", MeshFixture.SPARE);
        if (REPLACED) {
            assertThat(operate(List.of("h2", "h3"), in(SYNC_SECONDS))).isPositive();
            rig.kill("h2");
            left = List.of("h3", MeshFixture.SPARE);
        } else {
            othersGoOn(List.of("h2", "h3"), MeshFixture.SPARE);
        }
        for (String harbour : left) {
            rig.order(harbour, OperatorChecks.order("t9", "k9", versions.incrementAndGet()));
        }
        for (String harbour : left) {
            rig.await(harbour + " reads", () -> read(harbour));
        }
        assertThat(checks.breach()).as("%s", checks).isNull();
    }

    /** Until a harbour with an empty disk has had its time, and answers. */
    private void othersGoOn(List<String> others, String fresh) throws InterruptedException {
        long since = System.nanoTime();
        assertThat(operate(others, in(SYNC_SECONDS)))
                .as(() -> "acknowledged by " + others + rig.said())
                .isPositive();
        rig.await(fresh + " reads", () -> read(fresh));
        System.out.println(
                fresh + " began with an empty disk and reads after " + (System.nanoTime() - since) / 1_000_000 + " ms");
    }

    @Test
    void whoMissedManyChangesLeadsWithTheNewest() throws Exception {
        begin(List.of(), 3);
        rig.freeze("h3");
        manyChanges();
        long thawed = System.nanoTime();
        rig.signal("h3", "-CONT");
        caughtUp("stopped", thawed, "h1");

        if (FULL) {
            rig.kill("h3");
            manyChanges();
            thawed = System.nanoTime();
            rig.restart("h3");
            caughtUp("ended", thawed, "h2");
        }
        rig.kill("h3");
        manyChanges();
        thawed = System.nanoTime();
        rig.wipe("h3");
        caughtUp("wiped", thawed, "h1");
    }

    private void manyChanges() throws InterruptedException {
        int target = CHANGES;
        AtomicInteger taken = new AtomicInteger();
        Queue<Throwable> failed = new ConcurrentLinkedQueue<>();
        List<Thread> operators = IntStream.range(0, 8)
                .mapToObj(i -> side(
                        () -> {
                            while (taken.get() < target) {
                                String order = OperatorChecks.order("t" + i, "k" + i, versions.incrementAndGet());
                                int status = rig.modify(i % 2 == 0 ? "h1" : "h2", order)
                                        .status();
                                checks.modified(order, status);
                                taken.addAndGet(status == 200 ? 1 : 0);
                            }
                        },
                        failed))
                .toList();
        for (Thread operator : operators) {
            operator.join();
        }
        assertThat(failed).isEmpty();
    }

    /** Once it is up to date another one ends, so that nothing is agreed without it. */
    private void caughtUp(String what, long since, String ends) throws Exception {
        Map<String, Long> newest = checks.floor();
        rig.await("h3 reads", () -> read("h3"));
        long millis = (System.nanoTime() - since) / 1_000_000;
        System.out.println("h3 was " + what + " through " + CHANGES + " changes: up to date after " + millis + " ms");
        assertThat(millis).isLessThan(CAUGHT_UP_MILLIS);
        rig.kill(ends);
        rig.order("h3", OperatorChecks.order("t0", "k0", versions.incrementAndGet()));
        rig.await("h3 reads", () -> {
            RawHttpClient.Message answer = rig.firstAnswer("h3");
            if (answer.status() == 200) {
                checks.read(newest, answer.body());
            }
            return answer.status() == 200;
        });
        rig.restart(ends);
        allRead();
    }

    @Test
    void aCallThatMayNotBeRepeatedRunsOnce() throws Exception {
        begin(List.of("gate", "orders", "orders", "orders", "orders", "orders"), 1);
        List<ApplicationStubs> servers =
                IntStream.rangeClosed(2, 6).mapToObj(i -> rig.ship("p" + i)).toList();
        servers.forEach(server -> server.takes(150));
        Queue<String> ids = new ConcurrentLinkedQueue<>();
        Queue<Throwable> failed = new ConcurrentLinkedQueue<>();
        AtomicInteger served = new AtomicInteger();
        AtomicInteger other = new AtomicInteger();
        long[] until = {Long.MAX_VALUE};
        List<Thread> callers = IntStream.range(0, CALLERS)
                .mapToObj(i -> side(
                        () -> {
                            while (System.nanoTime() - until[0] < 0) {
                                String id = rig.id();
                                ids.add(id);
                                try {
                                    RawHttpClient.Message answer = rig.request("p1", "old.mesh", "/", null, id);
                                    if (answer.status() == 200) {
                                        assertThat(answer.body()).isEqualTo("ran of " + id);
                                        assertThat(answer.headers()).containsEntry(ApplicationStubs.ID, id);
                                        assertThat(runs(servers, id)).isEqualTo(1);
                                        served.incrementAndGet();
                                    } else {
                                        other.incrementAndGet();
                                    }
                                } catch (IOException e) {
                                    other.incrementAndGet();
                                }
                            }
                        },
                        failed))
                .toList();
        for (ApplicationStubs server : servers) {
            rig.await(server.instance() + " serves", () -> server.runs() > 5);
        }
        ConnectionRelay relay = rig.relay();
        relay.set("p1", "p2", Way.HOLD);
        relay.set("p3", "p1", Way.HOLD);
        relay.cut("p1", List.of("p4"), Way.LOSE, Way.LOSE);
        rig.freeze("p5");
        resets(relay, in(SILENCE_SECONDS));
        relay.join();
        rig.signal("p5", "-CONT");
        int before = served.get();
        rig.await("calls are served again", () -> served.get() > before + 20);
        if (FULL) {
            rig.freeze("p1");
            long silent = in(SILENCE_SECONDS);
            rig.await("each time-out has passed", () -> System.nanoTime() >= silent);
            rig.signal("p1", "-CONT");
            int again = served.get();
            rig.await("calls are served again", () -> served.get() > again + 20);
        }
        until[0] = System.nanoTime();
        for (Thread caller : callers) {
            caller.join();
        }
        System.out.println(served + " calls served, " + other + " not, " + relay.resets + " resets");
        assertThat(failed).isEmpty();
        assertThat(other.get()).as("calls that the faults have met").isPositive();
        assertThat(ids).allSatisfy(id -> assertThat(runs(servers, id)).isLessThanOrEqualTo(1));
    }

    /** Resets the lines to one pilot again and again, each time after some of its server's runs. */
    private void resets(ConnectionRelay relay, long until) throws InterruptedException {
        ApplicationStubs server = rig.ship("p6");
        while (System.nanoTime() < until) {
            int runs = server.runs();
            relay.cut("p1", List.of("p6"), Way.RESET, Way.RESET);
            relay.cut("p1", List.of("p6"), Way.PASS, Way.PASS);
            rig.await(
                    "p6 serves again, or all callers wait for others",
                    () -> server.runs() > runs + 3 || System.nanoTime() >= until);
        }
    }

    private static int runs(List<ApplicationStubs> servers, String id) {
        return servers.stream().mapToInt(server -> server.runs(id)).sum();
    }
}
