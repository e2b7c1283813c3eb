package org.cypressweir.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.cypressweir.sidecar.websocket.UpgradeAccount.State;
import org.cypressweir.testkit.PeerStub;
import org.cypressweir.testkit.RawHttpClient;
import org.cypressweir.testkit.WebSocketClient;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tunnels that move to another server when theirs drains, with real sockets. */
@Timeout(120)
class TunnelMoveTest extends TunnelLoopback {

    private static final String RESUME =
            "resumable = [\"chat\"]\nresume_header = \"Resume: yes\"\n" + "reconnect_rate = 1000\n";
    private static final int TUNNELS = 10;
    private static final int MESSAGES_PER_TUNNEL = 10_000;

    private final AtomicInteger secondServerTunnels = new AtomicInteger();

    /** Waits until this many upgrades are in the given state. */
    private void await(State state, long count) throws Exception {
        while (harness.loop.submit(() -> harness.counters().count(state)).get() != count) {
            Thread.onSpinWait();
        }
    }

    private void awaitMoved(long count) throws Exception {
        while (harness.loop.submit(() -> harness.moved()).get() < count) {
            long left = harness.loop
                    .submit(() -> harness.counters().count(State.OPEN))
                    .get();
            assertTrue(left > 0, "all have ended");
        }
    }

    /**
     * A hundred thousand numbered messages on ten tunnels while one server after another is drained, so that moved
     * tunnels move again: each message reaches one server once and in order, and so do the responses.
     */
    @Test
    void messagesAreNeitherLostNorDuplicatedNorReordered() throws Exception {
        Map<String, List<Integer>> received = new ConcurrentHashMap<>();
        PeerStub.Script counting = seen -> {
            List<Integer> mine = received.computeIfAbsent(
                    seen.request().headers().get("Session"), k -> Collections.synchronizedList(new ArrayList<>()));
            WebSocketClient ws = WebSocketClient.acceptUpgrade(seen, CHAT);
            for (WebSocketClient.Frame f; (f = ws.message()) != null; ) {
                if (f.opcode() == 8) {
                    ws.close(f.code());
                    return;
                }
                mine.add(Integer.parseInt(f.text()));
                ws.text(f.text());
            }
        };
        PeerStub[] servers = {server(counting), server(counting), server(counting), server(counting)};
        sidecar(file(RESUME, servers));
        List<String> faults = Collections.synchronizedList(new ArrayList<>());
        List<Thread> threads = new ArrayList<>();
        for (int t = 0; t < TUNNELS; t++) {
            WebSocketClient ws = open(CHAT + "Session: " + t + "\r\n");
            // Many messages are in flight, so that there are always some on the way when a move begins.
            threads.add(new Thread(() -> send(ws, faults)));
            threads.add(new Thread(() -> receive(ws, faults)));
        }
        threads.forEach(Thread::start);
        harness.reload(file(RESUME, servers[1], servers[2], servers[3]));
        awaitMoved(1);
        harness.reload(file(RESUME, servers[2], servers[3]));
        awaitMoved(3);
        harness.reload(file(RESUME, servers[3]));
        awaitMoved(5);
        for (Thread thread : threads) {
            thread.join();
        }
        assertEquals(List.of(), faults);
        assertEquals(TUNNELS, received.size());
        for (List<Integer> list : received.values()) {
            assertEquals(MESSAGES_PER_TUNNEL, list.size());
            for (int i = 0; i < MESSAGES_PER_TUNNEL; i++) {
                assertEquals(i, list.get(i));
            }
        }
        assertEquals(
                TUNNELS, harness.loop.submit(() -> harness.counters().opened()).get());
        assertTrue(harness.loop.submit(() -> harness.counters().isConsistent()).get());
    }

    private static void send(WebSocketClient ws, List<String> faults) {
        try {
            for (int i = 0; i < MESSAGES_PER_TUNNEL; i++) {
                ws.text(String.valueOf(i));
            }
        } catch (IOException e) {
            faults.add(e.toString());
        }
    }

    private static void receive(WebSocketClient ws, List<String> faults) {
        try {
            for (int i = 0; i < MESSAGES_PER_TUNNEL; i++) {
                WebSocketClient.Frame f = ws.message();
                if (f == null || f.opcode() != 1 || Integer.parseInt(f.text()) != i) {
                    faults.add("at " + i + ": " + (f == null ? "the end" : f.opcode() + " " + f.text()));
                    return;
                }
            }
        } catch (IOException e) {
            faults.add(e.toString());
        }
    }

