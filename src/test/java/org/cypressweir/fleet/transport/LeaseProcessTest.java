package org.cypressweir.fleet.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.cypressweir.testkit.DatagramRelay;
import org.cypressweir.testkit.LeaseHolders;
import org.cypressweir.testkit.SidecarProcesses;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Leases among sidecar processes under faults: two holders must never act at the same time. */
@Timeout(120)
class LeaseProcessTest extends SidecarProcessTestCase {

    private static final long PAUSE_MILLIS = 500;
    private static final long TERM_MILLIS = 1_200;
    /** A restarted grantor grants nothing for a term, and then queries the other grantors for tokens. */
    private static final long GRANTOR_RECOVERY_MILLIS = 2 * TERM_MILLIS;

    private static final int NO_PROCESS = -1;

    private static String withLeaseSettings(SidecarProcesses processes, String text, int... grantors) {
        return text + "[keepers]\naddresses = [" + addresses(processes, grantors) + "]\n[leases.job]\nterm = \""
                + TERM_MILLIS + "ms\"\n";
    }

    private static String addresses(SidecarProcesses processes, int... indices) {
        return IntStream.of(indices)
                .mapToObj(index -> {
                    try {
                        return "\"127.0.0.1:" + processes.relay.port(index) + "\"";
                    } catch (IOException e) {
                        throw new AssertionError(e);
                    }
                })
                .collect(Collectors.joining(", "));
    }

    private void startProcesses(int members) throws Exception {
        long seed = System.nanoTime();
        System.out.println("relay seed " + seed);
        processes = new SidecarProcesses(folder, seed, members, PAUSE_MILLIS, server);
        processes.setSeedCount(3);
        processes.editOperatorConfiguration(text -> withLeaseSettings(processes, text, 0, 1, 2));
        for (int i = 0; i < members; i++) {
            processes.start(i);
        }
    }

    /** Waits until all processes run and all grantors can grant, so that the next fault may hit another grantor. */
    private void awaitReady() throws Exception {
        for (int i = 0; i < processes.size(); i++) {
            int index = i;
            processes.await(START_TIMEOUT_MILLIS, "ready", () -> processes
                    .ask(index, "READY")
                    .equals("YES\n"));
        }
        processes.await(
                START_TIMEOUT_MILLIS,
                "all members see each other",
                () -> processes.see(
                        processes.size(), IntStream.range(0, processes.size()).toArray()));
        TimeUnit.MILLISECONDS.sleep(GRANTOR_RECOVERY_MILLIS);
    }

    private int awaitHolder(LeaseHolders leaseHolders, String phase) throws Exception {
        processes.await(
                GRANTOR_RECOVERY_MILLIS + 2 * TERM_MILLIS,
                phase + ": some process holds the lease",
                () -> !leaseHolders.holder().isEmpty());
        return Integer.parseInt(leaseHolders.holder().substring(1));
    }

    /** Waits until another process acts, within so many milliseconds. */
    private long awaitOtherHolder(LeaseHolders leaseHolders, int previousHolder, String phase, long millis)
            throws Exception {
        long tookMillis = processes.await(
                millis,
                phase + ": another process holds the lease",
                () -> leaseHolders.othersAct(SidecarProcesses.name(previousHolder)));
        System.out.println(phase + ": " + tookMillis + " ms");
        assertEquals(List.of(), leaseHolders.violations(), phase);
        return tookMillis;
    }

