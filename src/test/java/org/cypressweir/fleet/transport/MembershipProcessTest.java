package org.cypressweir.fleet.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.cypressweir.fleet.membership.MemberRecord;
import org.cypressweir.fleet.membership.MemberStatus;
import org.cypressweir.fleet.membership.MembershipMessage;
import org.cypressweir.fleet.membership.Peer;
import org.cypressweir.sidecar.cli.CommandLineTool;
import org.cypressweir.testkit.DatagramRelay;
import org.cypressweir.testkit.FaultSchedule;
import org.cypressweir.testkit.Platform;
import org.cypressweir.testkit.SidecarProcesses;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Processes of the program among each other, with faults between them. */
@Timeout(120)
class MembershipProcessTest extends SidecarProcessTestCase {

    private static final long PAUSE = 1_000;
    /** Silence of a member that counts, and what a word takes to all: told in the program's own times. */
    private static final long KNOWN = 2 * PAUSE + 1_000;

    private static final int BATCH = 50;

    private void processes(int members) throws Exception {
        long seed = System.nanoTime();
        System.out.println("relay seed " + seed);
        processes = new SidecarProcesses(folder, seed, members, PAUSE, server);
        int[] all = IntStream.range(0, members).toArray();
        for (int i : all) {
            processes.start(i);
        }
        processes.within(STARTED, "all see all", () -> processes.see(members, all));
    }

    /** What these processes saw of any member's end since then. */
    private List<SidecarProcesses.Event> ends(long since, Integer... by) throws Exception {
        Set<String> names = Set.copyOf(Stream.of(by).map(SidecarProcesses::name).toList());
        return processes.history().stream()
                .filter(e -> e.mono() > since
                        && names.contains(e.process())
                        && (e.event().equals("out") || e.event().equals("left")))
                .toList();
    }

    private static long mono() {
        return System.nanoTime() / 1_000;
    }

    /** Nothing changes for a while, by the program's own times: the one thing that has to be waited for. */
    private void still() throws Exception {
        long until = System.nanoTime() + KNOWN * 1_000_000;
        while (System.nanoTime() < until) {
            TimeUnit.MILLISECONDS.sleep(50);
        }
    }

    @Test
    void twoFindEachOtherAndOneThatLeavesIsGoneAtOnce() throws Exception {
        processes(2);
        assertEquals("{n0=alive, n1=alive}", processes.members(0).get("members").toString());
        assertTrue(processes.relay.passed.get() > 0, "they spoke past the relay");
        processes.within(STARTED, "ready", () -> processes.ask(1, "READY").equals("YES\n"));
        String table = members("--door", "127.0.0.1:" + processes.door(1));
        assertTrue(table.startsWith("as n1 sees it, incarnation 1: 2 live\n"), table);
        assertTrue(
                table.contains("\nn0                   alive          1 127.0.0.1:" + processes.relay.port(0)), table);
        processes.process(1).destroy();
        processes.within(PAUSE, "a word of leaving", () -> processes.see(1, 0));
        assertTrue(processes.process(1).waitFor(20, TimeUnit.SECONDS));
        assertEquals(0, processes.process(1).exitValue());
        List<String> seen = processes.history().stream()
                .filter(e -> e.process().equals("n0") && e.about().equals("n1"))
                .map(SidecarProcesses.Event::event)
                .toList();
        assertEquals(List.of("joined", "left"), seen);
    }

    private static String members(String... args) {
        PrintStream before = System.out;
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        System.setOut(new PrintStream(out, true, StandardCharsets.UTF_8));
        try {
            String[] all = Stream.concat(Stream.of("members"), Stream.of(args)).toArray(String[]::new);
            assertEquals(0, CommandLineTool.run(all));
        } finally {
            System.setOut(before);
        }
        return out.toString(StandardCharsets.UTF_8);
    }

