package org.cypressweir.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.cypressweir.testkit.PeerStub;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Tests that the warm-up exercises the whole sidecar and is invisible from outside. */
@Timeout(60)
class WarmUpTest {

    private static final int REQUESTS = 50;

    @TempDir
    Path folder;

    private static SidecarConfiguration configurationAt(Harness harness, int port) throws IOException {
        return SidecarConfiguration.read(
                Map.of("LB_CONFIG", harness.file.toString(), "LB_LISTEN", "127.0.0.1:" + port));
    }

    private static int freePort() throws IOException {
        try (ServerSocket free = new ServerSocket(0)) {
            return free.getLocalPort();
        }
    }

    /** Repeated, because at times the address was still in use after the warm-up had ended. */
    @Test
    void allRequestsAreAnsweredWithinTheProcess() throws Exception {
        try (PeerStub server = new PeerStub(PeerStub.SILENT);
                Harness harness = new Harness(folder, server)) {
            SidecarConfiguration config = configurationAt(harness, freePort());
            for (int i = 0; i < 5; i++) {
                assertTrue(WarmUp.run(config, config.listen(), REQUESTS, 20_000) >= REQUESTS);
                new ServerSocket(config.listen().getPort()).close();
            }
            assertTrue(server.received.isEmpty());
            assertEquals(0, server.accepted.get());
            assertEquals(0, harness.discovery.accepted.get());
        }
    }

    @Test
    void warmUpEndsAtItsTimeLimit() throws Exception {
        try (PeerStub server = new PeerStub(PeerStub.SILENT);
                Harness harness = new Harness(folder, server)) {
            long since = System.nanoTime();
            SidecarConfiguration config = configurationAt(harness, freePort());
            WarmUp.run(config, config.listen(), Integer.MAX_VALUE, 100);
            assertTrue(System.nanoTime() - since < 5_000_000_000L);
        }
    }

    /** Clients must never get the responses of the warm-up's own servers. */
    @Test
    void clientsAreNotServedDuringWarmUp() throws Exception {
        try (PeerStub server = new PeerStub(PeerStub.SILENT);
                Harness harness = new Harness(folder, server)) {
            SidecarConfiguration config = configurationAt(harness, freePort());
            var running = CompletableFuture.supplyAsync(() -> {
                try {
                    return WarmUp.run(config, config.listen(), Integer.MAX_VALUE, 2_000);
                } catch (InterruptedException e) {
                    return -1;
                }
            });
            try (Harness.Client client = connect(config.listen())) {
                client.raw("GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n");
                assertEquals(503, client.answer().status());
                assertEquals(502, client.search(2_000).answer().status());
                assertEquals(502, client.search(2_000).answer().status());
            }
            assertTrue(running.join() > 0);
        }
    }

    private static Harness.Client connect(InetSocketAddress address) {
        while (true) {
            try {
                return new Harness.Client(address);
            } catch (IOException e) {
                Thread.onSpinWait();
            }
        }
    }
}
