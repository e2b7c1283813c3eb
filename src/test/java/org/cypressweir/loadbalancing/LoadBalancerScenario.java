package org.cypressweir.loadbalancing;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.cypressweir.loadbalancing.LoadBalancer.Actions;
import org.cypressweir.loadbalancing.LoadBalancer.ListKind;
import org.cypressweir.loadbalancing.LoadBalancer.LoadReport;
import org.cypressweir.loadbalancing.LoadBalancer.NamedLimit;
import org.cypressweir.loadbalancing.LoadBalancer.Outcome;
import org.cypressweir.loadbalancing.LoadBalancer.Phase;
import org.cypressweir.loadbalancing.LoadBalancer.ReportSource;
import org.cypressweir.loadbalancing.LoadBalancer.Request;
import org.cypressweir.loadbalancing.LoadBalancer.RequestClass;
import org.cypressweir.loadbalancing.LoadBalancer.RequestPolicy;
import org.cypressweir.loadbalancing.LoadBalancer.Result;
import org.cypressweir.loadbalancing.LoadBalancer.Server;
import org.cypressweir.loadbalancing.LoadBalancer.Settings;

/**
 * Simulated servers and clients, driven by a seed, around one {@link SubsetLoadBalancer}, whose actions are recorded
 * with their times. Servers queue and reject requests, fail, hang, refuse connections, restart, drain and leave; load
 * comes in bursts; settings change during the run. The record depends only on the settings, the seed and the decisions.
 */
final class LoadBalancerScenario implements Actions {

    private static final long START_MICROS = 1_000_000;
    private static final long SERVICE_MICROS = 12_000;
    private static final long SETUP_MICROS = 3_000;
    private static final long CHANGE_EVERY_MICROS = 150_000;
    private static final long RECORD_EVERY_MICROS = 500_000;
    private static final int CORES = 4;
    private static final int QUEUE = 12;
    private static final int KEYS = 40;
    private static final int ZONES = 2;
    private static final int CELLS = 3;
    private static final int KINDS = 2;
    private static final int LOAD_PHASE_REQUESTS = 400;

    private static final List<RequestPolicy> TERMS = List.of(
            RequestPolicy.NONE,
            RequestPolicy.NONE,
            RequestPolicy.NONE,
            new RequestPolicy(
                    2,
                    300_000,
                    Set.of(Result.ERROR, Result.FULL, Result.BROKEN),
                    0,
                    0,
                    List.of(new NamedLimit("route", 40, 10)),
                    false),
            new RequestPolicy(3, 0, RequestPolicy.NONE.retryOn(), 1, 30_000, List.of(), false),
            new RequestPolicy(
                    4,
                    0,
                    RequestPolicy.NONE.retryOn(),
                    2,
                    10_000,
                    List.of(new NamedLimit("route", 60, 20), new NamedLimit("tenant", 50, 8)),
                    false),
            RequestPolicy.NONE.forLongLived());

    private enum Condition {
        HEALTHY,
        SLOW,
        FAILING,
        HANGING,
        UNREACHABLE,
        FULL
    }

    private static final class SimulatedServer {
        private Server entry;
        private Condition condition = Condition.HEALTHY;
        private int inFlight;

        private SimulatedServer(Server entry) {
            this.entry = entry;
        }
    }

