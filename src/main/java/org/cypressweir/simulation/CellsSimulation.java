package org.cypressweir.simulation;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.cypressweir.common.util.Ids;
import org.cypressweir.loadbalancing.LoadBalancer.Effect;
import org.cypressweir.loadbalancing.LoadBalancer.Group;
import org.cypressweir.loadbalancing.LoadBalancer.Limits;
import org.cypressweir.loadbalancing.LoadBalancer.ListKind;
import org.cypressweir.loadbalancing.LoadBalancer.Phase;
import org.cypressweir.loadbalancing.LoadBalancer.ReportSource;
import org.cypressweir.loadbalancing.LoadBalancer.RequestClass;
import org.cypressweir.loadbalancing.LoadBalancer.Rules;
import org.cypressweir.loadbalancing.LoadBalancer.Server;
import org.cypressweir.loadbalancing.LoadBalancer.Settings;
import org.cypressweir.sidecar.cell.Cell;
import org.cypressweir.sidecar.cell.CellAssignment;
import org.cypressweir.sidecar.cell.CellsConfiguration;
import org.cypressweir.sidecar.cell.CellsConfiguration.Quarantine;
import org.cypressweir.sidecar.cell.CellsConfiguration.Spread;
import org.cypressweir.sidecar.cell.CellsConfiguration.Unit;
import org.cypressweir.sidecar.cell.MoveConfiguration;
import org.cypressweir.sidecar.cell.Placement;
import org.cypressweir.simulation.Scenario.Harm;
import org.cypressweir.simulation.SimulatedSidecar.Asked;

/** Plays a scenario with the real decisions on made-up time, at sizes that sockets don't reach. */
public final class CellsSimulation implements SimulatedSidecar.Account {

    private static final long BEGIN = 1_000_000_000;
    private static final long WINDOW = 3_000_000;
    private static final long PATIENCE = 5_000_000;
    private static final double LATE = 0.3;
    private static final double SLOW = 8;
    private static final double NOTICED = 0.2;
    private static final double RESERVE = 0.05;
    private static final int ZONES = 3;
    private static final int LEAST_ASKED = 5;
    static final double[] SHARES = {0.35, 0.34, 0.31};
    /** Least and most work, least and most wait, of each class. */
    private static final long[][] WORK = {
        {77_000, 140_000, 74_000, 140_000}, {110_000, 190_000, 200_000, 380_000}, {110_000, 200_000, 110_000, 200_000}
    };

    private static final List<RequestClass> CLASSES = List.of(
            new RequestClass("search", Effect.SAFE, Group.ALL, 0, 800_000, 0, 1_500_000, 2, LATE, false),
            new RequestClass("book", Effect.UNSAFE, Group.ALL, 0, 1_200_000, 0, 5_000_000, 10, LATE, false),
            new RequestClass("pay", Effect.UNSAFE, Group.ALL, 0, 1_000_000, 0, 4_000_000, 8, LATE, false));

    private final Scenario scenario;
    private final SplittableRandom random;
    private final EventTimeline time = new EventTimeline(BEGIN);
    private final Map<Long, SimulatedServer> machines = new HashMap<>();
    private final List<Server> servers = new ArrayList<>();
    private final List<SimulatedSidecar> instances = new ArrayList<>();
    private final Workload workload;
    private final long harmAt;
    private final long end;
    private long asked;
    private long answered;
    private long twice;
    private long both;
    /** Before the harm and with it: worth asked for, worth served; by unit requests, and those in time. */
    private final double[] worth = new double[2];

    private final double[] served = new double[2];
    private final int[][] all;
    private final int[][] inTime;
    /** Writes of the moved unit that run, by cell. */
    private final Map<Integer, Integer> running = new HashMap<>();

    private CellsSimulation(Scenario scenario) {
        this.scenario = scenario;
        random = new SplittableRandom(scenario.seed());
        workload = new Workload(random, scenario.units(), scenario.skew(), SHARES);
        end = BEGIN + scenario.seconds() * 1_000_000L;
        harmAt = BEGIN + scenario.seconds() * 1_000_000L / 3;
        all = new int[2][scenario.units()];
        inTime = new int[2][scenario.units()];
    }