    /** One after the other, on the same five processes: each ends in a view that all who can talk share. */
    @Test
    void fiveThroughPausesKillsCutsAndLoss() throws Exception {
        processes(5);
        long begun = mono();
        processes.signal(2, "STOP");
        TimeUnit.MILLISECONDS.sleep(PAUSE * 7 / 10);
        processes.signal(2, "CONT");
        processes.relay.weather(new DatagramRelay.Weather(0.2, 0.1, 0.1, 100, 0.02));
        still();
        processes.relay.weather(DatagramRelay.Weather.FAIR);
        assertEquals(List.of(), ends(begun, 0, 1, 2, 3, 4), "a short pause, and loss");

        processes.kill(3);
        processes.within(KNOWN, "a kill", () -> processes.see(4, 0, 1, 2, 4));
        processes.start(3);
        processes.within(STARTED, "the killed one is back", () -> processes.see(5, 0, 1, 2, 3, 4));

        long stopped = mono();
        processes.signal(4, "STOP");
        processes.within(KNOWN, "a long pause", () -> processes.see(4, 0, 1, 2, 3));
        processes.signal(4, "CONT");
        processes.within(KNOWN, "it comes back by itself", () -> processes.see(5, 0, 1, 2, 3, 4));
        assertEquals(
                Set.of("n4"),
                Set.copyOf(ends(stopped, 0, 1, 2, 3, 4).stream()
                        .map(SidecarProcesses.Event::about)
                        .toList()),
                "it accuses nobody when it wakes");

        long cut = mono();
        processes.relay.cut((from, to) -> !(from == 0 && to == 1) && !(from == 3 && to == 2));
        still();
        assertEquals(List.of(), ends(cut, 0, 1, 2, 3, 4), "pairs that one way is cut for");

        processes.relay.cut((from, to) -> to != 2);
        processes.within(
                KNOWN + PAUSE, "one that hears nobody", () -> processes.see(4, 0, 1, 3, 4) && processes.see(1, 2));
        long stays = mono();
        still();
        assertEquals(List.of(), ends(stays, 0, 1, 2, 3, 4), "the view stays while the cut lasts");
        processes.relay.cut((from, to) -> true);
        processes.within(KNOWN, "it is healed", () -> processes.see(5, 0, 1, 2, 3, 4));

        processes.relay.cut((from, to) -> from != 1);
        processes.within(
                KNOWN + PAUSE, "one that nobody hears", () -> processes.see(4, 0, 2, 3, 4) && processes.see(1, 1));
        processes.relay.cut((from, to) -> true);
        processes.within(KNOWN, "that is healed, too", () -> processes.see(5, 0, 1, 2, 3, 4));

        processes.relay.cut((from, to) -> from < 2 == to < 2);
        processes.within(KNOWN + PAUSE, "two parts", () -> processes.see(2, 0, 1) && processes.see(3, 2, 3, 4));
        stays = mono();
        still();
        assertEquals(List.of(), ends(stays, 0, 1, 2, 3, 4), "the parts stay");
        long healed = mono();
        processes.relay.cut((from, to) -> true);
        processes.within(KNOWN, "one whole again", () -> processes.see(5, 0, 1, 2, 3, 4));
        assertEquals(List.of(), ends(healed, 0, 1, 2, 3, 4), "nobody is lost by healing");

        processes.relay.cut((from, to) -> from / 2 == to / 2);
        processes.within(KNOWN + PAUSE, "three parts", () -> processes.see(2, 0, 1, 2, 3) && processes.see(1, 4));
        healed = mono();
        processes.relay.cut((from, to) -> true);
        processes.within(KNOWN, "one whole once more", () -> processes.see(5, 0, 1, 2, 3, 4));
        assertEquals(List.of(), ends(healed, 0, 1, 2, 3, 4), "nobody is lost by healing");
    }

    /** Faults that nobody has chosen; the seed that they are drawn from is printed. */
    @Test
    void faultsDrawnFromASeedEndInOneView() throws Exception {
        processes(5);
        long seed = System.nanoTime();
        System.out.println("fault plan seed " + seed);
        FaultSchedule plan = new FaultSchedule(processes, PAUSE);
        for (FaultSchedule.Step step : FaultSchedule.draw(seed, 5, 4, PAUSE)) {
            plan.play(step);
        }
    }

