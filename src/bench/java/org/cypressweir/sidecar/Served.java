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

/** The program as {@code deploy/balancer.toml} runs it, in a process of its own, once it is ready. */
final class Served implements AutoCloseable {

    private static final Pattern RUN = Pattern.compile("(?m)^run = \"(.*)\"$");

    final InetSocketAddress address;
    /** Seconds from exec to ready. */
    final double seconds;

    private final Process process;

    /** With the arguments behind the command; on one core. */
    Served(Path config, String more) throws Exception {
        this(Path.of(""), config, more);
    }

    /** The same of another checkout, which has been built. */
    Served(Path checkout, Path config, String more) throws Exception {
        this(checkout, config, more, "");
    }

    /** The same with another flag of the runtime in place of that which names the archive of classes. */
    Served(Path checkout, Path config, String more, String flag) throws Exception {
        Matcher run = RUN.matcher(Files.readString(checkout.resolve("deploy/balancer.toml")));
        if (!run.find()) {
            throw new IOException("deploy/balancer.toml has no run");
        }
        try (ServerSocket free = new ServerSocket(0)) {
            address = new InetSocketAddress("127.0.0.1", free.getLocalPort());
        }
        String command = flag.isEmpty() ? run.group(1) : run.group(1).replaceAll("-XX:SharedArchiveFile=\\S+", flag);
        ProcessBuilder builder = new ProcessBuilder("taskset", "-c", "1", "sh", "-c", command + more);
        builder.environment().put("LB_CONFIG", config.toString());
        builder.environment().put("LB_LISTEN", "127.0.0.1:" + address.getPort());
        builder.environment().put("LB_OPERATOR", "127.0.0.2:" + address.getPort());
        builder.directory(checkout.toAbsolutePath().toFile()).inheritIO();
        long since = System.nanoTime();
        process = builder.start();
        awaitReady();
        seconds = (System.nanoTime() - since) / 1e9;
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
                // Not listening yet, or closed with the rehearsal.
            }
            Thread.sleep(2);
        }
        throw new IOException("the program ended");
    }

    /** One call at the operators' door. */
    String call(String line) throws IOException {
        return Harness.call(new InetSocketAddress("127.0.0.2", address.getPort()), line);
    }

    void hangUp() throws IOException, InterruptedException {
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
