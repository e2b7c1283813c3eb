package org.cypressweir.sidecar.plugin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.cypressweir.sidecar.route.PluginConfiguration;
import org.cypressweir.sidecar.route.PluginGrant;
import org.cypressweir.testkit.PluginModules;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** A plug-in on its thread: what it may ask for, and what a hostile one can't bring about. */
@Timeout(60)
class PluginHostTest {

    private static final RequestView REQUEST =
            new RequestView("GET", "/pay/7", Map.of("user-agent", "trip planner", "x-old", "1"), "search");
    private static final PluginGrant ALL =
            new PluginGrant(Set.of("x-log", "x-log-client", "x-old"), Set.of("pay", "search"), Set.of(), true);

    private final BlockingQueue<Object> heard = new LinkedBlockingQueue<>();
    private PluginHost host;

    @AfterEach
    void close() {
        if (host != null) {
            host.close();
        }
    }

    private PluginHost.Call ask(String module, PluginGrant grant, Map<String, String> config) throws Exception {
        if (host == null) {
            host = new PluginHost(PluginModules.plan(module, grant, config), Runnable::run);
        }
        return host.ask(REQUEST, new PluginHost.Heard() {
            @Override
            public void done(RequestedChanges wishes) {
                heard.add(wishes);
            }

            @Override
            public void failed(String why) {
                heard.add(why);
            }
        });
    }

    private Object heard() throws InterruptedException {
        Object next = heard.poll(10, TimeUnit.SECONDS);
        assertTrue(next != null, "nothing was heard");
        return next;
    }

    private RequestedChanges wishes(String module, PluginGrant grant) throws Exception {
        ask(module, grant, Map.of());
        return (RequestedChanges) heard();
    }

    // ---- What it is for

    @Test
    void marksPayFromThePath() throws Exception {
        assertEquals("pay", wishes("mark-pay", ALL).requestClass());
    }

    @Test
    void readsItsConfiguration() throws Exception {
        ask("mark-pay", ALL, Map.of("prefix", "/other/"));
        assertEquals(RequestedChanges.NONE, heard());
    }

    @Test
    void setsAHeaderFromAnother() throws Exception {
        assertEquals(
                Map.of("x-log-client", "trip planner"),
                wishes("log-header", ALL).headers());
    }

    @Test
    void refusesWithAReason() throws Exception {
        RequestedChanges w = wishes("refuse", ALL);
        assertEquals("not today", w.refusal());
        assertEquals(1_500, w.retryAfterMillis());
    }

    /** What operators have not granted is not asked for, however the plug-in is written. */
    @ParameterizedTest
    @ValueSource(strings = {"mark-pay", "log-header", "refuse", "weaken"})
    void whatIsNotGrantedIsNoWish(String module) throws Exception {
        assertEquals(RequestedChanges.NONE, wishes(module, new PluginGrant(Set.of(), Set.of(), Set.of(), false)));
    }

    /** The two that are compiled from AssemblyScript do the same, and give back what each request took. */
    @Test
    void theKitDoesNotLeak() throws Exception {
        assertEquals("pay", wishes("as-mark-pay", ALL).requestClass());
        host.close();
        host = null;
        for (int i = 0; i < 20_000; i++) {
            assertEquals(
                    Map.of("x-log-client", "search: trip planner"),
                    wishes("as-log-header", ALL).headers());
        }
    }