    /** Plays it; the same scenario gives the same report. */
    public static Report play(Scenario scenario) {
        return new CellsSimulation(scenario).play();
    }

    private Report play() {
        for (int i = 0; i < scenario.servers(); i++) {
            long id = Ids.of("s" + i);
            machines.put(id, new SimulatedServer(id, 3 + i % 2, 0.7 + 0.6 * random.nextDouble(), time));
            servers.add(new Server(id, i % ZONES, 0, i % 5, Phase.READY, 0, 1));
        }
        CellsConfiguration plan = scenario.cells() == 1 ? null : plan();
        for (int i = 0; i < scenario.sidecars(); i++) {
            instances.add(new SimulatedSidecar(
                    time, settings(scenario.seed() + i, i, scenario.sidecars()), plan, servers, this, machines::get));
        }
        double capacity = machines.values().stream()
                .mapToDouble(SimulatedServer::capacity)
                .sum();
        double mean = 0;
        for (int c = 0; c < SHARES.length; c++) {
            mean += SHARES[c] * (WORK[c][0] + WORK[c][1]) / 2e6;
        }
        double rate = scenario.load() * capacity / mean;
        arrive(rate, false);
        time.at(harmAt, () -> harm(rate));
        // What was asked for last still has its time.
        time.run(end + PATIENCE + 1_000_000);
        return report();
    }

    /** What an instance of the model is handed. */
    static Settings settings(long seed, int rank, int instances) {
        return new Settings(
                seed,
                rank,
                instances,
                rank % ZONES,
                List.of("a", "b", "c"),
                CLASSES,
                List.of(),
                1,
                0,
                new Limits(6, true, false, true, 2_000_000, 10_000_000, 2_000, Integer.MAX_VALUE, true, 4_000),
                new Rules(0.31, 8_800_000, 1_000_000, 10_000_000, 0, 0, 0),
                ReportSource.ANSWERS,
                false,
                false,
                1_000);
    }

    private CellsConfiguration plan() {
        List<Cell> cells = new ArrayList<>();
        for (int c = 0; c < scenario.cells(); c++) {
            cells.add(new Cell("c" + c, 1, false));
        }
        Quarantine quarantine = null;
        if (scenario.quarantine()) {
            cells.add(new Cell("apart", RESERVE * scenario.cells() / (1 - RESERVE), true));
            quarantine = new Quarantine(scenario.cells(), 0.3, 600_000_000);
        }
        List<MoveConfiguration> moves = new ArrayList<>();
        if (moves()) {
            long fence = scenario.harm() == Harm.FENCED_MOVE ? 1_000_000 : 0;
            long freeze = scenario.harm() == Harm.FROZEN_MOVE ? PATIENCE + 100_000 : 0;
            int to = (home(cells) + 1) % scenario.cells();
            moves.add(new MoveConfiguration("move", Ids.of("u0"), "u0", to, harmAt, 5_000_000, fence, freeze));
        }
        return new CellsConfiguration(
                Unit.KEY,
                null,
                cells,
                Spread.SERVER,
                60_000_000,
                Map.of(),
                moves,
                WINDOW,
                PATIENCE,
                scenario.guests(),
                scenario.guests() > 0,
                quarantine);
    }

    private boolean moves() {
        return scenario.harm().name().endsWith("MOVE");
    }

    private static int home(List<Cell> cells) {
        BitSet open = new BitSet();
        open.set(0, cells.size());
        return new Placement(cells, Map.of(), open).home(Ids.of("u0"));
    }

    // ---- What clients ask for

    private void arrive(double rate, boolean flood) {
        if (time.now() >= end) {
            return;
        }
        ask(flood ? 0 : workload.unit());
        time.at(time.now() + workload.pause(rate), () -> arrive(rate, flood));
    }

