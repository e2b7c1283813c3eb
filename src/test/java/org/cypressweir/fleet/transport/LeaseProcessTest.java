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

    private static String file(SidecarProcesses crew, String text, int... keepers) {
        return text + "[keepers]\naddresses = [" + addresses(crew, keepers) + "]\n[leases.job]\nterm = \"" + TERM
                + "ms\"\n";
    }

    private static String addresses(SidecarProcesses crew, int... places) {
        return IntStream.of(places)
                .mapToObj(k -> {
                    try {
                        return "\"127.0.0.1:" + crew.relay.port(k) + "\"";
                    } catch (IOException e) {
                        throw new AssertionError(e);
                    }
                })
                .collect(Collectors.joining(", "));
    }

    private void crew(int members) throws Exception {
        long seed = System.nanoTime();
        System.out.println("relay seed " + seed);
        crew = new SidecarProcesses(folder, seed, members, PAUSE, server);
        crew.seeds(3);
        crew.operators(text -> file(crew, text, 0, 1, 2));
        for (int i = 0; i < members; i++) {
            crew.start(i);
        }
    }

    /** All are up, and keepers among them have waited and learned: the next fault may meet another keeper. */
    private void settled() throws Exception {
        for (int i = 0; i < crew.size(); i++) {
            int who = i;
            crew.within(STARTED, "ready", () -> crew.ask(who, "READY").equals("YES\n"));
        }
        crew.within(
                STARTED,
                "all see all",
                () -> crew.see(crew.size(), IntStream.range(0, crew.size()).toArray()));
        TimeUnit.MILLISECONDS.sleep(KEEPERS);
    }

    private int holder(LeaseHolders actors, String when) throws Exception {
        crew.within(KEEPERS + 2 * TERM, when + ": somebody holds", () -> !actors.holder()
                .isEmpty());
        return Integer.parseInt(actors.holder().substring(1));
    }

    /** Somebody else acts by then. */
    private long another(LeaseHolders actors, int than, String when, long millis) throws Exception {
        long took = crew.within(
                millis, when + ": somebody else holds", () -> actors.actsBesides(SidecarProcesses.name(than)));
        System.out.println(when + ": " + took + " ms");
        assertEquals(List.of(), actors.wrong(), when);
        return took;
    }

    @Test
    void twoHoldersNeverActAtOnceWhateverFails() throws Exception {
        crew(5);
        settled();
        try (LeaseHolders actors = new LeaseHolders(crew, "job")) {
            int holder = holder(actors, "the beginning");
            crew.signal(holder, "STOP");
            another(actors, holder, "stopped for longer than the term", TERM + 1_000);
            crew.signal(holder, "CONT");
            TimeUnit.MILLISECONDS.sleep(TERM);
            assertEquals(List.of(), actors.wrong(), "it wakes");

            int deaf = holder(actors, "it goes on");
            crew.relay.cut((from, to) -> to != deaf);
            another(actors, deaf, "can send and not receive", TERM + 1_000);
            crew.relay.cut((from, to) -> true);

            int mute = holder(actors, "healed");
            crew.relay.cut((from, to) -> from != mute);
            another(actors, mute, "can receive and not send", TERM + 1_000);
            crew.relay.cut((from, to) -> true);

            int killed = holder(actors, "healed again");
            crew.kill(killed);
            another(actors, killed, "killed", TERM + 1_000);
            crew.start(killed);
            settled();

            int small = holder(actors, "started anew");
            crew.relay.cut((from, to) -> (from == small) == (to == small));
            another(actors, small, "cut off alone", TERM + 1_000);
            crew.relay.cut((from, to) -> true);

            crew.relay.weather(new DatagramRelay.Weather(0.2, 0.1, 0.1, TERM, 0.02));
            TimeUnit.MILLISECONDS.sleep(2 * TERM);
            crew.relay.weather(DatagramRelay.Weather.FAIR);
            crew.within(STARTED, "all see all", () -> crew.see(5, 0, 1, 2, 3, 4));
            for (int keeper = 0; keeper < 3; keeper++) {
                crew.kill(keeper);
            }
            crew.within(2 * TERM, "nobody holds without keepers", () -> actors.holder()
                    .isEmpty());
            for (int keeper = 0; keeper < 3; keeper++) {
                crew.start(keeper);
            }
            crew.within(STARTED + KEEPERS, "all keepers have forgotten", () -> !actors.holder()
                    .isEmpty());
            assertEquals(List.of(), actors.wrong());

            settled();
            int drained = holder(actors, "keepers are back");
            assertTrue(crew.ask(drained, "DRAIN").startsWith("YES"));
            another(actors, drained, "drained", 2 * TERM);
            crew.ask(drained, "UNDRAIN");
            int last = holder(actors, "at last");
            crew.process(last).destroy();
            another(actors, last, "told to end", 2 * TERM);
            assertTrue(crew.process(last).waitFor(20, TimeUnit.SECONDS));
            assertEquals(0, crew.process(last).exitValue());
            assertTrue(actors.count() > 100, "acts: " + actors.count());
        }
    }

    private void reread(String what) throws Exception {
        for (int i = 0; i < crew.size(); i++) {
            int who = i;
            String before = crew.ask(i, "STATS");
            crew.rewrite(i);
            crew.signal(i, "HUP");
            crew.within(STARTED, what, () -> !count(crew.ask(who, "STATS")).equals(count(before)));
        }
    }

    private static String count(String stats) {
        int at = stats.indexOf("\"reconfig_ok\"");
        return at < 0 ? "" : stats.substring(at, stats.indexOf(',', at));
    }

    /** Two keepers of three give way to others, by way of both sets; nothing else is taken over. */
    @Test
    void keepersAreReplacedAtSighupInTwoStepsOnly() throws Exception {
        crew(5);
        settled();
        try (LeaseHolders actors = new LeaseHolders(crew, "job")) {
            holder(actors, "the first keepers");
            crew.operators(text -> file(crew, text, 0, 3, 4));
            reread("one step");
            assertEquals(5, crew.logs().split("stay as they were: most of the new", -1).length - 1, crew.logs());
            holder(actors, "the first keepers still");
            crew.operators(text -> file(crew, text, 0, 3, 4)
                    .replace("[leases.job]", "before = [" + addresses(crew, 0, 1, 2) + "]\n[leases.job]"));
            reread("both sets");
            TimeUnit.MILLISECONDS.sleep(KEEPERS);
            crew.operators(text -> file(crew, text, 0, 3, 4));
            reread("the new set");
            crew.kill(1);
            crew.kill(2);
            crew.within(
                    KEEPERS + 2 * TERM,
                    "the new keepers grant",
                    () -> !actors.holder().isEmpty() && !Set.of("n1", "n2").contains(actors.holder()));
            TimeUnit.MILLISECONDS.sleep(TERM);
            holder(actors, "and go on granting");
            assertEquals(List.of(), actors.wrong());
        }
    }

    /** The runner's command is gone before anybody else can hold the lease. */
    @Test
    void aCommandRunsOnlyWhileTheLeaseIsHeld() throws Exception {
        crew(3);
        crew.within(STARTED, "all see all", () -> crew.see(3, 0, 1, 2));
        String[] held = new String[1];
        int[] who = new int[1];
        crew.within(STARTED, "one holds", () -> {
            for (int i = 0; i < 3; i++) {
                String said = crew.ask(i, "LEASES");
                if (said.contains("\"holder\":\"n" + i + "\",\"held\":true")) {
                    who[0] = i;
                    held[0] = said;
                    return true;
                }
            }
            return false;
        });
        assertTrue(held[0].endsWith("\nEND\n"), held[0]);
        int holder = who[0];
        int other = (holder + 1) % 3;
        crew.within(STARTED, "others know it", () -> crew.ask(other, "LEASE job")
                .startsWith("NO held by n" + holder + " for "));
        assertEquals("NO lease 'x' is not in the file\n", crew.ask(other, "LEASE x"));
        Path out = folder.resolve("out");
        Process done = run(holder, out, "sh", "-c", "echo token $LB_LEASE_TOKEN; exit 7");
        assertTrue(done.waitFor(20, TimeUnit.SECONDS));
        assertEquals(7, done.exitValue());
        String token = crew.ask(holder, "LEASE job").split(" ")[1];
        assertTrue(Files.readString(out).contains("token " + token + "\n"), Files.readString(out));
        Process refused = run(other, out, "echo", "never");
        assertTrue(refused.waitFor(20, TimeUnit.SECONDS));
        assertEquals(73, refused.exitValue());
        // It does not end when it is asked to, and is ended.
        Path beats = folder.resolve("beats");
        Process lost = run(
                holder, out, "sh", "-c", "trap '' TERM; while true; do date +%s%N >> " + beats + "; sleep 0.02; done");
        crew.within(STARTED, "it runs", () -> Files.exists(beats));
        crew.ask(holder, "DRAIN");
        crew.within(STARTED, "another holds", () -> {
            for (int i = 0; i < 3; i++) {
                if (i != holder && crew.ask(i, "LEASE job").startsWith("YES ")) {
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
                "127.0.0.1:" + crew.door(i),
                "job",
                "--"));
        line.addAll(List.of(words));
        return new ProcessBuilder(line)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(out.toFile()))
                .start();
    }
}
