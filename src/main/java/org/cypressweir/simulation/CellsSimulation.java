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
import org.cypressweir.simulation.SimulatedSidecar.SimulatedRequest;

/**
 * Runs a {@link Scenario} in simulated time. Routing to cells and load balancing are the production code; servers and
 * clients are simulated, which allows fleets larger than real sockets do.
 */
public final class CellsSimulation implements SimulatedSidecar.RequestListener {

    private static final long START_MICROS = 1_000_000_000;
    private static final long DEDUP_WINDOW_MICROS = 3_000_000;
    private static final long PATIENCE_MICROS = 5_000_000;
    private static final double LATE_ANSWER_WORTH = 0.3;
    private static final double RELEASE_SLOWDOWN = 8;
    private static final double NOTICEABLE_DROP = 0.2;
    private static final double QUARANTINE_SHARE = 0.05;
    private static final int ZONES = 3;
    private static final int MIN_REQUESTS_PER_UNIT = 5;
    static final double[] CLASS_SHARES = {0.35, 0.34, 0.31};
    /** For each request class: minimum and maximum work, then minimum and maximum wait. */
    private static final long[][] WORK_AND_WAIT_MICROS = {
        {77_000, 140_000, 74_000, 140_000}, {110_000, 190_000, 200_000, 380_000}, {110_000, 200_000, 110_000, 200_000}
    };

    private static final List<RequestClass> CLASSES = List.of(
            new RequestClass("search", Effect.SAFE, Group.ALL, 0, 800_000, 0, 1_500_000, 2, LATE_ANSWER_WORTH, false),
            new RequestClass(
                    "book", Effect.UNSAFE, Group.ALL, 0, 1_200_000, 0, 5_000_000, 10, LATE_ANSWER_WORTH, false),
            new RequestClass("pay", Effect.UNSAFE, Group.ALL, 0, 1_000_000, 0, 4_000_000, 8, LATE_ANSWER_WORTH, false));

    private final Scenario scenario;
    private final SplittableRandom random;
    private final EventTimeline timeline = new EventTimeline(START_MICROS);
    private final Map<Long, SimulatedServer> simulatedServers = new HashMap<>();
    private final List<Server> servers = new ArrayList<>();
    private final List<SimulatedSidecar> sidecars = new ArrayList<>();
    private final Workload workload;
    private final long harmAt;
    private final long end;
    private long requestCount;
    private long answeredCount;
    private long duplicateWrites;
    private long overlappingWrites;
    /** Index 0 counts requests that arrived before the harm, index 1 those after it; the second index is the unit. */
    private final double[] requestedWorth = new double[2];

    private final double[] servedWorth = new double[2];
    private final int[][] requestsByUnit;
    private final int[][] inTimeByUnit;
    /** Running writes of the moved unit, by cell. */
    private final Map<Integer, Integer> runningWritesByCell = new HashMap<>();

    private CellsSimulation(Scenario scenario) {
        this.scenario = scenario;
        random = new SplittableRandom(scenario.seed());
        workload = new Workload(random, scenario.units(), scenario.skew(), CLASS_SHARES);
        end = START_MICROS + scenario.seconds() * 1_000_000L;
        harmAt = START_MICROS + scenario.seconds() * 1_000_000L / 3;
        requestsByUnit = new int[2][scenario.units()];
        inTimeByUnit = new int[2][scenario.units()];
    }

    /** Runs the scenario; the same scenario always gives the same report. */
    public static Report run(Scenario scenario) {
        return new CellsSimulation(scenario).runScenario();
    }

