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
import org.cypressweir.testkit.SidecarProcesses;
import org.cypressweir.testkit.SocketActivator;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Membership among sidecar processes under faults. */
@Timeout(120)
class MembershipProcessTest extends SidecarProcessTestCase {

    private static final long PAUSE_MS = 1_000;
    /** Time until a silent member is removed and all others know it, by the sidecar's settings. */
    private static final long DETECTION_MS = 2 * PAUSE_MS + 1_000;

    private static final int DATAGRAMS_PER_BATCH = 50;

    private void startProcesses(int members) throws Exception {
        long seed = System.nanoTime();
        System.out.println("relay seed " + seed);
        processes = new SidecarProcesses(folder, seed, members, PAUSE_MS, server);
        int[] all = IntStream.range(0, members).toArray();
        for (int i : all) {
            processes.start(i);
        }
        processes.await(START_TIMEOUT_MILLIS, "all members see each other", () -> processes.see(members, all));
    }

    /** Events by which these processes saw a member leave or be removed since then. */
    private List<SidecarProcesses.Event> departures(long since, Integer... observers) throws Exception {
        Set<String> names =
                Set.copyOf(Stream.of(observers).map(SidecarProcesses::name).toList());
        return processes.history().stream()
                .filter(e -> e.mono() > since
                        && names.contains(e.process())
                        && (e.event().equals("out") || e.event().equals("left")))
                .toList();
    }

    private static long monotonicMicros() {
        return System.nanoTime() / 1_000;
    }

    /** Waits for as long as a change of the view may take, so that its absence can be asserted. */
    private void awaitDetectionTime() throws Exception {
        long until = System.nanoTime() + DETECTION_MS * 1_000_000;
        while (System.nanoTime() < until) {
            TimeUnit.MILLISECONDS.sleep(50);
        }
    }

    @Test
    void membersDiscoverEachOtherAndLeaveAtOnce() throws Exception {
        startProcesses(2);
        assertEquals("{n0=alive, n1=alive}", processes.members(0).get("members").toString());
        assertTrue(processes.relay.deliveredCount.get() > 0, "datagrams have to pass the relay");
        processes.await(
                START_TIMEOUT_MILLIS, "ready", () -> processes.ask(1, "READY").equals("YES\n"));
        String table = runMembersCommand("--door", "127.0.0.1:" + processes.adminPort(1));
        assertTrue(table.startsWith("as n1 sees it, incarnation 1: 2 live\n"), table);
        assertTrue(
                table.contains("\nn0                   alive          1 127.0.0.1:" + processes.relay.port(0)), table);
        processes.process(1).destroy();
        processes.await(PAUSE_MS, "the leaving member is removed", () -> processes.see(1, 0));
        assertTrue(processes.process(1).waitFor(20, TimeUnit.SECONDS));
        assertEquals(0, processes.process(1).exitValue());
        List<String> seen = processes.history().stream()
                .filter(e -> e.process().equals("n0") && e.about().equals("n1"))
                .map(SidecarProcesses.Event::event)
                .toList();
        assertEquals(List.of("joined", "left"), seen);
    }

    private static String runMembersCommand(String... args) {
        PrintStream originalOut = System.out;
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        System.setOut(new PrintStream(out, true, StandardCharsets.UTF_8));
        try {
            String[] all = Stream.concat(Stream.of("members"), Stream.of(args)).toArray(String[]::new);
            assertEquals(0, CommandLineTool.run(all));
        } finally {
            System.setOut(originalOut);
        }
        return out.toString(StandardCharsets.UTF_8);
    }

