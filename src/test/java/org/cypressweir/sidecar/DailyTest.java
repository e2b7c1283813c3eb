package org.cypressweir.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.cypressweir.testkit.PeerStub;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** What operators do day by day: the door, drains and other settings while it runs. */
@Timeout(60)
class DailyTest {

    private static final String YES = "YES";

    @TempDir
    Path folder;

    private PeerStub server;
    private Harness harness;
    private InetSocketAddress door;

    @BeforeEach
    void start() throws Exception {
        server = new PeerStub(PeerStub.serves("ok"));
        harness = new Harness(folder, server).start();
        door = harness.sidecar
                .openAdminListener(new InetSocketAddress("127.0.0.1", 0))
                .get()
                .address();
    }

    @AfterEach
    void end() throws Exception {
        harness.close();
        server.close();
    }

    private String ask(String line) throws IOException {
        return Harness.call(door, line);
    }

    /** Waits for figures that hold this; they may lag. */
    private String figures(String part) throws Exception {
        long end = System.nanoTime() + 20_000_000_000L;
        String figures = ask("STATS");
        while (!figures.contains(part)) {
            assertTrue(System.nanoTime() < end, "never seen: " + part + " in " + figures);
            figures = ask("STATS");
        }
        return figures;
    }

    private int health() throws IOException {
        try (Harness.Client client = new Harness.Client(harness.address)) {
            return client.raw("GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n")
                    .answer()
                    .status();
        }
    }

    @Test
    void callersThatSayNothingWholeKeepNobodyOut() throws Exception {
        List<Socket> held = new ArrayList<>();
        try {
            for (int i = 0; i < 3 * AdminListener.CALLERS; i++) {
                Socket socket = new Socket(door.getAddress(), door.getPort());
                held.add(socket);
                socket.getOutputStream().write((i % 2 == 0 ? "REA" : "").getBytes(StandardCharsets.US_ASCII));
            }
            assertEquals("YES\n", ask("READY"));
            assertTrue(ask("x".repeat(5_000)).startsWith("NO "));
        } finally {
            for (Socket socket : held) {
                socket.close();
            }
        }
    }

    @Test
    void whatClientsAndServersSawIsWhatIsTold() throws Exception {
        assertEquals(200, harness.client().search(5_000).answer().status());
        assertEquals(200, harness.client().book("x", 5_000).answer().status());
        server.script(PeerStub.answers("500 Oops", "", ""));
        assertEquals(502, harness.client().book("x", 5_000).answer().status());
        server.script(PeerStub.SILENT);
        harness.client().search(5_000);
        String told = figures("\"inflight\":1");
        assertTrue(
                told.startsWith("{\"success\":{\"search\":1,\"hold\":0,\"book\":1},"
                        + "\"busy\":{\"search\":0,\"hold\":0,\"book\":0},"
                        + "\"failure\":{\"search\":0,\"hold\":0,\"book\":1}"),
                told);
        assertTrue(told.contains("\"hosts_listed\":1,\"hosts_down\":0"), told);
        assertTrue(told.endsWith("}\nEND\n"), told);
        figures("\"backend_calls\":4");
    }

    @Test
    void aDrainAnswersAllAndLeavesNobodyAndCanBeTakenBack() throws Exception {
        Harness.Client idle = harness.client();
        assertEquals(200, idle.search(5_000).answer().status());
        server.script(PeerStub.SILENT);
        Harness.Client busy = harness.client().book("x", 20_000);
        Harness.Client silent = harness.client();
        server.take();
        PeerStub.Seen held = server.take();
        assertEquals("YES draining\n", ask("DRAIN"));
        assertEquals("YES draining\n", ask("DRAIN"));
        assertEquals(503, health());
        assertTrue(ask("READY").startsWith("NO "));
        idle.assertClosed();
        silent.assertClosed();
        held.reply("200 OK", "", "done");
        var last = busy.answer();
        assertEquals("done", last.body());
        assertEquals("close", last.headers().get("connection"));
        busy.assertClosed();
        long end = System.nanoTime() + 20_000_000_000L;
        while (!ask("READY").equals("NO drained\n")) {
            assertTrue(System.nanoTime() < end, "never drained");
        }
        assertEquals("YES serving\n", ask("UNDRAIN"));
        assertEquals(200, health());
        server.script(PeerStub.serves("again"));
        Harness.Client next = harness.client().search(5_000);
        assertEquals("again", next.answer().body());
        assertEquals("again", next.search(5_000).answer().body());
    }

