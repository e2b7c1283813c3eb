package org.cypressweir.sidecar.cell;

import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.cypressweir.common.util.Hashes;
import org.cypressweir.common.util.Ids;
import org.cypressweir.loadbalancing.LoadBalancer.Effect;
import org.cypressweir.loadbalancing.LoadBalancer.ListKind;
import org.cypressweir.loadbalancing.LoadBalancer.Phase;
import org.cypressweir.loadbalancing.LoadBalancer.Server;
import org.cypressweir.sidecar.cell.CellRouter.Ticket;
import org.cypressweir.testkit.CellConfigurations;
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

/**
 * Cost of cells: routing one request, home cells and heavy units compared with simpler algorithms, and a changed
 * server list.
 */
@State(Scope.Benchmark)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@BenchmarkMode(Mode.AverageTime)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(1)
public class CellBench implements CellRouter.Actions {

    private static final int UNITS = 1 << 14, SERVERS = 8_000;

    @Param({"4", "64"})
    private int count;

    private List<Cell> cells;
    private CellRouter router;
    private Placement placement;
    private CellAssignment assignment;
    private HeavyUnits heavy;
    private Map<Long, Double> exact;
    private final long[] units = new long[UNITS];
    private long now = 1_000_000_000L;
    private int next;

    @Setup
    public void setUp() {
        cells = CellConfigurations.cells(count);
        BitSet open = new BitSet();
        open.set(0, count);
        placement = new Placement(cells, Map.of(), open);
        router = new CellRouter("p", CellConfigurations.configuration(cells, 0.1, null), 10_000, now, this);
        assignment = new CellAssignment(cells, CellsConfiguration.Spread.SERVER, 0);
        List<Server> servers = CellConfigurations.servers(SERVERS, 5);
        router.listed(now, ListKind.COMPLETE, servers);
        assignment.listed(now, ListKind.COMPLETE, servers);
        heavy = new HeavyUnits(64, 5_000_000);
        exact = new HashMap<>();
        for (int i = 0; i < UNITS; i++) {
            // Half of the requests come from a few units, as with real tenants.
            units[i] = Ids.of("account-" + (i % 2 == 0 ? i % 40 : Hashes.mix(i, 3) >>> 50));
        }
    }

    private long unit() {
        return units[next++ & UNITS - 1];
    }

    @Benchmark
    public int request() {
        now += 100;
        Ticket t = router.route(now, unit(), Effect.SAFE, 0, now, now + 1_000_000);
        router.answered(now + 50, t, true);
        router.ended(now + 50, t);
        return t.cell();
    }

    @Benchmark
    public int homeBySlot() {
        return placement.home(unit());
    }

    /** Rendezvous hashing for each request, without slots. */
    @Benchmark
    public int homeByRendezvous() {
        long unit = unit();
        int best = 0;
        double most = 0;
        for (int c = 0; c < count; c++) {
            double score = -1 / Math.log(Hashes.uniform(unit, c) + 0x1.0p-54);
            if (score > most) {
                most = score;
                best = c;
            }
        }
        return best;
    }

    @Benchmark
    public void heavyBySketch() {
        heavy.add(now += 100, unit(), 1);
    }

    /** An exact count of every unit: it grows with their number, and decay would have to visit all of them. */
    @Benchmark
    public void heavyByMap() {
        exact.merge(unit(), 1.0, Double::sum);
    }

    /** One of 8,000 servers leaves without a reserved place and comes back. */
    @Benchmark
    @OutputTimeUnit(TimeUnit.MICROSECONDS)
    public int listChange() {
        int id = 1 + (next++ * 7 & 4095);
        int moved = assignment
                .listed(now, ListKind.CHANGES, List.of(CellConfigurations.server(id, id % 5, Phase.REMOVED)))
                .size();
        return moved
                + assignment
                        .listed(now, ListKind.CHANGES, List.of(CellConfigurations.server(id, id % 5, Phase.READY)))
                        .size();
    }

    @Override
    public void release(Ticket ticket) {
        throw new IllegalStateException("no request is held in this benchmark");
    }

    @Override
    public void timer(long atMicros) {
        // Time advances with each benchmarked call, not by timers.
    }

    @Override
    public void log(String line) {
        throw new IllegalStateException(line);
    }
}
