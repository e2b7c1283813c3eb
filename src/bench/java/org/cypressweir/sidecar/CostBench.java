package org.cypressweir.sidecar;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.cypressweir.testkit.PeerStub;

/**
 * CPU time of several builds, measured alternately: until ready, for the first requests, and per later request.
 * Arguments: number of starts of each, and directories of checkouts that were built as their
 * {@code deploy/balancer.toml} says. One core, one client that sends requests back to back.
 */
public final class CostBench {

    private static final int FIRST = 300, LATER = 3_000;

    private CostBench() {}

    private record Cost(double ready, double cpu, double first, double later) {}

    public static void main(String[] args) throws Exception {
        int rounds = Integer.parseInt(args[0]);
        List<List<Cost>> costs = new ArrayList<>();
        try (PeerStub server = new PeerStub(seen -> seen.reply("200 OK", "", "ok"));
                Harness harness = new Harness(Files.createTempDirectory("cost"), server)) {
            for (int round = 0; round < rounds; round++) {
                for (int i = 1; i < args.length; i++) {
                    if (round == 0) {
                        costs.add(new ArrayList<>());
                    }
                    costs.get(i - 1).add(measure(harness, Path.of(args[i])));
                }
            }
        }
        for (int i = 1; i < args.length; i++) {
            List<Cost> c = costs.get(i - 1);
            System.out.printf(
                    "%-24s ready %.3f s, CPU %.3f s; first %d requests %.0f us each, later %.0f us"
                            + " (medians of %d)%n",
                    Path.of(args[i]).getFileName(),
                    StartBench.median(c.stream().map(Cost::ready).toList()),
                    StartBench.median(c.stream().map(Cost::cpu).toList()),
                    FIRST,
                    StartBench.median(c.stream().map(Cost::first).toList()),
                    StartBench.median(c.stream().map(Cost::later).toList()),
                    rounds);
        }
    }

    private static Cost measure(Harness harness, Path checkout) throws Exception {
        try (RunningSidecar served = new RunningSidecar(checkout, harness.file, "");
                Harness.Client client = new Harness.Client(served.address)) {
            double ready = served.cpuSeconds();
            sendRequests(client, FIRST);
            double warm = served.cpuSeconds();
            sendRequests(client, LATER);
            return new Cost(
                    served.readySeconds,
                    ready,
                    (warm - ready) / FIRST * 1e6,
                    (served.cpuSeconds() - warm) / LATER * 1e6);
        }
    }

    private static void sendRequests(Harness.Client client, int times) throws Exception {
        for (int i = 0; i < times; i++) {
            if (client.book("x", 2_000).answer().status() != 200) {
                throw new IllegalStateException("a request was not served");
            }
        }
    }
}