    /**
     * What is put is there for the next request and for the next instance, but not what a failed call put.
     */
    @Test
    void theStoreOutlivesInstances() throws Exception {
        List<String> counts = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            ask("keeper", ALL, Map.of());
            counts.add(heard() instanceof RequestedChanges w ? w.headers().get("x-log") : "trap");
        }
        assertEquals(List.of("1", "2", "3", "4", "5", "6", "trap", "7", "8", "9", "1", "2"), counts);
    }

    @Test
    void theStoreIsBounded() throws Exception {
        for (int i = 0; i < 3; i++) {
            assertEquals(RequestedChanges.NONE, wishes("hoarder", ALL));
        }
    }

    // ---- What it can't

    /** Each traps as soon as the host takes one of its tries. */
    @ParameterizedTest
    @ValueSource(strings = {"pointers", "injection"})
    void hostileArgumentsAreTurnedDown(String module) throws Exception {
        PluginGrant all = new PluginGrant(
                Set.of("x-log", "host", "content-length", "request-id", "transfer-encoding", "idempotency-key"),
                Set.of("pay"),
                Set.of(),
                true);
        assertEquals(RequestedChanges.NONE, wishes(module, all));
    }

    /** Stopped at its bounds or by its caller; the next call meets a fresh instance. */
    @ParameterizedTest
    @ValueSource(strings = {"recurse", "chatter", "trap-second"})
    void whatTrapsCostsOnlyItsCall(String module) throws Exception {
        for (int i = 0; i < 6; i++) {
            ask(module, ALL, Map.of());
            Object result = heard();
            assertEquals(!module.equals("trap-second") || i % 2 == 1, result instanceof String, "call " + i);
        }
    }

    @Test
    void memoryIsBounded() throws Exception {
        PluginHost.Call call = ask("grow", ALL, Map.of());
        // It goes on asking for more until it is stopped; what it gets is bounded by its pages.
        assertNull(heard.poll(300, TimeUnit.MILLISECONDS));
        assertTrue(call.withdraw());
    }

    @Test
    void aLoopIsStoppedAndTheNextCallGoesWell() throws Exception {
        PluginHost.Call call = ask("loop", ALL, Map.of());
        assertNull(heard.poll(100, TimeUnit.MILLISECONDS));
        assertTrue(call.withdraw());
        PluginHost.Call second = ask("loop", ALL, Map.of());
        assertNull(heard.poll(100, TimeUnit.MILLISECONDS));
        assertTrue(second.withdraw());
        assertEquals(0, heard.size());
        host.close();
        PluginHost.Call late = ask("loop", ALL, Map.of());
        assertEquals("it is gone", heard());
        assertTrue(!late.withdraw());
    }

    /**
     * Withdrawn at any moment: each call is heard of or withdrawn, never both, and an interrupt hits no
     * other.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void withdrawalsMeetTheirOwnCall(long seed) throws Exception {
        SplittableRandom random = new SplittableRandom(seed);
        // In rounds that end with a call that is left alone: what waits stays within the bound, however slow
        // the plug-in's thread is.
        int round = PluginHost.WAITING / 2;
        for (int i = 0; i < 24; i++) {
            int due = 0;
            for (int j = 0; j < round; j++) {
                PluginHost.Call call = ask("log-header", ALL, Map.of());
                for (int spin = random.nextInt(2_000); spin > 0; spin--) {
                    Thread.onSpinWait();
                }
                due += call.withdraw() ? 0 : 1;
            }
            ask("log-header", ALL, Map.of());
            for (; due >= 0; due--) {
                Object result = heard();
                assertTrue(result instanceof RequestedChanges, "seed " + seed + ": hit by another's end: " + result);
            }
        }
        assertNull(heard.poll(50, TimeUnit.MILLISECONDS));
    }

    @Test
    void whatWaitsBeyondTheBoundFailsAtOnce() throws Exception {
        PluginHost.Call first = ask("loop", ALL, Map.of());
        for (int i = 0; i < PluginHost.WAITING + 20; i++) {
            ask("loop", ALL, Map.of());
        }
        assertTrue(String.valueOf(heard()).contains("calls wait"));
        assertTrue(first.withdraw());
    }

    // ---- What is no plug-in

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "foreign-import | it imports lb.send; there are lb.get, lb.set_header",
                "old-abi | it speaks version 7 of the hook; this program speaks 1",
                "no-hook | it lacks the export 'on_request'",
                "many-pages | it wants 4000 pages of memory from the start, and may have 32",
                "start-loop | its start took more than",
            })
    void whatIsNoPluginIsSaid(String module, String why) throws Exception {
        InvalidPluginException e = assertThrows(
                InvalidPluginException.class,
                () -> new PluginHost(PluginModules.plan(module, ALL, Map.of()), Runnable::run));
        assertTrue(e.getMessage().contains(why), e.getMessage());
    }

    /**
     * Bytes of a good module changed at random: refused with a line, or stopped; the host is never harmed.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void changedBytesDoNoHarm(long seed) throws Exception {
        SplittableRandom random = new SplittableRandom(seed);
        byte[] good = PluginModules.bytes("mark-pay");
        int refused = 0;
        for (int i = 0; i < 60; i++) {
            byte[] bad = good.clone();
            for (int n = 1 + random.nextInt(3); n > 0; n--) {
                bad[8 + random.nextInt(bad.length - 8)] = (byte) random.nextInt(256);
            }
            PluginConfiguration plan = new PluginConfiguration("m", 1, bad, 5_000, 32, false, ALL, Map.of());
            try (PluginHost mutant = new PluginHost(plan, Runnable::run)) {
                BlockingQueue<Object> result = new LinkedBlockingQueue<>();
                PluginHost.Call call = mutant.ask(REQUEST, new PluginHost.Heard() {
                    @Override
                    public void done(RequestedChanges wishes) {
                        result.add(wishes);
                    }

                    @Override
                    public void failed(String why) {
                        result.add(why);
                    }
                });
                Object first = result.poll(100, TimeUnit.MILLISECONDS);
                if (first == null) {
                    assertTrue(call.withdraw() || result.poll(5, TimeUnit.SECONDS) != null, "seed " + seed);
                } else if (first instanceof RequestedChanges w) {
                    assertTrue(w.requestClass() == null || ALL.classes().contains(w.requestClass()));
                }
            } catch (InvalidPluginException e) {
                refused++;
                assertEquals(1, e.getMessage().lines().count(), "seed " + seed);
            }
        }
        assertTrue(refused > 10, "seed " + seed + ": only " + refused + " refused");
    }

    // ---- Conduct

    @Test
    void failuresInARowLeaveItOutForLongerAndLonger() {
        PluginHealth conduct = new PluginHealth();
        long now = 1_000_000;
        for (int i = 1; i < PluginHealth.FAILURES; i++) {
            assertTrue(!conduct.failed(now));
        }
        assertTrue(conduct.failed(now));
        assertTrue(!conduct.mayCall(now + PluginHealth.FIRST - 1));
        assertTrue(conduct.mayCall(now + PluginHealth.FIRST));
        now += PluginHealth.FIRST;
        assertTrue(conduct.failed(now), "one failure at once after it is enough");
        assertEquals(now + 2 * PluginHealth.FIRST, conduct.outUntil());
        for (int i = 0; i < 20; i++) {
            now = conduct.outUntil();
            conduct.failed(now);
        }
        assertEquals(PluginHealth.FIRST << PluginHealth.DOUBLINGS, conduct.outUntil() - now);
        conduct.well();
        assertTrue(!conduct.failed(now));
    }
}
