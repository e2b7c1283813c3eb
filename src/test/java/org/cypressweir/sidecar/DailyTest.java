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

/** Routine operations: the admin listener, drains and reloads of a running sidecar. */
@Timeout(60)
class DailyTest {

    private static final String YES = "YES";

    @TempDir
    Path folder;

    private PeerStub server;
    private Harness harness;
    private InetSocketAddress adminAddress;

    @BeforeEach
    void start() throws Exception {
        server = new PeerStub(PeerStub.serves("ok"));
        harness = new Harness(folder, server).start();
        adminAddress = harness.sidecar
                .openAdminListener(new InetSocketAddress("127.0.0.1", 0))
                .get()
                .address();
    }

    @AfterEach
    void end() throws Exception {
        harness.close();
        server.close();
    }

    private String command(String line) throws IOException {
        return Harness.adminCommand(adminAddress, line);
    }

    /** Waits until the statistics contain this text; they may lag behind. */
    private String statistics(String part) throws Exception {
        long end = System.nanoTime() + 20_000_000_000L;
        String statistics = command("STATS");
        while (!statistics.contains(part)) {
            assertTrue(System.nanoTime() < end, "never seen: " + part + " in " + statistics);
            statistics = command("STATS");
        }
        return statistics;
    }

    private int health() throws IOException {
        try (Harness.Client client = new Harness.Client(harness.address)) {
            return client.raw("GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n")
                    .answer()
                    .status();
        }
    }

    @Test
    void incompleteCommandsDoNotBlockOthers() throws Exception {
        List<Socket> pending = new ArrayList<>();
        try {
            for (int i = 0; i < 3 * AdminListener.MAX_CONNECTIONS; i++) {
                Socket socket = new Socket(adminAddress.getAddress(), adminAddress.getPort());
                pending.add(socket);
                socket.getOutputStream().write((i % 2 == 0 ? "REA" : "").getBytes(StandardCharsets.US_ASCII));
            }
            assertEquals("YES\n", command("READY"));
            assertTrue(command("x".repeat(5_000)).startsWith("NO "));
        } finally {
            for (Socket socket : pending) {
                socket.close();
            }
        }
    }

    @Test
    void statisticsMatchWhatClientsAndServersSaw() throws Exception {
        assertEquals(200, harness.client().search(5_000).answer().status());
        assertEquals(200, harness.client().book("x", 5_000).answer().status());
        server.script(PeerStub.answers("500 Oops", "", ""));
        assertEquals(502, harness.client().book("x", 5_000).answer().status());
        server.script(PeerStub.SILENT);
        harness.client().search(5_000);
        String statistics = statistics("\"inflight\":1");
        assertTrue(
                statistics.startsWith("{\"success\":{\"search\":1,\"hold\":0,\"book\":1},"
                        + "\"busy\":{\"search\":0,\"hold\":0,\"book\":0},"
                        + "\"failure\":{\"search\":0,\"hold\":0,\"book\":1}"),
                statistics);
        assertTrue(statistics.contains("\"hosts_listed\":1,\"hosts_down\":0"), statistics);
        assertTrue(statistics.endsWith("}\nEND\n"), statistics);
        statistics("\"backend_calls\":4");
    }

    @Test
    void drainCompletesRequestsAndCanBeCancelled() throws Exception {
        Harness.Client idle = harness.client();
        assertEquals(200, idle.search(5_000).answer().status());
        server.script(PeerStub.SILENT);
        Harness.Client busy = harness.client().book("x", 20_000);
        Harness.Client silent = harness.client();
        server.take();
        PeerStub.ReceivedRequest pending = server.take();
        assertEquals("YES draining\n", command("DRAIN"));
        assertEquals("YES draining\n", command("DRAIN"));
        assertEquals(503, health());
        assertTrue(command("READY").startsWith("NO "));
        idle.assertClosed();
        silent.assertClosed();
        pending.reply("200 OK", "", "done");
        var last = busy.answer();
        assertEquals("done", last.body());
        assertEquals("close", last.headers().get("connection"));
        busy.assertClosed();
        long end = System.nanoTime() + 20_000_000_000L;
        while (!command("READY").equals("NO drained\n")) {
            assertTrue(System.nanoTime() < end, "never drained");
        }
        assertEquals("YES serving\n", command("UNDRAIN"));
        assertEquals(200, health());
        server.script(PeerStub.serves("again"));
        Harness.Client next = harness.client().search(5_000);
        assertEquals("again", next.answer().body());
        assertEquals("again", next.search(5_000).answer().body());
    }

    @Test
    void drainedSidecarStillShutsDown() throws Exception {
        assertTrue(command("DRAIN").startsWith(YES));
        assertTrue(harness.stop().await(10, TimeUnit.SECONDS));
        assertTrue(command("UNDRAIN").startsWith("NO "));
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
    void invalidFileChangesNothing(String fault) throws Exception {
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
        statistics("\"reconfig_ok\":0,\"reconfig_failed\":1");
    }

    @Test
    void newClassesApplyToNewRequestsOnly() throws Exception {
        String good = Files.readString(harness.file);
        server.script(PeerStub.SILENT);
        Harness.Client old = harness.client().search(20_000);
        PeerStub.ReceivedRequest first = server.take();
        // The class that was safe to retry becomes non-idempotent under another name, and only one attempt is allowed.
        reload(good.replace("\"name\":\"search\",\"effect\":\"pure\"", "\"name\":\"find\",\"effect\":\"side_effect\"")
                .replace("\"attempts_cap\":4", "\"attempts_cap\":1"));
        statistics("\"reconfig_ok\":1,\"reconfig_failed\":0");
        assertEquals(400, harness.client().search(5_000).answer().status());
        server.script(PeerStub.answers("503 Full", "Not-Started: 1\r\n", ""));
        String head = Harness.Client.head("POST", "/find/k1", 5_000, "", 1) + "x";
        assertEquals(503, harness.client().raw(head).answer().status());
        server.take();
        first.reply("200 OK", "", "as before");
        assertEquals("as before", old.answer().body());
        String statistics = statistics("\"search\":1");
        assertTrue(statistics.contains("\"busy\":{\"search\":0,\"hold\":0,\"book\":0,\"find\":1}"), statistics);
        assertFalse(statistics.contains("\"find\":2"), statistics);
    }
}
