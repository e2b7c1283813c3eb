package org.cypressweir.testkit;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.file.DirectoryNotEmptyException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeoutException;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Controllers and proxies as real processes, each on a loopback address of its own, and an application stub for each
 * proxy. {@link #close} ends only what the fixture has started. Calls may be made from any thread; only one thread may
 * start and stop processes.
 */
public final class MeshFixture implements AutoCloseable {

    /** The names of the programs on the command line. */
    private enum ProgramNames {
        CURRENT("controller", "proxy"),
        FORMER("harbour", "pilot");

        private final String controller;
        private final String proxy;

        ProgramNames(String controller, String proxy) {
            this.controller = controller;
            this.proxy = proxy;
        }
    }

    /** A controller at an address that is not a seed; {@link #startSpare} starts it. */
    public static final String SPARE = "h99";

    private static final int OK = 200;
    private static final int TIMEOUT_MILLIS = 12_000;
    private static final int THREAD_DUMP_TIMEOUT_MILLIS = 2_000;
    private static final int APPLICATION_SLOTS = 8;

    private final Path folder;
    private final ProgramNames programNames;
    private final MeshNetwork network;
    private final MeshSettingsWriter settings;
    private final MeshProcesses processes;
    private final MeshClient client;
    private final Map<String, ApplicationStubs> applications = new LinkedHashMap<>();
    private final ConditionPoller poller = new ConditionPoller();

    /** @param services the service of each proxy's application; the proxies are named p1, p2, and so on */
    public MeshFixture(Path folder, int controllerCount, List<String> services) throws IOException {
        this(folder, controllerCount, services, false, ProgramNames.CURRENT);
    }

    /** Starts the programs by their names in earlier builds. */
    public static MeshFixture withFormerProgramNames(Path folder, int controllerCount, List<String> services)
            throws IOException {
        return new MeshFixture(folder, controllerCount, services, false, ProgramNames.FORMER);
    }

    /** Starts a mesh whose connections all go through a relay, which can partition the processes. */
    public static MeshFixture withPartitions(Path folder, int controllerCount, List<String> services)
            throws IOException {
        return new MeshFixture(folder, controllerCount, services, true, ProgramNames.CURRENT);
    }

    private MeshFixture(
            Path folder, int controllerCount, List<String> services, boolean partitionable, ProgramNames programNames)
            throws IOException {
        this.folder = folder;
        this.programNames = programNames;
        network = new MeshNetwork(controllerCount, services.size(), partitionable);
        settings = new MeshSettingsWriter(network, folder);
        processes = new MeshProcesses(folder);
        client = new MeshClient(network, TIMEOUT_MILLIS);
        for (String controller : network.controllers()) {
            startNewController(controller);
        }
        for (int i = 0; i < services.size(); i++) {
            String proxy = network.proxies().get(i);
            writeProxySettings(proxy, services.get(i), "");
            start(proxy);
            applications.put(proxy, startApplication(proxy, services.get(i)));
        }
    }

    private ApplicationStubs startApplication(String proxy, String service) throws IOException {
        return new ApplicationStubs(
                network.address(proxy, MeshNetwork.APPLICATION_PORT),
                network.address(proxy, MeshNetwork.CONTROL_PORT),
                service + "-" + proxy,
                service,
                "z1",
                APPLICATION_SLOTS);
    }

    private void startNewController(String name) throws IOException {
        writeControllerSettings(name, "");
        start(name);
    }

    private void start(String name) throws IOException {
        String program = network.proxies().contains(name) ? programNames.proxy : programNames.controller;
        processes.start(name, program, network.addressOverrides(name));
    }

    /** Starts the spare controller. */
    public void startSpare() throws IOException {
        startNewController(SPARE);
    }

    /** Starts one more controller, which is not a seed, with an empty disk. */
    public void startAdditionalController(String name) throws IOException {
        network.addController(name);
        startNewController(name);
    }

    /** Starts a process that has ended. */
    public void restart(String name) throws IOException {
        if (isAlive(name)) {
            throw new IllegalStateException(name + " is running");
        }
        start(name);
    }

    /** Kills a controller, empties its data directory and starts it. */
    public void restartWithEmptyDisk(String controller) throws IOException, InterruptedException {
        kill(controller);
        emptyDataDirectory(controller);
        restart(controller);
    }

    /** Empties the data directory of a controller, whether it runs or not. */
    public void emptyDataDirectory(String controller) throws IOException {
        try (Stream<Path> files = Files.walk(folder.resolve(controller))) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(file);
            }
        } catch (NoSuchFileException | DirectoryNotEmptyException | UncheckedIOException e) {
            // The running process creates or removes files meanwhile: empty the directory again once it has ended.
            return;
        }
    }

    /** Marks the mesh as initialized: from now on a controller that finds its disk empty has lost its data. */
    public void markInitialized() throws IOException {
        settings.markInitialized();
        for (String controller : network.controllers()) {
            writeControllerSettings(controller, "");
        }
    }

    /**
     * Writes the settings of a controller.
     *
     * @param timingBounds further timing bounds as the inside of a JSON object, each after a comma
     */
    public void writeControllerSettings(String name, String timingBounds) throws IOException {
        settings.writeController(processes.settingsFile(name), name, timingBounds);
    }

    /**
     * Writes the settings of a proxy.
     *
     * @param timingBounds further timing bounds as the inside of a JSON object, each after a comma
     */
    public void writeProxySettings(String name, String service, String timingBounds) throws IOException {
        settings.writeProxy(processes.settingsFile(name), name, service, timingBounds);
    }

    /** Sends SIGHUP: the process reads its settings again. */
    public void reloadSettings(String name) throws IOException, InterruptedException {
        signal(name, "-HUP");
    }

    /** Suspends a process: its sockets stay open, and it sends nothing any more. */
    public void suspend(String name) throws IOException, InterruptedException {
        signal(name, "-STOP");
    }

    /** @param option the signal as an option of kill: -STOP, -CONT, ... */
    public void signal(String name, String option) throws IOException, InterruptedException {
        processes.signal(name, option);
    }

    /** Kills a process; returns when it has ended. */
    public void kill(String name) throws InterruptedException {
        processes.kill(name);
    }

    /** Sends SIGTERM. */
    public void terminate(String name) {
        processes.terminate(name);
    }

    /** Waits until a process has ended. */
    public void awaitExit(String name) throws InterruptedException {
        processes.awaitExit(name);
    }

    /** Whether a process runs and has reported its start. */
    public boolean hasStarted(String name) {
        return isAlive(name) && processes.hasStarted(name);
    }

    /** The exit status of a process that has ended. */
    public int exitStatus(String name) {
        return processes.exitStatus(name);
    }

    public boolean isAlive(String name) {
        return processes.isAlive(name);
    }

    /** The address of a process for its peers. */
    public String peerAddress(String name) {
        return network.peerAddress(name);
    }

    /** The control-plane address of a process. */
    public String controlAddress(String name) {
        return network.controlAddress(name);
    }

    /** The address at which a proxy accepts requests of clients. */
    public InetSocketAddress outboundAddress(String proxy) {
        return network.address(proxy, MeshNetwork.OUTBOUND_PORT);
    }

    /** The relay through which all connections go; null without one. */
    public ConnectionRelay relay() {
        return network.relay();
    }

    /** The application stub of a proxy. */
    public ApplicationStubs application(String proxy) {
        return applications.get(proxy);
    }

    /** The log of a process so far. */
    public String log(String name) {
        return processes.log(name);
    }

    /** All logs so far. */
    public String allLogs() {
        return processes.names().stream()
                .map(name -> "\n--- " + name + "\n" + log(name))
                .collect(Collectors.joining());
    }

    /** All logs, after a thread dump of each running process. */
    private String allLogsWithThreadDumps() throws InterruptedException {
        StringBuilder logs = new StringBuilder();
        for (String name : processes.names()) {
            if (isAlive(name)) {
                try {
                    signal(name, "-QUIT");
                    poller.await(THREAD_DUMP_TIMEOUT_MILLIS, () -> log(name).contains("JNI global refs"));
                } catch (IOException | TimeoutException | ExecutionException e) {
                    logs.append("\nno thread dump of ")
                            .append(name)
                            .append(": ")
                            .append(e);
                }
            }
            logs.append("\n--- ").append(name).append('\n').append(log(name));
        }
        return logs.toString();
    }

    /**
     * Waits until a condition holds, and fails after a time-out that begins once all running processes have reported
     * their start. A condition that throws counts as one that does not hold yet.
     */
    public void await(String description, Callable<Boolean> condition) throws InterruptedException {
        try {
            poller.await(TIMEOUT_MILLIS, processes::haveStarted, condition);
        } catch (TimeoutException | ExecutionException e) {
            throw new AssertionError("timed out waiting for: " + description + allLogsWithThreadDumps(), e);
        }
    }

    /** Waits until the proxy reports that it is ready. */
    public void awaitReady(String proxy) throws InterruptedException {
        await(proxy + " is ready", () -> client.readiness(proxy).status() == OK);
    }

    /** Sets the time-out of calls. */
    public void setCallTimeoutMillis(int millis) {
        client.setTimeoutMillis(millis);
    }

    /** Sends a configuration change, written with single quotes, and follows redirects as operators do. */
    public RawHttpClient.Message modify(String controller, String json) throws IOException {
        return client.modify(controller, json);
    }

    /** Sends a configuration change and closes the connection without waiting for the response. */
    public void modifyWithoutResponse(String controller, String json) throws IOException {
        client.modifyWithoutResponse(controller, json);
    }

    /** Repeats a change until it is acknowledged: right after a start or a fault there may be no quorum. */
    public void modifyUntilAcknowledged(String controller, String json) throws InterruptedException {
        await(
                controller + " acknowledges " + json,
                () -> modify(controller, json).status() == OK);
    }

    /** Reads the configuration from a controller and follows redirects. */
    public RawHttpClient.Message read(String controller) throws IOException {
        return client.read(controller);
    }

    /** Begins a rollout; the JSON is written with single quotes. */
    public RawHttpClient.Message beginRollout(String controller, String json) throws IOException {
        return client.beginRollout(controller, json);
    }

    /** Reads the progress of a service's rollout. */
    public RawHttpClient.Message readRollout(String controller, String service) throws IOException {
        return client.readRollout(controller, service);
    }

    /** Reads from a controller without following a redirect. */
    public RawHttpClient.Message readWithoutRedirect(String controller) throws IOException {
        return client.readWithoutRedirect(controller);
    }

    /** Reads the state of a process. */
    public RawHttpClient.Message state(String name) throws IOException {
        return client.state(name);
    }

    /** Reads the metrics of a process. */
    public RawHttpClient.Message metrics(String name) throws IOException {
        return client.metrics(name);
    }

    /** A request id that has not been used before. */
    public String nextRequestId() {
        return client.nextRequestId();
    }

    /** Sends one client request on a connection of its own; a null key is left out. */
    public RawHttpClient.Message request(String proxy, String host, String path, String key) throws IOException {
        return request(proxy, host, path, key, nextRequestId());
    }

    /** The same with an id that the test chooses. */
    public RawHttpClient.Message request(String proxy, String host, String path, String key, String id)
            throws IOException {
        return client.request(proxy, host, path, key, id);
    }

    @Override
    public void close() throws IOException {
        poller.close();
        for (ApplicationStubs application : applications.values()) {
            application.close();
        }
        try {
            processes.killAll();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        network.close();
    }
}