    private Report runScenario() {
        for (int i = 0; i < scenario.servers(); i++) {
            long id = Ids.of("s" + i);
            simulatedServers.put(id, new SimulatedServer(id, 3 + i % 2, 0.7 + 0.6 * random.nextDouble(), timeline));
            servers.add(new Server(id, i % ZONES, 0, i % 5, Phase.READY, 0, 1));
        }
        CellsConfiguration plan = scenario.cells() == 1 ? null : cellsConfiguration();
        for (int i = 0; i < scenario.sidecars(); i++) {
            sidecars.add(new SimulatedSidecar(
                    timeline,
                    settings(scenario.seed() + i, i, scenario.sidecars()),
                    plan,
                    servers,
                    this,
                    simulatedServers::get));
        }
        double capacity = simulatedServers.values().stream()
                .mapToDouble(SimulatedServer::capacity)
                .sum();
        double mean = 0;
        for (int c = 0; c < CLASS_SHARES.length; c++) {
            mean += CLASS_SHARES[c] * (WORK_AND_WAIT_MICROS[c][0] + WORK_AND_WAIT_MICROS[c][1]) / 2e6;
        }
        double rate = scenario.load() * capacity / mean;
        scheduleArrivals(rate, false);
        timeline.schedule(harmAt, () -> applyHarm(rate));
        // The last requests still run until their deadlines.
        timeline.run(end + PATIENCE_MICROS + 1_000_000);
        return report();
    }