    @Test
    void aDrainedSidecarStillEnds() throws Exception {
        assertTrue(ask("DRAIN").startsWith(YES));
        assertTrue(harness.stop().await(10, TimeUnit.SECONDS));
        assertTrue(ask("UNDRAIN").startsWith("NO "));
    }

    private void reload(String text) throws Exception {
        Files.writeString(harness.file, text);
        harness.sidecar.reload(Map.of("LB_CONFIG", harness.file.toString())).get(10, TimeUnit.SECONDS);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "{",
                "half",
                "-settings",
                "-deadline",
                "deadline 0",
                "deadline text",
                "twice",
                "attempts 0",
                "attempts -1"
            })
    void aBrokenFileChangesNothing(String fault) throws Exception {
        String good = Files.readString(harness.file);
        String renamed = good.replace("\"name\":\"search\"", "\"name\":\"find\"");
        reload(
                switch (fault) {
                    case "half" -> renamed.substring(0, renamed.length() / 2);
                    case "-settings" -> renamed.replace("\"settings\"", "\"sets\"");
                    case "-deadline" -> renamed.replaceFirst("\"deadline_us\":3000000,", "");
                    case "deadline 0" -> renamed.replaceFirst("\"deadline_us\":3000000", "\"deadline_us\":0");
                    case "deadline text" -> renamed.replaceFirst("\"deadline_us\":3000000", "\"deadline_us\":\"x\"");
                    case "twice" -> renamed.replace("\"name\":\"hold\"", "\"name\":\"find\"");
                    case "attempts 0" -> renamed.replace("\"attempts_cap\":4", "\"attempts_cap\":0");
                    case "attempts -1" -> renamed.replace("\"attempts_cap\":4", "\"attempts_cap\":-1");
                    default -> fault;
                });
        harness.log.await("the old configuration stays");
        assertEquals(200, harness.client().search(5_000).answer().status());
        figures("\"reconfig_ok\":0,\"reconfig_failed\":1");
    }

    @Test
    void otherClassesHoldForNewRequestsAndTheOldRulesForOldOnes() throws Exception {
        String good = Files.readString(harness.file);
        server.script(PeerStub.SILENT);
        Harness.Client old = harness.client().search(20_000);
        PeerStub.Seen first = server.take();
        // What was safe to repeat is now not, under another name; and nothing may be tried twice.
        reload(good.replace("\"name\":\"search\",\"effect\":\"pure\"", "\"name\":\"find\",\"effect\":\"side_effect\"")
                .replace("\"attempts_cap\":4", "\"attempts_cap\":1"));
        figures("\"reconfig_ok\":1,\"reconfig_failed\":0");
        assertEquals(400, harness.client().search(5_000).answer().status());
        server.script(PeerStub.answers("503 Full", "Not-Started: 1\r\n", ""));
        String head = Harness.Client.head("POST", "/find/k1", 5_000, "", 1) + "x";
        assertEquals(503, harness.client().raw(head).answer().status());
        server.take();
        first.reply("200 OK", "", "as before");
        assertEquals("as before", old.answer().body());
        String told = figures("\"search\":1");
        assertTrue(told.contains("\"busy\":{\"search\":0,\"hold\":0,\"book\":0,\"find\":1}"), told);
        assertFalse(told.contains("\"find\":2"), told);
    }
}