    @Test
    void atMostOneHolderActsDuringFaults() throws Exception {
        startProcesses(5);
        awaitReady();
        try (LeaseHolders leaseHolders = new LeaseHolders(processes, "job")) {
            int holder = awaitHolder(leaseHolders, "after the start");
            processes.signal(holder, "STOP");
            awaitOtherHolder(leaseHolders, holder, "stopped for longer than the term", TERM_MILLIS + 1_000);
            processes.signal(holder, "CONT");
            TimeUnit.MILLISECONDS.sleep(TERM_MILLIS);
            assertEquals(List.of(), leaseHolders.violations(), "after the process was resumed");

            int unableToReceive = awaitHolder(leaseHolders, "after the process was resumed");
            processes.relay.setLinkFilter((from, to) -> to != unableToReceive);
            awaitOtherHolder(leaseHolders, unableToReceive, "can send but not receive", TERM_MILLIS + 1_000);
            processes.relay.setLinkFilter((from, to) -> true);

            int unableToSend = awaitHolder(leaseHolders, "partition healed");
            processes.relay.setLinkFilter((from, to) -> from != unableToSend);
            awaitOtherHolder(leaseHolders, unableToSend, "can receive but not send", TERM_MILLIS + 1_000);
            processes.relay.setLinkFilter((from, to) -> true);

            int killed = awaitHolder(leaseHolders, "partition healed again");
            processes.kill(killed);
            awaitOtherHolder(leaseHolders, killed, "killed", TERM_MILLIS + 1_000);
            processes.start(killed);
            awaitReady();

            int isolated = awaitHolder(leaseHolders, "killed process restarted");
            processes.relay.setLinkFilter((from, to) -> (from == isolated) == (to == isolated));
            awaitOtherHolder(leaseHolders, isolated, "isolated", TERM_MILLIS + 1_000);
            processes.relay.setLinkFilter((from, to) -> true);

            processes.relay.setImpairment(new DatagramRelay.Impairment(0.2, 0.1, 0.1, TERM_MILLIS, 0.02));
            TimeUnit.MILLISECONDS.sleep(2 * TERM_MILLIS);
            processes.relay.setImpairment(DatagramRelay.Impairment.NONE);
            processes.await(START_TIMEOUT_MILLIS, "all members see each other", () -> processes.see(5, 0, 1, 2, 3, 4));
            for (int grantor = 0; grantor < 3; grantor++) {
                processes.kill(grantor);
            }
            processes.await(2 * TERM_MILLIS, "no process holds the lease without grantors", () -> leaseHolders
                    .holder()
                    .isEmpty());
            for (int grantor = 0; grantor < 3; grantor++) {
                processes.start(grantor);
            }
            processes.await(
                    START_TIMEOUT_MILLIS + GRANTOR_RECOVERY_MILLIS,
                    "a process holds the lease after all grantors lost their state",
                    () -> !leaseHolders.holder().isEmpty());
            assertEquals(List.of(), leaseHolders.violations());

            awaitReady();
            int drained = awaitHolder(leaseHolders, "grantors restarted");
            assertTrue(processes.ask(drained, "DRAIN").startsWith("YES"));
            awaitOtherHolder(leaseHolders, drained, "drained", 2 * TERM_MILLIS);
            processes.ask(drained, "UNDRAIN");
            int terminated = awaitHolder(leaseHolders, "after undraining");
            processes.process(terminated).destroy();
            awaitOtherHolder(leaseHolders, terminated, "terminated", 2 * TERM_MILLIS);
            assertTrue(processes.process(terminated).waitFor(20, TimeUnit.SECONDS));
            assertEquals(0, processes.process(terminated).exitValue());
            assertTrue(leaseHolders.count() > 100, "acts: " + leaseHolders.count());
        }
    }

    private void reloadAll(String description) throws Exception {
        for (int i = 0; i < processes.size(); i++) {
            int index = i;
            String before = processes.ask(i, "STATS");
            processes.rewrite(i);
            processes.signal(i, "HUP");
            processes.await(START_TIMEOUT_MILLIS, description, () -> !successfulReloads(processes.ask(index, "STATS"))
                    .equals(successfulReloads(before)));
        }
    }

    private static String successfulReloads(String stats) {
        int at = stats.indexOf("\"reconfig_ok\"");
        return at < 0 ? "" : stats.substring(at, stats.indexOf(',', at));
    }

    /** Two of three grantors are replaced in two steps, by way of both sets; a change in one step is rejected. */
    @Test
    void grantorsAreReplacedAtSighupInTwoStepsOnly() throws Exception {
        startProcesses(5);
        awaitReady();
        try (LeaseHolders leaseHolders = new LeaseHolders(processes, "job")) {
            awaitHolder(leaseHolders, "first set of grantors");
            processes.editOperatorConfiguration(text -> withLeaseSettings(processes, text, 0, 3, 4));
            reloadAll("reload: change in one step");
            assertEquals(
                    5, processes.logs().split("stay as they were: most of the new", -1).length - 1, processes.logs());
            awaitHolder(leaseHolders, "first set of grantors still in use");
            processes.editOperatorConfiguration(text -> withLeaseSettings(processes, text, 0, 3, 4)
                    .replace("[leases.job]", "before = [" + addresses(processes, 0, 1, 2) + "]\n[leases.job]"));
            reloadAll("reload: both sets");
            TimeUnit.MILLISECONDS.sleep(GRANTOR_RECOVERY_MILLIS);
            processes.editOperatorConfiguration(text -> withLeaseSettings(processes, text, 0, 3, 4));
            reloadAll("reload: new set");
            processes.kill(1);
            processes.kill(2);
            processes.await(
                    GRANTOR_RECOVERY_MILLIS + 2 * TERM_MILLIS,
                    "the new grantors grant",
                    () -> !leaseHolders.holder().isEmpty()
                            && !Set.of("n1", "n2").contains(leaseHolders.holder()));
            TimeUnit.MILLISECONDS.sleep(TERM_MILLIS);
            awaitHolder(leaseHolders, "the new grantors go on granting");
            assertEquals(List.of(), leaseHolders.violations());
        }
    }

