package org.cypressweir.sidecar;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.cypressweir.testkit.PeerStub;
import org.cypressweir.testkit.RawHttpClient;

/**
 * Cost of cells over sockets, measured alternately with and without cells: one client that sends requests back to back,
 * one server per cell; the argument ({@code -Dbench}) is the number of cells, 8 by default.
 */
public final class CellServeBench {

    private static final int ROUNDS = 5, WARMUP_REQUESTS = 4_000, REQUESTS = 20_000;

    private CellServeBench() {}

    record Run(double medianMicros, double p99Micros, double seconds, double megabytes) {}

    public static void main(String[] args) throws Exception {
        int cells = args.length > 0 && args[0].matches("\\d+") ? Integer.parseInt(args[0]) : 8;
        Path folder = Files.createTempDirectory("cells");
        List<PeerStub> servers = new ArrayList<>();
        for (int i = 0; i < cells; i++) {
            servers.add(new PeerStub(PeerStub.serves("ok")));
        }
        Path withoutCellsFile = folder.resolve("plain.toml");
        Files.writeString(withoutCellsFile, file(servers, ""));
        Path withCellsFile = folder.resolve("parted.toml");
        StringBuilder names = new StringBuilder();
        for (int c = 0; c < cells; c++) {
            names.append(c == 0 ? "" : ", ").append("\"c").append(c).append('"');
        }
        Files.writeString(withCellsFile, file(servers, "[pools.p.cells]\nnames = [" + names + "]\nby = \"key\"\n"));
        try (Harness harness = new Harness(folder, servers.toArray(PeerStub[]::new))) {
            List<Run> without = new ArrayList<>();
            List<Run> with = new ArrayList<>();
            for (int i = 0; i < ROUNDS; i++) {
                without.add(run(harness, withoutCellsFile));
                with.add(run(harness, withCellsFile));
            }
            print("one pool", without);
            print(cells + " cells", with);
        }
        for (PeerStub server : servers) {
            server.close();
        }
        System.exit(0);
    }

    private static String file(List<PeerStub> servers, String cells) {
        StringBuilder text = new StringBuilder("version = 1\n[pools.p]\nsource = \"static\"\nservers = [\n");
        for (PeerStub s : servers) {
            text.append("  { id = \"s-")
                    .append(s.port())
                    .append("\", endpoint = \"127.0.0.1:")
                    .append(s.port())
                    .append("\", zone = \"a\" },\n");
        }
        return text + "]\n" + cells + "[routes.search]\npath = \"/search/*\"\nclass = \"search\"\npool = \"p\"\n";
    }

    static Run run(Harness harness, Path file) throws Exception {
        try (RunningSidecar served = new RunningSidecar(harness.file, " --operators " + file);
                Harness.Client client = new Harness.Client(served.address)) {
            double[] micros = new double[REQUESTS];
            for (int i = -WARMUP_REQUESTS; i < REQUESTS; i++) {
                long startedAt = System.nanoTime();
                RawHttpClient.Message answer = client.raw(
                                Harness.Client.head("GET", "/search/k" + i % 500, 2_000, "", 0))
                        .answer();
                if (answer.status() != 200) {
                    throw new IllegalStateException("answered " + answer.firstLine());
                }
                if (i >= 0) {
                    micros[i] = (System.nanoTime() - startedAt) / 1e3;
                }
            }
            Arrays.sort(micros);
            return new Run(
                    micros[REQUESTS / 2], micros[REQUESTS * 99 / 100], served.readySeconds, served.residentMegabytes());
        }
    }

    static void print(String name, List<Run> runs) {
        System.out.printf(
                "%-9s median %.0f us, 99%% %.0f us, ready %.2f s, resident %.1f MB (medians of" + " %d)%n",
                name,
                median(runs.stream().mapToDouble(Run::medianMicros).toArray()),
                median(runs.stream().mapToDouble(Run::p99Micros).toArray()),
                median(runs.stream().mapToDouble(Run::seconds).toArray()),
                median(runs.stream().mapToDouble(Run::megabytes).toArray()),
                runs.size());
    }

    private static double median(double[] values) {
        Arrays.sort(values);
        return values[values.length / 2];
    }
}
