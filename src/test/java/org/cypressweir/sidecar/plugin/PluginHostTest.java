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

/** Plug-ins on their threads: the changes they may request, and containment of hostile modules. */
@Timeout(60)
class PluginHostTest {

    private static final RequestView REQUEST =
            new RequestView("GET", "/pay/7", Map.of("user-agent", "trip planner", "x-old", "1"), "search");
    private static final PluginGrant FULL_GRANT =
            new PluginGrant(Set.of("x-log", "x-log-client", "x-old"), Set.of("pay", "search"), Set.of(), true);

    private final BlockingQueue<Object> results = new LinkedBlockingQueue<>();
    private PluginHost host;

    @AfterEach
    void close() {
        if (host != null) {
            host.close();
        }
    }

    private PluginHost.Call submit(String module, PluginGrant grant, Map<String, String> config) throws Exception {
        if (host == null) {
            host = new PluginHost(PluginModules.configuration(module, grant, config), Runnable::run);
        }
        return host.submit(REQUEST, new PluginHost.ResultListener() {
            @Override
            public void done(RequestedChanges changes) {
                results.add(changes);
            }

            @Override
            public void failed(String reason) {
                results.add(reason);
            }
        });
    }

    private Object results() throws InterruptedException {
        Object next = results.poll(10, TimeUnit.SECONDS);
        assertTrue(next != null, "no result");
        return next;
    }

    private RequestedChanges changes(String module, PluginGrant grant) throws Exception {
        submit(module, grant, Map.of());
        return (RequestedChanges) results();
    }

    // ---- Requested changes

    @Test
    void setsTheClassFromThePath() throws Exception {
        assertEquals("pay", changes("mark-pay", FULL_GRANT).requestClass());
    }

    @Test
    void readsItsConfiguration() throws Exception {
        submit("mark-pay", FULL_GRANT, Map.of("prefix", "/other/"));
        assertEquals(RequestedChanges.NONE, results());
    }

    @Test
    void setsAHeaderFromAnother() throws Exception {
        assertEquals(
                Map.of("x-log-client", "trip planner"),
                changes("log-header", FULL_GRANT).headers());
    }

    @Test
    void refusesWithAReason() throws Exception {
        RequestedChanges changes = changes("refuse", FULL_GRANT);
        assertEquals("not today", changes.refusal());
        assertEquals(1_500, changes.retryAfterMillis());
    }

    /** Changes that the operators have not granted are rejected. */
    @ParameterizedTest
    @ValueSource(strings = {"mark-pay", "log-header", "refuse", "weaken"})
    void changesThatAreNotGrantedAreRejected(String module) throws Exception {
        assertEquals(RequestedChanges.NONE, changes(module, new PluginGrant(Set.of(), Set.of(), Set.of(), false)));
    }

    /** The two modules compiled from AssemblyScript behave alike, and free the memory of each request. */
    @Test
    void assemblyScriptPluginsDoNotLeakMemory() throws Exception {
        assertEquals("pay", changes("as-mark-pay", FULL_GRANT).requestClass());
        host.close();
        host = null;
        for (int i = 0; i < 20_000; i++) {
            assertEquals(
                    Map.of("x-log-client", "search: trip planner"),
                    changes("as-log-header", FULL_GRANT).headers());
        }
    }