    /**
     * Waits for a process that keeps holding the lease. A holder that is not the preferred one hands the lease over
     * after two terms, so a process that has held it for three terms keeps it until a fault.
     */
    private int awaitStableHolder() throws Exception {
        int[] holder = {NO_PROCESS};
        long[] since = {System.nanoTime()};
        processes.await(START_TIMEOUT_MILLIS, "one process keeps holding the lease", () -> {
            int now = holdingProcess();
            if (now == NO_PROCESS || now != holder[0]) {
                holder[0] = now;
                since[0] = System.nanoTime();
                return false;
            }
            return System.nanoTime() - since[0] > TimeUnit.MILLISECONDS.toNanos(3 * TERM_MILLIS);
        });
        return holder[0];
    }

    private int holdingProcess() throws Exception {
        for (int i = 0; i < processes.size(); i++) {
            String leases = processes.ask(i, "LEASES");
            if (leases.contains("\"holder\":\"n" + i + "\",\"held\":true")) {
                assertTrue(leases.endsWith("\nEND\n"), leases);
                return i;
            }
        }
        return NO_PROCESS;
    }

    /** A command of {@code lease run} is terminated before another process can hold the lease. */
    @Test
    void commandRunsOnlyWhileLeaseIsHeld() throws Exception {
        startProcesses(3);
        processes.await(START_TIMEOUT_MILLIS, "all members see each other", () -> processes.see(3, 0, 1, 2));
        int holder = awaitStableHolder();
        int other = (holder + 1) % 3;
        processes.await(START_TIMEOUT_MILLIS, "other processes know the holder", () -> processes
                .ask(other, "LEASE job")
                .startsWith("NO held by n" + holder + " for "));
        assertEquals("NO lease 'x' is not in the file\n", processes.ask(other, "LEASE x"));
        Path output = folder.resolve("out");
        Process completed = runUnderLease(holder, output, "sh", "-c", "echo token $LB_LEASE_TOKEN; exit 7");
        assertTrue(completed.waitFor(20, TimeUnit.SECONDS));
        assertEquals(7, completed.exitValue());
        String token = processes.ask(holder, "LEASE job").split(" ")[1];
        assertTrue(Files.readString(output).contains("token " + token + "\n"), Files.readString(output));
        Process refused = runUnderLease(other, output, "echo", "never");
        assertTrue(refused.waitFor(20, TimeUnit.SECONDS));
        assertEquals(73, refused.exitValue());
        // The command ignores SIGTERM, so it has to be killed.
        Path timestamps = folder.resolve("beats");
        Process interrupted = runUnderLease(
                holder,
                output,
                "sh",
                "-c",
                "trap '' TERM; while true; do date +%s%N >> " + timestamps + "; sleep 0.02; done");
        processes.await(START_TIMEOUT_MILLIS, "the command runs", () -> Files.exists(timestamps));
        processes.ask(holder, "DRAIN");
        processes.await(START_TIMEOUT_MILLIS, "another process holds the lease", () -> {
            for (int i = 0; i < 3; i++) {
                if (i != holder && processes.ask(i, "LEASE job").startsWith("YES ")) {
                    return true;
                }
            }
            return false;
        });
        List<String> before = Files.readAllLines(timestamps);
        assertTrue(interrupted.waitFor(20, TimeUnit.SECONDS));
        assertEquals(74, interrupted.exitValue());
        assertEquals(before, Files.readAllLines(timestamps), "the command ended before another process held the lease");
    }

    private Process runUnderLease(int i, Path output, String... command) throws Exception {
        List<String> commandLine = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("java.class.path"),
                "org.cypressweir.sidecar.Main",
                "lease",
                "run",
                "--door",
                "127.0.0.1:" + processes.adminPort(i),
                "job",
                "--"));
        commandLine.addAll(List.of(command));
        return new ProcessBuilder(commandLine)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(output.toFile()))
                .start();
    }
}