    /** The second handshake has the first one's headers, its own id and key, and the operators' resume header. */
    @Test
    void resumingHandshakeCarriesTheResumeHeader() throws Exception {
        PeerStub one = server(chat(secondServerTunnels));
        PeerStub two = server(chat(secondServerTunnels));
        sidecar(file(RESUME, one));
        WebSocketClient ws =
                open("Sec-WebSocket-Protocol: other, chat\r\nSec-WebSocket-Extensions: permessage-deflate\r\n"
                        + "Cookie: me\r\n");
        Map<String, String> first = one.take().request().headers();
        harness.reload(file(RESUME, two));
        awaitMoved(1);
        Map<String, String> second = two.take().request().headers();
        assertNull(first.get("Resume"));
        assertNull(first.get("Sec-WebSocket-Extensions"), "state that can't be moved");
        assertEquals("yes", second.get("Resume"));
        assertEquals("me", second.get("Cookie"));
        assertEquals("chat", second.get("Sec-WebSocket-Protocol"));
        assertEquals(first.get("Request-Id") + "-m1", second.get("Request-Id"));
        assertTrue(!first.get("Sec-WebSocket-Key").equals(second.get("Sec-WebSocket-Key")));
        assertEquals("on", ws.text("on").message().text());
        one.awaitEnd();
    }

    @Test
    void firstMessageIsRepeatedToTheNewServer() throws Exception {
        BlockingQueue<String> received = new LinkedBlockingQueue<>();
        PeerStub.Script recording = seen -> {
            WebSocketClient ws = WebSocketClient.acceptUpgrade(seen, CHAT);
            for (WebSocketClient.Frame f; (f = ws.message()) != null && f.opcode() != 8; ) {
                received.add(f.text());
            }
            ws.close(1001);
        };
        PeerStub one = server(recording);
        PeerStub two = server(recording);
        String limits = "resumable = [\"chat\"]\nresume_first_message = true\n";
        sidecar(file(limits, one));
        WebSocketClient ws = open(CHAT);
        ws.send(1, false, "subscribe ".getBytes(StandardCharsets.US_ASCII));
        ws.send(0, true, "b4".getBytes(StandardCharsets.US_ASCII));
        ws.text("more");
        assertEquals("subscribe b4", received.take());
        assertEquals("more", received.take());
        harness.reload(file(limits, two));
        assertEquals("subscribe b4", received.take());
        ws.text("and more");
        assertEquals("and more", received.take());
    }

    /** Messages in progress, in either direction, are completed at the server where they began. */
    @Test
    void tunnelDoesNotMoveWithinAMessage() throws Exception {
        BlockingQueue<String> old = new LinkedBlockingQueue<>();
        PeerStub one = server(seen -> {
            WebSocketClient ws = WebSocketClient.acceptUpgrade(seen, CHAT);
            for (WebSocketClient.Frame f; (f = ws.message()) != null && f.opcode() != 8; ) {
                old.add(f.text());
                // A message of the server's own, which it completes on receiving the client's next one.
                boolean begins = f.text().equals("begin");
                ws.send(begins ? 1 : 0, !begins, f.payload());
            }
            old.add("closed");
            ws.close(1000);
        });
        PeerStub two = server(chat(secondServerTunnels));
        sidecar(file(RESUME, one));
        WebSocketClient ws = open(CHAT);
        ws.text("begin");
        assertEquals("begin", old.take());
        ws.send(1, false, "half ".getBytes(StandardCharsets.US_ASCII));
        harness.reload(file(RESUME, two));
        assertNull(old.poll(300, TimeUnit.MILLISECONDS));
        ws.send(0, true, "half".getBytes(StandardCharsets.US_ASCII));
        assertEquals("half half", old.take());
        assertEquals("beginhalf half", ws.message().text());
        assertEquals("closed", old.take());
        assertEquals("there", ws.text("there").message().text());
        assertEquals(1, secondServerTunnels.get());
    }

    /** If no other server accepts the tunnel, it stays until the drain deadline and is then closed like any other. */
    @Test
    void tunnelThatNoServerAcceptsIsClosedAtTheDrainDeadline() throws Exception {
        PeerStub one = server(chat(secondServerTunnels));
        AtomicInteger refusals = new AtomicInteger();
        PeerStub two = server(seen -> {
            refusals.incrementAndGet();
            seen.reply("503 Service Unavailable", "Not-Started: 1\r\n", "");
        });
        String limits = RESUME + "drain_time = \"800ms\"\n";
        sidecar(file(limits, one));
        WebSocketClient ws = open(CHAT);
        harness.reload(file(limits, two));
        assertEquals("still", ws.text("still").message().text());
        assertEquals(1001, ws.message().code());
        ws.close(1001);
        await(State.CLOSED_BY_SIDECAR, 1);
        assertTrue(refusals.get() > 0);
        assertEquals(0, harness.loop.submit(() -> harness.moved()).get());
    }

