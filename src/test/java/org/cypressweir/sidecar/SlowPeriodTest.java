package org.cypressweir.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.cypressweir.testkit.PeerStub;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Effects of a slow period of the process or the network must not outlast it. */
@Timeout(60)
class SlowPeriodTest {

    @TempDir
    Path folder;

    /**
     * Slow first responses were taken for slow connection set-ups. Then no connection was opened to a server that had
     * none, such as a new one of a release, although only a new connection could have shown that set-ups were fast
     * again.
     */
    @Test
    void slowFirstResponsesDoNotPreventNewConnections() throws Exception {
        PeerStub.Script slow = seen -> {
            try {
                Thread.sleep(800);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            seen.reply("200 OK", "Server-Load: TEXT cpu=0.1\r\n", "ok");
        };
        try (PeerStub one = new PeerStub(slow);
                PeerStub two = new PeerStub(slow);
                PeerStub next = new PeerStub(PeerStub.serves("ok"));
                Harness harness = new Harness(folder, one, two).start()) {
            for (int i = 0; i < 4; i++) {
                assertEquals(200, harness.client().search(3_000).answer().status());
            }
            harness.discovery.take().reply("200 OK", "", Harness.json(Harness.list(2, true, "in_service", next)));
            harness.discovery.take();
            assertEquals(200, harness.client().search(3_000).answer().status());
        }
    }

    /**
     * When a peer sidecar died, all its traffic came to this one at once and was refused although the servers had free
     * cores.
     */
    @Test
    void concurrencyLimitGrowsFastWhileCpuIsFree() throws Exception {
        try (PeerStub server = new PeerStub(PeerStub.SILENT);
                Harness harness = new Harness(folder, server).start()) {
            for (int i = 0; i < 40; i++) {
                harness.client().search(20_000);
            }
            for (int i = 0; i < 12; i++) {
                server.take().reply("200 OK", "Server-Load: TEXT cpu=0.1\r\n", "ok");
            }
            for (int i = 0; i < 12; i++) {
                server.take();
            }
        }
    }

    /** A connection that went silent excluded its server until the deadline of the request on it. */
    @Test
    void silentConnectionDoesNotExcludeItsServer() throws Exception {
        try (PeerStub server = new PeerStub(PeerStub.SILENT);
                Harness harness = new Harness(folder, server).start()) {
            harness.client().search(20_000);
            server.take();
            harness.loop.schedule(() -> {}, 200, TimeUnit.MILLISECONDS).get();
            Harness.Client other = harness.client().search(20_000);
            PeerStub.ReceivedRequest answering = server.take();
            harness.loop.schedule(() -> {}, 400, TimeUnit.MILLISECONDS).get();
            Harness.Client next = harness.client().search(20_000);
            // The request before this one has been accepted by now, since the requests on both connections are read in
            // turn.
            assertEquals(400, harness.client().raw("x\r\n\r\n").answer().status());
            answering.reply("200 OK", "", "other");
            assertEquals(200, other.answer().status());
            server.take().reply("200 OK", "", "next");
            assertEquals("next", next.answer().body());
        }
    }
}
