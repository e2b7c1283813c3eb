package org.cypressweir.testkit;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import org.cypressweir.common.util.Json;
import org.junit.jupiter.api.Assertions;

/**
 * Several sidecar processes, each started by {@code serve}, with a relay for the datagrams between them, and with
 * common servers and a common discovery. Each process writes the membership events that it sees to a file.
 */
public final class SidecarProcesses implements AutoCloseable {

    /** An event that a process has recorded; {@code mono} is its time by the machine's monotonic clock. */
    public record Event(String process, long mono, String event, String about, String text) {}

    private static final long POLL_INTERVAL_MILLIS = 20;

    /** Ports that were returned before, so that none is returned twice before a process listens on it. */
    private static final Set<Integer> USED_PORTS = ConcurrentHashMap.newKeySet();

    private static final class Sidecar {
        int clientPort;
        int adminPort;
        int membershipPort;
        Process process;
        /** The id of the process that was started last. */
        long pid;
    }

    public final DatagramRelay relay;
    public final PeerStub discovery;
    private final Path folder;
    private final long pauseMillis;
    private final List<Sidecar> sidecars = new ArrayList<>();
    private final PeerStub[] servers;
    private final SchedulingDelayMonitor schedulingDelays = new SchedulingDelayMonitor();
    private UnaryOperator<String> operatorConfigurationEdit = text -> text;
    private UnaryOperator<String> configurationEdit = text -> text;
    private int seedCount = 2;

    public SidecarProcesses(Path folder, long seed, int members, long pauseMillis, PeerStub... servers)
            throws IOException {
        this.folder = folder;
        this.pauseMillis = pauseMillis;
        this.servers = servers;
        discovery = new PeerStub(PeerStub.SILENT);
        for (int i = 0; i < members; i++) {
            Sidecar sidecar = new Sidecar();
            sidecar.clientPort = freePort();
            sidecar.adminPort = freePort();
            sidecar.membershipPort = freePort();
            sidecars.add(sidecar);
        }
        relay = new DatagramRelay(
                seed, sidecars.stream().map(h -> h.membershipPort).toList());
    }

    /**
     * A free port below the range from which the kernel takes ephemeral ports, so that no connection gets it meanwhile.
     */
    private static int freePort() {
        while (true) {
            int port = ThreadLocalRandom.current().nextInt(15_000, 32_000);
            if (!USED_PORTS.add(port)) {
                continue;
            }
            try (ServerSocket free = new ServerSocket(port, 1, InetAddress.getLoopbackAddress());
                    DatagramSocket datagrams = new DatagramSocket(port, InetAddress.getLoopbackAddress())) {
                return Math.min(free.getLocalPort(), datagrams.getLocalPort());
            } catch (IOException e) {
                // The port is in use.
                continue;
            }
        }
    }

    /** Sets an edit of the operators' configuration file for processes that are started from now on. */
    public void editOperatorConfiguration(UnaryOperator<String> change) {
        operatorConfigurationEdit = change;
    }

    /** Sets an edit of the configuration for processes that are started from now on. */
    public void editConfiguration(UnaryOperator<String> change) {
        configurationEdit = change;
    }

    /** Sets how many processes, the first ones, are the seeds of processes that are started from now on. */
    public void setSeedCount(int count) {
        seedCount = count;
    }

    public static String name(int i) {
        return "n" + i;
    }

    public int size() {
        return sidecars.size();
    }

