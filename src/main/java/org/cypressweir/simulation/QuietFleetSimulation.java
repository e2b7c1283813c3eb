package org.cypressweir.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.cypressweir.common.util.Ids;
import org.cypressweir.loadbalancing.LoadBalancer.ListKind;
import org.cypressweir.loadbalancing.LoadBalancer.Phase;
import org.cypressweir.loadbalancing.LoadBalancer.Rules;
import org.cypressweir.loadbalancing.LoadBalancer.Server;
import org.cypressweir.loadbalancing.LoadBalancer.Settings;
import org.cypressweir.sidecar.fleetlimits.FleetLimits;
import org.cypressweir.sidecar.fleetlimits.SlottedPollPacer;
import org.cypressweir.simulation.SimulatedSidecar.SimulatedRequest;

/**
 * Simulates thousands of instances with little traffic: the calls they make to discovery, and the load they put on a
 * server that has just started.
 */
public final class QuietFleetSimulation implements SimulatedSidecar.RequestListener {

    private static final long START_MICROS = 1_000_000_000;
    private static final long SECOND_MICROS = 1_000_000;
    private static final int ZONES = 3;
    /** Duration of a call to discovery; without a rate limit a restarted instance calls immediately. */
    private static final long LIST_CALL_MICROS = 20_000;

    /** One instance and the list revision it knows. */
    private final class Instance {
        final int rank;
        SimulatedSidecar sidecar;
        long revision;
        SlottedPollPacer pacer;

        Instance(int rank) {
            this.rank = rank;
            start();
        }

        /** Starts or restarts the instance with the list revision it knew last. */
        void start() {
            List<Server> known = servers(revision);
            sidecar = new SimulatedSidecar(
                    timeline, settings(rank), null, known, QuietFleetSimulation.this, simulatedServers::get);
            if (scenario.listRate() > 0) {
                pacer = new SlottedPollPacer(new FleetLimits(scenario.instances(), rank, scenario.listRate(), 1, 0));
                SimulatedSidecar startedSidecar = sidecar;
                timeline.schedule(pacer.next(timeline.now()), () -> poll(startedSidecar));
            } else {
                requestList(sidecar);
            }
        }

        private void poll(SimulatedSidecar polledSidecar) {
            if (polledSidecar == sidecar) {
                requestList(polledSidecar);
                timeline.schedule(pacer.next(timeline.now() + 1), () -> poll(polledSidecar));
            }
        }

        private void requestList(SimulatedSidecar callingSidecar) {
            if (callingSidecar == sidecar) {
                calls++;
                callsBySecond[(int) ((timeline.now() - START_MICROS) / SECOND_MICROS)]++;
                timeline.schedule(timeline.now() + LIST_CALL_MICROS, () -> receiveList(callingSidecar));
            }
        }

        private void receiveList(SimulatedSidecar callingSidecar) {
            if (callingSidecar != sidecar) {
                return;
            }
            if (revision < changes.size()) {
                List<Server> newChanges = new ArrayList<>(changes.subList((int) revision, changes.size()));
                if (coldServerAddedAt > 0 && revision <= revisionBeforeColdServer) {
                    lastInformedAt = timeline.now();
                }
                revision = changes.size();
                callingSidecar.updateServers(ListKind.CHANGES, newChanges);
            }
            if (scenario.listRate() == 0) {
                waitingWatches.add(() -> requestList(callingSidecar));
            }
        }
    }

    private final QuietScenario scenario;
    private final SplittableRandom random;
    private final EventTimeline timeline = new EventTimeline(START_MICROS);
    private final Workload workload;
    private final Map<Long, SimulatedServer> simulatedServers = new HashMap<>();
    private final List<Server> initialServers = new ArrayList<>();
    /** List changes since the start, in order; their number is the current revision. */
    private final List<Server> changes = new ArrayList<>();
    /** Long-poll calls that wait for the next change. */
    private List<Runnable> waitingWatches = new ArrayList<>();

    private final List<Instance> instances = new ArrayList<>();
    private final int[] callsBySecond;
    private final long end;
    private long calls;
    private long requestCount;
    private long answeredCount;
    private long inTimeCount;
    private long coldServerAddedAt;
    private long coldServerId;
    private long revisionBeforeColdServer;
    private long lastInformedAt;
    private final Map<Long, double[]> sentToColdServer = new HashMap<>();

    private QuietFleetSimulation(QuietScenario scenario) {
        this.scenario = scenario;
        random = new SplittableRandom(scenario.seed());
        workload = new Workload(random, 20_000, 0.6, CellsSimulation.CLASS_SHARES);
        end = START_MICROS + scenario.seconds() * SECOND_MICROS;
        callsBySecond = new int[scenario.seconds() + 20];
    }

    /** Runs the scenario; the same scenario always gives the same report. */
    public static QuietReport run(QuietScenario scenario) {
        return new QuietFleetSimulation(scenario).runScenario();
    }

