package org.cypressweir.testkit;

import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.DirectoryNotEmptyException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.cypressweir.Main;
import org.cypressweir.common.transport.FixtureProcess;
import org.cypressweir.common.util.Addresses;

/**
 * Controllers and proxies as real processes, each on a loopback address of its own, and an application stub beside
 * each proxy. {@link #close} stops what it has started, and nothing else. For one thread.
 */
public final class MeshFixture implements AutoCloseable {

    /** A request was sent completely and got no response. */
    public static final class NoAnswer extends IOException {
        private static final long serialVersionUID = 1;

        NoAnswer(String what, Throwable cause) {
            super(what, cause);
        }
    }

    /** The names of the programs as arguments of the command line. */
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

    /** A controller at an address that is not a seed; {@link #replacement} starts it. */
    public static final String SPARE = "h99";

    private static final int PEER_PORT = 21_700;
    private static final int OUTBOUND_PORT = 21_780;
    private static final int READINESS_PORT = 21_781;
    private static final int CONTROL_PORT = 21_790;
    private static final int APPLICATION_PORT = 21_800;
    private static final int MAX_REDIRECTS = 2;
    private static final int TIMEOUT_MILLIS = 12_000;
    private static final int POLL_INTERVAL_MILLIS = 15;

    private final Path folder;
    private final ProgramNames programNames;
    private final String net;
    private final Map<String, String> ips = new LinkedHashMap<>();
    private final Map<String, Process> processes = new LinkedHashMap<>();
    private final Map<String, ApplicationStubs> applications = new LinkedHashMap<>();
    private final List<String> controllers = new ArrayList<>();
    private final List<String> proxies = new ArrayList<>();
    private final List<String> joined = new ArrayList<>();
    private final AtomicLong ids = new AtomicLong();
    private final ConnectionRelay relay;
    private boolean initial = true;
    private volatile int callMillis = TIMEOUT_MILLIS;
    private final ScheduledExecutorService poller = Executors.newScheduledThreadPool(4, task -> {
        Thread thread = new Thread(task, "mesh-fixture-poll");
        thread.setDaemon(true);
        return thread;
    });

    /** @param services the service of the application beside each proxy; the proxies are named p1, p2, ... */
    public MeshFixture(Path folder, int controllerCount, List<String> services) throws IOException {
        this(folder, controllerCount, services, false, ProgramNames.CURRENT);
    }

    /** Starts the programs by their names in earlier builds. */
    public static MeshFixture withFormerProgramNames(Path folder, int controllerCount, List<String> services)
            throws IOException {
        return new MeshFixture(folder, controllerCount, services, false, ProgramNames.FORMER);
    }

    /** Controllers and proxies whose connections all pass a relay, which can partition them. */
    public static MeshFixture withCuts(Path folder, int controllerCount, List<String> services) throws IOException {
        return new MeshFixture(folder, controllerCount, services, true, ProgramNames.CURRENT);
    }

    private MeshFixture(
            Path folder, int controllerCount, List<String> services, boolean partitionable, ProgramNames programNames)
            throws IOException {
        this.folder = folder;
        this.programNames = programNames;
        SecureRandom random = new SecureRandom();
        net = "127." + (1 + random.nextInt(254)) + "." + random.nextInt(255) + ".";
        for (int i = 1; i <= controllerCount; i++) {
            controllers.add("h" + i);
            ips.put("h" + i, net + i);
        }
        for (int i = 1; i <= services.size(); i++) {
            proxies.add("p" + i);
            ips.put("p" + i, net + (100 + i));
        }
        ips.put(SPARE, net + 99);
        Map<String, InetSocketAddress> peerAddresses = new LinkedHashMap<>();
        ips.forEach((name, ip) -> peerAddresses.put(name, new InetSocketAddress(ip, PEER_PORT)));
        relay = partitionable ? new ConnectionRelay(net + 250, peerAddresses) : null;
        for (String controller : controllers) {
            settings(controller, null, "");
            start(controller);
        }
        for (int i = 0; i < proxies.size(); i++) {
            String name = proxies.get(i);
            settings(name, services.get(i), "");
            start(name);
            applications.put(
                    name,
                    new ApplicationStubs(
                            ApplicationStubs.at(ips.get(name), APPLICATION_PORT),
                            ApplicationStubs.at(ips.get(name), CONTROL_PORT),
                            services.get(i) + "-" + name,
                            services.get(i),
                            "z1",
                            8));
        }
    }

