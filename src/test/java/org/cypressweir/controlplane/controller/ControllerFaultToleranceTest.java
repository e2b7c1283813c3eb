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
import java.util.TreeSet;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.IntStream;
import org.cypressweir.testkit.ApplicationStubs;
import org.cypressweir.testkit.ConnectionRelay;
import org.cypressweir.testkit.ConnectionRelay.LinkMode;
import org.cypressweir.testkit.MeshFixture;
import org.cypressweir.testkit.OperatorChecks;
import org.cypressweir.testkit.RawHttpClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.condition.EnabledIfSystemProperty;
import org.junit.jupiter.api.io.TempDir;

/**
 * Scripted faults that the control plane must tolerate, with processes and network partitions between them;
 * -Dharbour.full=true runs them in full length.
 */
@Timeout(600)
class ControllerFaultToleranceTest {

    private static final boolean FULL = Boolean.getBoolean("harbour.full");
    /** Whether changes are retried after many newer ones. */
    private static final boolean RETRIES_OLD_CHANGES = !"false".equals(System.getProperty("harbour.repeats"));
    /** Whether a proxy that starts waits for a configuration that a majority has confirmed. */
    private static final boolean WAITS_FOR_CONFIRMATION = Boolean.getBoolean("harbour.confirmed");
    /** Whether a spare controller that has caught up becomes a voter in place of the failed one. */
    private static final boolean SUCCESSOR_BECOMES_VOTER = Boolean.getBoolean("harbour.replaced");

    private static final int PARTITION_SECONDS = FULL ? 20 : 3;
    /** Longer than every time-out of the connections. */
    private static final int OUTAGE_SECONDS = FULL ? 10 : 5;

    private static final int CATCH_UP_SECONDS = 4;
    private static final int CHANGE_COUNT = FULL ? 1_000 : 60;
    private static final int CONFLICT_COUNT = RETRIES_OLD_CHANGES ? 40 : 6;
    /** Maximum time until a controller that was down is up to date, including its start. */
    private static final int MAX_CATCH_UP_MILLIS = 5_000;

    private static final int CLIENT_COUNT = 24;
    private static final List<String> CONTROLLERS = List.of("h1", "h2", "h3");

    @TempDir
    private Path folder;

    private MeshFixture mesh;
    private final OperatorChecks checks = new OperatorChecks();
    private final AtomicLong versions = new AtomicLong();

    private void start(List<String> services, int controllerCount) throws Exception {
        mesh = MeshFixture.withPartitions(folder, controllerCount, services);
        mesh.modifyUntilAcknowledged("h1", initialConfiguration("old.mesh", 1));
        mesh.markInitialized();
        for (int i = 1; i <= services.size(); i++) {
            mesh.awaitReady("p" + i);
        }
    }

    @AfterEach
    void stop() throws IOException {
        if (mesh != null) {
            mesh.close();
        }
    }

    private static String initialConfiguration(String host, int version) {
        return "{'upsert':{'serviceTable':{'orders':{'healthPath':'/health','maxConnections':64,"
                + "'configVersion':'r1'}},'routeTable':{'one':{'hostname':'" + host + "','pathPrefix':'/',"
                + "'routeType':'non_idempotent','timeout':'9s','targetLatency':'3s','priority':1,"
                + "'service':'orders','maxAttempts':3,'publicAccess':true,'configVersion':'r" + version
                + "'}}}}";
    }

    private static long deadlineIn(int seconds) {
        return System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
    }

    private static Thread startInBackground(Step step, Queue<Throwable> failures) {
        Thread thread = new Thread(
                () -> {
                    try {
                        step.run();
                    } catch (Exception | AssertionError e) {
                        failures.add(e);
                    }
                },
                "background");
        thread.start();
        return thread;
    }

    private interface Step {
        void run() throws Exception;
    }

    /** Sends changes and reads to the controllers in turn until the deadline; returns how many changes succeeded. */
    private int sendChangesAndReads(List<String> controllers, long deadline) {
        int acknowledged = 0;
        for (int n = 0; System.nanoTime() < deadline; n++) {
            String controller = controllers.get(n % controllers.size());
            try {
                String change = OperatorChecks.tenantChange("t" + n % 5, "k" + n % 5, versions.incrementAndGet());
                int status = mesh.modify(controller, change).status();
                checks.modified(change, status);
                acknowledged += status == 200 ? 1 : 0;
                read(controller);
            } catch (IOException e) {
                // This controller is unreachable; the next one may not be.
            }
        }
        return acknowledged;
    }