    /**
     * Stored values are kept for the next request and the next instance, except those of a failed call.
     */
    @Test
    void storeOutlivesInstances() throws Exception {
        List<String> counts = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            submit("keeper", FULL_GRANT, Map.of());
            counts.add(
                    results() instanceof RequestedChanges changes
                            ? changes.headers().get("x-log")
                            : "trap");
        }
        assertEquals(List.of("1", "2", "3", "4", "5", "6", "trap", "7", "8", "9", "1", "2"), counts);
    }

    @Test
    void storeIsBounded() throws Exception {
        for (int i = 0; i < 3; i++) {
            assertEquals(RequestedChanges.NONE, changes("hoarder", FULL_GRANT));
        }
    }

    // ---- Containment

    /** Each module traps as soon as the host accepts one of its invalid arguments. */
    @ParameterizedTest
    @ValueSource(strings = {"pointers", "injection"})
    void hostileArgumentsAreRejected(String module) throws Exception {
        PluginGrant all = new PluginGrant(
                Set.of("x-log", "host", "content-length", "request-id", "transfer-encoding", "idempotency-key"),
                Set.of("pay"),
                Set.of(),
                true);
        assertEquals(RequestedChanges.NONE, changes(module, all));
    }

    /** A call that traps or exceeds a limit fails; the next call uses a new instance. */
    @ParameterizedTest
    @ValueSource(strings = {"recurse", "chatter", "trap-second"})
    void trapFailsOnlyItsOwnCall(String module) throws Exception {
        for (int i = 0; i < 6; i++) {
            submit(module, FULL_GRANT, Map.of());
            Object result = results();
            assertEquals(!module.equals("trap-second") || i % 2 == 1, result instanceof String, "call " + i);
        }
    }

    @Test
    void memoryIsBounded() throws Exception {
        PluginHost.Call call = submit("grow", FULL_GRANT, Map.of());
        // It requests more memory until it is stopped; its page limit bounds what it gets.
        assertNull(results.poll(300, TimeUnit.MILLISECONDS));
        assertTrue(call.cancel());
    }

    @Test
    void endlessLoopIsInterruptedAndTheHostStaysUsable() throws Exception {
        PluginHost.Call call = submit("loop", FULL_GRANT, Map.of());
        assertNull(results.poll(100, TimeUnit.MILLISECONDS));
        assertTrue(call.cancel());
        PluginHost.Call second = submit("loop", FULL_GRANT, Map.of());
        assertNull(results.poll(100, TimeUnit.MILLISECONDS));
        assertTrue(second.cancel());
        assertEquals(0, results.size());
        host.close();
        PluginHost.Call late = submit("loop", FULL_GRANT, Map.of());
        assertEquals("the plug-in is closed", results());
        assertTrue(!late.cancel());
    }

    /**
     * Calls are cancelled at random moments: each is either completed or cancelled, never both, and an interrupt hits
     * no other call.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void cancellationInterruptsOnlyItsOwnCall(long seed) throws Exception {
        SplittableRandom random = new SplittableRandom(seed);
        // Each round ends with a call that is not cancelled, so the queue stays within its limit however slow the
        // plug-in's thread is.
        int round = PluginHost.MAX_QUEUED_CALLS / 2;
        for (int i = 0; i < 24; i++) {
            int due = 0;
            for (int j = 0; j < round; j++) {
                PluginHost.Call call = submit("log-header", FULL_GRANT, Map.of());
                for (int spin = random.nextInt(2_000); spin > 0; spin--) {
                    Thread.onSpinWait();
                }
                due += call.cancel() ? 0 : 1;
            }
            submit("log-header", FULL_GRANT, Map.of());
            for (; due >= 0; due--) {
                Object result = results();
                assertTrue(
                        result instanceof RequestedChanges,
                        "seed " + seed + ": interrupted by another call's cancellation: " + result);
            }
        }
        assertNull(results.poll(50, TimeUnit.MILLISECONDS));
    }

    @Test
    void callsBeyondTheQueueLimitFailAtOnce() throws Exception {
        PluginHost.Call first = submit("loop", FULL_GRANT, Map.of());
        for (int i = 0; i < PluginHost.MAX_QUEUED_CALLS + 20; i++) {
            submit("loop", FULL_GRANT, Map.of());
        }
        assertTrue(String.valueOf(results()).contains("calls are queued"));
        assertTrue(first.cancel());
    }

    // ---- Invalid modules

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "foreign-import | it imports lb.send; available are lb.get, lb.set_header",
                "old-abi | it implements version 7 of the plug-in interface; this program supports version 1",
                "no-hook | it lacks the export 'on_request'",
                "many-pages | it requires 4000 initial pages of memory, and its limit is 32",
                "start-loop | its start took longer than",
            })
    void invalidModulesAreRejectedWithTheReason(String module, String reason) throws Exception {
        InvalidPluginException e = assertThrows(
                InvalidPluginException.class,
                () -> new PluginHost(PluginModules.configuration(module, FULL_GRANT, Map.of()), Runnable::run));
        assertTrue(e.getMessage().contains(reason), e.getMessage());
    }

    /**
     * A valid module with random bytes changed is rejected with one line, fails or can be cancelled; the host is not
     * affected.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void corruptedModulesDoNoHarm(long seed) throws Exception {
        SplittableRandom random = new SplittableRandom(seed);
        byte[] good = PluginModules.bytes("mark-pay");
        int refused = 0;
        for (int i = 0; i < 60; i++) {
            byte[] bad = good.clone();
            for (int n = 1 + random.nextInt(3); n > 0; n--) {
                bad[8 + random.nextInt(bad.length - 8)] = (byte) random.nextInt(256);
            }
            PluginConfiguration configuration =
                    new PluginConfiguration("m", 1, bad, 5_000, 32, false, FULL_GRANT, Map.of());
            try (PluginHost mutant = new PluginHost(configuration, Runnable::run)) {
                BlockingQueue<Object> result = new LinkedBlockingQueue<>();
                PluginHost.Call call = mutant.submit(REQUEST, new PluginHost.ResultListener() {
                    @Override
                    public void done(RequestedChanges changes) {
                        result.add(changes);
                    }

                    @Override
                    public void failed(String reason) {
                        result.add(reason);
                    }
                });
                Object first = result.poll(100, TimeUnit.MILLISECONDS);
                if (first == null) {
                    assertTrue(call.cancel() || result.poll(5, TimeUnit.SECONDS) != null, "seed " + seed);
                } else if (first instanceof RequestedChanges changes) {
                    assertTrue(changes.requestClass() == null
                            || FULL_GRANT.classes().contains(changes.requestClass()));
                }
            } catch (InvalidPluginException e) {
                refused++;
                assertEquals(1, e.getMessage().lines().count(), "seed " + seed);
            }
        }
        assertTrue(refused > 10, "seed " + seed + ": only " + refused + " refused");
    }

    // ---- Health

    @Test
    void consecutiveFailuresSuspendThePluginForLonger() {
        PluginHealth health = new PluginHealth();
        long now = 1_000_000;
        for (int i = 1; i < PluginHealth.FAILURES_TO_SUSPEND; i++) {
            assertTrue(!health.failed(now));
        }
        assertTrue(health.failed(now));
        assertTrue(!health.mayCall(now + PluginHealth.FIRST_SUSPENSION_MICROS - 1));
        assertTrue(health.mayCall(now + PluginHealth.FIRST_SUSPENSION_MICROS));
        now += PluginHealth.FIRST_SUSPENSION_MICROS;
        assertTrue(health.failed(now), "one failure after a suspension suspends it again");
        assertEquals(now + 2 * PluginHealth.FIRST_SUSPENSION_MICROS, health.suspendedUntil());
        for (int i = 0; i < 20; i++) {
            now = health.suspendedUntil();
            health.failed(now);
        }
        assertEquals(PluginHealth.FIRST_SUSPENSION_MICROS << PluginHealth.MAX_DOUBLINGS, health.suspendedUntil() - now);
        health.succeeded();
        assertTrue(!health.failed(now));
    }
}
