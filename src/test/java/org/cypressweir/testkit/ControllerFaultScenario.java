package org.cypressweir.testkit;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.IntStream;

/**
 * A random fault scenario over controllers and two proxies as processes, with operators that submit changes and read
 * the configuration, and clients whose requests are not idempotent. In each fault a controller is killed or suspended,
 * its data directory is emptied while it runs or after it was killed, or all controllers are killed at once. Every
 * other fault is a partition of one process, in one direction or both, sometimes with a further fault as it heals. The
 * next fault waits for a number of answered calls, and a disk is lost only while all controllers are healthy.
 */
public final class ControllerFaultScenario implements AutoCloseable {

    private static final int OPERATORS = 4;
    private static final int CALL_TIMEOUT_MILLIS = 2_500;
    private static final int MAX_CALLS_BETWEEN_FAULTS = 24;
    private static final int CLIENTS = 2;
    private static final List<String> PROXIES = List.of("p1", "p2");
    private static final String INITIAL_CONFIGURATION = "{'upsert':{'serviceTable':{'orders':{'healthPath':'/health',"
            + "'maxConnections':32,'configVersion':'r1'}},'routeTable':{'first':" + route("day.mesh") + "}}}";
    private static final int MAX_PARTITION_MILLIS = Integer.getInteger("harbour.cut", 2_000);
    /** Whether acknowledged changes are submitted again later. */
    private static final boolean REPEATS = !"false".equals(System.getProperty("harbour.repeats"));

    private final SplittableRandom random;
    private final MeshFixture mesh;
    private final List<String> controllers;
    private final OperatorChecks checks = new OperatorChecks();
    private final AtomicInteger answeredCalls = new AtomicInteger();
    private final AtomicLong versions = new AtomicLong();
    private final List<Thread> callers = new ArrayList<>();
    private final List<String> faults = new ArrayList<>();
    private final Queue<String> requestIds = new ConcurrentLinkedQueue<>();
    private final AtomicInteger servedRequests = new AtomicInteger();
    private volatile String requestViolation;
    private volatile String lastAcknowledging = "h1";
    private volatile boolean stopped;

    public ControllerFaultScenario(Path folder, int count, long seed) throws IOException, InterruptedException {
        random = new SplittableRandom(seed);
        controllers = IntStream.rangeClosed(1, count).mapToObj(i -> "h" + i).toList();
        mesh = MeshFixture.withPartitions(
                folder, count, PROXIES.stream().map(p -> "orders").toList());
        try {
            mesh.modifyUntilAcknowledged("h1", INITIAL_CONFIGURATION);
            mesh.modifyUntilAcknowledged("h1", OperatorChecks.tenantChange("t0", "k00", 1));
            mesh.markInitialized();
            for (String proxy : PROXIES) {
                mesh.awaitReady(proxy);
            }
            mesh.setCallTimeoutMillis(CALL_TIMEOUT_MILLIS);
        } catch (InterruptedException | AssertionError e) {
            mesh.close();
            throw e;
        }
    }

    private static String route(String host) {
        return "{'hostname':'" + host + "','pathPrefix':'/','routeType':'non_idempotent','timeout':'2s',"
                + "'targetLatency':'1s','priority':1,'service':'orders','maxAttempts':3,"
                + "'publicAccess':true,'configVersion':'r1'}";
    }

    /** Runs with this number of faults, every other one a partition; returns the first violation, or null. */
    public String run(int faultCount) throws IOException, InterruptedException {
        startCallers();
        for (int i = 0; i < faultCount && violation() == null; i++) {
            awaitSomeCalls();
            String controller = controllers.get(random.nextInt(controllers.size()));
            if (i % 2 == 0) {
                fault(controller);
            } else {
                partition(controller);
            }
        }
        awaitSomeCalls();
        stopped = true;
        for (Thread caller : callers) {
            caller.join();
        }
        awaitAllHealthy();
        awaitAllRead();
        awaitLastChange();
        for (String id : requestIds) {
            countRuns(id);
        }
        return violation();
    }

