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
            Path folder = Files.createTempDirectory("crew");
            try (PeerStub server = new PeerStub(PeerStub.serves("ok"));
                    SidecarProcesses crew = new SidecarProcesses(folder, seed, members, PAUSE, server)) {
                crew.seeds(3);
                String keepers =
                        IntStream.range(0, 3).mapToObj(k -> address(crew, k)).collect(Collectors.joining(", "));
                crew.operators(text ->
                        text + "[keepers]\naddresses = [" + keepers + "]\n[leases.job]\nterm = \"" + TERM + "ms\"\n");
                for (int i = 0; i < members; i++) {
                    crew.start(i);
                }
                try (LeaseHolders actors = new LeaseHolders(crew, "job")) {
                    SplittableRandom random = new SplittableRandom(seed);
                    for (int fault = 0; fault < Integer.parseInt(parts[1]); fault++) {
                        fault(crew, actors, random, gaps);
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

    private static String address(SidecarProcesses crew, int place) {
        try {
            return "\"127.0.0.1:" + crew.relay.port(place) + "\"";
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private static void fault(SidecarProcesses crew, LeaseHolders actors, SplittableRandom random, Histogram gaps)
            throws Exception {
        for (int i = 0; i < crew.size(); i++) {
            int who = i;
            crew.within(STARTED, "ready", () -> crew.ask(who, "READY").startsWith("YES"));
        }
        // Whoever started anew may be a keeper, and has to wait and to learn.
        TimeUnit.MILLISECONDS.sleep(2 * TERM);
        crew.within(STARTED, "held", () -> !actors.holder().isEmpty());
        int holder = Integer.parseInt(actors.holder().substring(1));
        int kind = random.nextInt(7);
        if (random.nextInt(3) == 0) {
            crew.relay.weather(new DatagramRelay.Weather(0.1, 0.1, 0.1, 2 * TERM, 0));
        }
        switch (kind) {
            case 0 -> crew.signal(holder, "STOP");
            case 1 -> crew.kill(holder);
            case 2 -> crew.relay.cut((from, to) -> to != holder);
            case 3 -> crew.relay.cut((from, to) -> from != holder);
            case 4 -> crew.relay.cut((from, to) -> (from == holder) == (to == holder));
            case 5 -> crew.ask(holder, "DRAIN");
            default -> crew.process(holder).destroy();
        }
        long took = crew.within(
                10 * TERM, "another holds, fault " + kind, () -> actors.actsBesides(SidecarProcesses.name(holder)));
        gaps.recordValue(took);
        TimeUnit.MILLISECONDS.sleep(random.nextLong(2 * TERM));
        crew.relay.weather(DatagramRelay.Weather.FAIR);
        switch (kind) {
            case 0 -> crew.signal(holder, "CONT");
            case 1 -> crew.start(holder);
            case 5 -> crew.ask(holder, "UNDRAIN");
            case 6 -> {
                crew.process(holder).waitFor();
                crew.start(holder);
            }
            default -> crew.relay.cut((from, to) -> true);
        }
        if (!actors.wrong().isEmpty()) {
            throw new AssertionError(actors.wrong() + "\n" + crew.logs());
        }
    }
}
