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
import org.cypressweir.testkit.SocketActivator;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** One process replaces another on a listening socket that the platform holds. */
@Timeout(UpgradeTest.TIMEOUT_SECONDS)
class UpgradeTest {

    static final int TIMEOUT_SECONDS = 60;
    /** As long as the test's time-out, so that a slow start of the second process cannot expire the request. */
    private static final int HELD_REQUEST_MILLIS = TIMEOUT_SECONDS * 1_000;

    @TempDir
    Path folder;

    private PeerStub server;
    private Harness harness;
    private SocketActivator platform;

    @BeforeEach
    void start() throws Exception {
        server = new PeerStub(PeerStub.serves("ok"));
        harness = new Harness(folder, server);
        platform = new SocketActivator();
        Files.createFile(folder.resolve("log"));
    }

    @AfterEach
    void end() throws Exception {
        platform.close();
        harness.close();
        server.close();
    }

    private static InetSocketAddress freeAddress() throws IOException {
        try (ServerSocket freeAddress = new ServerSocket(0)) {
            return new InetSocketAddress("127.0.0.1", freeAddress.getLocalPort());
        }
    }

    private long run(InetSocketAddress adminAddress) throws Exception {
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
                        "127.0.0.1:" + adminAddress.getPort(),
                        "TMPDIR",
                        folder.toString()),
                folder.resolve("log"));
    }

    private void awaitReady(InetSocketAddress adminAddress) throws Exception {
        while (true) {
            try {
                if (Harness.adminCommand(adminAddress, "READY").equals("YES\n")) {
                    return;
                }
            } catch (IOException e) {
                // Not listening yet.
            }
            assertFalse(platform.hasUnexpectedEnd(), "a program ended: " + Files.readString(folder.resolve("log")));
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
    void noRequestIsLostWhenAProcessReplacesAnother() throws Exception {
        InetSocketAddress first = freeAddress();
        InetSocketAddress second = freeAddress();
        long old = run(first);
        awaitReady(first);
        server.script(PeerStub.SILENT);
        try (Harness.Client held = new Harness.Client(platform.address);
                Harness.Client kept = new Harness.Client(platform.address)) {
            held.book("x", HELD_REQUEST_MILLIS);
            PeerStub.ReceivedRequest pending = server.take();
            server.script(PeerStub.serves("ok"));
            assertEquals("ok", answer(kept.search(5_000)));
            long next = run(second);
            AtomicBoolean stopped = new AtomicBoolean();
            // Opens a connection per request: neither process may lose those queued in the kernel during the change.
            var requests = CompletableFuture.supplyAsync(() -> {
                int served = 0;
                try {
                    for (; !stopped.get(); served++) {
                        try (Harness.Client client = new Harness.Client(platform.address)) {
                            assertEquals("ok", answer(client.search(10_000)));
                        }
                    }
                } catch (IOException e) {
                    throw new AssertionError(e);
                }
                return served;
            });
            assertTrue(Harness.adminCommand(first, "READY").startsWith("YES"));
            awaitReady(second);
            assertTrue(
                    Harness.adminCommand(second, "STATS").contains("\"failure\":{\"search\":0,\"hold\":0,\"book\":0}"));
            signal("TERM", old);
            while (!Harness.adminCommand(first, "READY").equals("NO stopping\n")) {
                Thread.onSpinWait();
            }
            pending.reply("200 OK", "", "as promised");
            assertEquals("as promised", answer(held));
            held.assertClosed();
            assertEquals(0, platform.awaitEnd(old));
            stopped.set(true);
            assertTrue(requests.join() > 0);
            assertFalse(platform.hasUnexpectedEnd());
            try (Harness.Client client = new Harness.Client(platform.address)) {
                assertEquals("ok", answer(client.search(5_000)));
            }
            signal("TERM", next);
            assertEquals(0, platform.awaitEnd(next));
        }
        // The runtime redirects its standard streams when it takes over the socket; the log must keep working.
        assertTrue(
                Files.readString(folder.resolve("log")).contains("n0 alone now"),
                Files.readString(folder.resolve("log")));
    }

    /**
     * Descriptors reserved for the admin listener and for a second process do not reduce the clients' request limit.
     */
    @Test
    void reservedDescriptorsDoNotReduceTheClientLimit() throws Exception {
        SidecarConfiguration plain = harness.config();
        SidecarConfiguration service = SidecarConfiguration.read(
                Map.of("LB_CONFIG", harness.file.toString(), "LB_OPERATOR", "127.0.0.1:9", "LB_SOCKET_FD", "0"));
        assertEquals(
                plain.settings().limits().maxOpen(), service.settings().limits().maxOpen());
        assertTrue(service.clientConnections() + service.serverConnections()
                < plain.clientConnections() + plain.serverConnections());
        SidecarConfiguration reduced = service.withReducedDescriptors();
        assertEquals(reduced.serverConnections(), reduced.settings().limits().maxConnections());
        assertTrue(reduced.settings().limits().maxOpen() <= reduced.serverConnections());
    }

    @Test
    void processKilledDuringStartupAffectsNoOther() throws Exception {
        InetSocketAddress first = freeAddress();
        run(first);
        awaitReady(first);
        long next = run(freeAddress());
        signal("TERM", next);
        platform.awaitEnd(next);
        long other = run(freeAddress());
        signal("KILL", other);
        assertEquals(9, platform.awaitEnd(other));
        try (Harness.Client client = new Harness.Client(platform.address)) {
            assertEquals("ok", answer(client.search(5_000)));
        }
    }

    @Test
    void missingInheritedSocketIsReportedInOneLine() throws Exception {
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
