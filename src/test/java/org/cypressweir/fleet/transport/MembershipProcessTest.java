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

    private void crew(int members) throws Exception {
        long seed = System.nanoTime();
        System.out.println("relay seed " + seed);
        crew = new SidecarProcesses(folder, seed, members, PAUSE, server);
        int[] all = IntStream.range(0, members).toArray();
        for (int i : all) {
            crew.start(i);
        }
        crew.within(STARTED, "all see all", () -> crew.see(members, all));
    }

    /** What these processes saw of any member's end since then. */
    private List<SidecarProcesses.Event> ends(long since, Integer... by) throws Exception {
        Set<String> names = Set.copyOf(Stream.of(by).map(SidecarProcesses::name).toList());
        return crew.history().stream()
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
        crew(2);
        assertEquals("{n0=alive, n1=alive}", crew.members(0).get("members").toString());
        assertTrue(crew.relay.passed.get() > 0, "they spoke past the relay");
        crew.within(STARTED, "ready", () -> crew.ask(1, "READY").equals("YES\n"));
        String table = members("--door", "127.0.0.1:" + crew.door(1));
        assertTrue(table.startsWith("as n1 sees it, incarnation 1: 2 live\n"), table);
        assertTrue(table.contains("\nn0                   alive          1 127.0.0.1:" + crew.relay.port(0)), table);
        crew.process(1).destroy();
        crew.within(PAUSE, "a word of leaving", () -> crew.see(1, 0));
        assertTrue(crew.process(1).waitFor(20, TimeUnit.SECONDS));
        assertEquals(0, crew.process(1).exitValue());
        List<String> seen = crew.history().stream()
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
        crew(5);
        long begun = mono();
        crew.signal(2, "STOP");
        TimeUnit.MILLISECONDS.sleep(PAUSE * 7 / 10);
        crew.signal(2, "CONT");
        crew.relay.weather(new DatagramRelay.Weather(0.2, 0.1, 0.1, 100, 0.02));
        still();
        crew.relay.weather(DatagramRelay.Weather.FAIR);
        assertEquals(List.of(), ends(begun, 0, 1, 2, 3, 4), "a short pause, and loss");

        crew.kill(3);
        crew.within(KNOWN, "a kill", () -> crew.see(4, 0, 1, 2, 4));
        crew.start(3);
        crew.within(STARTED, "the killed one is back", () -> crew.see(5, 0, 1, 2, 3, 4));

        long stopped = mono();
        crew.signal(4, "STOP");
        crew.within(KNOWN, "a long pause", () -> crew.see(4, 0, 1, 2, 3));
        crew.signal(4, "CONT");
        crew.within(KNOWN, "it comes back by itself", () -> crew.see(5, 0, 1, 2, 3, 4));
        assertEquals(
                Set.of("n4"),
                Set.copyOf(ends(stopped, 0, 1, 2, 3, 4).stream()
                        .map(SidecarProcesses.Event::about)
                        .toList()),
                "it accuses nobody when it wakes");

        long cut = mono();
        crew.relay.cut((from, to) -> !(from == 0 && to == 1) && !(from == 3 && to == 2));
        still();
        assertEquals(List.of(), ends(cut, 0, 1, 2, 3, 4), "pairs that one way is cut for");

        crew.relay.cut((from, to) -> to != 2);
        crew.within(KNOWN + PAUSE, "one that hears nobody", () -> crew.see(4, 0, 1, 3, 4) && crew.see(1, 2));
        long stays = mono();
        still();
        assertEquals(List.of(), ends(stays, 0, 1, 2, 3, 4), "the view stays while the cut lasts");
        crew.relay.cut((from, to) -> true);
        crew.within(KNOWN, "it is healed", () -> crew.see(5, 0, 1, 2, 3, 4));

        crew.relay.cut((from, to) -> from != 1);
        crew.within(KNOWN + PAUSE, "one that nobody hears", () -> crew.see(4, 0, 2, 3, 4) && crew.see(1, 1));
        crew.relay.cut((from, to) -> true);
        crew.within(KNOWN, "that is healed, too", () -> crew.see(5, 0, 1, 2, 3, 4));

        crew.relay.cut((from, to) -> from < 2 == to < 2);
        crew.within(KNOWN + PAUSE, "two parts", () -> crew.see(2, 0, 1) && crew.see(3, 2, 3, 4));
        stays = mono();
        still();
        assertEquals(List.of(), ends(stays, 0, 1, 2, 3, 4), "the parts stay");
        long healed = mono();
        crew.relay.cut((from, to) -> true);
        crew.within(KNOWN, "one whole again", () -> crew.see(5, 0, 1, 2, 3, 4));
        assertEquals(List.of(), ends(healed, 0, 1, 2, 3, 4), "nobody is lost by healing");

        crew.relay.cut((from, to) -> from / 2 == to / 2);
        crew.within(KNOWN + PAUSE, "three parts", () -> crew.see(2, 0, 1, 2, 3) && crew.see(1, 4));
        healed = mono();
        crew.relay.cut((from, to) -> true);
        crew.within(KNOWN, "one whole once more", () -> crew.see(5, 0, 1, 2, 3, 4));
        assertEquals(List.of(), ends(healed, 0, 1, 2, 3, 4), "nobody is lost by healing");
    }

    /** Faults that nobody has chosen; the seed that they are drawn from is printed. */
    @Test
    void faultsDrawnFromASeedEndInOneView() throws Exception {
        crew(5);
        long seed = System.nanoTime();
        System.out.println("fault plan seed " + seed);
        FaultSchedule plan = new FaultSchedule(crew, PAUSE);
        for (FaultSchedule.Step step : FaultSchedule.draw(seed, 5, 4, PAUSE)) {
            plan.play(step);
        }
    }

    /** Another pause holds from SIGHUP on, also for how late a verdict comes. */
    @Test
    void anotherPauseIsTakenOverWithoutLeaving() throws Exception {
        crew(3);
        crew.operators(text -> text.replace("pause = \"" + PAUSE, "pause = \"" + 4 * PAUSE));
        for (int i = 0; i < 3; i++) {
            int who = i;
            crew.within(STARTED, "ready", () -> crew.ask(who, "READY").equals("YES\n"));
            crew.rewrite(i);
            crew.signal(i, "HUP");
            crew.within(STARTED, "read again", () -> crew.ask(who, "STATS").contains("\"reconfig_ok\":1"));
        }
        long begun = mono();
        crew.signal(2, "STOP");
        // Every bound of the old pause is over by then, and the new pause is not.
        TimeUnit.MILLISECONDS.sleep(PAUSE * 3);
        crew.signal(2, "CONT");
        still();
        assertEquals(List.of(), ends(begun, 0, 1, 2));
        assertTrue(crew.see(3, 0, 1, 2));
        crew.kill(2);
        long took = crew.within(4 * KNOWN, "a kill", () -> crew.see(2, 0, 1));
        assertTrue(took > 3 * PAUSE, "known after " + took + " ms, within the new pause");
    }

    /** A process that takes the clients' socket over from another of its name is the same member. */
    @Test
    void oneThatFollowsAnotherOnItsSocketTakesItsPlaceAmongTheMembers() throws Exception {
        crew = new SidecarProcesses(folder, System.nanoTime(), 3, PAUSE, server);
        try (Platform platform = new Platform()) {
            crew.start(0);
            crew.start(1);
            long first = crew.startOn(platform, 2);
            crew.within(STARTED, "all see all", () -> crew.see(3, 0, 1, 2));
            crew.within(
                    STARTED, "the first is ready", () -> crew.ask(2, "READY").equals("YES\n"));
            int before = crew.door(2);
            long second = crew.startOn(platform, 2);
            assertTrue(crew.door(2) != before);
            crew.within(
                    STARTED, "the second is ready", () -> crew.ask(2, "READY").equals("YES\n"));
            assertTrue(crew.see(3, 0, 1), "both run, and one has the name");
            long begun = mono();
            new ProcessBuilder("kill", "-TERM", String.valueOf(first)).start().waitFor();
            assertEquals(0, platform.awaitEnd(first));
            crew.within(KNOWN, "the second has its place", () -> crew.see(3, 0, 1, 2));
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
        crew(3);
        crew.kill(2);
        crew.within(KNOWN, "a kill", () -> crew.see(2, 0, 1));
        long begun = mono();
        Process second = crew.start(2, "n1");
        assertTrue(second.waitFor(30, TimeUnit.SECONDS), "it lives on");
        assertEquals(2, second.exitValue());
        String last = Files.readAllLines(crew.log(2)).stream()
                .filter(l -> l.contains("is taken"))
                .findFirst()
                .orElse("");
        assertTrue(
                last.startsWith("cypressweir-sidecar: name 'n1' is taken by the process at 127.0.0.1:"),
                Files.readString(crew.log(2)));
        assertTrue(crew.see(2, 0, 1));
        assertEquals(List.of(), ends(begun, 0, 1));
        crew.operators(
                text -> text.replaceFirst("listen = \"[0-9.:]+\"", "listen = \"127.0.0.1:" + crew.socket(0) + "\""));
        Process taken = crew.start(2);
        assertTrue(taken.waitFor(30, TimeUnit.SECONDS), "it lives on without a socket");
        assertEquals(1, taken.exitValue());
        assertTrue(
                Files.readString(crew.log(2)).contains("[membership] can't listen on 127.0.0.1:" + crew.socket(0)),
                Files.readString(crew.log(2)));
    }

    /** The rig itself, and what goes with membership: servers shared, discovery dead, some stand still. */
    @Test
    void requestsAreAnsweredOnceWhileDiscoveryDiesAndHalfStandsStill() throws Exception {
        crew(4);
        for (int i = 0; i < 4; i++) {
            int who = i;
            crew.within(STARTED, "ready", () -> crew.ask(who, "READY").equals("YES\n"));
        }
        crew.discovery.close();
        HttpClient client = HttpClient.newHttpClient();
        AtomicInteger ids = new AtomicInteger();
        List<CompletableFuture<Integer>> answers = new ArrayList<>();
        long begun = System.nanoTime();
        crew.signal(0, "STOP");
        crew.signal(1, "STOP");
        // One after the other at each, as clients do; those that stand still answer when they go on.
        for (int i = 0; i < 4; i++) {
            int who = i;
            answers.add(CompletableFuture.supplyAsync(() -> {
                int served = 0;
                while (System.nanoTime() - begun < 2 * PAUSE * 1_000_000) {
                    HttpRequest book = HttpRequest.newBuilder(URI.create(
                                    "http://127.0.0.1:" + crew.front(who).getPort() + "/book/k"))
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
        crew.signal(0, "CONT");
        crew.signal(1, "CONT");
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
        assertTrue(crew.see(4, 0, 1, 2, 3));
    }

    private long dropped(String why) {
        return crew.members(0).get("dropped") instanceof Map<?, ?> all && all.get(why) instanceof Long count
                ? count
                : 0;
    }

    /** Datagrams that are none, or that were one once, change nothing and are counted. */
    @Test
    void mutatedDatagramsChangeNothing() throws Exception {
        crew(2);
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
            crew.relay.inject(0, sent % 3 == 0 || Arrays.equals(bytes, good) ? foreign : bytes);
            if (sent % BATCH == 0) {
                // No more than any socket's buffer keeps for a process that is not let run for a while.
                int all = sent;
                crew.within(STARTED, all + " are counted", () -> dropped("foreign") + dropped("torn") == all);
            }
        }
        assertTrue(dropped("foreign") >= 1_000, () -> "foreign: " + dropped("foreign"));
        assertTrue(crew.see(2, 0, 1));
        assertEquals(List.of(), ends(begun, 0, 1));
    }
}