    /** Load-balancer settings of one simulated instance. */
    static Settings settings(long seed, int rank, int sidecars) {
        return new Settings(
                seed,
                rank,
                sidecars,
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

    private CellsConfiguration cellsConfiguration() {
        List<Cell> cells = new ArrayList<>();
        for (int c = 0; c < scenario.cells(); c++) {
            cells.add(new Cell("c" + c, 1, false));
        }
        Quarantine quarantine = null;
        if (scenario.quarantine()) {
            cells.add(new Cell("apart", QUARANTINE_SHARE * scenario.cells() / (1 - QUARANTINE_SHARE), true));
            quarantine = new Quarantine(scenario.cells(), 0.3, 600_000_000);
        }
        List<MoveConfiguration> moves = new ArrayList<>();
        if (isMoveScenario()) {
            long fence = scenario.harm() == Harm.FENCED_MOVE ? 1_000_000 : 0;
            long freeze = scenario.harm() == Harm.FROZEN_MOVE ? PATIENCE_MICROS + 100_000 : 0;
            int to = (homeCell(cells) + 1) % scenario.cells();
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
                DEDUP_WINDOW_MICROS,
                PATIENCE_MICROS,
                scenario.guests(),
                scenario.guests() > 0,
                quarantine);
    }

    private boolean isMoveScenario() {
        return scenario.harm().name().endsWith("MOVE");
    }

    private static int homeCell(List<Cell> cells) {
        BitSet open = new BitSet();
        open.set(0, cells.size());
        return new Placement(cells, Map.of(), open).home(Ids.of("u0"));
    }

    // ---- Requests of clients

    private void scheduleArrivals(double rate, boolean flood) {
        if (timeline.now() >= end) {
            return;
        }
        sendRequest(flood ? 0 : workload.unit());
        timeline.schedule(timeline.now() + workload.nextArrivalMicros(rate), () -> scheduleArrivals(rate, flood));
    }

    private void sendRequest(int unit) {
        sidecars.get(random.nextInt(sidecars.size()))
                .handle(request("r" + requestCount++, unit, workload.requestClass(), random, timeline.now()));
    }

    /** Draws a request of a random unit and class. */
    static SimulatedRequest request(String id, Workload workload, SplittableRandom random, long now) {
        return request(id, workload.unit(), workload.requestClass(), random, now);
    }

    private static SimulatedRequest request(String id, int unit, int requestClass, SplittableRandom random, long now) {
        long[] range = WORK_AND_WAIT_MICROS[requestClass];
        return new SimulatedRequest(
                id,
                unit,
                requestClass,
                now,
                now + CLASSES.get(requestClass).deadlineMicros() - 20_000,
                random.nextLong(range[0], range[1]),
                random.nextLong(range[2], range[3]));
    }

    /** Target latency of a request's class, in microseconds. */
    static long aimMicros(SimulatedRequest request) {
        return CLASSES.get(request.requestClass).targetMicros();
    }

    private void applyHarm(double rate) {
        if (scenario.harm() == Harm.FLOOD) {
            scheduleArrivals(rate * scenario.size(), true);
        } else if (scenario.harm() == Harm.RELEASE) {
            // Servers turn slow cell by cell, in the order of the cells; without cells the same number in order of id.
            CellAssignment assignment = new CellAssignment(
                    scenario.cells() == 1
                            ? List.of(new Cell("c0", 1, false))
                            : cellsConfiguration().cells(),
                    Spread.SERVER,
                    0);
            assignment.listed(timeline.now(), ListKind.COMPLETE, servers);
            servers.stream()
                    .sorted((a, b) -> assignment.cellOf(a.id()) != assignment.cellOf(b.id())
                            ? assignment.cellOf(a.id()) - assignment.cellOf(b.id())
                            : Long.compare(a.id(), b.id()))
                    .limit(Math.round(scenario.size() * servers.size()))
                    .forEach(s -> simulatedServers.get(s.id()).slowDown(RELEASE_SLOWDOWN));
        }
    }

    // ---- Results

    @Override
    public void executionChanged(SimulatedRequest request, int cell, boolean begins) {
        if (CLASSES.get(request.requestClass).effect() != Effect.UNSAFE) {
            return;
        }
        duplicateWrites += begins && request.executions > 1 ? 1 : 0;
        if (!isMoveScenario() || request.unit != 0) {
            return;
        }
        runningWritesByCell.merge(cell, begins ? 1 : -1, Integer::sum);
        overlappingWrites += begins
                        && runningWritesByCell.values().stream()
                                        .filter(n -> n > 0)
                                        .count()
                                > 1
                ? 1
                : 0;
    }

    @Override
    public void requestAnswered(SimulatedRequest request, boolean ok) {
        answeredCount++;
        if (request.answers > 1) {
            throw new IllegalStateException(request.id + " was answered twice");
        }
        // Includes the first seconds after the harm begins, in which the sidecars still react to it.
        int phase = request.arrivedAt < harmAt ? 0 : 1;
        if (request.unit == 0 && scenario.harm() == Harm.FLOOD) {
            return;
        }
        RequestClass requestClass = CLASSES.get(request.requestClass);
        boolean isInTime = ok && timeline.now() - request.arrivedAt <= requestClass.targetMicros();
        requestedWorth[phase] += requestClass.worth();
        servedWorth[phase] += isInTime ? requestClass.worth() : ok ? LATE_ANSWER_WORTH * requestClass.worth() : 0;
        requestsByUnit[phase][request.unit]++;
        inTimeByUnit[phase][request.unit] += isInTime ? 1 : 0;
    }

    private Report report() {
        int counted = 0;
        int noticed = 0;
        long[] requestTotals = new long[2];
        long[] inTimeTotals = new long[2];
        for (int u = 0; u < scenario.units(); u++) {
            for (int p = 0; p < 2; p++) {
                requestTotals[p] += requestsByUnit[p][u];
                inTimeTotals[p] += inTimeByUnit[p][u];
            }
            if (requestsByUnit[0][u] >= MIN_REQUESTS_PER_UNIT && requestsByUnit[1][u] >= MIN_REQUESTS_PER_UNIT) {
                counted++;
                double drop = inTimeByUnit[0][u] / (double) requestsByUnit[0][u]
                        - inTimeByUnit[1][u] / (double) requestsByUnit[1][u];
                noticed += drop >= NOTICEABLE_DROP ? 1 : 0;
            }
        }
        return new Report(
                inTimeTotals[0] / (double) requestTotals[0],
                inTimeTotals[1] / (double) requestTotals[1],
                servedWorth[0] / requestedWorth[0],
                servedWorth[1] / requestedWorth[1],
                counted == 0 ? 0 : noticed / (double) counted,
                requestCount,
                requestCount - answeredCount,
                duplicateWrites,
                overlappingWrites);
    }
}
