package org.cypressweir.loadbalancing;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.cypressweir.common.util.Hashes;
import org.cypressweir.loadbalancing.LoadBalancer.Effect;
import org.cypressweir.loadbalancing.LoadBalancer.Group;
import org.cypressweir.loadbalancing.LoadBalancer.ListKind;
import org.cypressweir.loadbalancing.LoadBalancer.Phase;
import org.cypressweir.loadbalancing.LoadBalancer.ReportSource;
import org.cypressweir.loadbalancing.LoadBalancer.Request;
import org.cypressweir.loadbalancing.LoadBalancer.RequestClass;
import org.cypressweir.loadbalancing.LoadBalancer.Result;
import org.cypressweir.loadbalancing.LoadBalancer.Rules;
import org.cypressweir.loadbalancing.LoadBalancer.Server;
import org.cypressweir.loadbalancing.LoadBalancer.Settings;
import org.cypressweir.loadbalancing.LoadBalancer.Tenant;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** The time of the balancer's decisions by fleet size: two zones, two tenants, one safe class. */
@State(Scope.Benchmark)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(1)
public class FleetBench {

    @Param({"15", "100", "1000", "8000"})
    private int servers;

    private LoadBalancerRecorder recorder;
    private List<Server> list;
    private int next;

    private static Settings settings() {
        Settings s = LoadBalancerRecorder.settings(Effect.SAFE, Group.ALL);
        return new Settings(
                7,
                0,
                3,
                0,
                List.of("a", "b"),
                List.of(new RequestClass("c", Effect.SAFE, Group.ALL, 0, 400_000, 0, 3_000_000, 1, 0.3, false)),
                List.of(new Tenant("t", 0.5), new Tenant("u", 0.5)),
                0.2,
                0,
                s.limits(),
                new Rules(0.2, 10_000_000, 2_000_000, 10_000_000, 0, 0, 0),
                ReportSource.NONE,
                false,
                false,
                1_000);
    }

    @Setup
    public void setUp() {
        list = new ArrayList<>();
        for (int i = 0; i < servers; i++) {
            list.add(server(i, Phase.READY));
        }
        recorder = new LoadBalancerRecorder(settings(), 0);
        recorder.choice.servers(recorder.now, ListKind.COMPLETE, list);
        // Nodes are built when first asked for; changes are measured with existing nodes that must be updated.
        for (int i = 0; i < Math.min(20_000, 20 * servers); i++) {
            request();
        }
    }

    private static Server server(int i, Phase phase) {
        return new Server(Hashes.mix(i, 3) & Long.MAX_VALUE, i % 2, 0, i % 3, phase, 0, 1);
    }

    private void forget() {
        recorder.sent.clear();
        recorder.actions.clear();
        recorder.timers.clear();
    }

    /** A request and its answer. */
    @Benchmark
    @BenchmarkMode(Mode.AverageTime)
    public void request() {
        String id = "q" + next++;
        recorder.choice.request(
                recorder.now, new Request(id, 0, next & 1, false, -1, recorder.now + 3_000_000, 0, false));
        recorder.answer(0, Result.SERVED, 50, true);
        forget();
    }

    /** One server drains or returns. */
    @Benchmark
    @BenchmarkMode({Mode.AverageTime, Mode.SampleTime})
    public void change() {
        int of = next++ / 2 % servers;
        Phase phase = next % 2 == 1 ? Phase.DRAINING : Phase.READY;
        recorder.choice.servers(recorder.now, ListKind.CHANGES, List.of(server(of, phase)));
        forget();
    }

    /** The complete list, to a new balancer, and its first request. */
    @Benchmark
    @BenchmarkMode(Mode.AverageTime)
    public void wholeList() {
        LoadBalancerRecorder fresh = new LoadBalancerRecorder(settings(), 0);
        fresh.choice.servers(fresh.now, ListKind.COMPLETE, list);
        fresh.request("x");
    }
}
