package org.cypressweir.testkit;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/**
 * A soak test of a mesh of processes: under load, signals, restarts and configuration changes follow each other and
 * overlap. Clients keep using their connections until a process is gone. At the end all that the clients and
 * applications have recorded is checked.
 *
 * <p>A run with planned work only (SIGTERM, SIGHUP, changes, draining applications) must lose no request. A run that
 * also has kills, partitions and suspended processes must execute no request twice that is not idempotent, and must
 * keep rate limits and acknowledged changes.
 */
public final class MeshSoak implements AutoCloseable {

    private static final String HOST = "orders.mesh";
    private static final String SERVICE = "orders";
    private static final int CONTROLLERS = 3;
    private static final int CLIENTS_PER_PROXY = 2;
    private static final double LIMITED_RATE = 20;
    private static final double LIMITED_BURST = 20;
    private static final String LIMITED_KEY = "k-limited";
    private static final String[] KEYS = {"k-free", LIMITED_KEY};
    /** The users count requests in any window of this length. */
    private static final long WINDOW_NANOS = TimeUnit.SECONDS.toNanos(5);

    /** The limit for a window, with 10 percent and 20 requests of tolerance. */
    private static final double MAX_REQUESTS_PER_WINDOW = (LIMITED_RATE * 5 + LIMITED_BURST) * 1.1 + 20;

    private static final long MAX_RESTART_NANOS = TimeUnit.MILLISECONDS.toNanos(600);
    private static final long MIN_STEP_MILLIS = 30;
    private static final long MAX_STEP_MILLIS = 500;
    private static final long MAX_FAULT_NANOS = TimeUnit.SECONDS.toNanos(3);

    /** The scheduled end of a fault, such as healing a partition. */
    private record FaultEnd(long at, Action action) {}

    private interface Action {
        void run() throws IOException, InterruptedException;
    }

    private final MeshFixture fixture;
    private final SplittableRandom random;
    private final boolean plannedOnly;
    private final List<String> proxies = new ArrayList<>();
    private final List<String> controllers = new ArrayList<>();
    private final List<SoakClient> clients = new ArrayList<>();
    private final Map<String, Long> restartAt = new LinkedHashMap<>();
    private final List<FaultEnd> faultEnds = new ArrayList<>();
    private final Map<String, String> suspended = new HashMap<>();
    private final List<String> eventLog = new ArrayList<>();
    private final List<String> unexpectedEnds = new ArrayList<>();
    private final long startedAt = System.nanoTime();
    private int changes;
    private int acknowledgedChange;
    private int incarnations;

    /** @param plannedOnly whether nothing is killed, partitioned or suspended */
    public MeshSoak(Path folder, long seed, int proxyCount, boolean plannedOnly)
            throws IOException, InterruptedException {
        random = new SplittableRandom(seed);
        this.plannedOnly = plannedOnly;
        fixture = MeshFixture.withPartitions(folder, CONTROLLERS, Collections.nCopies(proxyCount, SERVICE));
        for (int i = 1; i <= CONTROLLERS; i++) {
            controllers.add("h" + i);
        }
        for (int i = 1; i <= proxyCount; i++) {
            proxies.add("p" + i);
        }
        fixture.modifyUntilAcknowledged("h1", setup());
        fixture.markInitialized();
        for (String proxy : proxies) {
            fixture.awaitReady(proxy);
        }
    }

    private static String setup() {
        return "{'upsert':{'serviceTable':{'" + SERVICE + "':{'healthPath':'/health','maxConnections':32,"
                + "'configVersion':'r1'}},'routeTable':{'once':" + route("/once/", "non_idempotent", 1) + ",'safe':"
                + route("/safe/", "idempotent", 1) + "},'tenantTable':{'free':{'apiKeys':['k-free'],"
                + "'configVersion':'r1'},'limited':{'apiKeys':['" + LIMITED_KEY + "'],'ratePerS':" + LIMITED_RATE
                + ",'burstSize':" + LIMITED_BURST + ",'configVersion':'r1'}}}}";
    }