    /** The old server fails when told to close: what it has read is unknown, so the tunnel cannot resume. */
    @Test
    void serverFailureDuringAMoveClosesTheTunnel() throws Exception {
        PeerStub one = server(seen -> {
            WebSocketClient ws = WebSocketClient.acceptUpgrade(seen, CHAT);
            while (ws.read().opcode() != 8) {
                Thread.onSpinWait();
            }
            seen.socket().close();
        });
        BlockingQueue<Integer> codes = new LinkedBlockingQueue<>();
        PeerStub two = server(seen -> {
            WebSocketClient ws = WebSocketClient.acceptUpgrade(seen, CHAT);
            WebSocketClient.Frame f = ws.message();
            codes.add(f.opcode() == 8 ? f.code() : -1);
        });
        sidecar(file(RESUME, one));
        WebSocketClient ws = open(CHAT);
        harness.reload(file(RESUME, two));
        assertEquals(1011, ws.message().code());
        assertEquals(1001, codes.take());
        await(State.BROKEN, 1);
        assertTrue(harness.loop.submit(() -> harness.counters().isConsistent()).get());
    }

    /** A server that does not answer the close frame has a time-out, after which both sides are closed. */
    @Test
    void serverThatIgnoresTheCloseFrameClosesTheTunnel() throws Exception {
        CountDownLatch closeReceived = new CountDownLatch(1);
        PeerStub one = server(seen -> {
            WebSocketClient ws = WebSocketClient.acceptUpgrade(seen, CHAT);
            for (WebSocketClient.Frame f; (f = ws.read()) != null; ) {
                if (f.opcode() == 8) {
                    closeReceived.countDown();
                }
            }
        });
        BlockingQueue<Integer> codes = new LinkedBlockingQueue<>();
        PeerStub two = server(seen ->
                codes.add(WebSocketClient.acceptUpgrade(seen, CHAT).message().code()));
        sidecar(file(RESUME, one));
        WebSocketClient ws = open(CHAT);
        harness.reload(file(RESUME, two));
        assertTrue(closeReceived.await(10, TimeUnit.SECONDS));
        // The message is held back and reaches no server.
        ws.text("lost with the connection");
        assertEquals(1001, ws.message().code());
        assertEquals(1001, codes.take());
        ws.close(1001);
        await(State.CLOSED_BY_SIDECAR, 1);
    }

    /** A server that closes the session with its own code while it is told to close: the client receives that code. */
    @Test
    void closeCodeOfTheOldServerReachesTheClient() throws Exception {
        PeerStub one = server(seen -> {
            WebSocketClient ws = WebSocketClient.acceptUpgrade(seen, CHAT);
            ws.message();
            ws.close(4001);
        });
        PeerStub two = server(chat(secondServerTunnels));
        sidecar(file(RESUME, one));
        WebSocketClient ws = open(CHAT);
        harness.reload(file(RESUME, two));
        assertEquals(4001, ws.message().code());
        ws.close(4001);
        await(State.CLOSED_BY_SERVER, 1);
    }

    /** A tunnel whose subprotocol was not negotiated or is not resumable is closed as usual. */
    @Test
    void nonResumableTunnelIsClosed() throws Exception {
        PeerStub one = server(seen -> {
            WebSocketClient ws = WebSocketClient.acceptUpgrade(seen, "");
            ws.close(ws.message().code());
        });
        PeerStub two = server(chat(secondServerTunnels));
        sidecar(file(RESUME, one));
        WebSocketClient ws = open(CHAT);
        harness.reload(file(RESUME, two));
        assertEquals(1001, ws.message().code());
        assertEquals(0, secondServerTunnels.get());
    }

    /** The process stops during a move: one close frame, one outcome, and the process terminates. */
    @Test
    void processStopDuringAMoveClosesTheTunnelOnce() throws Exception {
        PeerStub one = server(chat(secondServerTunnels));
        BlockingQueue<PeerStub.ReceivedRequest> asked = new LinkedBlockingQueue<>();
        PeerStub two = server(asked::add);
        sidecar(file(RESUME, one));
        WebSocketClient ws = open(CHAT);
        harness.reload(file(RESUME, two));
        asked.take();
        CountDownLatch ended = harness.stop();
        assertEquals(1001, ws.message().code());
        ws.close(1001);
        assertTrue(ended.await(10, TimeUnit.SECONDS));
        assertEquals(
                1,
                harness.loop
                        .submit(() -> harness.counters().count(State.CLOSED_BY_SIDECAR))
                        .get());
    }

    /** A client that disconnects during a move ends the tunnel once, and the other server's connection is closed. */
    @Test
    void clientDisconnectDuringAMoveClosesTheTunnelOnce() throws Exception {
        PeerStub one = server(chat(secondServerTunnels));
        CountDownLatch asked = new CountDownLatch(1);
        CountDownLatch gone = new CountDownLatch(1);
        BlockingQueue<Integer> codes = new LinkedBlockingQueue<>();
        PeerStub two = server(seen -> {
            asked.countDown();
            try {
                gone.await();
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
            codes.add(WebSocketClient.acceptUpgrade(seen, CHAT).message().code());
        });
        sidecar(file(RESUME, one));
        Harness.Client client = ask(CHAT);
        RawHttpClient.Message answer = client.answer();
        assertEquals(101, answer.status());
        harness.reload(file(RESUME, two));
        asked.await();
        client.close();
        await(State.BROKEN, 1);
        gone.countDown();
        assertEquals(1001, codes.take());
    }
}