    /** Another pause holds from SIGHUP on, also for how late a verdict comes. */
    @Test
    void anotherPauseIsTakenOverWithoutLeaving() throws Exception {
        processes(3);
        processes.operators(text -> text.replace("pause = \"" + PAUSE, "pause = \"" + 4 * PAUSE));
        for (int i = 0; i < 3; i++) {
            int who = i;
            processes.within(STARTED, "ready", () -> processes.ask(who, "READY").equals("YES\n"));
            processes.rewrite(i);
            processes.signal(i, "HUP");
            processes.within(
                    STARTED, "read again", () -> processes.ask(who, "STATS").contains("\"reconfig_ok\":1"));
        }
        long begun = mono();
        processes.signal(2, "STOP");
        // Every bound of the old pause is over by then, and the new pause is not.
        TimeUnit.MILLISECONDS.sleep(PAUSE * 3);
        processes.signal(2, "CONT");
        still();
        assertEquals(List.of(), ends(begun, 0, 1, 2));
        assertTrue(processes.see(3, 0, 1, 2));
        processes.kill(2);
        long took = processes.within(4 * KNOWN, "a kill", () -> processes.see(2, 0, 1));
        assertTrue(took > 3 * PAUSE, "known after " + took + " ms, within the new pause");
    }

    /** A process that takes the clients' socket over from another of its name is the same member. */
    @Test
    void oneThatFollowsAnotherOnItsSocketTakesItsPlaceAmongTheMembers() throws Exception {
        processes = new SidecarProcesses(folder, System.nanoTime(), 3, PAUSE, server);
        try (Platform platform = new Platform()) {
            processes.start(0);
            processes.start(1);
            long first = processes.startOn(platform, 2);
            processes.within(STARTED, "all see all", () -> processes.see(3, 0, 1, 2));
            processes.within(STARTED, "the first is ready", () -> processes
                    .ask(2, "READY")
                    .equals("YES\n"));
            int before = processes.door(2);
            long second = processes.startOn(platform, 2);
            assertTrue(processes.door(2) != before);
            processes.within(STARTED, "the second is ready", () -> processes
                    .ask(2, "READY")
                    .equals("YES\n"));
            assertTrue(processes.see(3, 0, 1), "both run, and one has the name");
            long begun = mono();
            new ProcessBuilder("kill", "-TERM", String.valueOf(first)).start().waitFor();
            assertEquals(0, platform.awaitEnd(first));
            processes.within(KNOWN, "the second has its place", () -> processes.see(3, 0, 1, 2));
            assertEquals(
                    Set.of("n2 left"),
                    Set.copyOf(ends(begun, 0, 1).stream()
                            .map(e -> e.about() + " " + e.event())
                            .toList()));
            new ProcessBuilder("kill", "-TERM", String.valueOf(second)).start().waitFor();
            assertEquals(0, platform.awaitEnd(second));
        }
    }

    @Test
    void theLaterOfTwoWithOneNameIsRefusedAndTheFirstLivesOn() throws Exception {
        processes(3);
        processes.kill(2);
        processes.within(KNOWN, "a kill", () -> processes.see(2, 0, 1));
        long begun = mono();
        Process second = processes.start(2, "n1");
        assertTrue(second.waitFor(30, TimeUnit.SECONDS), "it lives on");
        assertEquals(2, second.exitValue());
        String last = Files.readAllLines(processes.log(2)).stream()
                .filter(l -> l.contains("is taken"))
                .findFirst()
                .orElse("");
        assertTrue(
                last.startsWith("cypressweir-sidecar: name 'n1' is taken by the process at 127.0.0.1:"),
                Files.readString(processes.log(2)));
        assertTrue(processes.see(2, 0, 1));
        assertEquals(List.of(), ends(begun, 0, 1));
        processes.operators(text ->
                text.replaceFirst("listen = \"[0-9.:]+\"", "listen = \"127.0.0.1:" + processes.socket(0) + "\""));
        Process taken = processes.start(2);
        assertTrue(taken.waitFor(30, TimeUnit.SECONDS), "it lives on without a socket");
        assertEquals(1, taken.exitValue());
        assertTrue(
                Files.readString(processes.log(2))
                        .contains("[membership] can't listen on 127.0.0.1:" + processes.socket(0)),
                Files.readString(processes.log(2)));
    }

