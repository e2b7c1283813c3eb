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
 * Many processes of the program with faults between them, and what membership costs each. Its argument:
 * processes, faults of each plan, first seed and last seed, such as {@code 5:8:1:30}; no faults to see the
 * cost alone, beside the same processes without membership.
 */
public final class MembershipProcessBench {

    private static final long PAUSE = 1_000;
    private static final long COST_SECONDS = 20;

    private MembershipProcessBench() {}

    public static void main(String[] args) throws Exception {
        String[] parts = args[0].split(":");
        int members = Integer.parseInt(parts[0]);
        int steps = Integer.parseInt(parts[1]);
        if (steps == 0) {
            cost(members, true);
            cost(members, false);
            return;
        }
        for (long seed = Long.parseLong(parts[2]); seed <= Long.parseLong(parts[3]); seed++) {
            long begun = System.nanoTime();
            Path folder = Files.createTempDirectory("processes");
            try (PeerStub server = new PeerStub(PeerStub.serves("ok"));
                    SidecarProcesses processes = new SidecarProcesses(folder, seed, members, PAUSE, server)) {
                int[] all = start(processes, members);
                processes.within(120_000, "all see all", () -> processes.see(members, all));
                FaultSchedule plan = new FaultSchedule(processes, PAUSE);
                for (FaultSchedule.Step step : FaultSchedule.draw(seed, members, steps, PAUSE)) {
                    plan.play(step);
                }
                System.out.println("seed " + seed + ": " + steps + " faults, none wrong, "
                        + (System.nanoTime() - begun) / 1_000_000_000 + " s");
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

    /** Processor and memory of a process that has nothing else to do. */
    private static void cost(int members, boolean on) throws Exception {
        Path folder = Files.createTempDirectory("processes");
        try (PeerStub server = new PeerStub(PeerStub.serves("ok"));
                SidecarProcesses processes = new SidecarProcesses(folder, 1, members, 3 * PAUSE, server)) {
            if (!on) {
                processes.operators(text -> text.substring(0, text.indexOf("[membership]")));
            }
            int[] all = start(processes, members);
            for (int i : all) {
                processes.within(
                        120_000, "ready", () -> processes.ask(i, "READY").equals("YES\n"));
            }
            if (on) {
                processes.within(60_000, "all see all", () -> processes.see(members, all));
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
                memory[i] = sum("VmRSS:\\s+(\\d+)", Files.readString(Path.of("/proc/" + pid + "/status")));
                // What lives on after a full collection is what it keeps.
                jcmd(pid, "GC.run");
                heap[i] = sum("(?:generation|Metaspace) .*used (\\d+)K", jcmd(pid, "GC.heap_info"));
            }
            Arrays.sort(heap);
            Arrays.sort(memory);
            System.out.println(String.format(
                    Locale.ROOT,
                    "%d processes, membership %s: processor median"
                            + " %.2f%%, worst %.2f%% of a core; heap and classes in use median %d KiB, worst %d KiB;"
                            + " resident median %d KiB, worst %d KiB",
                    members,
                    on ? "on" : "off",
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
        String said = new String(jcmd.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        jcmd.waitFor();
        return said;
    }

    private static long sum(String number, String text) {
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
