package org.cypressweir.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.cypressweir.sidecar.websocket.UpgradeAccount.State;
import org.cypressweir.testkit.PeerStub;
import org.cypressweir.testkit.WebSocketClient;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tunnels as load, and the order in which they close when a server drains, with real sockets. */
@Timeout(120)
class TunnelDrainTest extends TunnelLoopback {

    /** Twenty idle tunnels are closed before five that have just sent a message, and none after the drain deadline. */
    @Test
    void idleTunnelsAreClosedFirst() throws Exception {
        PeerStub one = server(WebSocketClient.echo());
        PeerStub two = server(WebSocketClient.echo());
        sidecar(file("reconnect_rate = 40\ndrain_time = \"5s\"\n", one));
        List<WebSocketClient> idle = new ArrayList<>();
        List<WebSocketClient> busy = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            idle.add(open());
        }
        for (int i = 0; i < 5; i++) {
            WebSocketClient ws = open();
            assertEquals("x", ws.text("x").message().text());
            busy.add(ws);
        }
        long since = System.nanoTime();
        harness.reload(file("reconnect_rate = 40\ndrain_time = \"5s\"\n", two));
        for (int busyClosed = 0; busyClosed < busy.size(); ) {
            // In this order: what was closed before the busy ones counts, however late this thread runs.
            busyClosed = closedCount(busy);
            int idleClosed = closedCount(idle);
            assertTrue(busyClosed == 0 || idleClosed >= 18, idleClosed + " idle closed before the first busy one");
            assertTrue(busyClosed < 3 || idleClosed == 20, idleClosed + " idle closed before the third busy one");
            Thread.onSpinWait();
        }
        double seconds = (System.nanoTime() - since) / 1e9;
        for (List<WebSocketClient> kind : List.of(idle, busy)) {
            for (WebSocketClient ws : kind) {
                assertEquals(1001, ws.message().code());
                ws.close(1001);
            }
        }
        // 25 tunnels at 40 per second: spread over time, and all before the drain deadline.
        assertTrue(seconds > 0.4 && seconds < 5, seconds + " s");
    }

    /** How many of the tunnels have got a frame that was not read yet; without echoes that is a close frame. */
    private static int closedCount(List<WebSocketClient> tunnels) throws IOException {
        int count = 0;
        for (WebSocketClient ws : tunnels) {
            count += ws.hasUnreadBytes() ? 1 : 0;
        }
        return count;
    }

    /** A message in progress is completed before its tunnel is closed, even after the drain deadline. */
    @Test
    void messageInProgressIsCompletedBeforeClosing() throws Exception {
        BlockingQueue<String> heard = new LinkedBlockingQueue<>();
        PeerStub one = server(seen -> {
            WebSocketClient ws = WebSocketClient.acceptUpgrade(seen, "");
            for (WebSocketClient.Frame f; (f = ws.message()) != null; ) {
                heard.add(f.opcode() == 8 ? "close " + f.code() : f.text());
                if (f.opcode() == 8) {
                    ws.close(f.code());
                    return;
                }
            }
        });
        PeerStub two = server(WebSocketClient.echo());
        sidecar(file("drain_time = \"300ms\"\n", one));
        WebSocketClient ws = open();
        ws.send(1, false, "half ".getBytes(StandardCharsets.US_ASCII));
        WebSocketClient other = open();
        harness.reload(file("drain_time = \"300ms\"\n", two));
        assertEquals(1001, other.message().code());
        assertEquals("close 1001", heard.take());
        // After the drain deadline, which the close of the other tunnel shows, the message may still be completed.
        assertNull(heard.poll(600, TimeUnit.MILLISECONDS));
        ws.send(0, true, "and half".getBytes(StandardCharsets.US_ASCII));
        assertEquals("half and half", heard.take());
        assertEquals("close 1001", heard.take());
        assertEquals(1001, ws.message().code());
    }

    @Test
    void cancelledDrainKeepsItsTunnels() throws Exception {
        PeerStub one = server(WebSocketClient.echo());
        PeerStub two = server(WebSocketClient.echo());
        String slow = "reconnect_rate = 1\ndrain_time = \"2s\"\n";
        sidecar(file(slow, one));
        List<WebSocketClient> all = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            all.add(open());
        }
        harness.reload(file(slow, two));
        harness.reload(file(slow, one, two));
        // The first tunnel may have been closed at once; the closing order itself has its own test.
        int kept = 0;
        for (WebSocketClient ws : all) {
            WebSocketClient.Frame f = ws.text("still").message();
            kept += f != null && f.opcode() == 1 ? 1 : 0;
        }
        assertTrue(kept >= 8, "kept " + kept);
    }

    private void await(State state) throws Exception {
        while (harness.loop.submit(() -> harness.counters().count(state)).get() != 1) {
            Thread.onSpinWait();
        }
        assertTrue(harness.loop.submit(() -> harness.counters().isConsistent()).get());
    }

    /** A server starts draining while its 101 is on the way: the tunnel opens and is closed like the others. */
    @Test
    void drainDuringTheHandshakeClosesTheTunnel() throws Exception {
        CountDownLatch told = new CountDownLatch(1);
        PeerStub one = server(seen -> {
            try {
                told.await();
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
            WebSocketClient ws = WebSocketClient.acceptUpgrade(seen, "");
            ws.close(ws.message().code());
        });
        PeerStub two = server(WebSocketClient.echo());
        sidecar(file("drain_time = \"300ms\"\n", one));
        Harness.Client client = ask("");
        one.take();
        harness.reload(file("drain_time = \"300ms\"\n", two));
        told.countDown();
        assertEquals(101, client.answer().status());
        WebSocketClient ws = new WebSocketClient(client.socket, true);
        assertEquals(1001, ws.message().code());
        ws.close(1001);
        await(State.CLOSED_BY_SIDECAR);
    }

    /** Discovery reports a draining server and is lost itself: the drain continues. */
    @Test
    void drainContinuesWhenDiscoveryIsLost() throws Exception {
        PeerStub one = server(WebSocketClient.echo());
        harness = new Harness(folder, one);
        open.add(harness);
        harness.startWith(file("drain_time = \"300ms\"\n")
                .replaceFirst("(?s)source = \"static\".*?\\]\n", "source = \"discovery\"\n"));
        PeerStub.ReceivedRequest watch = harness.discovery.take();
        WebSocketClient ws = open();
        watch.reply("200 OK", "", Harness.json(Harness.list(9, false, "terminating", one)));
        harness.discovery.take();
        harness.discovery.close();
        assertEquals(1001, ws.message().code());
        ws.close(1001);
        await(State.CLOSED_BY_SIDECAR);
    }

    /** A client that never reads is closed with its tunnel within the close time-out, and counted once. */
    @Test
    void clientThatNeverReadsIsClosed() throws Exception {
        PeerStub one = server(seen -> {
            WebSocketClient ws = WebSocketClient.acceptUpgrade(seen, "");
            byte[] much = new byte[100_000];
            while (true) {
                ws.send(2, true, much);
            }
        });
        PeerStub two = server(WebSocketClient.echo());
        sidecar(file("drain_time = \"300ms\"\n", one));
        open();
        harness.reload(file("drain_time = \"300ms\"\n", two));
        await(State.CLOSED_BY_SIDECAR);
        one.awaitEnd();
    }

    /** The process stops while a server drains: the remaining tunnels are closed in that time, each once. */
    @Test
    void processStopDuringADrainClosesTheRemainingTunnels() throws Exception {
        PeerStub one = server(WebSocketClient.echo());
        PeerStub two = server(WebSocketClient.echo());
        String slow =
                "reconnect_rate = 1\ndrain_time = \"60s\"\ndrain_code = 4001\n" + "drain_reason = \"come back\"\n";
        sidecar(file(slow, one));
        List<WebSocketClient> all = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            all.add(open());
        }
        harness.reload(file(slow, two));
        CountDownLatch ended = harness.stop();
        for (WebSocketClient ws : all) {
            WebSocketClient.Frame last = ws.message();
            assertEquals(4001, last.code());
            assertEquals("come back", last.text().substring(2));
            ws.close(4001);
        }
        assertTrue(ended.await(10, TimeUnit.SECONDS));
        assertEquals(
                30,
                harness.loop
                        .submit(() -> harness.counters().count(State.CLOSED_BY_SIDECAR))
                        .get());
    }

    /** Existing tunnels do not move, so new tunnels and requests go to the servers with fewer of them. */
    @Test
    void tunnelsCountAsLoadWhenChoosingAServer() throws Exception {
        AtomicInteger[] counts = {new AtomicInteger(), new AtomicInteger(), new AtomicInteger()};
        PeerStub[] servers = new PeerStub[3];
        for (int i = 0; i < 3; i++) {
            AtomicInteger count = counts[i];
            servers[i] = server(seen -> {
                count.incrementAndGet();
                WebSocketClient ws = WebSocketClient.acceptUpgrade(seen, "");
                while (ws.read() != null) {
                    // Stays open without sending.
                    Thread.onSpinWait();
                }
            });
        }
        sidecar(file("", servers[0], servers[1]));
        for (int i = 0; i < 100; i++) {
            open();
        }
        int first = counts[0].get();
        assertTrue(first > 30 && first < 70, "spread " + first + " of 100");
        harness.reload(file("", servers));
        for (int i = 0; i < 50; i++) {
            open();
        }
        assertTrue(counts[2].get() > 25, "the new one got " + counts[2].get() + " of 50");
    }
}
