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
import org.cypressweir.simulation.SimulatedSidecar.Asked;

/** Plays thousands of quiet instances: what they ask of discovery, and of a server that has just started. */
public final class QuietFleetSimulation implements SimulatedSidecar.Account {

    private static final long BEGIN = 1_000_000_000;
    private static final long SECOND = 1_000_000;
    private static final int ZONES = 3;
    /** A call for the list takes so long; without a pace an instance that restarts asks at once. */
    private static final long CALL = 20_000;

    /** One instance and what it knows of the list. */
    private final class Copy {
        final int rank;
        SimulatedSidecar instance;
        long revision;
        SlottedPollPacer pacer;

        Copy(int rank) {
            this.rank = rank;
            start();
        }

        /** As after a restart: with the list that it had last. */
        void start() {
            List<Server> known = servers(revision);
            instance =
                    new SimulatedSidecar(time, settings(rank), null, known, QuietFleetSimulation.this, machines::get);
            if (scenario.listRate() > 0) {
                pacer = new SlottedPollPacer(new FleetLimits(scenario.instances(), rank, scenario.listRate(), 1, 0));
                SimulatedSidecar mine = instance;
                time.at(pacer.next(time.now()), () -> poll(mine));
            } else {
                call(instance);
            }
        }

        private void poll(SimulatedSidecar mine) {
            if (mine == instance) {
                call(mine);
                time.at(pacer.next(time.now() + 1), () -> poll(mine));
            }
        }

        private void call(SimulatedSidecar mine) {
            if (mine == instance) {
                calls++;
                calledIn[(int) ((time.now() - BEGIN) / SECOND)]++;
                time.at(time.now() + CALL, () -> told(mine));
            }
        }

        private void told(SimulatedSidecar mine) {
            if (mine != instance) {
                return;
            }
            if (revision < changes.size()) {
                List<Server> news = new ArrayList<>(changes.subList((int) revision, changes.size()));
                if (coldAt > 0 && revision <= coldRevision) {
                    lastTold = time.now();
                }
                revision = changes.size();
                mine.listed(ListKind.CHANGES, news);
            }
            if (scenario.listRate() == 0) {
                waiting.add(() -> call(mine));
            }
        }
    }

    private final QuietScenario scenario;
    private final SplittableRandom random;
    private final EventTimeline time = new EventTimeline(BEGIN);
    private final Workload workload;
    private final Map<Long, SimulatedServer> machines = new HashMap<>();
    private final List<Server> first = new ArrayList<>();
    /** What the list has told since, in order; its size is the revision. */
    private final List<Server> changes = new ArrayList<>();
    /** Watches that wait for something new. */
    private List<Runnable> waiting = new ArrayList<>();

    private final List<Copy> copies = new ArrayList<>();
    private final int[] calledIn;
    private final long end;
    private long calls;
    private long asked;
    private long answered;
    private long inTime;
    private long coldAt;
    private long coldId;
    private long coldRevision;
    private long lastTold;
    private final Map<Long, double[]> sentToCold = new HashMap<>();

    private QuietFleetSimulation(QuietScenario scenario) {
        this.scenario = scenario;
        random = new SplittableRandom(scenario.seed());
        workload = new Workload(random, 20_000, 0.6, CellsSimulation.SHARES);
        end = BEGIN + scenario.seconds() * SECOND;
        calledIn = new int[scenario.seconds() + 20];
    }

    /** Plays it; the same scenario gives the same report. */
    public static QuietReport play(QuietScenario scenario) {
        return new QuietFleetSimulation(scenario).play();
    }

