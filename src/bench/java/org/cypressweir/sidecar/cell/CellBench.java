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
import org.cypressweir.sidecar.cell.Cells.Ticket;
import org.cypressweir.testkit.CellPlans;
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
 * What cells cost: a request's way through them, homes and heavy units against plain ways, a changed list.
 */
@State(Scope.Benchmark)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@BenchmarkMode(Mode.AverageTime)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(1)
public class CellBench implements Cells.Actions {

    private static final int UNITS = 1 << 14, SERVERS = 8_000;

    @Param({"4", "64"})
    private int count;

    private List<Cell> cells;
    private Cells decisions;
    private Placement placement;
    private CellAssignment parting;
    private HeavyUnits heavy;
    private Map<Long, Double> exact;
    private final long[] units = new long[UNITS];
    private long now = 1_000_000_000L;
    private int next;

    @Setup
    public void setUp() {
        cells = CellPlans.cells(count);
        BitSet open = new BitSet();
        open.set(0, count);
        placement = new Placement(cells, Map.of(), open);
        decisions = new Cells("p", CellPlans.plan(cells, 0.1, null), 10_000, now, this);
        parting = new CellAssignment(cells, CellsConfiguration.Spread.SERVER, 0);
        List<Server> servers = CellPlans.servers(SERVERS, 5);
        decisions.listed(now, ListKind.COMPLETE, servers);
        parting.listed(now, ListKind.COMPLETE, servers);
        heavy = new HeavyUnits(64, 5_000_000);
        exact = new HashMap<>();
        for (int i = 0; i < UNITS; i++) {
            // Half of all is asked for by few, as accounts do.
            units[i] = Ids.of("account-" + (i % 2 == 0 ? i % 40 : Hashes.mix(i, 3) >>> 50));
        }
    }

    private long unit() {
        return units[next++ & UNITS - 1];
    }

    @Benchmark
    public int request() {
        now += 100;
        Ticket t = decisions.ask(now, unit(), Effect.SAFE, 0, now, now + 1_000_000);
        decisions.answered(now + 50, t, true);
        decisions.ended(now + 50, t);
        return t.cell();
    }

    @Benchmark
    public int homeBySlot() {
        return placement.home(unit());
    }

    /** Weighted rendezvous for each request, as without slots. */
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

    /** An exact count of every unit, which grows with them and can't fade but by a walk. */
    @Benchmark
    public void heavyByMap() {
        exact.merge(unit(), 1.0, Double::sum);
    }

    /** A server of 8,000 goes for good and comes back. */
    @Benchmark
    @OutputTimeUnit(TimeUnit.MICROSECONDS)
    public int listChange() {
        int id = 1 + (next++ * 7 & 4095);
        int moved = parting.listed(now, ListKind.CHANGES, List.of(CellPlans.server(id, id % 5, Phase.REMOVED)))
                .size();
        return moved
                + parting.listed(now, ListKind.CHANGES, List.of(CellPlans.server(id, id % 5, Phase.READY)))
                        .size();
    }

    @Override
    public void release(Ticket ticket) {
        throw new IllegalStateException("nothing is held here");
    }

    @Override
    public void timer(long atMicros) {
        // A benchmark of single calls: time passes with each of them, not by timers.
    }

    @Override
    public void log(String line) {
        throw new IllegalStateException(line);
    }
}