    private boolean read(String controller) throws IOException {
        Map<String, Long> floor = checks.floor();
        RawHttpClient.Message answer = mesh.readWithoutRedirect(controller);
        if (answer.status() == 200) {
            checks.read(floor, answer.body());
        }
        return answer.status() == 200;
    }

    private void awaitAllRead() throws InterruptedException {
        for (String controller : CONTROLLERS) {
            mesh.await(controller + " reads", () -> read(controller));
        }
        assertThat(checks.violation()).as("%s", checks).isNull();
    }

    @Test
    void oneControllerIsPartitioned() throws Exception {
        start(List.of("orders", "orders"), 3);
        for (LinkMode mode : FULL
                ? List.of(LinkMode.HOLD, LinkMode.LOSE, LinkMode.RESET, LinkMode.REFUSE)
                : List.of(LinkMode.HOLD)) {
            int route = mode.ordinal() * 2;
            partitionFirstController(mode, route);
            checkDuringPartition(mode);
            mesh.relay().heal();
            awaitHealed(route);
        }
    }

    /** Partitions h1 so that only p2, which restarts, reaches it; the others commit a change of the route meanwhile. */
    private void partitionFirstController(LinkMode mode, int route) throws Exception {
        ConnectionRelay relay = mesh.relay();
        mesh.kill("p2");
        relay.partition("h1", List.of("h2", "h3", "p1"), mode, mode);
        relay.partition("p2", List.of("h2", "h3"), mode, mode);
        mesh.modifyUntilAcknowledged("h2", initialConfiguration("new.mesh", route));
        mesh.restart("p2");
    }

    private void checkDuringPartition(LinkMode mode) throws InterruptedException {
        long deadline = deadlineIn(PARTITION_SECONDS);
        Queue<Throwable> failures = new ConcurrentLinkedQueue<>();
        AtomicInteger acknowledgedInMinority = new AtomicInteger();
        AtomicInteger acknowledgedByMajority = new AtomicInteger();
        AtomicInteger servedByOldRoute = new AtomicInteger();
        List<Thread> threads = List.of(
                startInBackground(
                        () -> acknowledgedInMinority.set(sendChangesAndReads(List.of("h1"), deadline)), failures),
                startInBackground(
                        () -> acknowledgedByMajority.set(sendChangesAndReads(List.of("h2", "h3"), deadline)), failures),
                startInBackground(() -> servedByOldRoute.set(countServedByOldRoute("p2", deadline)), failures));
        mesh.await(
                "the change is at p1",
                () -> mesh.request("p1", "new.mesh", "/", null).status() == 200);
        for (Thread thread : threads) {
            thread.join();
        }
        assertThat(failures).isEmpty();
        assertThat(acknowledgedInMinority)
                .as("changes acknowledged by the partitioned controller")
                .hasValue(0);
        assertThat(acknowledgedByMajority.get())
                .as("changes acknowledged by the others")
                .isPositive();
        if (WAITS_FOR_CONFIRMATION) {
            assertThat(servedByOldRoute)
                    .as("served by a proxy that has reached only the partitioned controller")
                    .hasValue(0);
        }
        System.out.println(mode + ": " + acknowledgedByMajority + " acknowledged, " + servedByOldRoute
                + " requests served by the old configuration at the proxy that reaches only the partitioned "
                + "controller");
    }

    private void awaitHealed(int route) throws Exception {
        awaitAllRead();
        mesh.await(
                "the change is at p2",
                () -> mesh.request("p2", "new.mesh", "/", null).status() == 200);
        assertThat(mesh.request("p2", "old.mesh", "/", null).status()).isEqualTo(404);
        mesh.modifyUntilAcknowledged("h1", initialConfiguration("old.mesh", route + 1));
        mesh.await(
                "p1 and p2 follow",
                () -> mesh.request("p1", "old.mesh", "/", null).status() == 200
                        && mesh.request("p2", "old.mesh", "/", null).status() == 200);
    }

    private int countServedByOldRoute(String proxy, long deadline) {
        int served = 0;
        while (System.nanoTime() < deadline) {
            try {
                served += mesh.request(proxy, "old.mesh", "/", null).status() == 200 ? 1 : 0;
            } catch (IOException e) {
                // It has not started yet.
                Thread.onSpinWait();
            }
        }
        return served;
    }