    /** Faults in sequence on the same five processes: after each, all processes that can communicate share one view. */
    @Test
    void viewsConvergeAfterPausesKillsPartitionsAndLoss() throws Exception {
        startProcesses(5);
        long startedAt = monotonicMicros();
        processes.signal(2, "STOP");
        TimeUnit.MILLISECONDS.sleep(PAUSE_MS * 7 / 10);
        processes.signal(2, "CONT");
        processes.relay.setImpairment(new DatagramRelay.Impairment(0.2, 0.1, 0.1, 100, 0.02));
        awaitDetectionTime();
        processes.relay.setImpairment(DatagramRelay.Impairment.NONE);
        assertEquals(List.of(), departures(startedAt, 0, 1, 2, 3, 4), "a short pause, and message loss");

        processes.kill(3);
        processes.await(DETECTION_MS, "a killed member is removed", () -> processes.see(4, 0, 1, 2, 4));
        processes.start(3);
        processes.await(START_TIMEOUT_MILLIS, "the restarted member is back", () -> processes.see(5, 0, 1, 2, 3, 4));

        long stoppedAt = monotonicMicros();
        processes.signal(4, "STOP");
        processes.await(DETECTION_MS, "a paused member is removed", () -> processes.see(4, 0, 1, 2, 3));
        processes.signal(4, "CONT");
        processes.await(DETECTION_MS, "the resumed member rejoins", () -> processes.see(5, 0, 1, 2, 3, 4));
        assertEquals(
                Set.of("n4"),
                Set.copyOf(departures(stoppedAt, 0, 1, 2, 3, 4).stream()
                        .map(SidecarProcesses.Event::about)
                        .toList()),
                "the resumed member reports no other member as failed");

        long cutAt = monotonicMicros();
        processes.relay.setLinkFilter((from, to) -> !(from == 0 && to == 1) && !(from == 3 && to == 2));
        awaitDetectionTime();
        assertEquals(List.of(), departures(cutAt, 0, 1, 2, 3, 4), "pairs that can communicate in one direction only");

        processes.relay.setLinkFilter((from, to) -> to != 2);
        processes.await(
                DETECTION_MS + PAUSE_MS, "cannot receive", () -> processes.see(4, 0, 1, 3, 4) && processes.see(1, 2));
        long stableSince = monotonicMicros();
        awaitDetectionTime();
        assertEquals(List.of(), departures(stableSince, 0, 1, 2, 3, 4), "the view is stable during the partition");
        processes.relay.setLinkFilter((from, to) -> true);
        processes.await(DETECTION_MS, "the partition is healed", () -> processes.see(5, 0, 1, 2, 3, 4));

        processes.relay.setLinkFilter((from, to) -> from != 1);
        processes.await(
                DETECTION_MS + PAUSE_MS, "cannot send", () -> processes.see(4, 0, 2, 3, 4) && processes.see(1, 1));
        processes.relay.setLinkFilter((from, to) -> true);
        processes.await(DETECTION_MS, "the second partition is healed", () -> processes.see(5, 0, 1, 2, 3, 4));

        processes.relay.setLinkFilter((from, to) -> from < 2 == to < 2);
        processes.await(DETECTION_MS + PAUSE_MS, "2 views", () -> processes.see(2, 0, 1) && processes.see(3, 2, 3, 4));
        stableSince = monotonicMicros();
        awaitDetectionTime();
        assertEquals(List.of(), departures(stableSince, 0, 1, 2, 3, 4), "the views are stable during the partition");
        long healedAt = monotonicMicros();
        processes.relay.setLinkFilter((from, to) -> true);
        processes.await(DETECTION_MS, "two partitions merge", () -> processes.see(5, 0, 1, 2, 3, 4));
        assertEquals(List.of(), departures(healedAt, 0, 1, 2, 3, 4), "no member is removed by the merge");

        processes.relay.setLinkFilter((from, to) -> from / 2 == to / 2);
        processes.await(DETECTION_MS + PAUSE_MS, "3 views", () -> processes.see(2, 0, 1, 2, 3) && processes.see(1, 4));
        healedAt = monotonicMicros();
        processes.relay.setLinkFilter((from, to) -> true);
        processes.await(DETECTION_MS, "three partitions merge", () -> processes.see(5, 0, 1, 2, 3, 4));
        assertEquals(List.of(), departures(healedAt, 0, 1, 2, 3, 4), "no member is removed by the merge");
    }

    /** Random faults; their seed is printed. */
    @Test
    void viewsConvergeAfterRandomFaults() throws Exception {
        startProcesses(5);
        long seed = System.nanoTime();
        System.out.println("fault plan seed " + seed);
        FaultSchedule schedule = new FaultSchedule(processes, PAUSE_MS);
        for (FaultSchedule.Step step : FaultSchedule.generate(seed, 5, 4, PAUSE_MS)) {
            schedule.run(step);
        }
    }

