package org.cypressweir.testkit;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.cypressweir.Main;
import org.cypressweir.common.metrics.MetricsEndpoint;
import org.cypressweir.common.transport.FixtureProcess;

/**
 * The processes of a {@link MeshFixture}, by name. In the folder of the test each process has its settings in NAME.json
 * and its log in NAME.log; a restarted process appends to its log.
 */
final class MeshProcesses {

    private static final int EXIT_TIMEOUT_MILLIS = 12_000;
    /** Logged by each program once it listens. */
    private static final String STARTED = " started";

    private final Path folder;
    private final Map<String, Process> processes = new ConcurrentHashMap<>();
    /** The length of a process's log, in characters, when the process was last started. */
    private final Map<String, Integer> logLengthAtStart = new ConcurrentHashMap<>();

    MeshProcesses(Path folder) {
        this.folder = folder;
    }

    /** The names of all processes that have ever been started. */
    Set<String> names() {
        return new TreeSet<>(processes.keySet());
    }

    Path settingsFile(String name) {
        return folder.resolve(name + ".json");
    }

    /**
     * Starts a process.
     *
     * @param program the name of its program, as passed on the command line
     * @param addressOverrides the addresses to which it connects in place of its peers'; empty without a relay
     */
    void start(String name, String program, String addressOverrides) throws IOException {
        List<String> command = List.of(
                System.getProperty("java.home") + File.separator + "bin" + File.separator + "java",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-Xmx96m",
                "-cp",
                classPath(),
                "-D" + FixtureProcess.ADDRESS_OVERRIDES + "=" + addressOverrides,
                "-D" + MetricsEndpoint.PORT_PROPERTY + "=" + MeshNetwork.METRICS_PORT,
                (addressOverrides.isEmpty() ? Main.class : FixtureProcess.class).getName(),
                program);
        ProcessBuilder builder = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(logFile(name).toFile()));
        builder.environment().put("CYPRESSWEIR_NODE_FILE", settingsFile(name).toString());
        logLengthAtStart.put(name, Files.exists(logFile(name)) ? log(name).length() : 0);
        processes.put(name, builder.start());
    }

    /** Whether all running processes have reported their start. */
    boolean haveStarted() {
        return processes.keySet().stream().allMatch(name -> !isAlive(name) || hasStarted(name));
    }

    /** Whether the process that was last started under this name has reported its start. */
    boolean hasStarted(String name) {
        return log(name).indexOf(STARTED, logLengthAtStart.get(name)) >= 0;
    }

    private static String classPath() {
        return System.getProperty("surefire.test.class.path", System.getProperty("java.class.path"));
    }

    private Path logFile(String name) {
        return folder.resolve(name + ".log");
    }

    boolean isAlive(String name) {
        return processes.get(name).isAlive();
    }

    /** The exit status of a process that has ended. */
    int exitStatus(String name) {
        return processes.get(name).exitValue();
    }

    /** Kills a process; returns when it has ended. */
    void kill(String name) throws InterruptedException {
        processes.get(name).destroyForcibly();
        awaitExit(name);
    }

    /** Kills all processes; returns when they have ended. */
    void killAll() throws InterruptedException {
        processes.values().forEach(Process::destroyForcibly);
        for (String name : processes.keySet()) {
            awaitExit(name);
        }
    }

    /** Sends SIGTERM. */
    void terminate(String name) {
        processes.get(name).destroy();
    }

    /** Waits until a process has ended. */
    void awaitExit(String name) throws InterruptedException {
        if (!processes.get(name).waitFor(EXIT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)) {
            throw new AssertionError(name + " has not exited\n" + log(name));
        }
    }

    /** @param option the signal as an option of kill: -STOP, -CONT, ... */
    void signal(String name, String option) throws IOException, InterruptedException {
        Process kill = new ProcessBuilder(
                        "kill", option, Long.toString(processes.get(name).pid()))
                .start();
        if (kill.waitFor() != 0) {
            throw new IOException("cannot signal " + name);
        }
    }

    /** The log of a process so far. */
    String log(String name) {
        try {
            return Files.readString(logFile(name));
        } catch (IOException e) {
            return e.toString();
        }
    }
}