    @Test
    void twoOperatorsUseTheSameVersion() throws Exception {
        start(List.of(), 3);
        List<String> winners = new ArrayList<>();
        List<String> losers = new ArrayList<>();
        for (int n = 1; n <= CONFLICT_COUNT; n++) {
            List<String> changes =
                    List.of(OperatorChecks.tenantChange("t", "a" + n, n), OperatorChecks.tenantChange("t", "b" + n, n));
            sendBothAtOnce(n, changes);
            for (String change : changes) {
                (isCommitted(change) ? winners : losers).add(change);
            }
            assertThat(winners).hasSize(n);
            assertThat(losers).hasSize(n);
            if (n == 2) {
                mesh.kill("h1");
                mesh.restart("h1");
            } else if (n == CONFLICT_COUNT - 1) {
                mesh.restartWithEmptyDisk("h2");
            }
        }
        for (String change : winners) {
            awaitAcknowledgedAgain(change);
        }
        awaitAllRead();
    }

    /** Sends the changes to two controllers: every third time partitioned, every second time the answers are lost. */
    private void sendBothAtOnce(int n, List<String> changes) throws InterruptedException {
        List<String> targets = List.of(CONTROLLERS.get(n % 3), CONTROLLERS.get((n + 1) % 3));
        if (n % 3 == 0) {
            mesh.relay().partition(targets.get(0), List.of(targets.get(1)), LinkMode.RESET, LinkMode.RESET);
        }
        Queue<Throwable> failures = new ConcurrentLinkedQueue<>();
        boolean answerLost = n % 2 == 0;
        List<Thread> operators = IntStream.range(0, 2)
                .mapToObj(i -> startInBackground(() -> send(targets.get(i), changes.get(i), answerLost), failures))
                .toList();
        for (Thread operator : operators) {
            operator.join();
        }
        mesh.relay().heal();
        assertThat(failures).isEmpty();
    }

    private void send(String controller, String change, boolean answerLost) throws IOException {
        try {
            if (answerLost) {
                mesh.modifyWithoutResponse(controller, change);
            } else {
                checks.modified(change, mesh.modify(controller, change).status());
            }
        } catch (ConnectException e) {
            // The controller is restarting; the outcome is decided by the later retries at all controllers.
            return;
        }
    }

    /** Retries the change at each controller until it is accepted or rejected; all controllers must answer alike. */
    private boolean isCommitted(String change) throws InterruptedException {
        Set<Integer> statuses = new TreeSet<>();
        for (String controller : CONTROLLERS) {
            mesh.await(controller + " answers " + change, () -> {
                int status = mesh.modify(controller, change).status();
                checks.modified(change, status);
                boolean decided = status == 200 || status == 409;
                if (decided) {
                    statuses.add(status);
                }
                return decided;
            });
        }
        assertThat(statuses).as("%s", change).hasSize(1);
        return statuses.contains(200);
    }

    private void awaitAcknowledgedAgain(String change) throws InterruptedException {
        for (String controller : CONTROLLERS) {
            mesh.await(controller + " acknowledges again " + change, () -> {
                int status = mesh.modify(controller, change).status();
                checks.modifiedAgain(change, status);
                return status == 200 || checks.violation() != null;
            });
        }
    }

    @Test
    void aSecondDiskIsLostAsSoonAsTheFirstHasCaughtUp() throws Exception {
        start(List.of(), 3);
        for (String wiped : FULL ? List.of("h1", "h2", "h3", "h1") : List.of("h1", "h2")) {
            mesh.restartWithEmptyDisk(wiped);
            List<String> others =
                    CONTROLLERS.stream().filter(h -> !h.equals(wiped)).toList();
            othersContinueWhileCatchingUp(others, wiped);
        }
        awaitAllRead();
        for (String controller : CONTROLLERS) {
            mesh.modifyUntilAcknowledged(
                    controller, OperatorChecks.tenantChange("t9", "k9", versions.incrementAndGet()));
        }
        awaitAllRead();
    }