    private void startCallers() {
        for (int i = 0; i < OPERATORS + CLIENTS; i++) {
            SplittableRandom callerRandom = random.split();
            Thread thread = new Thread(
                    i < OPERATORS ? () -> operate(callerRandom) : () -> request(callerRandom), "caller-" + i);
            thread.setDaemon(true);
            callers.add(thread);
            thread.start();
        }
    }

    private void awaitAllRead() throws InterruptedException {
        for (String controller : controllers) {
            Map<String, Long> floor = checks.floor();
            mesh.await(controller + " reads", () -> {
                RawHttpClient.Message response = mesh.read(controller);
                if (response.status() == 200) {
                    checks.read(floor, response.body());
                }
                return response.status() == 200;
            });
        }
    }

    private void awaitLastChange() throws InterruptedException {
        mesh.modifyUntilAcknowledged(
                controllers.get(0), "{'upsert':{'routeTable':{'last':" + route("last.mesh") + "}}}");
        for (String proxy : PROXIES) {
            mesh.await(
                    proxy + " has the last change",
                    () -> mesh.request(proxy, "last.mesh", "/", null).status() == 200);
        }
    }

    private String violation() {
        return requestViolation == null ? checks.violation() : requestViolation;
    }

    /** Returns how often the request was executed; records a violation if that is more than once. */
    private int countRuns(String id) {
        int runs = PROXIES.stream()
                .mapToInt(proxy -> mesh.application(proxy).runs(id))
                .sum();
        if (runs > 1) {
            requestViolation = "request " + id + " was executed " + runs + " times";
        }
        return runs;
    }