    private static String route(String prefix, String type, int version) {
        return "{'hostname':'" + HOST + "','pathPrefix':'" + prefix + "','routeType':'" + type
                + "','timeout':'4s','targetLatency':'3s','priority':1,'service':'" + SERVICE
                + "','maxAttempts':2,'publicAccess':false,'configVersion':'r" + version + "'}";
    }

    /** Runs faults and load for that long; then ends all faults and waits until all processes are ready again. */
    public void run(long seconds) throws IOException, InterruptedException {
        for (String proxy : proxies) {
            for (int i = 0; i < CLIENTS_PER_PROXY; i++) {
                InetSocketAddress outbound = fixture.outboundAddress(proxy);
                clients.add(new SoakClient(proxy + "-" + i, proxy, outbound, HOST, KEYS, random.nextLong()));
            }
        }
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        while (System.nanoTime() < until) {
            step();
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(random.nextLong(MIN_STEP_MILLIS, MAX_STEP_MILLIS)));
            endFaults(System.nanoTime());
            restartEnded(System.nanoTime());
        }
        endFaults(Long.MAX_VALUE);
        fixture.await("all processes run again", this::allRun);
        for (String proxy : proxies) {
            fixture.awaitReady(proxy);
        }
        for (SoakClient client : clients) {
            client.close();
        }
        for (SoakClient client : clients) {
            client.join();
        }
    }

    private boolean allRun() throws IOException {
        restartEnded(Long.MAX_VALUE);
        return proxies.stream().allMatch(fixture::isAlive)
                && controllers.stream().allMatch(fixture::isAlive)
                && restartAt.isEmpty();
    }

    private void logEvent(String what) {
        eventLog.add(String.format("%7.3f s %s", (System.nanoTime() - startedAt) / 1e9, what));
    }

    private String any(List<String> names) {
        return names.get(random.nextInt(names.size()));
    }

    /** Begins one to three operations or faults at the same time. */
    private void step() throws IOException, InterruptedException {
        for (int i = random.nextInt(3); i >= 0; i--) {
            if (plannedOnly || random.nextInt(2) == 0) {
                doPlannedWork();
            } else {
                injectFault();
            }
        }
    }

    private void doPlannedWork() throws IOException, InterruptedException {
        switch (random.nextInt(5)) {
            case 0 -> terminate(any(proxies));
            case 1 -> terminateController(any(controllers));
            case 2 -> reload(random.nextBoolean() ? any(proxies) : any(controllers));
            case 3 -> change();
            default -> replaceApplication(any(proxies));
        }
    }

    private void injectFault() throws IOException, InterruptedException {
        switch (random.nextInt(4)) {
            case 0 -> kill(any(proxies));
            case 1 -> killController(any(controllers));
            case 2 -> partition(any(proxies));
            default -> suspend(any(proxies));
        }
    }

    private boolean isDisturbed(String name) {
        return restartAt.containsKey(name) || suspended.containsKey(name) || !fixture.isAlive(name);
    }

    private void terminate(String name) {
        if (!isDisturbed(name)) {
            logEvent("SIGTERM " + name);
            fixture.terminate(name);
            restartAt.put(name, System.nanoTime() + random.nextLong(MAX_RESTART_NANOS));
        }
    }

    /** Whether a controller may be stopped: at most one of the three is down at a time, so that a quorum remains. */
    private boolean mayLoseController() {
        return controllers.stream().noneMatch(this::isDisturbed);
    }

    private void terminateController(String name) {
        if (mayLoseController()) {
            terminate(name);
        }
    }

    private void kill(String name) throws InterruptedException {
        if (!isDisturbed(name)) {
            logEvent("SIGKILL " + name);
            fixture.kill(name);
            restartAt.put(name, System.nanoTime() + random.nextLong(MAX_RESTART_NANOS));
        }
    }

    private void killController(String name) throws InterruptedException {
        if (mayLoseController()) {
            kill(name);
        }
    }

    private void reload(String name) throws IOException, InterruptedException {
        // Until a Java program has installed its handler, the runtime ends it on SIGHUP.
        if (!isDisturbed(name) && fixture.hasStarted(name)) {
            logEvent("SIGHUP " + name);
            signalIfAlive(name, "-HUP");
        }
    }

    private void signalIfAlive(String name, String signal) throws IOException, InterruptedException {
        try {
            fixture.signal(name, signal);
        } catch (IOException e) {
            if (fixture.isAlive(name)) {
                throw e;
            }
        }
    }

    private void change() {
        int version = 2 + changes++;
        String controller = any(controllers);
        try {
            boolean acknowledged = fixture.modify(
                                    controller,
                                    "{'upsert':{'routeTable':{'safe':" + route("/safe/", "idempotent", version) + "}}}")
                            .status()
                    == 200;
            logEvent("change r" + version + " at " + controller
                    + (acknowledged ? " acknowledged" : " without a clear answer"));
            acknowledgedChange = acknowledged ? version : acknowledgedChange;
        } catch (IOException e) {
            logEvent("change r" + version + " at " + controller + " without an answer");
        }
    }

    private void replaceApplication(String proxy) {
        if (isDisturbed(proxy)) {
            return;
        }
        ApplicationStubs application = fixture.application(proxy);
        String next = SERVICE + "-" + proxy + "-" + ++incarnations;
        try {
            application.drain();
            logEvent("application of " + proxy + " drains");
        } catch (IOException e) {
            logEvent("application of " + proxy + " cannot report that it drains: " + e.getMessage());
        }
        try {
            application.startIncarnation(next);
            logEvent("application of " + proxy + " replaced");
        } catch (IOException e) {
            // Its next heartbeat reports the new incarnation.
            logEvent("application of " + proxy + " replaced, not reported yet: " + e.getMessage());
        }
    }

    private void partition(String proxy) {
        ConnectionRelay.LinkMode[] modes = {
            ConnectionRelay.LinkMode.HOLD, ConnectionRelay.LinkMode.LOSE, ConnectionRelay.LinkMode.RESET
        };
        ConnectionRelay.LinkMode mode = modes[random.nextInt(modes.length)];
        logEvent("partition " + proxy + " " + mode);
        fixture.relay().partition(proxy, List.copyOf(controllers), mode, mode);
        faultEnds.add(new FaultEnd(System.nanoTime() + random.nextLong(MAX_FAULT_NANOS), () -> {
            logEvent("heal all partitions");
            fixture.relay().heal();
        }));
    }

    private void suspend(String name) throws IOException, InterruptedException {
        if (isDisturbed(name)) {
            return;
        }
        logEvent("SIGSTOP " + name);
        signalIfAlive(name, "-STOP");
        suspended.put(name, name);
        faultEnds.add(new FaultEnd(System.nanoTime() + random.nextLong(MAX_FAULT_NANOS), () -> {
            logEvent("SIGCONT " + name);
            signalIfAlive(name, "-CONT");
            suspended.remove(name);
        }));
    }

    private void endFaults(long now) throws IOException, InterruptedException {
        for (FaultEnd faultEnd : List.copyOf(faultEnds)) {
            if (faultEnd.at <= now) {
                faultEnds.remove(faultEnd);
                faultEnd.action.run();
            }
        }
    }

    private void restartEnded(long now) throws IOException {
        recordUnexpectedEnds();
        for (Map.Entry<String, Long> entry : List.copyOf(restartAt.entrySet())) {
            if (entry.getValue() <= now && !fixture.isAlive(entry.getKey())) {
                logEvent("start " + entry.getKey());
                fixture.restart(entry.getKey());
                restartAt.remove(entry.getKey());
            }
        }
    }

    /** Reports processes that have ended without having been told to, and schedules their restart. */
    private void recordUnexpectedEnds() {
        List<String> all = new ArrayList<>(proxies);
        all.addAll(controllers);
        for (String name : all) {
            if (!fixture.isAlive(name) && !restartAt.containsKey(name)) {
                logEvent("ended by itself: " + name);
                unexpectedEnds.add(name + " ended by itself with status " + fixture.exitStatus(name));
                restartAt.put(name, System.nanoTime());
            }
        }
    }

    /** The violations, one line each; empty if there are none. */
    public List<String> violations() throws InterruptedException {
        List<String> violations = new ArrayList<>(unexpectedEnds);
        Map<String, Integer> runs = runsById();
        List<Long> limitedRuns = new ArrayList<>();
        int answered = 0;
        for (SoakClient client : clients) {
            for (SoakClient.Sent sent : client.sent) {
                int count = runs.getOrDefault(sent.id(), 0);
                check(sent, count, violations);
                answered += sent.status() == 200 ? 1 : 0;
                if (count > 0 && sent.key().equals(LIMITED_KEY)) {
                    limitedRuns.add(sent.sentAt());
                }
            }
        }
        checkLimit(limitedRuns, violations);
        if (answered == 0) {
            violations.add("no request was served");
        }
        for (String controller : controllers) {
            checkChange(controller, violations);
        }
        return violations;
    }

    private Map<String, Integer> runsById() {
        Map<String, Integer> runs = new HashMap<>();
        for (String proxy : proxies) {
            fixture.application(proxy).runsById().forEach((id, count) -> runs.merge(id, count, Integer::sum));
        }
        return runs;
    }

    private void check(SoakClient.Sent sent, int runs, List<String> violations) {
        if (!sent.idempotent() && runs > 1) {
            violations.add("executed " + runs + " times: " + sent);
        }
        if (sent.status() == 200 && !sent.body().equals("ran of " + sent.id())) {
            violations.add("response to another request: " + sent);
        }
        boolean rejectedUnexecuted =
                sent.status() == 429 || sent.status() == 503 || sent.status() == 408 || sent.status() == 421;
        if (!sent.idempotent() && rejectedUnexecuted && runs > 0) {
            violations.add("executed, but rejected: " + sent);
        }
        if (plannedOnly && runs > 0 && sent.ending() == SoakClient.Ending.NO_ANSWER) {
            violations.add("lost: " + sent);
        }
        if (plannedOnly && runs > 0 && (sent.status() == 502 || sent.status() == 504)) {
            violations.add("failed with a gateway error: " + sent);
        }
    }

    private static void checkLimit(List<Long> times, List<String> violations) {
        Collections.sort(times);
        for (int first = 0, last = 0; last < times.size(); last++) {
            while (times.get(last) - times.get(first) >= WINDOW_NANOS) {
                first++;
            }
            if (last - first + 1 > MAX_REQUESTS_PER_WINDOW) {
                violations.add(
                        "over the limit: " + (last - first + 1) + " within 5 s, tolerated " + MAX_REQUESTS_PER_WINDOW);
                return;
            }
        }
    }

    private void checkChange(String controller, List<String> violations) throws InterruptedException {
        StringBuilder text = new StringBuilder();
        fixture.await(controller + " answers a read", () -> {
            RawHttpClient.Message response = fixture.read(controller);
            text.setLength(0);
            text.append(response.body());
            return response.status() == 200;
        });
        boolean isRead = acknowledgedChange == 0;
        for (int version = acknowledgedChange; version <= changes + 1 && !isRead; version++) {
            isRead = text.indexOf("\"configVersion\":\"r" + version + "\"") >= 0;
        }
        if (!isRead) {
            violations.add("r" + acknowledgedChange + " was acknowledged and is not read at " + controller);
        }
    }

    /** How many requests the clients have sent, and how many were served. */
    public String summary() {
        long sent = clients.stream().mapToLong(client -> client.sent.size()).sum();
        long served = clients.stream()
                .flatMap(client -> client.sent.stream())
                .filter(each -> each.status() == 200)
                .count();
        return sent + " requests, " + served + " served, " + eventLog.size() + " events, " + changes + " changes";
    }

    /** The events with their times, the current state of each process, and all logs. */
    public String report() {
        StringBuilder text = new StringBuilder(String.join("\n", eventLog)).append('\n');
        List<String> all = new ArrayList<>(proxies);
        all.addAll(controllers);
        for (String name : all) {
            text.append("state of ")
                    .append(name)
                    .append(": ")
                    .append(state(name))
                    .append('\n');
        }
        return text.append(fixture.allLogs()).toString();
    }

    private String state(String name) {
        try {
            return fixture.state(name).body();
        } catch (IOException e) {
            return e.toString();
        }
    }

    @Override
    public void close() throws IOException {
        for (SoakClient client : clients) {
            client.close();
        }
        fixture.close();
    }
}
