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

/** Leases among processes of the program, with faults between them: two holders never act at once. */
@Timeout(120)
class LeaseProcessTest extends SidecarProcessTestCase {

    private static final long PAUSE = 500;
    private static final long TERM = 1_200;
    /** A keeper that has just started says nothing for a term, and then asks the others. */
    private static final long KEEPERS = 2 * TERM;

    private static final int NOBODY = -1;

    private static String file(SidecarProcesses processes, String text, int... keepers) {
        return text + "[keepers]\naddresses = [" + addresses(processes, keepers) + "]\n[leases.job]\nterm = \"" + TERM
                + "ms\"\n";
    }

    private static String addresses(SidecarProcesses processes, int... places) {
        return IntStream.of(places)
                .mapToObj(k -> {
                    try {
                        return "\"127.0.0.1:" + processes.relay.port(k) + "\"";
                    } catch (IOException e) {
                        throw new AssertionError(e);
                    }
                })
                .collect(Collectors.joining(", "));
    }

    private void processes(int members) throws Exception {
        long seed = System.nanoTime();
        System.out.println("relay seed " + seed);
        processes = new SidecarProcesses(folder, seed, members, PAUSE, server);
        processes.seeds(3);
        processes.operators(text -> file(processes, text, 0, 1, 2));
        for (int i = 0; i < members; i++) {
            processes.start(i);
        }
    }

    /** All are up, and keepers among them have waited and learned: the next fault may meet another keeper. */
    private void settled() throws Exception {
        for (int i = 0; i < processes.size(); i++) {
            int who = i;
            processes.within(STARTED, "ready", () -> processes.ask(who, "READY").equals("YES\n"));
        }
        processes.within(
                STARTED,
                "all see all",
                () -> processes.see(
                        processes.size(), IntStream.range(0, processes.size()).toArray()));
        TimeUnit.MILLISECONDS.sleep(KEEPERS);
    }

    private int holder(LeaseHolders actors, String when) throws Exception {
        processes.within(KEEPERS + 2 * TERM, when + ": somebody holds", () -> !actors.holder()
                .isEmpty());
        return Integer.parseInt(actors.holder().substring(1));
    }

    /** Somebody else acts by then. */
    private long another(LeaseHolders actors, int than, String when, long millis) throws Exception {
        long took = processes.within(
                millis, when + ": somebody else holds", () -> actors.actsBesides(SidecarProcesses.name(than)));
        System.out.println(when + ": " + took + " ms");
        assertEquals(List.of(), actors.wrong(), when);
        return took;
    }

    @Test
    void twoHoldersNeverActAtOnceWhateverFails() throws Exception {
        processes(5);
        settled();
        try (LeaseHolders actors = new LeaseHolders(processes, "job")) {
            int holder = holder(actors, "the beginning");
            processes.signal(holder, "STOP");
            another(actors, holder, "stopped for longer than the term", TERM + 1_000);
            processes.signal(holder, "CONT");
            TimeUnit.MILLISECONDS.sleep(TERM);
            assertEquals(List.of(), actors.wrong(), "it wakes");

            int deaf = holder(actors, "it goes on");
            processes.relay.cut((from, to) -> to != deaf);
            another(actors, deaf, "can send and not receive", TERM + 1_000);
            processes.relay.cut((from, to) -> true);

            int mute = holder(actors, "healed");
            processes.relay.cut((from, to) -> from != mute);
            another(actors, mute, "can receive and not send", TERM + 1_000);
            processes.relay.cut((from, to) -> true);

            int killed = holder(actors, "healed again");
            processes.kill(killed);
            another(actors, killed, "killed", TERM + 1_000);
            processes.start(killed);
            settled();

            int small = holder(actors, "started anew");
            processes.relay.cut((from, to) -> (from == small) == (to == small));
            another(actors, small, "cut off alone", TERM + 1_000);
            processes.relay.cut((from, to) -> true);

            processes.relay.weather(new DatagramRelay.Weather(0.2, 0.1, 0.1, TERM, 0.02));
            TimeUnit.MILLISECONDS.sleep(2 * TERM);
            processes.relay.weather(DatagramRelay.Weather.FAIR);
            processes.within(STARTED, "all see all", () -> processes.see(5, 0, 1, 2, 3, 4));
            for (int keeper = 0; keeper < 3; keeper++) {
                processes.kill(keeper);
            }
            processes.within(2 * TERM, "nobody holds without keepers", () -> actors.holder()
                    .isEmpty());
            for (int keeper = 0; keeper < 3; keeper++) {
                processes.start(keeper);
            }
            processes.within(STARTED + KEEPERS, "all keepers have forgotten", () -> !actors.holder()
                    .isEmpty());
            assertEquals(List.of(), actors.wrong());

            settled();
            int drained = holder(actors, "keepers are back");
            assertTrue(processes.ask(drained, "DRAIN").startsWith("YES"));
            another(actors, drained, "drained", 2 * TERM);
            processes.ask(drained, "UNDRAIN");
            int last = holder(actors, "at last");
            processes.process(last).destroy();
            another(actors, last, "told to end", 2 * TERM);
            assertTrue(processes.process(last).waitFor(20, TimeUnit.SECONDS));
            assertEquals(0, processes.process(last).exitValue());
            assertTrue(actors.count() > 100, "acts: " + actors.count());
        }
    }