    /** The rig itself, and what goes with membership: servers shared, discovery dead, some stand still. */
    @Test
    void requestsAreAnsweredOnceWhileDiscoveryDiesAndHalfStandsStill() throws Exception {
        processes(4);
        for (int i = 0; i < 4; i++) {
            int who = i;
            processes.within(STARTED, "ready", () -> processes.ask(who, "READY").equals("YES\n"));
        }
        processes.discovery.close();
        HttpClient client = HttpClient.newHttpClient();
        AtomicInteger ids = new AtomicInteger();
        List<CompletableFuture<Integer>> answers = new ArrayList<>();
        long begun = System.nanoTime();
        processes.signal(0, "STOP");
        processes.signal(1, "STOP");
        // One after the other at each, as clients do; those that stand still answer when they go on.
        for (int i = 0; i < 4; i++) {
            int who = i;
            answers.add(CompletableFuture.supplyAsync(() -> {
                int served = 0;
                while (System.nanoTime() - begun < 2 * PAUSE * 1_000_000) {
                    HttpRequest book = HttpRequest.newBuilder(URI.create(
                                    "http://127.0.0.1:" + processes.front(who).getPort() + "/book/k"))
                            .header("Request-Id", String.format("%016x", ids.incrementAndGet()))
                            .header("Tenant", "acme")
                            .header("Request-Timeout-Ms", "20000")
                            .POST(HttpRequest.BodyPublishers.ofString("x"))
                            .build();
                    try {
                        served += client.send(book, HttpResponse.BodyHandlers.ofString())
                                                .statusCode()
                                        == 200
                                ? 1
                                : 0;
                    } catch (IOException | InterruptedException e) {
                        throw new AssertionError(e);
                    }
                }
                return served;
            }));
        }
        TimeUnit.MILLISECONDS.sleep(PAUSE * 7 / 10);
        processes.signal(0, "CONT");
        processes.signal(1, "CONT");
        int served = 0;
        for (CompletableFuture<Integer> a : answers) {
            int own = a.get(60, TimeUnit.SECONDS);
            assertTrue(own > 0, "one process served nothing");
            served += own;
        }
        Map<String, Integer> ran = new HashMap<>();
        server.seen.forEach(s -> ran.merge(s.request().headers().get("Request-Id"), 1, Integer::sum));
        assertEquals(ids.get(), served, "each booking has the answer of a server");
        assertEquals(Set.of(1), Set.copyOf(ran.values()), "and ran once");
        assertTrue(processes.see(4, 0, 1, 2, 3));
    }

    private long dropped(String why) {
        return processes.members(0).get("dropped") instanceof Map<?, ?> all && all.get(why) instanceof Long count
                ? count
                : 0;
    }

    /** Datagrams that are none, or that were one once, change nothing and are counted. */
    @Test
    void mutatedDatagramsChangeNothing() throws Exception {
        processes(2);
        long begun = mono();
        SplittableRandom random = new SplittableRandom(7);
        Peer peer = new Peer("n1", 1, 1, 99, new InetSocketAddress("127.0.0.1", 9));
        byte[] good = new MembershipMessageCodec("mu")
                .write(new MembershipMessage(
                        MembershipMessage.Kind.NEWS,
                        peer,
                        "n0",
                        1,
                        2,
                        List.of(new MemberRecord(peer, MemberStatus.LEFT, 3, Map.of("a", "b"), 0)),
                        List.of(),
                        List.of(),
                        ""));
        byte[] foreign = new MembershipMessageCodec("other")
                .write(new MembershipMessage(
                        MembershipMessage.Kind.NEWS, peer, "n0", 1, 2, List.of(), List.of(), List.of(), ""));
        for (int sent = 1; sent <= 3_000; sent++) {
            byte[] bytes = Arrays.copyOf(good, 1 + random.nextInt(2 * good.length));
            for (int flips = 1 + random.nextInt(4); flips > 0; flips--) {
                bytes[random.nextInt(bytes.length)] ^= (byte) (1 << random.nextInt(8));
            }
            processes.relay.inject(0, sent % 3 == 0 || Arrays.equals(bytes, good) ? foreign : bytes);
            if (sent % BATCH == 0) {
                // No more than any socket's buffer keeps for a process that is not let run for a while.
                int all = sent;
                processes.within(STARTED, all + " are counted", () -> dropped("foreign") + dropped("torn") == all);
            }
        }
        assertTrue(dropped("foreign") >= 1_000, () -> "foreign: " + dropped("foreign"));
        assertTrue(processes.see(2, 0, 1));
        assertEquals(List.of(), ends(begun, 0, 1));
    }
}
