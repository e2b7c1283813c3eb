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
 * Harbours and pilots as real processes, each on a loopback address of its own, and a server beside each
 * pilot. It ends what it has started, and nothing else.
 */
public final class MeshFixture implements AutoCloseable {

    /** A request that was sent whole and got no answer. */
    public static final class NoAnswer extends IOException {
        private static final long serialVersionUID = 1;

        NoAnswer(String what, Throwable cause) {
            super(what, cause);
        }
    }

    /** A harbour at an address that no seed names; {@link #replacement} starts it. */
    public static final String SPARE = "h99";

    private static final int LINES = 21_700;
    private static final int OUTBOUND = 21_780;
    private static final int READINESS = 21_781;
    private static final int CONTROL = 21_790;
    private static final int APPLICATION = 21_800;
    private static final int REDIRECTS = 2;
    private static final int PATIENCE_MILLIS = 12_000;
    private static final int LOOK_MILLIS = 15;

    private final Path folder;
    private final String net;
    private final Map<String, String> ips = new LinkedHashMap<>();
    private final Map<String, Process> processes = new LinkedHashMap<>();
    private final Map<String, ApplicationStubs> ships = new LinkedHashMap<>();
    private final List<String> harbours = new ArrayList<>();
    private final List<String> pilots = new ArrayList<>();
    private final List<String> joined = new ArrayList<>();
    private final AtomicLong ids = new AtomicLong();
    private final ConnectionRelay relay;
    private boolean initial = true;
    private volatile int callMillis = PATIENCE_MILLIS;
    private final ScheduledExecutorService looks = Executors.newScheduledThreadPool(4, task -> {
        Thread thread = new Thread(task, "rig-looks");
        thread.setDaemon(true);
        return thread;
    });

    /** @param services the service of each pilot's machine; the pilots are named p1, p2, ... */
    public MeshFixture(Path folder, int harbourCount, List<String> services) throws IOException {
        this(folder, harbourCount, services, false);
    }

    /** Harbours and pilots whose lines all go by a relay, which can cut them. */
    public static MeshFixture withCuts(Path folder, int harbourCount, List<String> services) throws IOException {
        return new MeshFixture(folder, harbourCount, services, true);
    }

    private MeshFixture(Path folder, int harbourCount, List<String> services, boolean cuts) throws IOException {
        this.folder = folder;
        SecureRandom random = new SecureRandom();
        net = "127." + (1 + random.nextInt(254)) + "." + random.nextInt(255) + ".";
        for (int i = 1; i <= harbourCount; i++) {
            harbours.add("h" + i);
            ips.put("h" + i, net + i);
        }
        for (int i = 1; i <= services.size(); i++) {
            pilots.add("p" + i);
            ips.put("p" + i, net + (100 + i));
        }
        ips.put(SPARE, net + 99);
        Map<String, InetSocketAddress> lines = new LinkedHashMap<>();
        ips.forEach((name, ip) -> lines.put(name, new InetSocketAddress(ip, LINES)));
        relay = cuts ? new ConnectionRelay(net + 250, lines) : null;
        for (String harbour : harbours) {
            settings(harbour, null, "");
            start(harbour);
        }
        for (int i = 0; i < pilots.size(); i++) {
            String name = pilots.get(i);
            settings(name, services.get(i), "");
            start(name);
            ships.put(
                    name,
                    new ApplicationStubs(
                            ApplicationStubs.at(ips.get(name), APPLICATION),
                            ApplicationStubs.at(ips.get(name), CONTROL),
                            services.get(i) + "-" + name,
                            services.get(i),
                            "z1",
                            8));
        }
    }

    /** Starts a harbour that no seeds name, with an empty disk. */
    public void join(String name) throws IOException {
        joined.add(name);
        ips.put(name, net + (50 + joined.size()));
        settings(name, null, "");
        start(name);
    }

    /** Where a harbour is spoken to by others. */
    public String lines(String name) {
        return ips.get(name) + ":" + LINES;
    }

    /** From here on a harbour that finds its disk empty has forgotten: the mesh has begun. */
    public void begun() throws IOException {
        initial = false;
        for (String harbour : harbours) {
            settings(harbour, null, "");
        }
    }

    /** How long an answer is waited for. */
    public void patience(int millis) {
        callMillis = millis;
    }

