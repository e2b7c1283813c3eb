package org.cypressweir.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import org.cypressweir.sidecar.websocket.UpgradeAccount.State;
import org.cypressweir.testkit.PeerStub;
import org.cypressweir.testkit.RawHttpClient;
import org.cypressweir.testkit.WebSocketClient;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Limits on the number of tunnels, eviction, and bursts of new ones, with real sockets. */
@Timeout(60)
class TunnelLimitsTest extends TunnelLoopback {

    private final AtomicInteger firstServerTunnels = new AtomicInteger();
    private final AtomicInteger secondServerTunnels = new AtomicInteger();

    private void assertRejected(String more) throws Exception {
        RawHttpClient.Message answer = ask(more).answer();
        assertEquals(503, answer.status());
        assertTrue(Double.parseDouble(answer.headers().get("Retry-After")) > 0);
    }

    @Test
    void routeAndPoolLimitsApply() throws Exception {
        PeerStub one = server(chat(firstServerTunnels));
        sidecar(file("max_tunnels = 3\n", "max_tunnels = 2\n", one));
        WebSocketClient ws = open(CHAT);
        open(CHAT);
        assertRejected(CHAT);
        // Plain requests are not limited.
        assertEquals(200, harness.client().search(2_000).answer().status());
        ws.close(1000);
        ws.message();
        while (harness.loop
                        .submit(() -> harness.counters().count(State.CLOSED_BY_CLIENT))
                        .get()
                < 1) {
            Thread.onSpinWait();
        }
        open(CHAT);
        harness.reload(file("max_tunnels = 3\n", "", one));
        open(CHAT);
        assertRejected(CHAT);
        assertEquals(
                2,
                harness.loop
                        .submit(() -> harness.counters().count(State.REFUSED))
                        .get());
    }

    /** At the limit the tunnel that has been idle longest is evicted; one that has just sent a message stays. */
    @Test
    void longestIdleTunnelIsEvicted() throws Exception {
        PeerStub one = server(chat(firstServerTunnels));
        sidecar(file("max_tunnels = 2\nevict_after = \"1s\"\n", one));
        WebSocketClient quiet = open(CHAT);
        WebSocketClient busy = open(CHAT);
        long since = System.nanoTime();
        while (System.nanoTime() - since < 1_100_000_000) {
            assertEquals("x", busy.text("x").message().text());
        }
        WebSocketClient third = open(CHAT);
        assertEquals(1001, quiet.message().code());
        assertEquals("y", busy.text("y").message().text());
        assertEquals("z", third.text("z").message().text());
        assertRejected(CHAT);
    }

    /** A server at its tunnel limit receives no more tunnels; plain requests continue. */
    @Test
    void fullServerReceivesNoMoreTunnels() throws Exception {
        sidecar(file(
                "max_tunnels_per_server = 5\n",
                "",
                server(chat(firstServerTunnels)),
                server(chat(secondServerTunnels))));
        for (int i = 0; i < 10; i++) {
            open(CHAT);
        }
        assertEquals(5, firstServerTunnels.get());
        assertEquals(5, secondServerTunnels.get());
        assertRejected(CHAT);
        for (int i = 0; i < 40; i++) {
            assertEquals(200, harness.client().search(2_000).answer().status());
        }
    }

    /** A burst above the servers' rate is rejected at once, with varied retry times; plain requests continue. */
    @Test
    void burstOfUpgradesIsSpreadOverTime() throws Exception {
        PeerStub one = server(chat(firstServerTunnels));
        sidecar(file("upgrade_rate = 20\n", "", one));
        List<Harness.Client> burst = new ArrayList<>();
        long since = System.nanoTime();
        for (int i = 0; i < 80; i++) {
            burst.add(ask(CHAT));
        }
        assertEquals(200, harness.client().search(2_000).answer().status());
        TreeSet<Double> retryTimes = new TreeSet<>();
        int agreed = 0;
        for (Harness.Client client : burst) {
            RawHttpClient.Message answer = client.answer();
            if (answer.status() == 101) {
                agreed++;
            } else {
                assertEquals(503, answer.status());
                retryTimes.add(Double.parseDouble(answer.headers().get("Retry-After")));
            }
        }
        // One second's allowance at once, plus the rate for the duration of the burst.
        double seconds = (System.nanoTime() - since) / 1e9;
        assertTrue(agreed >= 20 && agreed <= 21 + 20 * seconds, "agreed " + agreed + " in " + seconds + " s");
        assertTrue(retryTimes.size() >= (80 - agreed) * 2 / 3, retryTimes.toString());
    }

    /**
     * The only other server is in slow start: the tunnels that move to it from the drained one stay within its share.
     */
    @Test
    void coldServerReceivesOnlyItsShare() throws Exception {
        ConcurrentLinkedQueue<Long> arrivals = new ConcurrentLinkedQueue<>();
        PeerStub one = server(chat(firstServerTunnels));
        PeerStub two = server(seen -> {
            arrivals.add(System.currentTimeMillis());
            chat(secondServerTunnels).on(seen);
        });
        harness = new Harness(folder, one);
        open.add(harness);
        // The pool uses discovery, which reports when a server was started.
        harness.startWith(file("resumable = [\"chat\"]\nresume_header = \"Resume: yes\"\n" + "reconnect_rate = 1000\n")
                .replaceFirst("(?s)source = \"static\".*?\\]\n", "source = \"discovery\"\nupgrade_rate = 100\n"));
        PeerStub.ReceivedRequest watch = harness.discovery.take();
        List<WebSocketClient> all = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            all.add(open(CHAT));
        }
        long start = System.currentTimeMillis();
        String cold = "'uid':'s-" + two.port() + "','endpoint':'127.0.0.1:" + two.port()
                + "','az':'a','model':'m','pod_group':0,'state':'in_service','boot_ms':" + start + "}";
        String gone = "'uid':'s-" + one.port() + "','endpoint':'127.0.0.1:" + one.port()
                + "','az':'a','model':'m','pod_group':0,'state':'terminating','boot_ms':0}";
        watch.reply("200 OK", "", Harness.json("{'rev':9,'all':false,'targets':[{" + cold + ",{" + gone + "]}"));
        for (WebSocketClient ws : all) {
            assertEquals("here", ws.text("here").message().text());
        }
        while (harness.loop.submit(() -> harness.moved()).get() < 60) {
            Thread.onSpinWait();
        }
        // With age the share rises from 0.3 to 1 of 100 per second; up to a tenth of a second of allowance may
        // accumulate.
        for (int age = 10; age <= 1_000; age += 10) {
            long until = start + age;
            long come = arrivals.stream().filter(a -> a < until).count();
            double t = age / 1e3;
            double bound = 2 + 100 * (0.3 * t + 0.35 * t * t) + 10 * (0.3 + 0.7 * t);
            assertTrue(come <= bound, come + " at an age of " + age + " ms, at most " + bound);
        }
    }
}
