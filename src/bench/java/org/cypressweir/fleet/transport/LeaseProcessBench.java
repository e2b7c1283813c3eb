package org.cypressweir.fleet.transport;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.HdrHistogram.Histogram;
import org.cypressweir.testkit.DatagramRelay;
import org.cypressweir.testkit.LeaseHolders;
import org.cypressweir.testkit.PeerStub;
import org.cypressweir.testkit.SidecarProcesses;

/**
 * Processes of the program with a lease whose holder fails again and again in ways drawn from a seed, three
 * keepers, and how long it takes until another acts. Its argument: processes, faults, first and last seed.
 */
public final class LeaseProcessBench {

    private static final long PAUSE = 500;
    private static final long TERM = 1_200;
    private static final long STARTED = 30_000;

    private LeaseProcessBench() {}

    public static void main(String[] args) throws Exception {
        String[] parts = args[0].split(":");
        int members = Integer.parseInt(parts[0]);
        Histogram gaps = new Histogram(600_000, 3);
        long acts = 0;
        for (long seed = Long.parseLong(parts[2]); seed <= Long.parseLong(parts[3]); seed++) {
            Path folder = Files.createTempDirectory("processes");
            try (PeerStub server = new PeerStub(PeerStub.serves("ok"));
                    SidecarProcesses processes = new SidecarProcesses(folder, seed, members, PAUSE, server)) {
                processes.seeds(3);
                String keepers = IntStream.range(0, 3)
                        .mapToObj(k -> address(processes, k))
                        .collect(Collectors.joining(", "));
                processes.operators(text ->
                        text + "[keepers]\naddresses = [" + keepers + "]\n[leases.job]\nterm = \"" + TERM + "ms\"\n");
                for (int i = 0; i < members; i++) {
                    processes.start(i);
                }
                try (LeaseHolders actors = new LeaseHolders(processes, "job")) {
                    SplittableRandom random = new SplittableRandom(seed);
                    for (int fault = 0; fault < Integer.parseInt(parts[1]); fault++) {
                        fault(processes, actors, random, gaps);
                    }
                    acts += actors.count();
                }
                System.out.println("seed " + seed + ": never two");
            } finally {
                MembershipProcessBench.delete(folder);
            }
        }
        System.out.println(String.format(
                Locale.ROOT,
                "%d faults of holders, %d acts, term %d ms:" + " another acts after median %d ms, 99%% %d, worst %d",
                gaps.getTotalCount(),
                acts,
                TERM,
                gaps.getValueAtPercentile(50),
                gaps.getValueAtPercentile(99),
                gaps.getMaxValue()));
    }

    private static String address(SidecarProcesses processes, int place) {
        try {
            return "\"127.0.0.1:" + processes.relay.port(place) + "\"";
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private static void fault(SidecarProcesses processes, LeaseHolders actors, SplittableRandom random, Histogram gaps)
            throws Exception {
        for (int i = 0; i < processes.size(); i++) {
            int who = i;
            processes.within(STARTED, "ready", () -> processes.ask(who, "READY").startsWith("YES"));
        }
        // Whoever started anew may be a keeper, and has to wait and to learn.
        TimeUnit.MILLISECONDS.sleep(2 * TERM);
        processes.within(STARTED, "held", () -> !actors.holder().isEmpty());
        int holder = Integer.parseInt(actors.holder().substring(1));
        int kind = random.nextInt(7);
        if (random.nextInt(3) == 0) {
            processes.relay.weather(new DatagramRelay.Weather(0.1, 0.1, 0.1, 2 * TERM, 0));
        }
        switch (kind) {
            case 0 -> processes.signal(holder, "STOP");
            case 1 -> processes.kill(holder);
            case 2 -> processes.relay.cut((from, to) -> to != holder);
            case 3 -> processes.relay.cut((from, to) -> from != holder);
            case 4 -> processes.relay.cut((from, to) -> (from == holder) == (to == holder));
            case 5 -> processes.ask(holder, "DRAIN");
            default -> processes.process(holder).destroy();
        }
        long took = processes.within(
                10 * TERM, "another holds, fault " + kind, () -> actors.actsBesides(SidecarProcesses.name(holder)));
        gaps.recordValue(took);
        TimeUnit.MILLISECONDS.sleep(random.nextLong(2 * TERM));
        processes.relay.weather(DatagramRelay.Weather.FAIR);
        switch (kind) {
            case 0 -> processes.signal(holder, "CONT");
            case 1 -> processes.start(holder);
            case 5 -> processes.ask(holder, "UNDRAIN");
            case 6 -> {
                processes.process(holder).waitFor();
                processes.start(holder);
            }
            default -> processes.relay.cut((from, to) -> true);
        }
        if (!actors.wrong().isEmpty()) {
            throw new AssertionError(actors.wrong() + "\n" + processes.logs());
        }
    }
}
