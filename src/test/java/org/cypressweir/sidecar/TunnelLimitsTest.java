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

/** How many tunnels there may be, who makes room, and waves of new ones, between real sockets. */
@Timeout(60)
class TunnelLimitsTest extends TunnelLoopback {

    private final AtomicInteger first = new AtomicInteger();
    private final AtomicInteger second = new AtomicInteger();

    private void refused(String more) throws Exception {
        RawHttpClient.Message answer = ask(more).answer();
        assertEquals(503, answer.status());
        assertTrue(Double.parseDouble(answer.headers().get("Retry-After")) > 0);
    }

    @Test
    void aRouteAndAPoolHaveTheirBounds() throws Exception {
        PeerStub one = server(chat(first));
        sidecar(file("max_tunnels = 3\n", "max_tunnels = 2\n", one));
        WebSocketClient ws = open(CHAT);
        open(CHAT);
        refused(CHAT);
        // Plain requests are not meant.
        assertEquals(200, harness.client().search(2_000).answer().status());
        ws.close(1000);
        ws.message();
        while (harness.loop
                        .submit(() -> harness.counters().in(State.CLOSED_BY_CLIENT))
                        .get()
                < 1) {
            Thread.onSpinWait();
        }
        open(CHAT);
        harness.reload(file("max_tunnels = 3\n", "", one));
        open(CHAT);
        refused(CHAT);
        assertEquals(
                2,
                harness.loop.submit(() -> harness.counters().in(State.REFUSED)).get());
    }

    /**
     * At the bound the one that has been quiet for the longest makes room; one that has just spoken stays.
     */
    @Test
    void theLongestQuietMakesRoom() throws Exception {
        PeerStub one = server(chat(first));
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
        refused(CHAT);
    }

    /** A server that has as many as it may gets no more; plain requests go on. */
    @Test
    void aFullServerGetsNoMoreTunnels() throws Exception {
        sidecar(file("max_tunnels_per_server = 5\n", "", server(chat(first)), server(chat(second))));
        for (int i = 0; i < 10; i++) {
            open(CHAT);
        }
        assertEquals(5, first.get());
        assertEquals(5, second.get());
        refused(CHAT);
        for (int i = 0; i < 40; i++) {
            assertEquals(200, harness.client().search(2_000).answer().status());
        }
    }

    /** A wave past what the servers take is refused at once, each told another time; requests go on. */
    @Test
    void aWaveIsSpread() throws Exception {
        PeerStub one = server(chat(first));
        sidecar(file("upgrade_rate = 20\n", "", one));
        List<Harness.Client> wave = new ArrayList<>();
        long since = System.nanoTime();
        for (int i = 0; i < 80; i++) {
            wave.add(ask(CHAT));
        }
        assertEquals(200, harness.client().search(2_000).answer().status());
        TreeSet<Double> told = new TreeSet<>();
        int agreed = 0;
        for (Harness.Client client : wave) {
            RawHttpClient.Message answer = client.answer();
            if (answer.status() == 101) {
                agreed++;
            } else {
                assertEquals(503, answer.status());
                told.add(Double.parseDouble(answer.headers().get("Retry-After")));
            }
        }
        // A second's worth at once, and the rate for as long as all of this took.
        double seconds = (System.nanoTime() - since) / 1e9;
        assertTrue(agreed >= 20 && agreed <= 21 + 20 * seconds, "agreed " + agreed + " in " + seconds + " s");
        assertTrue(told.size() >= (80 - agreed) * 2 / 3, told.toString());
    }

    /** The only other server is cold: what comes to it from the drained one keeps within its share. */
    @Test
    void aColdServerIsSpared() throws Exception {
        ConcurrentLinkedQueue<Long> arrivals = new ConcurrentLinkedQueue<>();
        PeerStub one = server(chat(first));
        PeerStub two = server(seen -> {
            arrivals.add(System.currentTimeMillis());
            chat(second).on(seen);
        });
        harness = new Harness(folder, one);
        open.add(harness);
        // Its pool hears from discovery, which says when a server was started.
        harness.startWith(file("resumable = [\"chat\"]\nresume_header = \"Resume: yes\"\n" + "reconnect_rate = 1000\n")
                .replaceFirst("(?s)source = \"static\".*?\\]\n", "source = \"discovery\"\nupgrade_rate = 100\n"));
        PeerStub.Seen watch = harness.discovery.take();
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
        // By its age the share rises from 0.3 to 1 of 100 a second; a tenth of a second may be saved up.
        for (int age = 10; age <= 1_000; age += 10) {
            long until = start + age;
            long come = arrivals.stream().filter(a -> a < until).count();
            double t = age / 1e3;
            double bound = 2 + 100 * (0.3 * t + 0.35 * t * t) + 10 * (0.3 + 0.7 * t);
            assertTrue(come <= bound, come + " at an age of " + age + " ms, at most " + bound);
        }
    }
}
