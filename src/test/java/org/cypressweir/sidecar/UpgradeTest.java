package org.cypressweir.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import org.cypressweir.testkit.PeerStub;
import org.cypressweir.testkit.Platform;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** One process follows another on a socket that the platform holds. */
@Timeout(UpgradeTest.TIMEOUT_SECONDS)
class UpgradeTest {

    static final int TIMEOUT_SECONDS = 60;
    /** As long as the test: how long the second process takes to start says nothing about the request. */
    private static final int HELD_REQUEST_MILLIS = TIMEOUT_SECONDS * 1_000;

    @TempDir
    Path folder;

    private PeerStub server;
    private Harness harness;
    private Platform platform;

    @BeforeEach
    void start() throws Exception {
        server = new PeerStub(PeerStub.serves("ok"));
        harness = new Harness(folder, server);
        platform = new Platform();
        Files.createFile(folder.resolve("log"));
    }

    @AfterEach
    void end() throws Exception {
        platform.close();
        harness.close();
        server.close();
    }

    private static InetSocketAddress free() throws IOException {
        try (ServerSocket free = new ServerSocket(0)) {
            return new InetSocketAddress("127.0.0.1", free.getLocalPort());
        }
    }

    private long run(InetSocketAddress door) throws Exception {
        return platform.start(
                Path.of(System.getProperty("java.home"), "bin", "java")
                        + " -XX:TieredStopAtLevel=1 -cp " + System.getProperty("java.class.path")
                        + " org.cypressweir.sidecar.Main serve",
                Map.of(
                        "LB_CONFIG",
                        harness.file.toString(),
                        "LB_LISTEN",
                        "127.0.0.1:" + platform.address.getPort(),
                        "LB_OPERATOR",
                        "127.0.0.1:" + door.getPort(),
                        "TMPDIR",
                        folder.toString()),
                folder.resolve("log"));
    }

    private void awaitReady(InetSocketAddress door) throws Exception {
        while (true) {
            try {
                if (Harness.call(door, "READY").equals("YES\n")) {
                    return;
                }
            } catch (IOException e) {
                // It does not listen yet.
            }
            assertFalse(platform.lostOne(), "a program ended: " + Files.readString(folder.resolve("log")));
            Thread.onSpinWait();
        }
    }

    private static void signal(String name, long pid) throws Exception {
        assertEquals(
                0,
                new ProcessBuilder("kill", "-" + name, String.valueOf(pid))
                        .start()
                        .waitFor());
    }

    private static String answer(Harness.Client client) throws IOException {
        return client.answer().body();
    }

    @Test
    void noRequestIsLostWhenOneProcessFollowsAnother() throws Exception {
        InetSocketAddress first = free();
        InetSocketAddress second = free();
        long old = run(first);
        awaitReady(first);
        server.script(PeerStub.SILENT);
        try (Harness.Client held = new Harness.Client(platform.address);
                Harness.Client kept = new Harness.Client(platform.address)) {
            held.book("x", HELD_REQUEST_MILLIS);
            PeerStub.Seen waits = server.take();
            server.script(PeerStub.serves("ok"));
            assertEquals("ok", answer(kept.search(5_000)));
            long next = run(second);
            AtomicBoolean over = new AtomicBoolean();
            // A connection for each request: those that the kernel holds between the two are lost by neither.
            var asking = CompletableFuture.supplyAsync(() -> {
                int served = 0;
                try {
                    for (; !over.get(); served++) {
                        try (Harness.Client client = new Harness.Client(platform.address)) {
                            assertEquals("ok", answer(client.search(10_000)));
                        }
                    }
                } catch (IOException e) {
                    throw new AssertionError(e);
                }
                return served;
            });
            assertTrue(Harness.call(first, "READY").startsWith("YES"));
            awaitReady(second);
            assertTrue(Harness.call(second, "STATS").contains("\"failure\":{\"search\":0,\"hold\":0,\"book\":0}"));
            signal("TERM", old);
            while (!Harness.call(first, "READY").equals("NO stopping\n")) {
                Thread.onSpinWait();
            }
            waits.reply("200 OK", "", "as promised");
            assertEquals("as promised", answer(held));
            held.assertClosed();
            assertEquals(0, platform.awaitEnd(old));
            over.set(true);
            assertTrue(asking.join() > 0);
            assertFalse(platform.lostOne());
            try (Harness.Client client = new Harness.Client(platform.address)) {
                assertEquals("ok", answer(client.search(5_000)));
            }
            signal("TERM", next);
            assertEquals(0, platform.awaitEnd(next));
        }
        // The runtime leads its own streams away when it takes the socket over; the log must stay.
        assertTrue(
                Files.readString(folder.resolve("log")).contains("n0 alone now"),
                Files.readString(folder.resolve("log")));
    }

    /** What is kept for the door and for a process beside this one is no room that clients ask on. */
    @Test
    void clientsMayAskAsMuchWithADoorAndASuccessorToCome() throws Exception {
        SidecarConfiguration plain = harness.config();
        SidecarConfiguration service = SidecarConfiguration.read(
                Map.of("LB_CONFIG", harness.file.toString(), "LB_OPERATOR", "127.0.0.1:9", "LB_SOCKET_FD", "0"));
        assertEquals(
                plain.settings().limits().open(), service.settings().limits().open());
        assertTrue(service.clientConnections() + service.serverConnections()
                < plain.clientConnections() + plain.serverConnections());
        SidecarConfiguration beside = service.beside();
        assertEquals(beside.serverConnections(), beside.settings().limits().connections());
        assertTrue(beside.settings().limits().open() <= beside.serverConnections());
    }

    @Test
    void oneThatIsEndedBeforeItsYesTakesNothingAlong() throws Exception {
        InetSocketAddress first = free();
        run(first);
        awaitReady(first);
        long next = run(free());
        signal("TERM", next);
        platform.awaitEnd(next);
        long other = run(free());
        signal("KILL", other);
        assertEquals(9, platform.awaitEnd(other));
        try (Harness.Client client = new Harness.Client(platform.address)) {
            assertEquals("ok", answer(client.search(5_000)));
        }
    }

    @Test
    void aPromisedSocketThatIsNoneIsOneLineAndTwo() throws Exception {
        long pid = platform.start(
                "env LB_SOCKET_FD=7 "
                        + Path.of(System.getProperty("java.home"), "bin", "java") + " -cp "
                        + System.getProperty("java.class.path") + " org.cypressweir.sidecar.Main serve",
                Map.of("LB_CONFIG", harness.file.toString()),
                folder.resolve("log"));
        assertEquals(2, platform.awaitEnd(pid));
        assertEquals(
                List.of("LB_SOCKET_FD: only descriptor 0 can be inherited, not 7"),
                Files.readAllLines(folder.resolve("log")).stream()
                        .map(l -> l.replaceFirst("cypressweir-sidecar: ", ""))
                        .toList());
    }
}