    private record Event(long at, long sequence, Runnable task) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(sequence, other.sequence);
        }
    }

    private static final class Attempt {
        private final SimulatedServer server;
        private boolean ended;

        private Attempt(SimulatedServer server) {
            this.server = server;
        }
    }

    private static final class ClientRequest {
        private final Request request;
        private final List<Attempt> attempts = new ArrayList<>();
        private boolean closed;

        private ClientRequest(Request request) {
            this.request = request;
        }
    }

    private final Settings settings;
    private final SplittableRandom random;
    private final SubsetLoadBalancer balancer;
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final Map<String, ClientRequest> requests = new HashMap<>();
    private final Map<Long, SimulatedServer> servers = new TreeMap<>();
    private final List<String> record = new ArrayList<>();
    private final Map<String, Integer> counts = new TreeMap<>();
    private final long meanGapMicros;
    private long now = START_MICROS;
    private long sequence;
    private long nextServerId = 1;

    /** The seed drives all that surrounds the balancer; the gap is the mean time between requests. */
    LoadBalancerScenario(Settings settings, long seed, int serverCount, long meanGapMicros) {
        this.settings = settings;
        this.meanGapMicros = meanGapMicros;
        random = new SplittableRandom(seed);
        balancer = new SubsetLoadBalancer(settings, this);
        for (int i = 0; i < serverCount; i++) {
            addServer(i % 7 == 0 ? START_MICROS : 0);
        }
    }

    /** Runs the given number of requests and all events that follow from them. */
    void run(int requestCount) {
        at(now, () -> list(settings.discoveryOnAsk() ? ListKind.CACHED : ListKind.COMPLETE, entries()));
        long at = now + 1;
        for (int i = 0; i < requestCount; i++) {
            boolean burst = i / LOAD_PHASE_REQUESTS % 3 == 1;
            at += 1 + (long) (random.nextDouble() * 2 * meanGapMicros / (burst ? 6 : 1));
            String id = "r" + i;
            at(at, () -> request(id));
        }
        long end = at;
        for (long time = START_MICROS + CHANGE_EVERY_MICROS; time < end; time += CHANGE_EVERY_MICROS) {
            at(time, this::change);
        }
        for (long time = START_MICROS; time < end; time += RECORD_EVERY_MICROS) {
            at(time, () -> note("avoided", String.valueOf(balancer.ejectedServers(now))));
        }
        at(end - 20 * meanGapMicros, () -> balancer.shutDown(now));
        while (!events.isEmpty()) {
            Event event = events.poll();
            now = Math.max(now, event.at);
            event.task.run();
        }
    }

    /** All actions in their order, one per line. */
    List<String> actions() {
        return Collections.unmodifiableList(record);
    }

    /** The number of actions of each kind, and a digest of all actions. */
    String summary() {
        return counts + " " + digest();
    }

    /** The number of recorded actions of each kind. */
    Map<String, Integer> counts() {
        return Collections.unmodifiableMap(counts);
    }

    private String digest() {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            record.forEach(line -> digest.update((line + "\n").getBytes(StandardCharsets.UTF_8)));
            return HexFormat.of().formatHex(digest.digest());
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }

    private void at(long when, Runnable task) {
        events.add(new Event(when, sequence++, task));
    }

    private void note(String kind, String text) {
        counts.merge(kind, 1, Integer::sum);
        record.add(now + " " + kind + " " + text);
    }

    // ---- Servers

    private Server addServer(long startMicros) {
        long id = nextServerId++;
        Server entry = new Server(
                id, (int) (id % ZONES), (int) (id / 2 % KINDS), (int) (id % CELLS), Phase.READY, startMicros, 1);
        servers.put(id, new SimulatedServer(entry));
        return entry;
    }

    private List<Server> entries() {
        return servers.values().stream().map(server -> server.entry).toList();
    }

    private void list(ListKind kind, List<Server> entries) {
        balancer.servers(now, kind, entries);
    }

    private SimulatedServer anyServer() {
        List<SimulatedServer> all = List.copyOf(servers.values());
        return all.get(random.nextInt(all.size()));
    }

    private Server in(Server entry, Phase phase, long startMicros) {
        return new Server(entry.id(), entry.zone(), entry.kind(), entry.cell(), phase, startMicros, entry.weight());
    }

    /** Makes one random change: of a server, of the list or of settings. */
    private void change() {
        SimulatedServer server = anyServer();
        switch (random.nextInt(14)) {
            case 0, 1, 2 -> server.condition = Condition.values()[random.nextInt(Condition.values().length)];
            case 3 -> servers.values().forEach(each -> each.condition = Condition.HEALTHY);
            case 4 -> {
                Phase phase = server.entry.phase() == Phase.READY ? Phase.DRAINING : Phase.READY;
                server.entry = in(server.entry, phase, server.entry.startMicros());
                list(ListKind.CHANGES, List.of(server.entry));
            }
            case 5 -> {
                server.condition = Condition.HEALTHY;
                server.entry = in(server.entry, Phase.READY, now);
                list(ListKind.CHANGES, List.of(server.entry));
            }
            case 6 -> remove(server);
            case 7 -> list(ListKind.CHANGES, List.of(addServer(now), addServer(0)));
            case 8 -> list(ListKind.COMPLETE, entries());
            case 9 -> list(ListKind.FAILED, List.of());
            case 10 -> balancer.externalLoad(now, server.entry.id(), random.nextInt(20), random.nextInt(3) == 0);
            case 11 -> {
                int open = 40 + random.nextInt(100);
                balancer.limits(now, open, open / 2, 40 + random.nextInt(400));
            }
            case 12 -> balancer.reconfigure(now, settings.with(changedClasses()));
            default -> changeSomeConditions();
        }
    }

    private void remove(SimulatedServer server) {
        if (servers.size() <= 2) {
            return;
        }
        servers.remove(server.entry.id());
        if (random.nextBoolean()) {
            list(ListKind.CHANGES, List.of(in(server.entry, Phase.REMOVED, server.entry.startMicros())));
        } else {
            list(ListKind.COMPLETE, entries());
        }
    }

    private void changeSomeConditions() {
        Condition condition = Condition.values()[random.nextInt(Condition.values().length)];
        servers.values().forEach(each -> each.condition = random.nextInt(4) == 0 ? condition : each.condition);
    }

    /** The classes with other targets and worths; sometimes the last one is removed. */
    private List<RequestClass> changedClasses() {
        List<RequestClass> changed = new ArrayList<>();
        for (RequestClass each : settings.classes()) {
            double factor = 0.5 + random.nextDouble();
            changed.add(new RequestClass(
                    each.name(),
                    each.effect(),
                    each.group(),
                    each.dedupWindowMicros(),
                    (long) (each.targetMicros() * factor),
                    each.hintFactor(),
                    each.deadlineMicros(),
                    each.worth() * factor,
                    each.lateShare(),
                    each.streaming()));
        }
        if (changed.size() > 1 && random.nextInt(3) == 0) {
            changed.set(changed.size() - 1, RequestClass.REMOVED);
        }
        return changed;
    }

    // ---- Clients

    private void request(String id) {
        int requestClass = random.nextInt(settings.classes().size());
        long deadline = now + settings.classes().get(requestClass).deadlineMicros();
        if (random.nextInt(50) == 0) {
            deadline = now + random.nextInt(20_000);
        }
        long hint = random.nextInt(3) == 0 ? 1_000 + random.nextInt(40_000) : 0;
        long key = random.nextInt(5) == 0 ? -1 : random.nextInt(KEYS);
        RequestPolicy terms = TERMS.get(random.nextInt(TERMS.size()));
        int tenant = random.nextInt(4) == 0
                ? 0
                : random.nextInt(Math.max(1, settings.tenants().size()));
        Request request = new Request(id, requestClass, tenant, false, key, deadline, hint, false, terms);
        requests.put(id, new ClientRequest(request));
        if (random.nextInt(40) == 0) {
            at(now + random.nextInt(60_000), () -> leave(id));
        }
        balancer.request(now, request);
    }

    private void leave(String id) {
        ClientRequest client = requests.get(id);
        if (!client.closed) {
            client.closed = true;
            balancer.clientLeft(now, id);
        }
    }

    private void serve(ClientRequest client, int number, SimulatedServer server) {
        long limit = client.request.deadlineMicros();
        long perAttempt = client.request.policy().attemptTimeoutMicros();
        if (perAttempt > 0) {
            limit = Math.min(limit, now + perAttempt);
        }
        long took = SETUP_MICROS / 10 + (long) (-SERVICE_MICROS * Math.log(1 - random.nextDouble()));
        took += SERVICE_MICROS * Math.max(0, server.inFlight - CORES) / CORES;
        Result result = server.inFlight > CORES + QUEUE ? Result.FULL : Result.SERVED;
        if (random.nextInt(200) == 0) {
            result = random.nextBoolean() ? Result.BROKEN : Result.NOT_SENT;
        }
        switch (server.condition) {
            case HEALTHY -> {}
            case SLOW -> took *= 6;
            case FAILING -> result = random.nextInt(3) == 0 ? result : Result.ERROR;
            case HANGING -> took = Long.MAX_VALUE / 4;
            case UNREACHABLE -> {
                took = SETUP_MICROS;
                result = Result.NO_CONNECTION;
            }
            case FULL -> result = random.nextBoolean() ? Result.FULL : result;
        }
        server.inFlight++;
        long sentAt = now;
        if (now + took >= limit) {
            at(limit, () -> end(client, number, Result.TIMED_OUT, now - sentAt));
            return;
        }
        Result ended = result;
        boolean streams = settings.classes().get(client.request.requestClass()).streaming();
        if (streams && ended == Result.SERVED) {
            at(now + took / 2, () -> streamBegan(client, number, sentAt));
        }
        at(now + took, () -> end(client, number, ended, now - sentAt));
    }

    private void streamBegan(ClientRequest client, int number, long sentAt) {
        Attempt attempt = client.attempts.get(number);
        if (!attempt.ended && !client.closed) {
            balancer.streamBegan(now, client.request.id(), number, attempt.server.entry.id(), now - sentAt);
        }
    }

    private void end(ClientRequest client, int number, Result result, long elapsed) {
        Attempt attempt = client.attempts.get(number);
        if (attempt.ended) {
            return;
        }
        attempt.ended = true;
        attempt.server.inFlight--;
        if (result == Result.SERVED || random.nextInt(20) == 0) {
            client.closed = true;
        }
        LoadReport report =
                settings.reports() == ReportSource.ANSWERS && random.nextInt(8) > 0 ? report(attempt.server) : null;
        balancer.outcome(
                now,
                new Outcome(
                        client.request.id(),
                        number,
                        attempt.server.entry.id(),
                        result,
                        elapsed,
                        client.closed,
                        report));
    }

    private LoadReport report(SimulatedServer server) {
        double utilization = random.nextInt(10) == 0 ? Double.NaN : Math.min(1, server.inFlight / (double) CORES);
        double inFlight = random.nextInt(10) == 0 ? Double.NaN : server.inFlight;
        return new LoadReport(inFlight, Math.max(0, server.inFlight - CORES), utilization, 1, 1, 0);
    }

    // ---- Actions of the balancer

    @Override
    public void send(String requestId, long server, long timeoutMicros) {
        ClientRequest client = requests.get(requestId);
        SimulatedServer target = Objects.requireNonNull(servers.get(server), "sent to a server that is gone");
        note(client.attempts.isEmpty() ? "send" : "resend", requestId + " " + server + " " + timeoutMicros);
        client.attempts.add(new Attempt(target));
        serve(client, client.attempts.size() - 1, target);
    }

    @Override
    public void refuse(String requestId, long retryAfterMicros) {
        note("refuse", requestId + " " + retryAfterMicros);
        requests.get(requestId).closed = true;
    }

    @Override
    public void fail(String requestId) {
        note("fail", requestId);
        requests.get(requestId).closed = true;
    }

    @Override
    public void cancel(String requestId, int attempt) {
        note("cancel", requestId + " " + attempt);
        at(now, () -> end(requests.get(requestId), attempt, Result.CANCELLED, 0));
    }

    @Override
    public void timer(long atMicros, long token) {
        note("timer", atMicros + " " + token);
        at(atMicros, () -> balancer.timer(now, token));
    }

    @Override
    public void probe(long server) {
        note("probe", String.valueOf(server));
        SimulatedServer probed = servers.get(server);
        long took = 500 + random.nextInt(2_000);
        boolean answers = probed != null && probed.condition != Condition.HANGING;
        at(now + took, () -> {
            LoadReport report = answers ? report(probed) : null;
            balancer.probed(now, server, answers ? Result.SERVED : Result.TIMED_OUT, took, report);
        });
    }

    @Override
    public void closeIdle(long server) {
        note("closeIdle", String.valueOf(server));
    }

    @Override
    public void subscribe() {
        note("subscribe", "");
        at(now + 1_000, () -> list(random.nextInt(3) == 0 ? ListKind.FAILED : ListKind.COMPLETE, entries()));
    }

    @Override
    public void log(String line) {
        note("log " + line.replaceAll(":.*", "").replaceAll("[0-9]+", "#"), line);
    }
}
