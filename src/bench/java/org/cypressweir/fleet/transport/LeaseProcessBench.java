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
 * Measures how long it takes until another process acts under a lease after its holder fails. Sidecar processes have
 * three grantors, and the holder's faults are drawn from a seed. The argument has the number of processes, the faults
 * of each seed, the first seed and the last one, separated by colons.
 */
public final class LeaseProcessBench {

    private static final long PAUSE_MILLIS = 500;
    private static final long TERM_MILLIS = 1_200;
    private static final long START_TIMEOUT_MILLIS = 30_000;

    private LeaseProcessBench() {}

    public static void main(String[] args) throws Exception {
        String[] fields = args[0].split(":");
        int members = Integer.parseInt(fields[0]);
        Histogram takeoverMillis = new Histogram(600_000, 3);
        long actCount = 0;
        for (long seed = Long.parseLong(fields[2]); seed <= Long.parseLong(fields[3]); seed++) {
            Path folder = Files.createTempDirectory("processes");
            try (PeerStub server = new PeerStub(PeerStub.serves("ok"));
                    SidecarProcesses processes = new SidecarProcesses(folder, seed, members, PAUSE_MILLIS, server)) {
                processes.setSeedCount(3);
                String grantors = IntStream.range(0, 3)
                        .mapToObj(index -> address(processes, index))
                        .collect(Collectors.joining(", "));
                processes.editOperatorConfiguration(text -> text + "[keepers]\naddresses = [" + grantors
                        + "]\n[leases.job]\nterm = \"" + TERM_MILLIS + "ms\"\n");
                for (int i = 0; i < members; i++) {
                    processes.start(i);
                }
                try (LeaseHolders leaseHolders = new LeaseHolders(processes, "job")) {
                    SplittableRandom random = new SplittableRandom(seed);
                    for (int fault = 0; fault < Integer.parseInt(fields[1]); fault++) {
                        injectFault(processes, leaseHolders, random, takeoverMillis);
                    }
                    actCount += leaseHolders.count();
                }
                System.out.println("seed " + seed + ": never two");
            } finally {
                MembershipProcessBench.delete(folder);
            }
        }
        System.out.println(String.format(
                Locale.ROOT,
                "%d faults of holders, %d acts, term %d ms:" + " another acts after median %d ms, 99%% %d, worst %d",
                takeoverMillis.getTotalCount(),
                actCount,
                TERM_MILLIS,
                takeoverMillis.getValueAtPercentile(50),
                takeoverMillis.getValueAtPercentile(99),
                takeoverMillis.getMaxValue()));
    }

    private static String address(SidecarProcesses processes, int index) {
        try {
            return "\"127.0.0.1:" + processes.relay.port(index) + "\"";
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private static void injectFault(
            SidecarProcesses processes, LeaseHolders leaseHolders, SplittableRandom random, Histogram takeoverMillis)
            throws Exception {
        for (int i = 0; i < processes.size(); i++) {
            int index = i;
            processes.await(START_TIMEOUT_MILLIS, "ready", () -> processes
                    .ask(index, "READY")
                    .startsWith("YES"));
        }
        // A restarted process may be a grantor, which has to wait for a term and then recover tokens.
        TimeUnit.MILLISECONDS.sleep(2 * TERM_MILLIS);
        processes.await(START_TIMEOUT_MILLIS, "a process holds the lease", () -> !leaseHolders
                .holder()
                .isEmpty());
        int holder = Integer.parseInt(leaseHolders.holder().substring(1));
        int faultKind = random.nextInt(7);
        if (random.nextInt(3) == 0) {
            processes.relay.setImpairment(new DatagramRelay.Impairment(0.1, 0.1, 0.1, 2 * TERM_MILLIS, 0));
        }
        switch (faultKind) {
            case 0 -> processes.signal(holder, "STOP");
            case 1 -> processes.kill(holder);
            case 2 -> processes.relay.setLinkFilter((from, to) -> to != holder);
            case 3 -> processes.relay.setLinkFilter((from, to) -> from != holder);
            case 4 -> processes.relay.setLinkFilter((from, to) -> (from == holder) == (to == holder));
            case 5 -> processes.ask(holder, "DRAIN");
            default -> processes.process(holder).destroy();
        }
        long tookMillis = processes.await(
                10 * TERM_MILLIS,
                "another process holds the lease, fault " + faultKind,
                () -> leaseHolders.othersAct(SidecarProcesses.name(holder)));
        takeoverMillis.recordValue(tookMillis);
        TimeUnit.MILLISECONDS.sleep(random.nextLong(2 * TERM_MILLIS));
        processes.relay.setImpairment(DatagramRelay.Impairment.NONE);
        switch (faultKind) {
            case 0 -> processes.signal(holder, "CONT");
            case 1 -> processes.start(holder);
            case 5 -> processes.ask(holder, "UNDRAIN");
            case 6 -> {
                processes.process(holder).waitFor();
                processes.start(holder);
            }
            default -> processes.relay.setLinkFilter((from, to) -> true);
        }
        if (!leaseHolders.violations().isEmpty()) {
            throw new AssertionError(leaseHolders.violations() + "\n" + processes.logs());
        }
    }
}