    public InetSocketAddress clientAddress(int i) {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), sidecars.get(i).clientPort);
    }

    public int adminPort(int i) {
        return sidecars.get(i).adminPort;
    }

    /** The port on which a process itself receives datagrams, behind the relay. */
    public int membershipPort(int i) {
        return sidecars.get(i).membershipPort;
    }

    public Path log(int i) {
        return folder.resolve(name(i) + ".log");
    }

    public Process process(int i) {
        return sidecars.get(i).process;
    }

    /** Starts or restarts a process under its own name. */
    public Process start(int i) throws IOException {
        return start(i, name(i));
    }

    public Process start(int i, String name) throws IOException {
        Sidecar sidecar = sidecars.get(i);
        ProcessBuilder builder = new ProcessBuilder(command(write(i, name)));
        builder.environment().putAll(environment(i));
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log(i).toFile()));
        sidecar.process = builder.start();
        sidecar.pid = sidecar.process.pid();
        return sidecar.process;
    }

    /**
     * Starts a process on a listening socket that others may share, with an admin port of its own; returns its id.
     */
    public long startOn(SocketActivator platform, int i) throws Exception {
        Sidecar sidecar = sidecars.get(i);
        sidecar.adminPort = freePort();
        sidecar.clientPort = platform.address.getPort();
        Map<String, String> environment = new HashMap<>(environment(i));
        environment.put("LB_LISTEN", "127.0.0.1:" + sidecar.clientPort);
        String command = String.join(" ", command(write(i, name(i))));
        sidecar.pid = platform.start(command, environment, log(i));
        return sidecar.pid;
    }

    private static List<String> command(Path operatorConfiguration) {
        return List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:TieredStopAtLevel=1",
                "-XX:+UseSerialGC",
                "-Xmx80m",
                "-cp",
                System.getProperty("java.class.path"),
                "org.cypressweir.sidecar.Main",
                "serve",
                "--operators",
                operatorConfiguration.toString());
    }

    private Map<String, String> environment(int i) {
        return Map.of(
                "LB_CONFIG",
                folder.resolve("config" + i + ".json").toString(),
                "LB_OPERATOR",
                "127.0.0.1:" + sidecars.get(i).adminPort);
    }

    /** Writes the files of a process again; it applies the reloadable changes at its next SIGHUP. */
    public void rewrite(int i) throws IOException {
        write(i, name(i));
    }

    private Path write(int i, String name) throws IOException {
        Sidecar sidecar = sidecars.get(i);
        Path config = folder.resolve("config" + i + ".json");
        Files.writeString(
                config,
                configurationEdit.apply(SidecarConfigurations.of(
                        name,
                        sidecar.clientPort,
                        discovery.port(),
                        1024,
                        250_000,
                        SidecarConfigurations.list(1, true, "in_service", servers))));
        Path file = folder.resolve("operators" + i + ".toml");
        List<String> seeds = new ArrayList<>();
        for (int s = 0; s < Math.min(this.seedCount, sidecars.size()); s++) {
            seeds.add("\"127.0.0.1:" + relay.port(s) + "\"");
        }
        Files.writeString(
                file,
                operatorConfigurationEdit.apply("version = 1\n[pools.p]\nsource = \"discovery\"\n"
                        + "[routes.all]\npath = \"/search/*\"\nclass = \"search\"\npool = \"p\"\n"
                        + "[routes.book]\npath = \"/book/*\"\nclass = \"book\"\npool = \"p\"\n"
                        + "[membership]\ncluster = \"mu\"\nlisten = \"127.0.0.1:" + sidecar.membershipPort
                        + "\"\nadvertise = "
                        + "\"127.0.0.1:" + relay.port(i) + "\"\nseeds = [" + String.join(", ", seeds)
                        + "]\npause = \""
                        + pauseMillis + "ms\"\nrecord = \"" + folder.resolve("record" + i + ".json") + "\"\n"));
        return file;
    }

    public void signal(int i, String signal) throws IOException, InterruptedException {
        Assertions.assertEquals(
                0,
                new ProcessBuilder("kill", "-" + signal, String.valueOf(sidecars.get(i).pid))
                        .start()
                        .waitFor());
    }

    public void kill(int i) throws InterruptedException {
        sidecars.get(i).process.destroyForcibly().waitFor();
    }

    /** Sends one line to the admin socket of a process; returns the whole response, or empty if it does not respond. */
    public String ask(int i, String line) {
        try (Socket membershipPort = new Socket(InetAddress.getLoopbackAddress(), sidecars.get(i).adminPort)) {
            membershipPort.setSoTimeout(2_000);
            membershipPort.getOutputStream().write((line + "\n").getBytes(StandardCharsets.US_ASCII));
            return new String(membershipPort.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            return "";
        }
    }

    /** The membership as a process sees it; empty if it does not respond. */
    public Map<?, ?> members(int i) {
        String response = ask(i, "MEMBERS");
        if (!response.startsWith("{")) {
            return Map.of();
        }
        return parse(response.substring(0, response.indexOf('\n')));
    }

    private static Map<?, ?> parse(String line) {
        try (JsonParser parser = new JsonFactory().createParser(line)) {
            return Json.document(parser);
        } catch (IOException e) {
            throw new AssertionError(line, e);
        }
    }

    /** How many live members a process sees; -1 if it does not respond. */
    public int liveCount(int i) {
        return members(i).get("live") instanceof Long live ? live.intValue() : -1;
    }

    /** Whether each of these processes sees exactly this number of live members. */
    public boolean see(int count, int... who) {
        for (int i : who) {
            if (liveCount(i) != count) {
                return false;
            }
        }
        return true;
    }

    /** A condition that may throw. */
    public interface Condition {
        boolean holds() throws Exception;
    }

    /**
     * Waits until a condition holds, and fails after a time-out; returns the time that it took, in milliseconds. Three
     * times the scheduling delays of this process are added to the time-out, since a busy machine delays the other
     * processes as well.
     */
    public long await(long millis, String what, Condition condition) throws Exception {
        long begun = System.nanoTime();
        long delayBefore = schedulingDelays.schedulingDelayNanos();
        while (!condition.holds()) {
            long took = System.nanoTime() - begun - 3 * (schedulingDelays.schedulingDelayNanos() - delayBefore);
            Assertions.assertTrue(
                    took < millis * 1_000_000, () -> "not within " + millis + " ms: " + what + "\n" + logs());
            TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MILLIS);
        }
        return (System.nanoTime() - begun) / 1_000_000;
    }

    /** The total scheduling delay of this process: it observes the other processes that much later. */
    public long schedulingDelayNanos() {
        return schedulingDelays.schedulingDelayNanos();
    }

    /** The logs of all processes. */
    public String logs() {
        StringBuilder all = new StringBuilder();
        for (int i = 0; i < sidecars.size(); i++) {
            try {
                all.append(Files.exists(log(i)) ? Files.readString(log(i)) : "");
            } catch (IOException e) {
                all.append(e);
            }
        }
        return all.toString();
    }

    /** The events that all processes have recorded, in the order of the machine's monotonic clock. */
    public List<Event> history() throws IOException {
        List<Event> history = new ArrayList<>();
        for (int i = 0; i < sidecars.size(); i++) {
            Path record = folder.resolve("record" + i + ".json");
            for (String line : Files.exists(record) ? Files.readAllLines(record) : List.<String>of()) {
                if (line.endsWith("}")) {
                    Map<?, ?> e = parse(line);
                    history.add(new Event(
                            String.valueOf(e.get("process")),
                            Long.parseLong(String.valueOf(e.get("mono"))),
                            String.valueOf(e.get("event")),
                            String.valueOf(e.get("about")),
                            String.valueOf(e.get("text"))));
                }
            }
        }
        history.sort(Comparator.comparingLong(Event::mono));
        return history;
    }

    @Override
    public void close() throws IOException {
        for (Sidecar sidecar : sidecars) {
            if (sidecar.process != null) {
                sidecar.process.destroyForcibly();
            }
        }
        schedulingDelays.close();
        relay.close();
        discovery.close();
    }

    /** Measures how late a thread wakes up from sleep, as a measure of the machine's load. */
    private static final class SchedulingDelayMonitor {
        private static final long SLEEP_MILLIS = 5;
        private volatile long delayNanos;
        private volatile boolean closed;

        SchedulingDelayMonitor() {
            Thread thread = new Thread(
                    () -> {
                        while (!closed) {
                            long before = System.nanoTime();
                            try {
                                TimeUnit.MILLISECONDS.sleep(SLEEP_MILLIS);
                            } catch (InterruptedException e) {
                                return;
                            }
                            delayNanos += Math.max(0, System.nanoTime() - before - 2 * SLEEP_MILLIS * 1_000_000);
                        }
                    },
                    "scheduling-delay-monitor");
            thread.setDaemon(true);
            thread.start();
        }

        long schedulingDelayNanos() {
            return delayNanos;
        }

        void close() {
            closed = true;
        }
    }
}