    /** Sends requests that are not idempotent, and checks that each response belongs to its request. */
    private void request(SplittableRandom callerRandom) {
        while (!stopped) {
            String id = mesh.nextRequestId();
            requestIds.add(id);
            try {
                RawHttpClient.Message response =
                        mesh.request(PROXIES.get(callerRandom.nextInt(PROXIES.size())), "day.mesh", "/", null, id);
                if (response.status() == 200) {
                    servedRequests.incrementAndGet();
                    if (countRuns(id) != 1 || !response.body().equals("ran of " + id)) {
                        requestViolation = id + " is answered: " + response;
                    }
                }
            } catch (IOException e) {
                // No response: the request may have been executed, once at most.
            }
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(5));
        }
    }

    /** Makes one or two partitions in a row, sometimes followed by another fault as the last one heals. */
    private void partition(String controller) throws IOException, InterruptedException {
        ConnectionRelay relay = mesh.relay();
        String partitioned = controller;
        for (int i = random.nextInt(2); i >= 0; i--) {
            List<String> others = new ArrayList<>(controllers);
            int choice = random.nextInt(6);
            if (choice == 0) {
                partitioned = PROXIES.get(random.nextInt(PROXIES.size()));
            } else if (choice < 3) {
                partitioned = lastAcknowledging;
            }
            if (random.nextBoolean()) {
                others.addAll(PROXIES);
            }
            ConnectionRelay.LinkMode mode = ConnectionRelay.LinkMode.values()[1 + random.nextInt(4)];
            int direction = random.nextInt(3);
            int millis = random.nextInt(4) > 0 ? 0 : MAX_PARTITION_MILLIS / (1 + 3 * random.nextInt(2));
            faults.add("partition " + partitioned + " " + mode + " " + "<>=".charAt(direction) + " " + others.size()
                    + " " + millis);
            relay.partition(
                    partitioned,
                    others,
                    direction == 0 ? ConnectionRelay.LinkMode.PASS : mode,
                    direction == 1 ? ConnectionRelay.LinkMode.PASS : mode);
            long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
            do {
                awaitSomeCalls();
            } while (System.nanoTime() < until);
            if (random.nextInt(4) == 0) {
                faults.add("killed");
                mesh.kill(partitioned);
                awaitSomeCalls();
                mesh.restart(partitioned);
            }
            relay.heal();
        }
        if (random.nextInt(3) == 0) {
            String exempt = partitioned;
            List<String> rest =
                    controllers.stream().filter(h -> !h.equals(exempt)).toList();
            fault(rest.get(random.nextInt(rest.size())));
        }
    }

    /** Waits for a random number of further answered calls; the time-out applies to each call on its own. */
    private void awaitSomeCalls() throws InterruptedException {
        int target = answeredCalls.get() + 1 + random.nextInt(MAX_CALLS_BETWEEN_FAULTS);
        for (int had = answeredCalls.get(); had < target; had = answeredCalls.get()) {
            int before = had;
            mesh.await("a call is answered", () -> answeredCalls.get() > before);
        }
    }

    private void awaitAllHealthy() throws InterruptedException {
        for (String controller : controllers) {
            mesh.await(controller + " is healthy", () -> {
                return mesh.state(controller).body().contains("\"sick\":false")
                        && mesh.readWithoutRedirect(controller).status() == 200;
            });
        }
    }

    private void fault(String controller) throws IOException, InterruptedException {
        int kind = random.nextInt(6);
        faults.add(kind + controller);
        switch (kind) {
            case 0 -> {
                mesh.kill(controller);
                awaitSomeCalls();
                mesh.restart(controller);
            }
            case 1 -> {
                mesh.signal(controller, "-STOP");
                awaitSomeCalls();
                mesh.signal(controller, "-CONT");
            }
            case 2 -> {
                awaitAllHealthy();
                mesh.emptyDataDirectory(controller);
                awaitSomeCalls();
                mesh.kill(controller);
                mesh.emptyDataDirectory(controller);
                mesh.restart(controller);
                awaitAllHealthy();
            }
            case 3 -> {
                awaitAllHealthy();
                mesh.kill(controller);
                mesh.emptyDataDirectory(controller);
                awaitSomeCalls();
                mesh.restart(controller);
                awaitAllHealthy();
            }
            case 4 -> {
                for (String each : controllers) {
                    mesh.kill(each);
                }
                for (String each : controllers) {
                    mesh.restart(each);
                }
            }
            default -> {
                awaitAllHealthy();
                for (String each : controllers) {
                    mesh.kill(each);
                }
                mesh.emptyDataDirectory(controller);
                for (String each : controllers) {
                    mesh.restart(each);
                }
                awaitAllHealthy();
            }
        }
    }

    /** Makes one operator's calls, one at a time. Operators often submit different contents under the same version. */
    private void operate(SplittableRandom callerRandom) {
        while (!stopped) {
            String controller = controllers.get(callerRandom.nextInt(controllers.size()));
            try {
                if (callerRandom.nextInt(3) == 0) {
                    Map<String, Long> floor = checks.floor();
                    RawHttpClient.Message response = mesh.read(controller);
                    if (response.status() == 200) {
                        checks.read(floor, response.body());
                    }
                } else if (REPEATS && callerRandom.nextInt(4) == 0) {
                    repeat(controller, callerRandom);
                } else {
                    modify(controller, callerRandom);
                }
                answeredCalls.incrementAndGet();
            } catch (IOException e) {
                // No answer; another controller may be reachable. The pause keeps the loop from using up the processor.
                LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(2));
            }
        }
    }

    private void modify(String controller, SplittableRandom callerRandom) throws IOException {
        long version = callerRandom.nextInt(3) == 0 ? Math.max(1, versions.get()) : versions.incrementAndGet();
        int tenant = callerRandom.nextInt(3);
        String change = OperatorChecks.tenantChange("t" + tenant, "k" + tenant + callerRandom.nextInt(1_000), version);
        int status = mesh.modify(controller, change).status();
        checks.modified(change, status);
        if (status == 200) {
            lastAcknowledging = controller;
        }
    }

    private void repeat(String controller, SplittableRandom callerRandom) throws IOException {
        String change = checks.acknowledged(callerRandom.nextInt());
        if (change != null) {
            checks.modifiedAgain(change, mesh.modify(controller, change).status());
        }
    }

    @Override
    public String toString() {
        return checks + ", " + servedRequests + " of " + requestIds.size() + " requests served, " + mesh.relay().resets
                + " resets, faults " + faults;
    }

    @Override
    public void close() throws IOException {
        stopped = true;
        mesh.close();
    }
}