    /** Empties the folder of a harbour, whether it runs or not. */
    public void empty(String harbour) throws IOException {
        try (Stream<Path> files = Files.walk(folder.resolve(harbour))) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(file);
            }
        } catch (NoSuchFileException | DirectoryNotEmptyException | UncheckedIOException e) {
            // The process made or removed a file meanwhile: the rest goes once it has ended.
            return;
        }
    }

    public ApplicationStubs ship(String pilot) {
        return ships.get(pilot);
    }

    /** Writes the settings of a process; more terms as the inside of an object, each behind a comma. */
    public void settings(String name, String service, String moreTerms) throws IOException {
        String ip = ips.get(name);
        List<String> seeds = harbours.stream()
                .map(h -> "\"" + ips.get(h) + ":" + LINES + "\"")
                .toList();
        String listen = "\"controlPlane\":\"" + ip + ":" + CONTROL + "\""
                + (service == null
                        ? ""
                        : ",\"outbound\":\"" + ip + ":" + OUTBOUND + "\",\"readiness\":\"" + ip + ":" + READINESS
                                + "\"");
        String own = service == null
                ? ",\"dataDirectory\":\"" + folder.resolve(name) + "\""
                : ",\"application\":\"" + ip + ":" + APPLICATION + "\",\"service\":\"" + service + "\"";
        String text = "{\"localNode\":{\"nodeName\":\"" + name + "\",\"ipAddress\":\"" + ip
                + "\",\"zone\":\"z1\",\"region\":\"r1\",\"initialStart\":" + initial + own
                + "},\"network\":{\"listenAddresses\":{" + listen + "},\"internalPortRange\":[" + LINES + ","
                + (LINES + 9) + "],\"seedNodes\":" + seeds + ",\"zones\":{\"z1\":\"r1\"}},"
                + "\"platform\":{\"heartbeat\":\"500ms\"},"
                + "\"termTable\":{\"timingBounds\":{\"drain\":\"2500ms\","
                + "\"gracePeriod\":\"4s\",\"retrySlack\":200,\"retryBudgetRatio\":0.5" + moreTerms + "}}}";
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
                pilots.contains(name) ? "pilot" : "harbour");
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
                        .map(to -> ips.get(to) + ":" + LINES + "=" + Addresses.text(relay.door(from, to)))
                        .collect(Collectors.joining(","));
    }

    /** What stands in all lines. */
    public ConnectionRelay relay() {
        return relay;
    }

    private static String classPath() {
        return System.getProperty("surefire.test.class.path", System.getProperty("java.class.path"));
    }

    public boolean isAlive(String name) {
        return processes.get(name).isAlive();
    }

    /** Ends it at once; returns when it is gone. */
    public void kill(String name) throws InterruptedException {
        processes.get(name).destroyForcibly();
        gone(name);
    }

    /** Asks it to end. */
    public void term(String name) {
        processes.get(name).destroy();
    }

    /** Waits until it has ended. */
    public void gone(String name) throws InterruptedException {
        if (!processes.get(name).waitFor(PATIENCE_MILLIS, TimeUnit.MILLISECONDS)) {
            throw new AssertionError(name + " does not end\n" + log(name));
        }
    }

    /** Ends a harbour at once, empties its folder and starts it. */
    public void wipe(String harbour) throws IOException, InterruptedException {
        kill(harbour);
        empty(harbour);
        restart(harbour);
    }

    /** Starts the harbour that is known to nobody. */
    public void replacement() throws IOException {
        settings(SPARE, null, "");
        start(SPARE);
    }

    public void restart(String name) throws IOException {
        if (isAlive(name)) {
            throw new IllegalStateException(name + " runs");
        }
        start(name);
    }

    public void hup(String name) throws IOException, InterruptedException {
        signal(name, "-HUP");
    }

    /** Stops it where it is: its addresses stay, and nothing comes from it any more. */
    public void freeze(String name) throws IOException, InterruptedException {
        signal(name, "-STOP");
    }

    /** Where a process is asked by operators. */
    public String control(String name) {
        return ips.get(name) + ":" + CONTROL;
    }

    public void signal(String name, String which) throws IOException, InterruptedException {
        Process kill = new ProcessBuilder(
                        "kill", which, Long.toString(processes.get(name).pid()))
                .start();
        if (kill.waitFor() != 0) {
            throw new IOException("no signal was sent to " + name);
        }
    }

    /** All logs; whoever runs tells there first what its threads do. */
    private String logs() throws InterruptedException {
        StringBuilder logs = new StringBuilder();
        for (String name : processes.keySet()) {
            if (isAlive(name)) {
                try {
                    signal(name, "-QUIT");
                    look(2_000, () -> log(name).contains("JNI global refs"));
                } catch (IOException | TimeoutException | ExecutionException e) {
                    logs.append("\nno threads of ").append(name).append(": ").append(e);
                }
            }
            logs.append("\n--- ").append(name).append('\n').append(log(name));
        }
        return logs.toString();
    }

    /** What all have logged so far. */
    public String said() {
        return processes.keySet().stream()
                .map(name -> "\n--- " + name + "\n" + log(name))
                .collect(Collectors.joining());
    }

    /** What a process has logged so far. */
    public String log(String name) {
        try {
            return Files.readString(folder.resolve(name + ".log"));
        } catch (IOException e) {
            return e.toString();
        }
    }

    /** Looks again and again until it holds; an exception of a look counts as not yet. */
    public void await(String what, Callable<Boolean> holds) throws InterruptedException {
        try {
            look(PATIENCE_MILLIS, holds);
        } catch (TimeoutException | ExecutionException e) {
            throw new AssertionError("in vain: " + what + logs(), e);
        }
    }

    private void look(int patienceMillis, Callable<Boolean> holds)
            throws InterruptedException, TimeoutException, ExecutionException {
        CompletableFuture<Void> held = new CompletableFuture<>();
        ScheduledFuture<?> looking = looks.scheduleWithFixedDelay(
                () -> {
                    try {
                        if (holds.call()) {
                            held.complete(null);
                        }
                    } catch (Exception e) {
                        // Not yet.
                    }
                },
                0,
                LOOK_MILLIS,
                TimeUnit.MILLISECONDS);
        try {
            held.get(patienceMillis, TimeUnit.MILLISECONDS);
        } finally {
            looking.cancel(false);
        }
    }

    /** Waits until the pilot says that it is ready. */
    public void ready(String pilot) throws InterruptedException {
        await(
                pilot + " is ready",
                () -> call(pilot, READINESS, "GET", "/cypressweir/readiness", "", "")
                                .status()
                        == 200);
    }

    /** Orders there; who is sent elsewhere goes there, as operators do. */
    public RawHttpClient.Message modify(String harbour, String json) throws IOException {
        return operate(harbour, "POST", "/cypressweir/config/modify", json.replace('\'', '"'));
    }

    /** Sends an order and leaves without its answer. */
    public void sendAndLeave(String harbour, String json) throws IOException {
        String body = json.replace('\'', '"');
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(ips.get(harbour), CONTROL), callMillis);
            socket.getOutputStream()
                    .write(("POST /cypressweir/config/modify HTTP/1.1\r\nHost: " + harbour + "\r\nContent-Length: "
                                    + body.length() + "\r\n\r\n" + body)
                            .getBytes(StandardCharsets.ISO_8859_1));
        }
    }

    private RawHttpClient.Message operate(String harbour, String method, String path, String body) throws IOException {
        RawHttpClient.Message answer = call(harbour, CONTROL, method, path, "", body);
        for (int i = 0; i < REDIRECTS && answer.status() == 307; i++) {
            URI to = URI.create(answer.headers().get("Location"));
            answer = call(harbour, new InetSocketAddress(to.getHost(), to.getPort()), method, to.getPath(), "", body);
        }
        return answer;
    }

    /** Orders until it is taken: right after a start or a loss too few harbours may be there. */
    public void order(String harbour, String json) throws InterruptedException {
        await(harbour + " takes " + json, () -> modify(harbour, json).status() == 200);
    }

    public RawHttpClient.Message read(String harbour) throws IOException {
        return operate(harbour, "GET", "/cypressweir/config/read", "");
    }

    /** What that harbour itself answers, also where it sends on. */
    public RawHttpClient.Message firstAnswer(String harbour) throws IOException {
        return call(harbour, CONTROL, "GET", "/cypressweir/config/read", "", "");
    }

    /** What a process tells of itself. */
    public RawHttpClient.Message state(String name) throws IOException {
        return call(name, CONTROL, "GET", "/cypressweir/state", "", "");
    }

    public String id() {
        return "a" + ids.incrementAndGet();
    }

    /** One request of a client on a connection of its own; without a key for null. */
    public RawHttpClient.Message request(String pilot, String host, String path, String key) throws IOException {
        return request(pilot, host, path, key, id());
    }

    public RawHttpClient.Message request(String pilot, String host, String path, String key, String id)
            throws IOException {
        return call(
                pilot,
                OUTBOUND,
                "POST",
                path,
                "Host: " + host + "\r\n" + ApplicationStubs.ID + ": " + id + "\r\n"
                        + (key == null ? "" : "Cypressweir-Key: " + key + "\r\n"),
                "of " + id);
    }

    /** @throws ConnectException where nobody listens: nothing was sent */
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
                RawHttpClient.Message answer = RawHttpClient.read(socket.getInputStream());
                if (answer == null) {
                    throw new IOException("closed");
                }
                return answer;
            } catch (IOException e) {
                throw new NoAnswer(name + " gave no answer to " + path + ": " + e, e);
            }
        }
    }

    @Override
    public void close() throws IOException {
        looks.shutdownNow();
        for (ApplicationStubs ship : ships.values()) {
            ship.close();
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