    /** Starts a controller that is not a seed, with an empty disk. */
    public void join(String name) throws IOException {
        joined.add(name);
        ips.put(name, net + (50 + joined.size()));
        settings(name, null, "");
        start(name);
    }

    /** The address of a process for its peers. */
    public String lines(String name) {
        return ips.get(name) + ":" + PEER_PORT;
    }

    /** From here on a controller that finds its disk empty has lost it: the mesh is initialized. */
    public void begun() throws IOException {
        initial = false;
        for (String controller : controllers) {
            settings(controller, null, "");
        }
    }

    /** Sets the time-out of calls, in milliseconds. */
    public void patience(int millis) {
        callMillis = millis;
    }

    /** Empties the data directory of a controller, whether it runs or not. */
    public void empty(String controller) throws IOException {
        try (Stream<Path> files = Files.walk(folder.resolve(controller))) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(file);
            }
        } catch (NoSuchFileException | DirectoryNotEmptyException | UncheckedIOException e) {
            // The process creates or removes files meanwhile: the rest is removed once it has ended.
            return;
        }
    }

    public ApplicationStubs ship(String proxy) {
        return applications.get(proxy);
    }

    /** Writes the settings of a process; further terms as the inside of an object, each after a comma. */
    public void settings(String name, String service, String furtherTerms) throws IOException {
        String ip = ips.get(name);
        List<String> seeds = controllers.stream()
                .map(h -> "\"" + ips.get(h) + ":" + PEER_PORT + "\"")
                .toList();
        String listen = "\"controlPlane\":\"" + ip + ":" + CONTROL_PORT + "\""
                + (service == null
                        ? ""
                        : ",\"outbound\":\"" + ip + ":" + OUTBOUND_PORT + "\",\"readiness\":\"" + ip + ":"
                                + READINESS_PORT + "\"");
        String own = service == null
                ? ",\"dataDirectory\":\"" + folder.resolve(name) + "\""
                : ",\"application\":\"" + ip + ":" + APPLICATION_PORT + "\",\"service\":\"" + service + "\"";
        String text = "{\"localNode\":{\"nodeName\":\"" + name + "\",\"ipAddress\":\"" + ip
                + "\",\"zone\":\"z1\",\"region\":\"r1\",\"initialStart\":" + initial + own
                + "},\"network\":{\"listenAddresses\":{" + listen + "},\"internalPortRange\":[" + PEER_PORT + ","
                + (PEER_PORT + 9) + "],\"seedNodes\":" + seeds + ",\"zones\":{\"z1\":\"r1\"}},"
                + "\"platform\":{\"heartbeat\":\"500ms\"},"
                + "\"termTable\":{\"timingBounds\":{\"drain\":\"2500ms\","
                + "\"gracePeriod\":\"4s\",\"retrySlack\":200,\"retryBudgetRatio\":0.5" + furtherTerms + "}}}";
        Files.writeString(folder.resolve(name + ".json"), text);
    }

    private void start(String name) throws IOException {
        List<String> command = List.of(
                System.getProperty("java.home") + File.separator + "bin" + File.separator + "java",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-Xmx96m",
                "-cp",
                classPath(),
                "-D" + FixtureProcess.ADDRESS_OVERRIDES + "=" + detours(name),
                (relay == null ? Main.class : FixtureProcess.class).getName(),
                proxies.contains(name) ? programNames.proxy : programNames.controller);
        ProcessBuilder builder = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(
                        folder.resolve(name + ".log").toFile()));
        builder.environment()
                .put("CYPRESSWEIR_NODE_FILE", folder.resolve(name + ".json").toString());
        processes.put(name, builder.start());
    }

    private String detours(String from) {
        return relay == null
                ? ""
                : ips.keySet().stream()
                        .filter(to -> !to.equals(from))
                        .map(to -> ips.get(to) + ":" + PEER_PORT + "=" + Addresses.text(relay.door(from, to)))
                        .collect(Collectors.joining(","));
    }

    /** The relay that all connections pass; null without one. */
    public ConnectionRelay relay() {
        return relay;
    }

    private static String classPath() {
        return System.getProperty("surefire.test.class.path", System.getProperty("java.class.path"));
    }

    public boolean isAlive(String name) {
        return processes.get(name).isAlive();
    }

    /** Kills a process; returns when it has ended. */
    public void kill(String name) throws InterruptedException {
        processes.get(name).destroyForcibly();
        gone(name);
    }

    /** Sends SIGTERM. */
    public void term(String name) {
        processes.get(name).destroy();
    }

    /** Waits until it has ended. */
    public void gone(String name) throws InterruptedException {
        if (!processes.get(name).waitFor(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)) {
            throw new AssertionError(name + " does not end\n" + log(name));
        }
    }

    /** Kills a controller, empties its data directory and starts it. */
    public void wipe(String controller) throws IOException, InterruptedException {
        kill(controller);
        empty(controller);
        restart(controller);
    }

    /** Starts the spare controller. */
    public void replacement() throws IOException {
        settings(SPARE, null, "");
        start(SPARE);
    }

    public void restart(String name) throws IOException {
        if (isAlive(name)) {
            throw new IllegalStateException(name + " is running");
        }
        start(name);
    }

    public void hup(String name) throws IOException, InterruptedException {
        signal(name, "-HUP");
    }

    /** Suspends a process: its sockets stay open, and it sends nothing any more. */
    public void freeze(String name) throws IOException, InterruptedException {
        signal(name, "-STOP");
    }

    /** The control-plane address of a process. */
    public String control(String name) {
        return ips.get(name) + ":" + CONTROL_PORT;
    }

    public void signal(String name, String which) throws IOException, InterruptedException {
        Process kill = new ProcessBuilder(
                        "kill", which, Long.toString(processes.get(name).pid()))
                .start();
        if (kill.waitFor() != 0) {
            throw new IOException("cannot signal " + name);
        }
    }

    /** All logs, after a thread dump of each running process. */
    private String logs() throws InterruptedException {
        StringBuilder logs = new StringBuilder();
        for (String name : processes.keySet()) {
            if (isAlive(name)) {
                try {
                    signal(name, "-QUIT");
                    poll(2_000, () -> log(name).contains("JNI global refs"));
                } catch (IOException | TimeoutException | ExecutionException e) {
                    logs.append("\nno threads of ").append(name).append(": ").append(e);
                }
            }
            logs.append("\n--- ").append(name).append('\n').append(log(name));
        }
        return logs.toString();
    }

    /** All logs so far. */
    public String said() {
        return processes.keySet().stream()
                .map(name -> "\n--- " + name + "\n" + log(name))
                .collect(Collectors.joining());
    }

    /** The log of a process so far. */
    public String log(String name) {
        try {
            return Files.readString(folder.resolve(name + ".log"));
        } catch (IOException e) {
            return e.toString();
        }
    }

    /** Polls a condition until it condition; an exception counts as not yet. */
    public void await(String what, Callable<Boolean> condition) throws InterruptedException {
        try {
            poll(TIMEOUT_MILLIS, condition);
        } catch (TimeoutException | ExecutionException e) {
            throw new AssertionError("timed out waiting for: " + what + logs(), e);
        }
    }

    private void poll(int timeoutMillis, Callable<Boolean> condition)
            throws InterruptedException, TimeoutException, ExecutionException {
        CompletableFuture<Void> satisfied = new CompletableFuture<>();
        ScheduledFuture<?> polling = poller.scheduleWithFixedDelay(
                () -> {
                    try {
                        if (condition.call()) {
                            satisfied.complete(null);
                        }
                    } catch (Exception e) {
                        // Not yet.
                    }
                },
                0,
                POLL_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
        try {
            satisfied.get(timeoutMillis, TimeUnit.MILLISECONDS);
        } finally {
            polling.cancel(false);
        }
    }

    /** Waits until the proxy reports that it is ready. */
    public void ready(String proxy) throws InterruptedException {
        await(
                proxy + " is ready",
                () -> call(proxy, READINESS_PORT, "GET", "/cypressweir/readiness", "", "")
                                .status()
                        == 200);
    }

    /** Sends a configuration change to a controller and follows redirects, as operators do. */
    public RawHttpClient.Message modify(String controller, String json) throws IOException {
        return operate(controller, "POST", "/cypressweir/config/modify", json.replace('\'', '"'));
    }

    /** Sends a configuration change and closes the connection without waiting for the response. */
    public void sendAndLeave(String controller, String json) throws IOException {
        String body = json.replace('\'', '"');
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(ips.get(controller), CONTROL_PORT), callMillis);
            socket.getOutputStream()
                    .write(("POST /cypressweir/config/modify HTTP/1.1\r\nHost: " + controller + "\r\nContent-Length: "
                                    + body.length() + "\r\n\r\n" + body)
                            .getBytes(StandardCharsets.ISO_8859_1));
        }
    }

    private RawHttpClient.Message operate(String controller, String method, String path, String body)
            throws IOException {
        RawHttpClient.Message response = call(controller, CONTROL_PORT, method, path, "", body);
        for (int i = 0; i < MAX_REDIRECTS && response.status() == 307; i++) {
            URI to = URI.create(response.headers().get("Location"));
            response =
                    call(controller, new InetSocketAddress(to.getHost(), to.getPort()), method, to.getPath(), "", body);
        }
        return response;
    }

    /** Repeats a change until it is acknowledged: right after a start or a fault there may be no quorum. */
    public void order(String controller, String json) throws InterruptedException {
        await(
                controller + " acknowledges " + json,
                () -> modify(controller, json).status() == 200);
    }

    public RawHttpClient.Message read(String controller) throws IOException {
        return operate(controller, "GET", "/cypressweir/config/read", "");
    }

    /** The response of that controller itself to a read, without following redirects. */
    public RawHttpClient.Message firstAnswer(String controller) throws IOException {
        return call(controller, CONTROL_PORT, "GET", "/cypressweir/config/read", "", "");
    }

    /** The response to the state call. */
    public RawHttpClient.Message state(String name) throws IOException {
        return call(name, CONTROL_PORT, "GET", "/cypressweir/state", "", "");
    }

    public String id() {
        return "a" + ids.incrementAndGet();
    }

    /** One request of a client on a connection of its own; a null key is not sent. */
    public RawHttpClient.Message request(String proxy, String host, String path, String key) throws IOException {
        return request(proxy, host, path, key, id());
    }

    public RawHttpClient.Message request(String proxy, String host, String path, String key, String id)
            throws IOException {
        return call(
                proxy,
                OUTBOUND_PORT,
                "POST",
                path,
                "Host: " + host + "\r\n" + ApplicationStubs.ID + ": " + id + "\r\n"
                        + (key == null ? "" : "Cypressweir-Key: " + key + "\r\n"),
                "of " + id);
    }

    /** @throws ConnectException if nothing listens there: nothing was sent */
    private RawHttpClient.Message call(String name, int port, String method, String path, String headers, String body)
            throws IOException {
        return call(name, new InetSocketAddress(ips.get(name), port), method, path, headers, body);
    }

    private RawHttpClient.Message call(
            String name, InetSocketAddress to, String method, String path, String headers, String body)
            throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(to, callMillis);
            socket.setSoTimeout(callMillis);
            String host = headers.startsWith("Host:") ? "" : "Host: " + name + "\r\n";
            try {
                socket.getOutputStream()
                        .write((method + " " + path + " HTTP/1.1\r\n" + host + headers
                                        + "Connection: close\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                                .getBytes(StandardCharsets.ISO_8859_1));
                RawHttpClient.Message response = RawHttpClient.read(socket.getInputStream());
                if (response == null) {
                    throw new IOException("closed");
                }
                return response;
            } catch (IOException e) {
                throw new NoAnswer(name + " sent no response to " + path + ": " + e, e);
            }
        }
    }

    @Override
    public void close() throws IOException {
        poller.shutdownNow();
        for (ApplicationStubs application : applications.values()) {
            application.close();
        }
        processes.values().forEach(Process::destroyForcibly);
        try {
            for (String name : processes.keySet()) {
                gone(name);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        if (relay != null) {
            relay.close();
        }
    }
}