    /** Once a spare controller has caught up, the one that it replaces must not be needed for a majority. */
    @Test
    @EnabledIfSystemProperty(named = "harbour.full", matches = "true")
    void aSecondMachineIsLostAsSoonAsASuccessorHasCaughtUp() throws Exception {
        start(List.of(), 3);
        assertThat(sendChangesAndReads(CONTROLLERS, deadlineIn(1))).isPositive();
        mesh.kill("h1");
        mesh.startSpare();
        List<String> remaining = List.of("h2", "h3", MeshFixture.SPARE);
        if (SUCCESSOR_BECOMES_VOTER) {
            assertThat(sendChangesAndReads(List.of("h2", "h3"), deadlineIn(CATCH_UP_SECONDS)))
                    .isPositive();
            mesh.kill("h2");
            remaining = List.of("h3", MeshFixture.SPARE);
        } else {
            othersContinueWhileCatchingUp(List.of("h2", "h3"), MeshFixture.SPARE);
        }
        for (String controller : remaining) {
            mesh.modifyUntilAcknowledged(
                    controller, OperatorChecks.tenantChange("t9", "k9", versions.incrementAndGet()));
        }
        for (String controller : remaining) {
            mesh.await(controller + " reads", () -> read(controller));
        }
        assertThat(checks.violation()).as("%s", checks).isNull();
    }

    /** The others must acknowledge changes while a controller with an empty disk catches up, until it answers reads. */
    private void othersContinueWhileCatchingUp(List<String> others, String restarted) throws InterruptedException {
        long startNanos = System.nanoTime();
        assertThat(sendChangesAndReads(others, deadlineIn(CATCH_UP_SECONDS)))
                .as(() -> "acknowledged by " + others + mesh.allLogs())
                .isPositive();
        mesh.await(restarted + " reads", () -> read(restarted));
        System.out.println(restarted + " started with an empty disk and answers reads after "
                + (System.nanoTime() - startNanos) / 1_000_000 + " ms");
    }

    @Test
    void aControllerThatMissedManyChangesCatchesUp() throws Exception {
        start(List.of(), 3);
        mesh.suspend("h3");
        commitManyChanges();
        long resumedNanos = System.nanoTime();
        mesh.signal("h3", "-CONT");
        awaitCaughtUp("stopped", resumedNanos, "h1");

        if (FULL) {
            mesh.kill("h3");
            commitManyChanges();
            resumedNanos = System.nanoTime();
            mesh.restart("h3");
            awaitCaughtUp("ended", resumedNanos, "h2");
        }
        mesh.kill("h3");
        commitManyChanges();
        resumedNanos = System.nanoTime();
        mesh.restartWithEmptyDisk("h3");
        awaitCaughtUp("wiped", resumedNanos, "h1");
    }

    private void commitManyChanges() throws InterruptedException {
        int target = CHANGE_COUNT;
        AtomicInteger acknowledged = new AtomicInteger();
        Queue<Throwable> failures = new ConcurrentLinkedQueue<>();
        List<Thread> operators = IntStream.range(0, 8)
                .mapToObj(i -> startInBackground(
                        () -> {
                            while (acknowledged.get() < target) {
                                String change =
                                        OperatorChecks.tenantChange("t" + i, "k" + i, versions.incrementAndGet());
                                int status = mesh.modify(i % 2 == 0 ? "h1" : "h2", change)
                                        .status();
                                checks.modified(change, status);
                                acknowledged.addAndGet(status == 200 ? 1 : 0);
                            }
                        },
                        failures))
                .toList();
        for (Thread operator : operators) {
            operator.join();
        }
        assertThat(failures).isEmpty();
    }

    /** Waits until h3 is up to date, then kills another controller, so that h3 is needed for a majority. */
    private void awaitCaughtUp(String fault, long startNanos, String killed) throws Exception {
        Map<String, Long> newest = checks.floor();
        mesh.await("h3 reads", () -> read("h3"));
        long millis = (System.nanoTime() - startNanos) / 1_000_000;
        System.out.println(
                "h3 was " + fault + " through " + CHANGE_COUNT + " changes: up to date after " + millis + " ms");
        assertThat(millis).isLessThan(MAX_CATCH_UP_MILLIS);
        mesh.kill(killed);
        mesh.modifyUntilAcknowledged("h3", OperatorChecks.tenantChange("t0", "k0", versions.incrementAndGet()));
        mesh.await("h3 reads", () -> {
            RawHttpClient.Message answer = mesh.readWithoutRedirect("h3");
            if (answer.status() == 200) {
                checks.read(newest, answer.body());
            }
            return answer.status() == 200;
        });
        mesh.restart(killed);
        awaitAllRead();
    }