    /** A new pause setting takes effect at SIGHUP, also for the time after which a failure is detected. */
    @Test
    void pauseIsReloadedWithoutLeaving() throws Exception {
        startProcesses(3);
        processes.editOperatorConfiguration(text -> text.replace("pause = \"" + PAUSE_MS, "pause = \"" + 4 * PAUSE_MS));
        for (int i = 0; i < 3; i++) {
            int index = i;
            processes.await(START_TIMEOUT_MILLIS, "ready", () -> processes
                    .ask(index, "READY")
                    .equals("YES\n"));
            processes.rewrite(i);
            processes.signal(i, "HUP");
            processes.await(START_TIMEOUT_MILLIS, "settings reloaded", () -> processes
                    .ask(index, "STATS")
                    .contains("\"reconfig_ok\":1"));
        }
        long startedAt = monotonicMicros();
        processes.signal(2, "STOP");
        // Every time-out of the old setting has expired by then, and none of the new one.
        TimeUnit.MILLISECONDS.sleep(PAUSE_MS * 3);
        processes.signal(2, "CONT");
        awaitDetectionTime();
        assertEquals(List.of(), departures(startedAt, 0, 1, 2));
        assertTrue(processes.see(3, 0, 1, 2));
        processes.kill(2);
        long tookMillis = processes.await(4 * DETECTION_MS, "a killed member is removed", () -> processes.see(2, 0, 1));
        assertTrue(tookMillis > 3 * PAUSE_MS, "known after " + tookMillis + " ms, before the new pause has passed");
    }

    /** A process that takes over the client socket of another one of its name replaces it as a member. */
    @Test
    void successorOnSameSocketReplacesMember() throws Exception {
        processes = new SidecarProcesses(folder, System.nanoTime(), 3, PAUSE_MS, server);
        try (SocketActivator platform = new SocketActivator()) {
            processes.start(0);
            processes.start(1);
            long firstPid = processes.startOn(platform, 2);
            processes.await(START_TIMEOUT_MILLIS, "all members see each other", () -> processes.see(3, 0, 1, 2));
            processes.await(START_TIMEOUT_MILLIS, "the first process is ready", () -> processes
                    .ask(2, "READY")
                    .equals("YES\n"));
            int doorBefore = processes.adminPort(2);
            long secondPid = processes.startOn(platform, 2);
            assertTrue(processes.adminPort(2) != doorBefore);
            processes.await(START_TIMEOUT_MILLIS, "the second process is ready", () -> processes
                    .ask(2, "READY")
                    .equals("YES\n"));
            assertTrue(processes.see(3, 0, 1), "both processes run, and one of them is the member");
            long startedAt = monotonicMicros();
            new ProcessBuilder("kill", "-TERM", String.valueOf(firstPid))
                    .start()
                    .waitFor();
            assertEquals(0, platform.awaitEnd(firstPid));
            processes.await(DETECTION_MS, "the second process is the member", () -> processes.see(3, 0, 1, 2));
            assertEquals(
                    Set.of("n2 left"),
                    Set.copyOf(departures(startedAt, 0, 1).stream()
                            .map(e -> e.about() + " " + e.event())
                            .toList()));
            new ProcessBuilder("kill", "-TERM", String.valueOf(secondPid))
                    .start()
                    .waitFor();
            assertEquals(0, platform.awaitEnd(secondPid));
        }
    }

    @Test
    void secondProcessOfSameNameIsRejected() throws Exception {
        startProcesses(3);
        processes.kill(2);
        processes.await(DETECTION_MS, "a killed member is removed", () -> processes.see(2, 0, 1));
        long startedAt = monotonicMicros();
        Process secondProcess = processes.start(2, "n1");
        assertTrue(secondProcess.waitFor(30, TimeUnit.SECONDS), "the second process still runs");
        assertEquals(2, secondProcess.exitValue());
        String last = Files.readAllLines(processes.log(2)).stream()
                .filter(l -> l.contains("is taken"))
                .findFirst()
                .orElse("");
        assertTrue(
                last.startsWith("cypressweir-sidecar: name 'n1' is taken by the process at 127.0.0.1:"),
                Files.readString(processes.log(2)));
        assertTrue(processes.see(2, 0, 1));
        assertEquals(List.of(), departures(startedAt, 0, 1));
        processes.editOperatorConfiguration(text -> text.replaceFirst(
                "listen = \"[0-9.:]+\"", "listen = \"127.0.0.1:" + processes.membershipPort(0) + "\""));
        Process withUsedSocket = processes.start(2);
        assertTrue(withUsedSocket.waitFor(30, TimeUnit.SECONDS), "the process still runs without a socket");
        assertEquals(1, withUsedSocket.exitValue());
        assertTrue(
                Files.readString(processes.log(2))
                        .contains("[membership] can't listen on 127.0.0.1:" + processes.membershipPort(0)),
                Files.readString(processes.log(2)));
    }