    private QuietReport play() {
        for (int i = 0; i < scenario.servers(); i++) {
            first.add(add(i, 0));
        }
        for (int i = 0; i < scenario.instances(); i++) {
            copies.add(new Copy(i));
        }
        double rate = scenario.instances() * scenario.perMinute() / 60;
        arrive(rate);
        if (scenario.changes() > 0) {
            time.at(BEGIN + (long) (60 * SECOND / scenario.changes()), this::change);
        }
        time.at(BEGIN + scenario.seconds() * SECOND / 3, () -> copies.forEach(Copy::start));
        time.at(BEGIN + scenario.seconds() * SECOND * 2 / 3, this::replace);
        time.run(end + 7 * SECOND);
        int peak = 0;
        for (int n : calledIn) {
            peak = Math.max(peak, n);
        }
        return new QuietReport(
                calls,
                peak,
                (lastTold - coldAt) / 1_000,
                coldPeak(),
                (int) sentToCold.getOrDefault(0L, new double[2])[1],
                inTime / (double) asked,
                asked - answered);
    }

    private Settings settings(int rank) {
        return CellsSimulation.settings(scenario.seed() + rank, rank, scenario.instances());
    }

    private Server add(int number, long startMicros) {
        long id = Ids.of("s" + number);
        machines.put(id, new SimulatedServer(id, 3 + number % 2, 0.7 + 0.6 * random.nextDouble(), time));
        return new Server(id, number % ZONES, 0, number % 5, Phase.READY, startMicros, 1);
    }

    private List<Server> servers(long revision) {
        Map<Long, Server> known = new HashMap<>();
        first.forEach(s -> known.put(s.id(), s));
        changes.subList(0, (int) revision).forEach(s -> known.put(s.id(), s));
        return known.values().stream().filter(s -> s.phase() != Phase.REMOVED).toList();
    }

    /**
     * Something of no weight changes, as it does all the time in a large fleet: all that watch hear of it.
     */
    private void change() {
        if (time.now() < end) {
            Server s = first.get(random.nextInt(first.size()));
            if (s.id() != first.get(0).id()) {
                tell(List.of(s));
            }
            time.at(time.now() + (long) (60 * SECOND / scenario.changes()), this::change);
        }
    }

    /** One goes and another comes, which is cold; all instances hear of it as soon as they may. */
    private void replace() {
        Server old = first.get(0);
        Server cold = add(scenario.servers(), time.now());
        coldAt = time.now();
        coldId = cold.id();
        coldRevision = changes.size();
        tell(List.of(new Server(old.id(), old.zone(), 0, old.cell(), Phase.REMOVED, 0, 1), cold));
    }

    private void tell(List<Server> news) {
        changes.addAll(news);
        List<Runnable> now = waiting;
        waiting = new ArrayList<>();
        now.forEach(call -> time.at(time.now() + CALL, call));
    }

    private void arrive(double rate) {
        if (time.now() >= end) {
            return;
        }
        copies.get(random.nextInt(copies.size()))
                .instance
                .take(CellsSimulation.request("r" + asked++, workload, random, time.now()));
        time.at(time.now() + workload.pause(rate), () -> arrive(rate));
    }

    /** Work sent in each second against what a server that warms up can do in it. */
    private double coldPeak() {
        double peak = 0;
        SimulatedServer machine = machines.get(coldId);
        Rules rules = settings(0).rules();
        for (Map.Entry<Long, double[]> e : sentToCold.entrySet()) {
            double part = rules.coldShare(coldAt + e.getKey() * SECOND, coldAt);
            peak = Math.max(peak, e.getValue()[0] / 1e6 / (part * machine.capacity()));
        }
        return peak;
    }

    @Override
    public void sent(Asked request, SimulatedServer machine) {
        if (coldAt > 0 && machine.id == coldId) {
            double[] sum = sentToCold.computeIfAbsent((time.now() - coldAt) / SECOND, s -> new double[2]);
            sum[0] += request.work;
            sum[1]++;
        }
    }

    @Override
    public void answered(Asked request, boolean served) {
        answered++;
        inTime += served && time.now() - request.at <= CellsSimulation.aim(request) ? 1 : 0;
    }
}