    @Test
    void aRequestThatIsNotIdempotentRunsOnce() throws Exception {
        start(List.of("gate", "orders", "orders", "orders", "orders", "orders"), 1);
        List<ApplicationStubs> applications = IntStream.rangeClosed(2, 6)
                .mapToObj(i -> mesh.application("p" + i))
                .toList();
        applications.forEach(application -> application.setResponseDelayMillis(150));
        RequestLog log = new RequestLog();
        List<Thread> clients = IntStream.range(0, CLIENT_COUNT)
                .mapToObj(i -> startInBackground(() -> sendRequests(applications, log), log.failures))
                .toList();
        for (ApplicationStubs application : applications) {
            mesh.await(application.instance() + " serves", () -> application.runs() > 5);
        }
        injectFaultsBetweenProxies(log);
        if (FULL) {
            mesh.suspend("p1");
            long outageEnd = deadlineIn(OUTAGE_SECONDS);
            mesh.await("each time-out has passed", () -> System.nanoTime() >= outageEnd);
            mesh.signal("p1", "-CONT");
            awaitServedAgain(log);
        }
        log.stopped = true;
        for (Thread client : clients) {
            client.join();
        }
        System.out.println(
                log.served + " requests served, " + log.failed + " failed, " + mesh.relay().resets + " resets");
        assertThat(log.failures).isEmpty();
        assertThat(log.failed.get()).as("requests hit by a fault").isPositive();
        assertThat(log.ids).allSatisfy(id -> assertThat(runs(applications, id)).isLessThanOrEqualTo(1));
    }

    /** Counts the outcomes of the requests of all clients. */
    private static final class RequestLog {
        private final Queue<String> ids = new ConcurrentLinkedQueue<>();
        private final Queue<Throwable> failures = new ConcurrentLinkedQueue<>();
        private final AtomicInteger served = new AtomicInteger();
        private final AtomicInteger failed = new AtomicInteger();
        private volatile boolean stopped;
    }

    /** Runs a client that sends one request after another until it is stopped. */
    private void sendRequests(List<ApplicationStubs> applications, RequestLog log) {
        while (!log.stopped) {
            String id = mesh.nextRequestId();
            log.ids.add(id);
            try {
                RawHttpClient.Message answer = mesh.request("p1", "old.mesh", "/", null, id);
                if (answer.status() == 200) {
                    assertThat(answer.body()).isEqualTo("ran of " + id);
                    assertThat(answer.headers()).containsEntry(ApplicationStubs.ID, id);
                    assertThat(runs(applications, id)).isEqualTo(1);
                    log.served.incrementAndGet();
                } else {
                    log.failed.incrementAndGet();
                }
            } catch (IOException e) {
                log.failed.incrementAndGet();
            }
        }
    }

    private void injectFaultsBetweenProxies(RequestLog log) throws Exception {
        ConnectionRelay relay = mesh.relay();
        relay.set("p1", "p2", LinkMode.HOLD);
        relay.set("p3", "p1", LinkMode.HOLD);
        relay.partition("p1", List.of("p4"), LinkMode.LOSE, LinkMode.LOSE);
        mesh.suspend("p5");
        resetRepeatedly(relay, deadlineIn(OUTAGE_SECONDS));
        relay.heal();
        mesh.signal("p5", "-CONT");
        awaitServedAgain(log);
    }

    private void awaitServedAgain(RequestLog log) throws InterruptedException {
        int before = log.served.get();
        mesh.await("calls are served again", () -> log.served.get() > before + 20);
    }

    /** Resets the connections to one proxy repeatedly, each time after some runs of its application. */
    private void resetRepeatedly(ConnectionRelay relay, long deadline) throws InterruptedException {
        ApplicationStubs application = mesh.application("p6");
        while (System.nanoTime() < deadline) {
            int runs = application.runs();
            relay.partition("p1", List.of("p6"), LinkMode.RESET, LinkMode.RESET);
            relay.partition("p1", List.of("p6"), LinkMode.PASS, LinkMode.PASS);
            mesh.await(
                    "p6 serves again, or all clients wait for responses of other proxies",
                    () -> application.runs() > runs + 3 || System.nanoTime() >= deadline);
        }
    }

    private static int runs(List<ApplicationStubs> applications, String id) {
        return applications.stream()
                .mapToInt(application -> application.runs(id))
                .sum();
    }
}
