package org.cypressweir.sidecar;

import java.io.IOException;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import org.cypressweir.testkit.PeerStub;

/** Duration of reloads under steady load and their effect on latency: 1,000 routes, two pools in turn. */
public final class ReloadBench {

    private static final int RELOADS = 60;
    private static final int CLIENTS = 4;

    private ReloadBench() {}

    public static void main(String[] args) throws Exception {
        try (PeerStub one = new PeerStub(PeerStub.serves("ok"));
                PeerStub two = new PeerStub(PeerStub.serves("ok"));
                Harness harness = new Harness(Files.createTempDirectory("reload"))) {
            List<String> files = List.of(file("p", one), file("q", two));
            harness.startWith(files.get(0));
            AtomicBoolean running = new AtomicBoolean(true);
            List<Thread> threads = new ArrayList<>();
            List<Double> latencies = Collections.synchronizedList(new ArrayList<>());
            List<Integer> failures = Collections.synchronizedList(new ArrayList<>());
            for (int i = 0; i < CLIENTS; i++) {
                Harness.Client client = harness.client();
                Thread thread = new Thread(() -> load(client, running, latencies, failures));
                thread.start();
                threads.add(thread);
            }
            Thread.sleep(3_000);
            List<Double> baseline = new ArrayList<>(latencies);
            latencies.clear();
            List<Double> reloads = new ArrayList<>();
            for (int i = 1; i <= RELOADS; i++) {
                long since = System.nanoTime();
                harness.reload(files.get(i % 2));
                reloads.add((System.nanoTime() - since) / 1e6);
                Thread.sleep(50);
            }
            List<Double> during = new ArrayList<>(latencies);
            running.set(false);
            for (Thread thread : threads) {
                thread.join();
            }
            System.out.printf(
                    "reload of 1,000 routes: median %.1f ms, worst %.1f ms%n",
                    quantile(reloads, 0.5), quantile(reloads, 1));
            System.out.printf(
                    "requests without reloads: median %.2f ms, 99%% %.2f ms (%d)%n",
                    quantile(baseline, 0.5), quantile(baseline, 0.99), baseline.size());
            System.out.printf(
                    "requests with reloads:    median %.2f ms, 99%% %.2f ms, worst %.1f ms (%d)," + " not 200: %d%n",
                    quantile(during, 0.5), quantile(during, 0.99), quantile(during, 1), during.size(), failures.size());
        }
    }

    private static void load(
            Harness.Client client, AtomicBoolean running, List<Double> latencies, List<Integer> failures) {
        try {
            while (running.get()) {
                long since = System.nanoTime();
                int status = client.search(2_000).answer().status();
                latencies.add((System.nanoTime() - since) / 1e6);
                if (status != 200) {
                    failures.add(status);
                }
            }
        } catch (IOException e) {
            failures.add(0);
        }
    }

    private static String file(String pool, PeerStub server) {
        StringBuilder text = new StringBuilder("version = 1\n[pools." + pool + "]\nsource = \"static\"\n"
                + "servers = [{ id = \"a\", endpoint = \"127.0.0.1:" + server.port() + "\" }]\n"
                + "[routes.search]\npath = \"/search/*\"\nclass = \"search\"\npool = \"" + pool + "\"\n");
        for (int i = 0; i < 1_000; i++) {
            text.append("[routes.r")
                    .append(i)
                    .append("]\npath = \"/a")
                    .append(i)
                    .append("/{id}\"\nclass = \"search\"\npool = \"")
                    .append(pool)
                    .append("\"\n");
        }
        return text.toString();
    }

    private static double quantile(List<Double> values, double part) {
        List<Double> sorted = new ArrayList<>(values);
        Collections.sort(sorted);
        return sorted.get((int) Math.min(sorted.size() - 1, part * sorted.size()));
    }
}
