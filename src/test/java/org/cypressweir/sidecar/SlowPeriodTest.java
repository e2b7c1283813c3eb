package org.cypressweir.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.cypressweir.testkit.PeerStub;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** What a slow spell of the process or of the network leaves behind must not outlast it. */
@Timeout(60)
class SlowPeriodTest {

    @TempDir
    Path folder;

    /**
     * Slow first answers looked like slow set-ups. Then no connection was made any more to a server that had
     * none, such as those of a release, and only one could have shown that set-ups were short again.
     */
    @Test
    void slowSetUpsDoNotForbidTheNextOne() throws Exception {
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

    /** All of a dead peer's traffic came at once, and was refused beside servers with free cores. */
    @Test
    void limitGrowsFastWhileCoresAreFree() throws Exception {
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

    /** A connection that fell silent kept its server out until the deadline of what was on it. */
    @Test
    void silentConnectionDoesNotKeepOutAServerThatAnswers() throws Exception {
        try (PeerStub server = new PeerStub(PeerStub.SILENT);
                Harness harness = new Harness(folder, server).start()) {
            harness.client().search(20_000);
            server.take();
            harness.loop.schedule(() -> {}, 200, TimeUnit.MILLISECONDS).get();
            Harness.Client other = harness.client().search(20_000);
            PeerStub.Seen answering = server.take();
            harness.loop.schedule(() -> {}, 400, TimeUnit.MILLISECONDS).get();
            Harness.Client next = harness.client().search(20_000);
            // Taken by now, since requests on it and on this one are read in turn.
            assertEquals(400, harness.client().raw("x\r\n\r\n").answer().status());
            answering.reply("200 OK", "", "other");
            assertEquals(200, other.answer().status());
            server.take().reply("200 OK", "", "next");
            assertEquals("next", next.answer().body());
        }
    }
}
