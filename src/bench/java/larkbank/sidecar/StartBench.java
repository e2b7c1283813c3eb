package larkbank.sidecar;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import larkbank.testkit.Stub;

/**
 * Time, CPU and memory from exec to ready of the program as {@code deploy/balancer.toml} runs it, by turns
 * without
 * a file and with one of 1,000 routes. Needs the build of that file first. Argument: how many starts of each.
 */
public final class StartBench {

    private static final Pattern RUN = Pattern.compile("(?m)^run = \"(.*)\"$");

    private StartBench() { }

    private record Start(double seconds, double cpu, double megabytes) { }

    public static void main(String[] args) throws Exception {
        int rounds = args.length > 0 && args[0].matches("\\d+") ? Integer.parseInt(args[0]) : 11;
        Matcher run = RUN.matcher(Files.readString(Path.of("deploy/balancer.toml")));
        if (!run.find()) {
            throw new IOException("deploy/balancer.toml has no run");
        }
        Path folder = Files.createTempDirectory("start");
        Path file = folder.resolve("operators.toml");
        Files.writeString(file, routes(1_000));
        try (Stub server = new Stub(Stub.SILENT); Harness harness = new Harness(folder, server)) {
            List<Start> without = new ArrayList<>();
            List<Start> with = new ArrayList<>();
            for (int i = 0; i < rounds; i++) {
                without.add(start(run.group(1), harness));
                with.add(start(run.group(1) + " --operators " + file, harness));
            }
            print("no file", without);
            print("1,000 routes", with);
        }
    }

    private static String routes(int count) {
        StringBuilder text = new StringBuilder("version = 1\n[pools.p]\nsource = \"discovery\"\n");
        for (int i = 0; i < count; i++) {
            text.append("[routes.r").append(i).append("]\npath = \"/a").append(i)
                    .append("/{id}\"\nclass = \"search\"\npool = \"p\"\ntimeout = \"900ms\"\n");
        }
        return text.toString();
    }

    private static Start start(String command, Harness harness) throws Exception {
        int port;
        try (ServerSocket free = new ServerSocket(0)) {
            port = free.getLocalPort();
        }
        ProcessBuilder builder = new ProcessBuilder("taskset", "-c", "1", "sh", "-c", command);
        builder.environment().put("LB_CONFIG", harness.file.toString());
        builder.environment().put("LB_LISTEN", "127.0.0.1:" + port);
        builder.inheritIO();
        long since = System.nanoTime();
        Process process = builder.start();
        try {
            awaitReady(new InetSocketAddress("127.0.0.1", port), process);
            double seconds = (System.nanoTime() - since) / 1e9;
            double cpu = process.info().totalCpuDuration().map(Duration::toMillis).orElse(-1L) / 1e3;
            return new Start(seconds, cpu, resident(process.pid()));
        } finally {
            process.destroy();
            process.waitFor();
        }
    }

    private static void awaitReady(InetSocketAddress address, Process process) throws Exception {
        while (process.isAlive()) {
            try (Harness.Client client = new Harness.Client(address)) {
                if (client.raw("GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n").answer().status() == 200) {
                    return;
                }
            } catch (IOException | AssertionError e) {
                // Not listening yet, or closed with the rehearsal.
            }
            Thread.sleep(2);
        }
        throw new IOException("the program ended");
    }

    private static double resident(long pid) throws IOException {
        for (String line : Files.readAllLines(Path.of("/proc/" + pid + "/status"))) {
            if (line.startsWith("VmRSS:")) {
                return Long.parseLong(line.replaceAll("\\D", "")) / 1024.0;
            }
        }
        return Double.NaN;
    }

    private static void print(String name, List<Start> starts) {
        System.out.printf("%-14s ready %.3f s, CPU %.2f s, resident %.1f MB (medians of %d, one core)%n",
                name,
                median(starts.stream().map(Start::seconds).toList()),
                median(starts.stream().map(Start::cpu).toList()),
                median(starts.stream().map(Start::megabytes).toList()), starts.size());
    }

    private static double median(List<Double> values) {
        List<Double> sorted = new ArrayList<>(values);
        Collections.sort(sorted);
        return sorted.get(sorted.size() / 2);
    }
}
