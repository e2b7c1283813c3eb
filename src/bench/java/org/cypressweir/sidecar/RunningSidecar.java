package org.cypressweir.sidecar;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A sidecar in a separate process, started as {@code deploy/balancer.toml} does; ready once constructed. */
final class RunningSidecar implements AutoCloseable {

    private static final Pattern RUN = Pattern.compile("(?m)^run = \"(.*)\"$");

    final InetSocketAddress address;
    /** Time from exec to ready. */
    final double readySeconds;

    private final Process process;

    /** Starts on one core, with the given text appended to the command line. */
    RunningSidecar(Path config, String arguments) throws Exception {
        this(Path.of(""), config, arguments);
    }

    /** Starts the build of another checkout. */
    RunningSidecar(Path checkout, Path config, String arguments) throws Exception {
        this(checkout, config, arguments, "");
    }

    /** Starts with the given JVM flag in place of {@code -XX:SharedArchiveFile}; the flag is kept if it is empty. */
    RunningSidecar(Path checkout, Path config, String arguments, String classListFlag) throws Exception {
        Matcher run = RUN.matcher(Files.readString(checkout.resolve("deploy/balancer.toml")));
        if (!run.find()) {
            throw new IOException("deploy/balancer.toml has no run");
        }
        try (ServerSocket free = new ServerSocket(0)) {
            address = new InetSocketAddress("127.0.0.1", free.getLocalPort());
        }
        String command = classListFlag.isEmpty()
                ? run.group(1)
                : run.group(1).replaceAll("-XX:SharedArchiveFile=\\S+", classListFlag);
        ProcessBuilder builder = new ProcessBuilder("taskset", "-c", "1", "sh", "-c", command + arguments);
        builder.environment().put("LB_CONFIG", config.toString());
        builder.environment().put("LB_LISTEN", "127.0.0.1:" + address.getPort());
        builder.environment().put("LB_OPERATOR", "127.0.0.2:" + address.getPort());
        builder.directory(checkout.toAbsolutePath().toFile()).inheritIO();
        long startedAt = System.nanoTime();
        process = builder.start();
        awaitReady();
        readySeconds = (System.nanoTime() - startedAt) / 1e9;
    }

    private void awaitReady() throws Exception {
        while (process.isAlive()) {
            try (Harness.Client client = new Harness.Client(address)) {
                if (client.raw("GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n")
                                .answer()
                                .status()
                        == 200) {
                    return;
                }
            } catch (IOException | AssertionError e) {
                // Not listening yet, or the connection was closed at the end of the start-up rehearsal.
            }
            Thread.sleep(2);
        }
        throw new IOException("the sidecar exited before it was ready");
    }

    /** Sends one line to the operator port and returns the response. */
    String call(String line) throws IOException {
        return Harness.adminCommand(new InetSocketAddress("127.0.0.2", address.getPort()), line);
    }

    void sendHangupSignal() throws IOException, InterruptedException {
        new ProcessBuilder("sh", "-c", "kill -HUP " + process.pid()).start().waitFor();
    }

    double cpuSeconds() {
        return process.info().totalCpuDuration().map(Duration::toMillis).orElse(-1L) / 1e3;
    }

    double residentMegabytes() throws IOException {
        List<String> lines = Files.readAllLines(Path.of("/proc/" + process.pid() + "/status"));
        for (String line : lines) {
            if (line.startsWith("VmRSS:")) {
                return Long.parseLong(line.replaceAll("\\D", "")) / 1024.0;
            }
        }
        return Double.NaN;
    }

    @Override
    public void close() throws InterruptedException {
        process.destroy();
        process.waitFor();
    }
}