    private void ask(int unit) {
        instances
                .get(random.nextInt(instances.size()))
                .take(request("r" + asked++, unit, workload.requestClass(), random, time.now()));
    }

    /** A request of some unit and class. */
    static Asked request(String id, Workload workload, SplittableRandom random, long now) {
        return request(id, workload.unit(), workload.requestClass(), random, now);
    }

    private static Asked request(String id, int unit, int c, SplittableRandom random, long now) {
        long[] w = WORK[c];
        return new Asked(
                id,
                unit,
                c,
                now,
                now + CLASSES.get(c).deadlineMicros() - 20_000,
                random.nextLong(w[0], w[1]),
                random.nextLong(w[2], w[3]));
    }

    /** Microseconds within which a request wants its answer. */
    static long aim(Asked request) {
        return CLASSES.get(request.requestClass).aimMicros();
    }

    private void harm(double rate) {
        if (scenario.harm() == Harm.FLOOD) {
            arrive(rate * scenario.size(), true);
        } else if (scenario.harm() == Harm.RELEASE) {
            // Cell by cell, in the order of the cells; without cells the same number in no order.
            CellAssignment parting = new CellAssignment(
                    scenario.cells() == 1 ? List.of(new Cell("c0", 1, false)) : plan().cells(), Spread.SERVER, 0);
            parting.listed(time.now(), ListKind.COMPLETE, servers);
            servers.stream()
                    .sorted((a, b) -> parting.cellOf(a.id()) != parting.cellOf(b.id())
                            ? parting.cellOf(a.id()) - parting.cellOf(b.id())
                            : Long.compare(a.id(), b.id()))
                    .limit(Math.round(scenario.size() * servers.size()))
                    .forEach(s -> machines.get(s.id()).slow(SLOW));
        }
    }

    // ---- What comes of it

    @Override
    public void ran(Asked request, int cell, boolean begins) {
        if (CLASSES.get(request.requestClass).effect() != Effect.UNSAFE) {
            return;
        }
        twice += begins && request.runs > 1 ? 1 : 0;
        if (!moves() || request.unit != 0) {
            return;
        }
        running.merge(cell, begins ? 1 : -1, Integer::sum);
        both += begins && running.values().stream().filter(n -> n > 0).count() > 1 ? 1 : 0;
    }

    @Override
    public void answered(Asked request, boolean ok) {
        answered++;
        if (request.answers > 1) {
            throw new IllegalStateException(request.id + " has a second answer");
        }
        // The first seconds with the harm are those in which it is met.
        int phase = request.at < harmAt ? 0 : 1;
        if (request.unit == 0 && scenario.harm() == Harm.FLOOD) {
            return;
        }
        RequestClass c = CLASSES.get(request.requestClass);
        boolean timely = ok && time.now() - request.at <= c.aimMicros();
        worth[phase] += c.worth();
        served[phase] += timely ? c.worth() : ok ? LATE * c.worth() : 0;
        all[phase][request.unit]++;
        inTime[phase][request.unit] += timely ? 1 : 0;
    }

    private Report report() {
        int counted = 0;
        int noticed = 0;
        long[] sum = new long[2];
        long[] good = new long[2];
        for (int u = 0; u < scenario.units(); u++) {
            for (int p = 0; p < 2; p++) {
                sum[p] += all[p][u];
                good[p] += inTime[p][u];
            }
            if (all[0][u] >= LEAST_ASKED && all[1][u] >= LEAST_ASKED) {
                counted++;
                double fell = inTime[0][u] / (double) all[0][u] - inTime[1][u] / (double) all[1][u];
                noticed += fell >= NOTICED ? 1 : 0;
            }
        }
        return new Report(
                good[0] / (double) sum[0],
                good[1] / (double) sum[1],
                served[0] / worth[0],
                served[1] / worth[1],
                counted == 0 ? 0 : noticed / (double) counted,
                asked,
                asked - answered,
                twice,
                both);
    }
}
