package org.cypressweir.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.cypressweir.testkit.PeerStub;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests what an instance keeps open and how often it polls when many instances share servers and discovery. */
@Timeout(60)
class FleetShareTest extends Loopback {

    private static final String ROUTES = "[pools.p]\nsource = \"discovery\"\n[routes.search]\n"
            + "path = \"/search/*\"\nclass = \"search\"\npool = \"p\"\n";

    private Harness harness;

    private Harness sidecar(String fleet, PeerStub... servers) throws Exception {
        harness = new Harness(folder, servers);
        open.add(harness);
        return harness.startWith("version = 1\n" + fleet + ROUTES);
    }

    /**
     * Calls are made in their slots and hold nothing open: each asks for changes without waiting and closes its
     * connection.
     */
    @Test
    void pollsFollowTheSchedule() throws Exception {
        PeerStub one = server(PeerStub.serves("one"));
        harness = new Harness(folder, one);
        open.add(harness);
        harness.discovery.script(seen -> seen.reply("200 OK", "", Harness.json(Harness.EMPTY_UPDATE)));
        harness.startWith("version = 1\n[fleet]\ninstances = 4\nlist_rate = 10\n" + ROUTES);
        List<Long> at = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            PeerStub.ReceivedRequest call = harness.discovery.take();
            at.add(System.nanoTime());
            assertTrue(
                    call.request().firstLine().endsWith("&hold_ms=0 HTTP/1.1"),
                    call.request().firstLine());
            harness.discovery.awaitEnd();
        }
        // Slots are 400 ms apart: six calls span five of them, though each may be late on a slow machine.
        long all = (at.get(5) - at.get(0)) / 1_000_000;
        assertTrue(all > 1_500, "six calls within " + all + " ms");
        assertEquals(200, harness.client().search(2_000).answer().status());
    }

    /** A failing discovery is not polled more often, and changes are known with the next call that succeeds. */
    @Test
    void failuresDoNotIncreasePollRate() throws Exception {
        PeerStub one = server(PeerStub.serves("one"));
        PeerStub two = server(PeerStub.serves("two"));
        harness = new Harness(folder, one);
        open.add(harness);
        harness.discovery.script(PeerStub.answers("503 Service Unavailable", "", ""));
        harness.startWith("version = 1\n[fleet]\ninstances = 2\nlist_rate = 10\n" + ROUTES);
        long began = System.nanoTime();
        for (int i = 0; i < 4; i++) {
            harness.discovery.take();
        }
        assertTrue((System.nanoTime() - began) / 1_000_000 > 350, "four failures in less than two rounds");
        harness.discovery.script(
                seen -> seen.reply("200 OK", "", Harness.json(Harness.list(2, true, "in_service", two))));
        two.script(PeerStub.serves("two"));
        for (int i = 0; i < 3; i++) {
            harness.discovery.take();
        }
        assertEquals("two", harness.client().search(2_000).answer().body());
    }

    /** A reload switches from a watch to polling and back. */
    @Test
    void reloadSwitchesBetweenWatchAndPolling() throws Exception {
        PeerStub one = server(PeerStub.serves("one"));
        sidecar("", one);
        PeerStub.ReceivedRequest watch = harness.discovery.take();
        assertTrue(
                watch.request().firstLine().contains("hold_ms=20000"),
                watch.request().firstLine());
        harness.discovery.script(seen -> seen.reply("200 OK", "", Harness.json(Harness.EMPTY_UPDATE)));
        harness.reload("version = 1\n[fleet]\ninstances = 2\nlist_rate = 20\n" + ROUTES);
        harness.discovery.awaitEnd();
        assertTrue(harness.discovery.take().request().firstLine().contains("hold_ms=0"));
        harness.discovery.script(seen -> {});
        harness.reload("version = 1\n" + ROUTES);
        PeerStub.ReceivedRequest again = harness.discovery.take();
        while (again.request().firstLine().contains("hold_ms=0")) {
            again = harness.discovery.take();
        }
        assertTrue(
                again.request().firstLine().contains("hold_ms=20000"),
                again.request().firstLine());
    }

    /** With a limit of no idle connections each response closes its connection; without a limit it is kept. */
    @Test
    void idleConnectionLimitHolds() throws Exception {
        PeerStub one = server(PeerStub.serves("one"));
        sidecar("[fleet]\ninstances = 3000\nidle_per_server = 0\n", one);
        for (int i = 0; i < 3; i++) {
            assertEquals(200, harness.client().search(2_000).answer().status());
            one.awaitEnd();
        }
        assertEquals(3, one.accepted.get());
        harness.reload("version = 1\n[fleet]\ninstances = 3000\nidle_per_server = 1\n" + ROUTES);
        // This is instance 0 of 3000, which gets the one idle connection that the limit leaves to all of them.
        assertEquals(200, harness.client().search(2_000).answer().status());
        assertFalse(one.ended.poll(100, TimeUnit.MILLISECONDS) != null, "closed though it may be kept");
        harness.reload("version = 1\n[fleet]\ninstances = 3000\nidle_per_server = 0\n" + ROUTES);
        one.awaitEnd();
        harness.reload("version = 1\n" + ROUTES);
        assertEquals(200, harness.client().search(2_000).answer().status());
        assertFalse(one.ended.poll(100, TimeUnit.MILLISECONDS) != null, "closed without a bound");
    }

    /** Where the settings allow probes, they stay within the limit and their reports are used. */
    @Test
    void probeRateLimitHolds() throws Exception {
        PeerStub.Script script = seen -> {
            if (seen.request().firstLine().startsWith("GET /load ")) {
                seen.reply("200 OK", "", "TEXT active=3, cpu=0.2");
            } else {
                seen.reply("200 OK", "", "ok");
            }
        };
        PeerStub one = server(script);
        PeerStub two = server(script);
        harness = new Harness(folder, one, two);
        open.add(harness);
        String text = Files.readString(harness.file);
        Files.writeString(
                harness.file,
                text.replace("\"cancelling\":true", "\"cancelling\":true,\"probing\":true")
                        .replace("\"source\":\"answers\"", "\"source\":\"probe\""));
        harness.startWith("version = 1\n[fleet]\ninstances = 1\nprobe_rate = 1\n" + ROUTES);
        long began = System.nanoTime();
        // The token bucket starts empty, so the first probe is sent once it has filled up a little.
        while (probes(one) + probes(two) == 0) {
            assertEquals(200, harness.client().search(2_000).answer().status());
            assertTrue(System.nanoTime() - began < 20_000_000_000L, "no probe went out");
        }
        for (int i = 0; i < 300; i++) {
            assertEquals(200, harness.client().search(2_000).answer().status());
        }
        long probes = probes(one) + probes(two);
        double seconds = (System.nanoTime() - began) / 1e9;
        // One a second at each of two servers, and the few tokens saved in a quiet period.
        assertTrue(probes <= 2 * seconds + 4, probes + " probes in " + seconds + " s");
    }

    private static long probes(PeerStub server) {
        return server.received.stream()
                .filter(s -> s.request().firstLine().startsWith("GET /load "))
                .count();
    }
}
