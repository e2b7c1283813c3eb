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

/** Tunnels that go on at another server when theirs leaves, between real sockets. */
@Timeout(120)
class TunnelMoveTest extends TunnelLoopback {

    private static final String RESUME =
            "resumable = [\"chat\"]\nresume_header = \"Resume: yes\"\n" + "reconnect_rate = 1000\n";
    private static final int TUNNELS = 10;
    private static final int EACH = 10_000;

    private final AtomicInteger some = new AtomicInteger();

    /** Waits until so many upgrades stand there. */
    private void await(State state, long count) throws Exception {
        while (harness.loop.submit(() -> harness.counters().in(state)).get() != count) {
            Thread.onSpinWait();
        }
    }

    private void awaitMoved(long count) throws Exception {
        while (harness.loop.submit(() -> harness.moved()).get() < count) {
            long left =
                    harness.loop.submit(() -> harness.counters().in(State.OPEN)).get();
            assertTrue(left > 0, "all have ended");
        }
    }

    /**
     * A hundred thousand numbered messages on ten tunnels, while one server after the other is drained, so
     * that what has moved moves again: each comes to one server once and in order, and so do the answers.
     */
    @Test
    void noMessageIsLostDoubledOrReordered() throws Exception {
        Map<String, List<Integer>> heard = new ConcurrentHashMap<>();
        PeerStub.Script counting = seen -> {
            List<Integer> mine = heard.computeIfAbsent(
                    seen.request().headers().get("Session"), k -> Collections.synchronizedList(new ArrayList<>()));
            WebSocketClient ws = WebSocketClient.agree(seen, CHAT);
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
            // Large in flight, so that there is always something on its way when a move begins.
            threads.add(new Thread(() -> send(ws, faults)));
            threads.add(new Thread(() -> hear(ws, faults)));
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
        assertEquals(TUNNELS, heard.size());
        for (List<Integer> list : heard.values()) {
            assertEquals(EACH, list.size());
            for (int i = 0; i < EACH; i++) {
                assertEquals(i, list.get(i));
            }
        }
        assertEquals(
                TUNNELS, harness.loop.submit(() -> harness.counters().opened()).get());
        assertTrue(harness.loop.submit(() -> harness.counters().addUp()).get());
    }

    private static void send(WebSocketClient ws, List<String> faults) {
        try {
            for (int i = 0; i < EACH; i++) {
                ws.text(String.valueOf(i));
            }
        } catch (IOException e) {
            faults.add(e.toString());
        }
    }

    private static void hear(WebSocketClient ws, List<String> faults) {
        try {
            for (int i = 0; i < EACH; i++) {
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

    /** The other handshake has the first one's headers, its own id and key, and the operators' header. */
    @Test
    void theHandshakeSaysThatItResumes() throws Exception {
        PeerStub one = server(chat(some));
        PeerStub two = server(chat(some));
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
    void theFirstMessageIsRepeated() throws Exception {
        BlockingQueue<String> heard = new LinkedBlockingQueue<>();
        PeerStub.Script noting = seen -> {
            WebSocketClient ws = WebSocketClient.agree(seen, CHAT);
            for (WebSocketClient.Frame f; (f = ws.message()) != null && f.opcode() != 8; ) {
                heard.add(f.text());
            }
            ws.close(1001);
        };
        PeerStub one = server(noting);
        PeerStub two = server(noting);
        String limits = "resumable = [\"chat\"]\nresume_first_message = true\n";
        sidecar(file(limits, one));
        WebSocketClient ws = open(CHAT);
        ws.send(1, false, "subscribe ".getBytes(StandardCharsets.US_ASCII));
        ws.send(0, true, "b4".getBytes(StandardCharsets.US_ASCII));
        ws.text("more");
        assertEquals("subscribe b4", heard.take());
        assertEquals("more", heard.take());
        harness.reload(file(limits, two));
        assertEquals("subscribe b4", heard.take());
        ws.text("and more");
        assertEquals("and more", heard.take());
    }

    /** Messages that have begun, on either side, are ended where they began. */
    @Test
    void nobodyMovesWithinAMessage() throws Exception {
        BlockingQueue<String> old = new LinkedBlockingQueue<>();
        PeerStub one = server(seen -> {
            WebSocketClient ws = WebSocketClient.agree(seen, CHAT);
            for (WebSocketClient.Frame f; (f = ws.message()) != null && f.opcode() != 8; ) {
                old.add(f.text());
                // A message of the server's own, which it ends when it hears the client's next one.
                boolean begins = f.text().equals("begin");
                ws.send(begins ? 1 : 0, !begins, f.payload());
            }
            old.add("closed");
            ws.close(1000);
        });
        PeerStub two = server(chat(some));
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
        assertEquals(1, some.get());
    }

    /** Where no other server agrees it stays until the last moment, and then goes as any other. */
    @Test
    void whoIsNotTakenIsClosedAtTheLastMoment() throws Exception {
        PeerStub one = server(chat(some));
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

    /** The old server breaks when it is told to close: what it has read is not known, so nothing goes on. */
    @Test
    void aServerThatBreaksInTheMiddleEndsIt() throws Exception {
        PeerStub one = server(seen -> {
            WebSocketClient ws = WebSocketClient.agree(seen, CHAT);
            while (ws.read().opcode() != 8) {
                Thread.onSpinWait();
            }
            seen.socket().close();
        });
        BlockingQueue<Integer> codes = new LinkedBlockingQueue<>();
        PeerStub two = server(seen -> {
            WebSocketClient ws = WebSocketClient.agree(seen, CHAT);
            WebSocketClient.Frame f = ws.message();
            codes.add(f.opcode() == 8 ? f.code() : -1);
        });
        sidecar(file(RESUME, one));
        WebSocketClient ws = open(CHAT);
        harness.reload(file(RESUME, two));
        assertEquals(1011, ws.message().code());
        assertEquals(1001, codes.take());
        await(State.BROKEN, 1);
        assertTrue(harness.loop.submit(() -> harness.counters().addUp()).get());
    }

    /** One that does not answer the close has its time, and then both are closed. */
    @Test
    void aServerThatDoesNotCloseEndsIt() throws Exception {
        CountDownLatch told = new CountDownLatch(1);
        PeerStub one = server(seen -> {
            WebSocketClient ws = WebSocketClient.agree(seen, CHAT);
            for (WebSocketClient.Frame f; (f = ws.read()) != null; ) {
                if (f.opcode() == 8) {
                    told.countDown();
                }
            }
        });
        BlockingQueue<Integer> codes = new LinkedBlockingQueue<>();
        PeerStub two = server(
                seen -> codes.add(WebSocketClient.agree(seen, CHAT).message().code()));
        sidecar(file(RESUME, one));
        WebSocketClient ws = open(CHAT);
        harness.reload(file(RESUME, two));
        assertTrue(told.await(10, TimeUnit.SECONDS));
        // It is held back, and goes to nobody.
        ws.text("lost with the connection");
        assertEquals(1001, ws.message().code());
        assertEquals(1001, codes.take());
        ws.close(1001);
        await(State.CLOSED_BY_SIDECAR, 1);
    }

    /** A server that ends the session in its own words while it is told to close is heard. */
    @Test
    void aServersOwnLastWordGoesToTheClient() throws Exception {
        PeerStub one = server(seen -> {
            WebSocketClient ws = WebSocketClient.agree(seen, CHAT);
            ws.message();
            ws.close(4001);
        });
        PeerStub two = server(chat(some));
        sidecar(file(RESUME, one));
        WebSocketClient ws = open(CHAT);
        harness.reload(file(RESUME, two));
        assertEquals(4001, ws.message().code());
        ws.close(4001);
        await(State.CLOSED_BY_SERVER, 1);
    }

    /** A subprotocol that was not agreed on, or that is not resumable, is closed as ever. */
    @Test
    void othersAreClosed() throws Exception {
        PeerStub one = server(seen -> {
            WebSocketClient ws = WebSocketClient.agree(seen, "");
            ws.close(ws.message().code());
        });
        PeerStub two = server(chat(some));
        sidecar(file(RESUME, one));
        WebSocketClient ws = open(CHAT);
        harness.reload(file(RESUME, two));
        assertEquals(1001, ws.message().code());
        assertEquals(0, some.get());
    }

    /** The process ends while a move is on its way: one close, one outcome, and the process does end. */
    @Test
    void theProcessEndsInTheMiddle() throws Exception {
        PeerStub one = server(chat(some));
        BlockingQueue<PeerStub.Seen> asked = new LinkedBlockingQueue<>();
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
                        .submit(() -> harness.counters().in(State.CLOSED_BY_SIDECAR))
                        .get());
    }

    /** A client that leaves while its tunnel moves ends it once, and the other server is let go. */
    @Test
    void theClientLeavesInTheMiddle() throws Exception {
        PeerStub one = server(chat(some));
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
            codes.add(WebSocketClient.agree(seen, CHAT).message().code());
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
