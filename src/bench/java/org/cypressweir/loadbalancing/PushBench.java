package org.cypressweir.loadbalancing;

import java.lang.management.GarbageCollectorMXBean;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.cypressweir.common.util.Hashes;
import org.cypressweir.loadbalancing.LoadBalancer.Effect;
import org.cypressweir.loadbalancing.LoadBalancer.Group;
import org.cypressweir.loadbalancing.LoadBalancer.ListKind;
import org.cypressweir.loadbalancing.LoadBalancer.Outcome;
import org.cypressweir.loadbalancing.LoadBalancer.Phase;
import org.cypressweir.loadbalancing.LoadBalancer.Request;
import org.cypressweir.loadbalancing.LoadBalancer.Result;
import org.cypressweir.loadbalancing.LoadBalancer.Server;
import org.cypressweir.loadbalancing.LoadBalancer.Settings;

/**
 * A rollout: all 8,000 servers drain and return as new ones within 5 s, in batches of 256, at 10,000 requests per
 * second. Prints the longest single call of the balancer, the garbage collection time and the heap size; then the bytes
 * per server and per queued request. To be run with -Xmx64m, as in production.
 */
public final class PushBench {

    private static final int SERVERS = 8_000;
    private static final int SLICE = 256;
    private static final int REQUESTS = 50_000;

    private PushBench() {}

    private static Settings settings() {
        Settings s = LoadBalancerRecorder.settings(Effect.SAFE, Group.ALL);
        return new Settings(
                7,
                0,
                3,
                0,
                s.zones(),
                s.classes(),
                s.tenants(),
                0.2,
                0,
                s.limits().with(100_000, 100_000, 400),
                s.rules(),
                s.reports(),
                false,
                false,
                1_000);
    }

    public static void main(String[] args) {
        LoadBalancerRecorder warm = run();
        warm.actions.clear();
        long collected = collections();
        long[] took = new long[REQUESTS + 2 * SERVERS / SLICE + 10];
        LoadBalancerRecorder r = push(took);
        Arrays.sort(took);
        System.out.printf(
                "push of %d servers: longest call %.2f ms, 99.9%% %.3f ms, median %.4f ms;"
                        + " %d ms in collections; %d of %d requests sent%n",
                SERVERS,
                took[took.length - 1] / 1e6,
                took[(int) (took.length * 0.999)] / 1e6,
                took[took.length / 2] / 1e6,
                collections() - collected,
                r.sent.size(),
                REQUESTS);
        memory();
    }

    private static LoadBalancerRecorder run() {
        return push(new long[REQUESTS + 2 * SERVERS / SLICE + 10]);
    }

    private static Server server(int i, Phase phase, long start) {
        return new Server(Hashes.mix(i, 3) & Long.MAX_VALUE, i % 2, 0, 0, phase, start, 1);
    }

    private static LoadBalancerRecorder push(long[] took) {
        LoadBalancerRecorder r = new LoadBalancerRecorder(settings(), 0);
        List<Server> list = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            list.add(server(i, Phase.READY, 0));
        }
        r.choice.servers(r.now, ListKind.COMPLETE, list);
        r.now = 20_000_000;
        int calls = 0;
        int next = 0;
        int steps = 2 * SERVERS / SLICE + 2;
        for (int i = 0; i < REQUESTS; i++) {
            r.now += 100;
            if (i % (REQUESTS / steps) == 0 && next < 2 * SERVERS) {
                List<Server> change = new ArrayList<>();
                for (int n = 0; n < SLICE && next < 2 * SERVERS; n++, next++) {
                    boolean drains = next % (2 * SLICE) < SLICE;
                    int of = next / (2 * SLICE) * SLICE + next % SLICE;
                    change.add(server(
                            Math.min(of, SERVERS - 1), drains ? Phase.DRAINING : Phase.READY, drains ? 0 : r.now));
                }
                long since = System.nanoTime();
                r.choice.servers(r.now, ListKind.CHANGES, change);
                took[calls++] = System.nanoTime() - since;
            }
            int before = r.sent.size();
            Request request = new Request("q" + i, 0, i & 1, false, -1, r.now + 1_000_000, 0, false);
            long since = System.nanoTime();
            r.choice.request(r.now, request);
            if (r.sent.size() > before) {
                LoadBalancerRecorder.Sent sent = r.sent.get(before);
                r.choice.outcome(
                        r.now, new Outcome(sent.request(), 0, sent.server(), Result.SERVED, 5_000, true, null));
            }
            took[calls++] = System.nanoTime() - since;
            r.timers.clear();
            r.actions.clear();
        }
        return r;
    }

    private static long collections() {
        return ManagementFactory.getGarbageCollectorMXBeans().stream()
                .mapToLong(GarbageCollectorMXBean::getCollectionTime)
                .sum();
    }

    private static long used() {
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }

    private static void memory() {
        long empty = used();
        LoadBalancerRecorder r = new LoadBalancerRecorder(settings(), 0);
        List<Server> list = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            list.add(server(i, Phase.READY, 0));
        }
        r.choice.servers(r.now, ListKind.COMPLETE, list);
        for (int i = 0; i < 20_000; i++) {
            r.choice.request(r.now, new Request("m" + i, 0, i & 1, false, -1, r.now + 1_000_000, 0, false));
            LoadBalancerRecorder.Sent sent = r.sent.remove(0);
            r.choice.outcome(r.now, new Outcome(sent.request(), 0, sent.server(), Result.SERVED, 5_000, true, null));
            r.actions.clear();
            r.timers.clear();
        }
        long full = used();
        LoadBalancerRecorder holding = new LoadBalancerRecorder(settings(), 0);
        long before = used();
        int held = 20_000;
        for (int i = 0; i < held; i++) {
            holding.choice.request(
                    holding.now, new Request("h" + i, 0, i & 1, false, -1, holding.now + 1_000_000, 0, false));
            holding.actions.clear();
            holding.timers.clear();
        }
        System.out.printf(
                "memory: %d bytes a server with its nodes, %d bytes a held request; heap %d MB%n",
                (full - empty) / SERVERS, (used() - before) / held, used() >> 20);
        if (list.size() + holding.sent.size() + r.sent.size() == 0) {
            throw new IllegalStateException("kept alive until here");
        }
    }
}