    private void reread(String what) throws Exception {
        for (int i = 0; i < processes.size(); i++) {
            int who = i;
            String before = processes.ask(i, "STATS");
            processes.rewrite(i);
            processes.signal(i, "HUP");
            processes.within(
                    STARTED, what, () -> !count(processes.ask(who, "STATS")).equals(count(before)));
        }
    }

    private static String count(String stats) {
        int at = stats.indexOf("\"reconfig_ok\"");
        return at < 0 ? "" : stats.substring(at, stats.indexOf(',', at));
    }

    /** Two keepers of three give way to others, by way of both sets; nothing else is taken over. */
    @Test
    void keepersAreReplacedAtSighupInTwoStepsOnly() throws Exception {
        processes(5);
        settled();
        try (LeaseHolders actors = new LeaseHolders(processes, "job")) {
            holder(actors, "the first keepers");
            processes.operators(text -> file(processes, text, 0, 3, 4));
            reread("one step");
            assertEquals(
                    5, processes.logs().split("stay as they were: most of the new", -1).length - 1, processes.logs());
            holder(actors, "the first keepers still");
            processes.operators(text -> file(processes, text, 0, 3, 4)
                    .replace("[leases.job]", "before = [" + addresses(processes, 0, 1, 2) + "]\n[leases.job]"));
            reread("both sets");
            TimeUnit.MILLISECONDS.sleep(KEEPERS);
            processes.operators(text -> file(processes, text, 0, 3, 4));
            reread("the new set");
            processes.kill(1);
            processes.kill(2);
            processes.within(
                    KEEPERS + 2 * TERM,
                    "the new keepers grant",
                    () -> !actors.holder().isEmpty() && !Set.of("n1", "n2").contains(actors.holder()));
            TimeUnit.MILLISECONDS.sleep(TERM);
            holder(actors, "and go on granting");
            assertEquals(List.of(), actors.wrong());
        }
    }

    /**
     * The process that holds the lease and goes on holding it. One that is not preferred leaves the lease to the one
     * that is after two terms, so whoever holds for three keeps it until something happens to it.
     */
    private int settledHolder() throws Exception {
        int[] holder = {NOBODY};
        long[] since = {System.nanoTime()};
        processes.within(STARTED, "one holds and keeps it", () -> {
            int now = holdingProcess();
            if (now == NOBODY || now != holder[0]) {
                holder[0] = now;
                since[0] = System.nanoTime();
                return false;
            }
            return System.nanoTime() - since[0] > TimeUnit.MILLISECONDS.toNanos(3 * TERM);
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
        return NOBODY;
    }

    /** The runner's command is gone before anybody else can hold the lease. */
    @Test
    void aCommandRunsOnlyWhileTheLeaseIsHeld() throws Exception {
        processes(3);
        processes.within(STARTED, "all see all", () -> processes.see(3, 0, 1, 2));
        int holder = settledHolder();
        int other = (holder + 1) % 3;
        processes.within(STARTED, "others know it", () -> processes
                .ask(other, "LEASE job")
                .startsWith("NO held by n" + holder + " for "));
        assertEquals("NO lease 'x' is not in the file\n", processes.ask(other, "LEASE x"));
        Path out = folder.resolve("out");
        Process done = run(holder, out, "sh", "-c", "echo token $LB_LEASE_TOKEN; exit 7");
        assertTrue(done.waitFor(20, TimeUnit.SECONDS));
        assertEquals(7, done.exitValue());
        String token = processes.ask(holder, "LEASE job").split(" ")[1];
        assertTrue(Files.readString(out).contains("token " + token + "\n"), Files.readString(out));
        Process refused = run(other, out, "echo", "never");
        assertTrue(refused.waitFor(20, TimeUnit.SECONDS));
        assertEquals(73, refused.exitValue());
        // It does not end when it is asked to, and is ended.
        Path beats = folder.resolve("beats");
        Process lost = run(
                holder, out, "sh", "-c", "trap '' TERM; while true; do date +%s%N >> " + beats + "; sleep 0.02; done");
        processes.within(STARTED, "it runs", () -> Files.exists(beats));
        processes.ask(holder, "DRAIN");
        processes.within(STARTED, "another holds", () -> {
            for (int i = 0; i < 3; i++) {
                if (i != holder && processes.ask(i, "LEASE job").startsWith("YES ")) {
                    return true;
                }
            }
            return false;
        });
        List<String> before = Files.readAllLines(beats);
        assertTrue(lost.waitFor(20, TimeUnit.SECONDS));
        assertEquals(74, lost.exitValue());
        assertEquals(before, Files.readAllLines(beats), "it was gone before another held");
    }

    private Process run(int i, Path out, String... words) throws Exception {
        List<String> line = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("java.class.path"),
                "org.cypressweir.sidecar.Main",
                "lease",
                "run",
                "--door",
                "127.0.0.1:" + processes.door(i),
                "job",
                "--"));
        line.addAll(List.of(words));
        return new ProcessBuilder(line)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(out.toFile()))
                .start();
    }
}