    /** Requests run exactly once while discovery is down and half of the processes are paused for a short time. */
    @Test
    void requestsRunOnceWhileDiscoveryIsDownAndHalfArePaused() throws Exception {
        startProcesses(4);
        for (int i = 0; i < 4; i++) {
            int index = i;
            processes.await(START_TIMEOUT_MILLIS, "ready", () -> processes
                    .ask(index, "READY")
                    .equals("YES\n"));
        }
        processes.discovery.close();
        HttpClient client = HttpClient.newHttpClient();
        AtomicInteger requestIds = new AtomicInteger();
        List<CompletableFuture<Integer>> servedCounts = new ArrayList<>();
        long startedAt = System.nanoTime();
        processes.signal(0, "STOP");
        processes.signal(1, "STOP");
        // Sequential requests to each process; paused processes respond when they are resumed.
        for (int i = 0; i < 4; i++) {
            int index = i;
            servedCounts.add(CompletableFuture.supplyAsync(() -> {
                int served = 0;
                while (System.nanoTime() - startedAt < 2 * PAUSE_MS * 1_000_000) {
                    HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:"
                                    + processes.clientAddress(index).getPort() + "/book/k"))
                            .header("Request-Id", String.format("%016x", requestIds.incrementAndGet()))
                            .header("Tenant", "acme")
                            .header("Request-Timeout-Ms", "20000")
                            .POST(HttpRequest.BodyPublishers.ofString("x"))
                            .build();
                    try {
                        served += client.send(request, HttpResponse.BodyHandlers.ofString())
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
        TimeUnit.MILLISECONDS.sleep(PAUSE_MS * 7 / 10);
        processes.signal(0, "CONT");
        processes.signal(1, "CONT");
        int served = 0;
        for (CompletableFuture<Integer> servedCount : servedCounts) {
            int servedByOne = servedCount.get(60, TimeUnit.SECONDS);
            assertTrue(servedByOne > 0, "a process served no request");
            served += servedByOne;
        }
        Map<String, Integer> executions = new HashMap<>();
        server.received.forEach(s -> executions.merge(s.request().headers().get("Request-Id"), 1, Integer::sum));
        assertEquals(requestIds.get(), served, "each request has a response from a server");
        assertEquals(Set.of(1), Set.copyOf(executions.values()), "each request ran once");
        assertTrue(processes.see(4, 0, 1, 2, 3));
    }

    private long droppedDatagrams(String cause) {
        return processes.members(0).get("dropped") instanceof Map<?, ?> all && all.get(cause) instanceof Long count
                ? count
                : 0;
    }

    /** Corrupted, truncated and foreign datagrams are dropped and counted. */
    @Test
    void mutatedDatagramsAreDropped() throws Exception {
        startProcesses(2);
        long startedAt = monotonicMicros();
        SplittableRandom random = new SplittableRandom(7);
        Peer peer = new Peer("n1", 1, 1, 99, new InetSocketAddress("127.0.0.1", 9));
        byte[] validDatagram = new MembershipMessageCodec("mu")
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
        byte[] foreignDatagram = new MembershipMessageCodec("other")
                .write(new MembershipMessage(
                        MembershipMessage.Kind.NEWS, peer, "n0", 1, 2, List.of(), List.of(), List.of(), ""));
        for (int sent = 1; sent <= 3_000; sent++) {
            byte[] bytes = Arrays.copyOf(validDatagram, 1 + random.nextInt(2 * validDatagram.length));
            for (int flips = 1 + random.nextInt(4); flips > 0; flips--) {
                bytes[random.nextInt(bytes.length)] ^= (byte) (1 << random.nextInt(8));
            }
            processes.relay.inject(0, sent % 3 == 0 || Arrays.equals(bytes, validDatagram) ? foreignDatagram : bytes);
            if (sent % DATAGRAMS_PER_BATCH == 0) {
                // No more than a socket's buffer holds while the process is not scheduled.
                int all = sent;
                processes.await(
                        START_TIMEOUT_MILLIS,
                        all + " dropped datagrams are counted",
                        () -> droppedDatagrams("foreign") + droppedDatagrams("torn") == all);
            }
        }
        assertTrue(droppedDatagrams("foreign") >= 1_000, () -> "foreign: " + droppedDatagrams("foreign"));
        assertTrue(processes.see(2, 0, 1));
        assertEquals(List.of(), departures(startedAt, 0, 1));
    }
}
