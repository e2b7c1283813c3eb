package org.cypressweir.sidecar;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.cypressweir.testkit.PeerStub;

/**
 * Time, CPU and memory from exec to ready of a sidecar started as {@code deploy/balancer.toml} does, alternately
 * without an operators' file and with one of 1,000 routes. Needs the build of that file first. Argument: number of
 * starts of each.
 */
public final class StartBench {

    private StartBench() {}

    private record Start(double seconds, double cpu, double megabytes) {}

    public static void main(String[] args) throws Exception {
        int rounds = args.length > 0 && args[0].matches("\\d+") ? Integer.parseInt(args[0]) : 11;
        Path folder = Files.createTempDirectory("start");
        Path file = folder.resolve("operators.toml");
        Files.writeString(file, routes(1_000));
        try (PeerStub server = new PeerStub(PeerStub.SILENT);
                Harness harness = new Harness(folder, server)) {
            List<Start> without = new ArrayList<>();
            List<Start> with = new ArrayList<>();
            for (int i = 0; i < rounds; i++) {
                without.add(start(harness, ""));
                with.add(start(harness, " --operators " + file));
            }
            print("no file", without);
            print("1,000 routes", with);
        }
    }

    private static String routes(int count) {
        StringBuilder text = new StringBuilder("version = 1\n[pools.p]\nsource = \"discovery\"\n");
        for (int i = 0; i < count; i++) {
            text.append("[routes.r")
                    .append(i)
                    .append("]\npath = \"/a")
                    .append(i)
                    .append("/{id}\"\nclass = \"search\"\npool = \"p\"\ntimeout = \"900ms\"\n");
        }
        return text.toString();
    }

    private static Start start(Harness harness, String more) throws Exception {
        try (RunningSidecar served = new RunningSidecar(harness.file, more)) {
            return new Start(served.readySeconds, served.cpuSeconds(), served.residentMegabytes());
        }
    }

    private static void print(String name, List<Start> starts) {
        System.out.printf(
                "%-14s ready %.3f s, CPU %.2f s, resident %.1f MB (medians of %d, one core)%n",
                name,
                median(starts.stream().map(Start::seconds).toList()),
                median(starts.stream().map(Start::cpu).toList()),
                median(starts.stream().map(Start::megabytes).toList()),
                starts.size());
    }

    static double median(List<Double> values) {
        List<Double> sorted = new ArrayList<>(values);
        Collections.sort(sorted);
        return sorted.get(sorted.size() / 2);
    }
}
