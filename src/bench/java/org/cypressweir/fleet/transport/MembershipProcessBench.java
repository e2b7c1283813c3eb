package org.cypressweir.fleet.transport;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Comparator;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.cypressweir.testkit.FaultSchedule;
import org.cypressweir.testkit.PeerStub;
import org.cypressweir.testkit.SidecarProcesses;

/**
 * Runs many sidecar processes under random faults, or measures the cost of membership for each process. The argument
 * has the number of processes, the faults of each schedule, the first seed and the last one, such as {@code 5:8:1:30}.
 * With 0 faults it measures the cost, with membership and without.
 */
public final class MembershipProcessBench {

    private static final long PAUSE_MILLIS = 1_000;
    private static final long COST_SECONDS = 20;

    private MembershipProcessBench() {}

    public static void main(String[] args) throws Exception {
        String[] fields = args[0].split(":");
        int members = Integer.parseInt(fields[0]);
        int faultsPerSchedule = Integer.parseInt(fields[1]);
        if (faultsPerSchedule == 0) {
            measureCost(members, true);
            measureCost(members, false);
            return;
        }
        for (long seed = Long.parseLong(fields[2]); seed <= Long.parseLong(fields[3]); seed++) {
            long startedAt = System.nanoTime();
            Path folder = Files.createTempDirectory("processes");
            try (PeerStub server = new PeerStub(PeerStub.serves("ok"));
                    SidecarProcesses processes = new SidecarProcesses(folder, seed, members, PAUSE_MILLIS, server)) {
                int[] all = start(processes, members);
                processes.await(120_000, "all members see each other", () -> processes.see(members, all));
                FaultSchedule schedule = new FaultSchedule(processes, PAUSE_MILLIS);
                for (FaultSchedule.Step step : FaultSchedule.generate(seed, members, faultsPerSchedule, PAUSE_MILLIS)) {
                    schedule.run(step);
                }
                System.out.println("seed " + seed + ": " + faultsPerSchedule + " faults, none wrong, "
                        + (System.nanoTime() - startedAt) / 1_000_000_000 + " s");
            } finally {
                delete(folder);
            }
        }
    }

    private static int[] start(SidecarProcesses processes, int members) throws Exception {
        int[] all = IntStream.range(0, members).toArray();
        for (int i : all) {
            processes.start(i);
        }
        return all;
    }

    /** Measures CPU time and memory of idle processes. */
    private static void measureCost(int members, boolean isMembershipOn) throws Exception {
        Path folder = Files.createTempDirectory("processes");
        try (PeerStub server = new PeerStub(PeerStub.serves("ok"));
                SidecarProcesses processes = new SidecarProcesses(folder, 1, members, 3 * PAUSE_MILLIS, server)) {
            if (!isMembershipOn) {
                processes.editOperatorConfiguration(text -> text.substring(0, text.indexOf("[membership]")));
            }
            int[] all = start(processes, members);
            for (int i : all) {
                processes.await(
                        120_000, "ready", () -> processes.ask(i, "READY").equals("YES\n"));
            }
            if (isMembershipOn) {
                processes.await(60_000, "all members see each other", () -> processes.see(members, all));
            }
            TimeUnit.SECONDS.sleep(COST_SECONDS);
            long[] before = IntStream.of(all).mapToLong(i -> cpu(processes, i)).toArray();
            TimeUnit.SECONDS.sleep(COST_SECONDS);
            double[] cpu = IntStream.of(all)
                    .mapToDouble(i -> (cpu(processes, i) - before[i]) / 1e7 / COST_SECONDS)
                    .sorted()
                    .toArray();
            long[] heap = new long[members];
            long[] memory = new long[members];
            for (int i : all) {
                long pid = processes.process(i).pid();
                memory[i] = sumOfMatches("VmRSS:\\s+(\\d+)", Files.readString(Path.of("/proc/" + pid + "/status")));
                // Runs a full collection first, so that only live objects count.
                jcmd(pid, "GC.run");
                heap[i] = sumOfMatches("(?:generation|Metaspace) .*used (\\d+)K", jcmd(pid, "GC.heap_info"));
            }
            Arrays.sort(heap);
            Arrays.sort(memory);
            System.out.println(String.format(
                    Locale.ROOT,
                    "%d processes, membership %s: processor median"
                            + " %.2f%%, worst %.2f%% of a core; heap and classes in use median %d KiB, worst %d KiB;"
                            + " resident median %d KiB, worst %d KiB",
                    members,
                    isMembershipOn ? "on" : "off",
                    cpu[members / 2],
                    cpu[members - 1],
                    heap[members / 2],
                    heap[members - 1],
                    memory[members / 2],
                    memory[members - 1]));
        } finally {
            delete(folder);
        }
    }

    private static String jcmd(long pid, String command) throws Exception {
        Process jcmd = new ProcessBuilder("jcmd", String.valueOf(pid), command)
                .redirectErrorStream(true)
                .start();
        String output = new String(jcmd.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        jcmd.waitFor();
        return output;
    }

    private static long sumOfMatches(String number, String text) {
        return Pattern.compile(number)
                .matcher(text)
                .results()
                .mapToLong(r -> Long.parseLong(r.group(1)))
                .sum();
    }

    private static long cpu(SidecarProcesses processes, int i) {
        return processes.process(i).info().totalCpuDuration().orElseThrow().toNanos();
    }

    static void delete(Path folder) throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : (Iterable<Path>) files.sorted(Comparator.reverseOrder())::iterator) {
                Files.deleteIfExists(file);
            }
        }
    }
}