    private QuietReport runScenario() {
        for (int i = 0; i < scenario.servers(); i++) {
            initialServers.add(addServer(i, 0));
        }
        for (int i = 0; i < scenario.instances(); i++) {
            instances.add(new Instance(i));
        }
        double rate = scenario.instances() * scenario.perMinute() / 60;
        scheduleArrivals(rate);
        if (scenario.changes() > 0) {
            timeline.schedule(
                    START_MICROS + (long) (60 * SECOND_MICROS / scenario.changes()), this::publishUnrelatedChange);
        }
        timeline.schedule(
                START_MICROS + scenario.seconds() * SECOND_MICROS / 3, () -> instances.forEach(Instance::start));
        timeline.schedule(START_MICROS + scenario.seconds() * SECOND_MICROS * 2 / 3, this::replaceServer);
        timeline.run(end + 7 * SECOND_MICROS);
        int peak = 0;
        for (int n : callsBySecond) {
            peak = Math.max(peak, n);
        }
        return new QuietReport(
                calls,
                peak,
                (lastInformedAt - coldServerAddedAt) / 1_000,
                peakColdServerLoad(),
                (int) sentToColdServer.getOrDefault(0L, new double[2])[1],
                inTimeCount / (double) requestCount,
                requestCount - answeredCount);
    }

    private Settings settings(int rank) {
        return CellsSimulation.settings(scenario.seed() + rank, rank, scenario.instances());
    }

    private Server addServer(int number, long startMicros) {
        long id = Ids.of("s" + number);
        simulatedServers.put(id, new SimulatedServer(id, 3 + number % 2, 0.7 + 0.6 * random.nextDouble(), timeline));
        return new Server(id, number % ZONES, 0, number % 5, Phase.READY, startMicros, 1);
    }

    private List<Server> servers(long revision) {
        Map<Long, Server> known = new HashMap<>();
        initialServers.forEach(s -> known.put(s.id(), s));
        changes.subList(0, (int) revision).forEach(s -> known.put(s.id(), s));
        return known.values().stream().filter(s -> s.phase() != Phase.REMOVED).toList();
    }

    /** Publishes a change that does not matter, as large fleets do all the time: every watch is notified. */
    private void publishUnrelatedChange() {
        if (timeline.now() < end) {
            Server s = initialServers.get(random.nextInt(initialServers.size()));
            if (s.id() != initialServers.get(0).id()) {
                publish(List.of(s));
            }
            timeline.schedule(
                    timeline.now() + (long) (60 * SECOND_MICROS / scenario.changes()), this::publishUnrelatedChange);
        }
    }

    /** Replaces a server by a cold one; each instance learns of it as soon as its rate limit allows. */
    private void replaceServer() {
        Server old = initialServers.get(0);
        Server cold = addServer(scenario.servers(), timeline.now());
        coldServerAddedAt = timeline.now();
        coldServerId = cold.id();
        revisionBeforeColdServer = changes.size();
        publish(List.of(new Server(old.id(), old.zone(), 0, old.cell(), Phase.REMOVED, 0, 1), cold));
    }

    private void publish(List<Server> newChanges) {
        changes.addAll(newChanges);
        List<Runnable> watches = waitingWatches;
        waitingWatches = new ArrayList<>();
        watches.forEach(call -> timeline.schedule(timeline.now() + LIST_CALL_MICROS, call));
    }

    private void scheduleArrivals(double rate) {
        if (timeline.now() >= end) {
            return;
        }
        instances
                .get(random.nextInt(instances.size()))
                .sidecar
                .handle(CellsSimulation.request("r" + requestCount++, workload, random, timeline.now()));
        timeline.schedule(timeline.now() + workload.nextArrivalMicros(rate), () -> scheduleArrivals(rate));
    }

    /** Highest ratio, over all seconds, of the work sent to the cold server to its capacity while it warms up. */
    private double peakColdServerLoad() {
        double peak = 0;
        SimulatedServer machine = simulatedServers.get(coldServerId);
        Rules rules = settings(0).rules();
        for (Map.Entry<Long, double[]> e : sentToColdServer.entrySet()) {
            double capacityShare =
                    rules.slowStartShare(coldServerAddedAt + e.getKey() * SECOND_MICROS, coldServerAddedAt);
            peak = Math.max(peak, e.getValue()[0] / 1e6 / (capacityShare * machine.capacity()));
        }
        return peak;
    }

    @Override
    public void requestSent(SimulatedRequest request, SimulatedServer machine) {
        if (coldServerAddedAt > 0 && machine.id == coldServerId) {
            double[] sum = sentToColdServer.computeIfAbsent(
                    (timeline.now() - coldServerAddedAt) / SECOND_MICROS, s -> new double[2]);
            sum[0] += request.workMicros;
            sum[1]++;
        }
    }

    @Override
    public void requestAnswered(SimulatedRequest request, boolean served) {
        answeredCount++;
        inTimeCount += served && timeline.now() - request.arrivedAt <= CellsSimulation.aimMicros(request) ? 1 : 0;
    }
}
