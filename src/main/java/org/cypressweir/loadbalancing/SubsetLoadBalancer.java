package org.cypressweir.loadbalancing;

import static org.cypressweir.common.util.Hashes.jump;
import static org.cypressweir.common.util.Hashes.mix;
import static org.cypressweir.common.util.Hashes.ranked;
import static org.cypressweir.common.util.Hashes.uniform;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

/**
 * A load balancer over a subset tree of zones and cells. {@link LoadBalancer} defines its types, events and actions.
 * Usually a request starts at the tree node of its zone and its tenant's cell and takes the cheaper of two random
 * ready servers, by peak-EWMA latency x (1 + requests in flight). Each exception states when it applies.
 */
public final class SubsetLoadBalancer implements LoadBalancer {

    /** Servers of a cell in each zone that the cell count aims at; a tenant uses so many times its share of cells. */
    private static final double CELL_SERVERS_PER_ZONE = 4, TENANT_CELL_FACTOR = 3;
    /** Nodes of up to so many members are scanned whole; from larger ones at most so many candidates are drawn. */
    private static final int MAX_SCAN = 32, MAX_DRAWS = 256;
    /** Candidates with room that are drawn to find a cheap one; ejected servers checked per pick, round robin. */
    private static final int CHEAPEST_DRAWS = 4, MAX_TRIALS = 4;
    /** Hysteresis: the fraction of the cell count by which a new count must differ to replace it. */
    private static final double CELL_HYSTERESIS = 1.0 / 8;
    /** Servers moved to their new cell in one turn, so that a new cell count never blocks the event loop for long. */
    private static final int RELABEL_BATCH = 128;
    /** Deterministic subsetting: servers of a node that an instance uses beyond those its request rate needs. */
    private static final int SPARE_SERVERS = 2;
    /** Cost ratio above which a pick spills over to the next node; for long-lived connections in the home zone. */
    private static final double SPILL_RATIO = 1.5, LONG_LIVED_SPILL_RATIO = 1.1;
    /** Cost factor of a new connection without set-up time; its rise per target of set-up time; a set-up's weight. */
    private static final double NEW_CONNECTION_COST = 1.25, SETUP_COST = 10, SETUP_WEIGHT = 0.3;
    /** Time constants in targets: of latency and use; of failure rates, set-ups and distrust of idle connections. */
    private static final double DECAY = 4, FAULT_DECAY = 30;
    /** EWMA weight of an answer in the typical latency of its class; in figures pooled by kind, zone or class. */
    private static final double ANSWER_WEIGHT = 0.03, POOL_WEIGHT = 0.1;
    /** Typical latency before the first answer, in latency targets. */
    private static final double INITIAL_LATENCY = 0.3;
    /** Expected latencies until an attempt hangs; failures to ejection; doublings of a backoff of one target. */
    private static final int HANG_FACTOR = 4, EJECTION_FAILURES = 3, MAX_BACKOFF = 4;
    /** The largest fraction of the ready servers that may be ejected. */
    private static final double MAX_EJECTED_SHARE = 0.5;
    /** Cap on a cold server's chance, in times its slow-start share of an even part, at each node of a path. */
    private static final double MAX_SLOW_START = 1.4;
    /** Where the settings have no retry budget: retry tokens earned per request; most tokens that are kept. */
    private static final double RETRY_RATIO = 0.15, MAX_RETRY_TOKENS = 10;
    /** A server's concurrency limit: at the start; fraction of the target above which it is cut; cut; minimum. */
    private static final double INITIAL_LIMIT = 3, LIMIT_TARGET = 0.5, LIMIT_CUT = 0.7, MIN_LIMIT = 0.2;
    /** Times the typical latency above which it is cut, at most this fraction of the target; utilization up to which it
     * grows, with at least so many instances, whose requests add up; utilization above which a server has a queue. */
    private static final double LIMIT_TYPICAL = 1.25, LIMIT_MAX = 0.6, FULL_LOAD = 0.9, CROWD_SIZE = 10, BUSY = 0.5;
    /** Admission probability: fraction of the target above which it is cut; cut; gain per timely answer; minimum. */
    private static final double ADMIT_TARGET = 0.8, ADMIT_CUT = 0.7, ADMIT_GAIN = 0.25, MIN_ADMITTED = 0.1;
    /** Servers that report their load get only requests whose expected latency times this meets the target. */
    private static final double HEADROOM = 2;
    /** Requests by which a tenant may exceed its share before further ones count as beyond it. */
    private static final double SHARE_SLACK = 5;
    /** Fraction of the result that may be spent on probes; probes per round; most rounds before a pick. */
    private static final double PROBE_BUDGET = 0.012;
    private static final int PROBES_PER_ROUND = 3, MAX_PROBE_ROUNDS = 4;
    /** Queues per class: in share, beyond it, long-lived; weight of external load in the cost of a long-lived one. */
    private static final int QUEUES_PER_CLASS = 3, EXTERNAL_LOAD_WEIGHT = 50;
    /** Under high load, the part of its time for which a request that no server has had is queued at most. */
    private static final double MAX_QUEUE_TIME = 0.45;
    /** Fractions of a latency target: for which a probe is fresh; after which the queue is checked again. */
    private static final double PROBE_FRESHNESS = 0.05, QUEUE_CHECK = 0.03;
    /** Lines of server lists that discovery is assumed to send to all instances within one discovery interval. */
    private static final double DISCOVERY_LINES = 8000;
    /** Kinds of timers: a token's remainder after division by their number. */
    private static final int QUEUE = 0, PROBE = 1, DISCOVERY = 2, HEDGE = 3, CELLS = 4, TIMER_KINDS = 5;

    private final Actions actions;
    private final SplittableRandom random;
    private final double rateDecayMicros, probesPerRequest;
    private Settings settings;
    private Limits limits;
    /** No further servers will come: nothing is queued or retried. */
    private boolean closing;

    private final Map<Long, Backend> backends = new LinkedHashMap<>();
    /** The ready servers, by zone and cell. */
    private final SubsetTree<Backend> tree = new SubsetTree<>(2);
    private final int zones;
    /** Servers to be checked since the cell count changed; some of them are still in their old cell. */
    private final ArrayDeque<Backend> relabelQueue = new ArrayDeque<>();
    /** The nodes that a request of a cell tries in order; cleared when the cell count or the home zone changes. */
    private final Map<Integer, List<IndexedMembers<Backend>>> paths = new HashMap<>();

    private int[][] tenantCells = new int[0][], ownCells = new int[0][];
    /** More instances than servers: an instance's own requests and samples say little, and connections cost much. */
    private boolean manyReplicas;
    private final Map<String, Pending> requests = new HashMap<>();
    private final Map<Long, Pending> timers = new HashMap<>();
    private final PendingRequestQueue<Pending> queue = new PendingRequestQueue<>(QUEUES_PER_CLASS);
    private boolean queueTimerSet;
    /** Open and queued requests under each of the operators' named limits. */
    private final CounterMap openByLimit = new CounterMap(), queuedByLimit = new CounterMap();
    private long lastToken;

    private final FailureRates faults;
    private double[] typicalMicros = {};
    private final int tenants;
    private final WeightedAccounts tenantShares;
    private final DecayingMean rate, setupMicros;
    private final CachedMeasurement meanWarmShare = new CachedMeasurement(50_000);

    private final EwmaTable kindLatency = new EwmaTable(1, POOL_WEIGHT), zoneLatency = new EwmaTable(1, POOL_WEIGHT);
    private double targetMicros, typicalHint, retryTokens = MAX_RETRY_TOKENS / 2;
    private long requestsTaken;
    /** Retry budget of the settings, null where they have none: retries against the requests taken. */
    private final SlidingWindowBudget retryBudget;
    /** Attempts in flight, and some that have ended, by when they hang. */
    private final OverdueQueue<Attempt> hangChecks = new OverdueQueue<>(a -> a.sentAt, a -> a.hangsAt);
    private double meanUtilization = Double.NaN, meanOthersInFlight = Double.NaN, admitProbability = 1;
    private double probeTokens, probeMicros;
    private long startedAt, safeRequestAt, distrustedAt, trustedIdle = Long.MAX_VALUE, queueingLoggedAt;

    private int cellCount, homeZone, ejectedCount, discoveryFailures;

    /** A server and all that this instance knows of it; survives a rebuild of the tree. */
    private static final class Backend extends SubsetTree.Member {
        final long id;
        Server entry;
        boolean ready, listed;
        /** Position in this instance's own stable order of servers. */
        final long order;
        /** Latency in units of the typical latency: peak EWMA (NaN: no sample) and plain EWMA. */
        double peakLatency = Double.NaN, meanLatency = 1;
        long sampledAt;
        final ArrayDeque<Attempt> inFlight = new ArrayDeque<>();
        int failures, backoff, suspectedAttempts;
        /** Ejected if above 0: no request before that time, then one trial request. */
        long ejectedUntil;
        double limit = INITIAL_LIMIT;
        long limitCutAt, pausedUntil, nextSendAt, reportedAt, probedAt, suspectedAt;
        double othersInFlight = Double.NaN, utilization = Double.NaN, externalLoad;
        /** When its connection last worked, 0 if never; when a new one may be tried; when it was back after a crash. */
        long usedAt, connectAt, restartedAt;
        int connectFailures;
        boolean connectionOpened, maybeDown, refusesLongLived;
        final FailureRates.ServerRates faults;

        Backend(long id, int rank, FailureRates.ServerRates faults) {
            this.id = id;
            order = mix(id, rank);
            this.faults = faults;
        }

    }

    private static final class Attempt {
        final Pending pending;
        final Backend server;
        final int number;
        final long sentAt, idleMicros;
        final double typical, load, expected;
        final long hangsAt;
        final boolean newConnection;
        boolean suspected;
        Result result;

        Attempt(Pending pending, Backend server, long now, double typical, double load, boolean warm) {
            this.pending = pending;
            this.server = server;
            this.typical = typical;
            this.load = load;
            number = pending.attempts.size();
            sentAt = now;
            expected = typical * Math.max(1, server.meanLatency) * (1 + load);
            hangsAt = now + 1 + (long) (HANG_FACTOR * expected);
            newConnection = !warm;
            idleMicros = warm ? now - server.usedAt : 0;
        }
    }

    /** A request from its arrival until the last of its attempts has ended. */
    private static final class Pending extends PendingRequestQueue.Item {
        Request request;
        RequestClass requestClass;
        long arrivedAt, targetAt, hashSeed;
        double hintScale;
        boolean ended, streaming, beyondShare;
        int classIndex, tenant, cell, inFlight, probeRounds, maxAttempts;
        final List<Attempt> attempts = new ArrayList<>(2);
    }

    public SubsetLoadBalancer(Settings settings, Actions actions) {
        this.settings = settings;
        this.actions = actions;
        limits = settings.limits();
        Rules rules = settings.rules();
        retryBudget = rules.retryWindowMicros() == 0 ? null
                : new SlidingWindowBudget(rules.retryWindowMicros(), rules.retryFloor(), rules.retriesPerRequest());
        random = new SplittableRandom(settings.seed());
        zones = Math.max(1, settings.zones().size());
        applyClasses(List.of());
        faults = new FailureRates(FAULT_DECAY * targetMicros, POOL_WEIGHT);
        tenantShares = new WeightedAccounts(settings.tenants().stream().map(Tenant::share).toList(), SHARE_SLACK);
        tenants = Math.max(1, settings.tenants().size());
        rateDecayMicros = 2.0 * Math.max(1, rules.fallMicros());
        rate = new DecayingMean(rateDecayMicros, 0);
        setupMicros = new DecayingMean(FAULT_DECAY * targetMicros, SETUP_WEIGHT);
        boolean probing = limits.probing() && settings.reports() != ReportSource.NONE;
        probesPerRequest = !probing ? 0 : Math.min(4, PROBE_BUDGET / Math.max(settings.probePrice(), 1e-6));
    }

    /** Applies the classes of the settings; the typical latency stays where the same class keeps its number. */
    private void applyClasses(List<RequestClass> before) {
        List<RequestClass> classes = settings.classes();
        typicalMicros = Arrays.copyOf(typicalMicros, classes.size());
        double targetSum = 0, classCount = 0;
        for (int i = 0; i < classes.size(); i++) {
            RequestClass c = classes.get(i);
            if (c == RequestClass.REMOVED) continue;
            double target = Math.max(1, c.targetMicros() > 0 ? c.targetMicros() : c.deadlineMicros());
            boolean known = i < before.size() && before.get(i).name().equals(c.name());
            typicalMicros[i] = known ? typicalMicros[i] : target * INITIAL_LATENCY;
            targetSum += target;
            classCount++;
        }
        targetMicros = targetSum / classCount;
    }

    /** Open requests keep their class and their number of attempts. */
    @Override
    public void reconfigure(long now, Settings next) {
        List<RequestClass> before = settings.classes();
        settings = next;
        limits = next.limits().with(limits.maxOpen(), limits.maxQueued(), limits.maxConnections());
        applyClasses(before);
    }

    // ---- Lists and the subset tree

    @Override
    public void servers(long now, ListKind kind, List<Server> list) {
        if (settings.discoveryOnAsk() && kind == ListKind.CACHED) {
            // All instances of a fleet may start at once, and discovery sends only so many lines a second.
            double spread = Math.min(0.8, list.size() * (double) settings.replicas() / DISCOVERY_LINES);
            long wait = (long) (spread * settings.rules().discoveryIntervalMicros()) + 20 * settings.tickMicros();
            schedule(now + random.nextLong(1 + wait), DISCOVERY, null);
        }
        if (kind == ListKind.FAILED) {
            // Keeps the list and asks again, with jittered backoff within four discovery intervals.
            double wait = settings.rules().discoveryIntervalMicros() / 8.0 * (1 << Math.min(discoveryFailures++, 3));
            schedule(now + 1 + (long) (wait * (0.5 + random.nextDouble())), DISCOVERY, null);
            if (discoveryFailures == 1)
                actions.log("discovery failed: keeping the last list of " + tree.size() + " ready servers");
            return;
        }
        discoveryFailures = 0;
        if (startedAt == 0) startedAt = now;
        if (kind != ListKind.CHANGES) for (Backend b : backends.values()) b.listed = false;
        for (Server entry : list) {
            Backend b = backends.get(entry.id());
            if (b == null || b.entry.startMicros() != entry.startMicros()) b = newBackend(entry.id(), b);
            boolean ready = entry.phase() == Phase.READY;
            boolean moved = ready != b.ready || b.entry == null || b.entry.zone() != entry.zone();
            b.entry = entry;
            b.ready = ready;
            b.listed = entry.phase() != Phase.REMOVED;
            if (moved) placeInTree(b);
            if (!b.listed) removeBackend(b);
        }
        if (kind != ListKind.CHANGES) {
            for (Backend b : List.copyOf(backends.values())) if (!b.listed) removeBackend(b);
        }
        updateCells(now);
        readmitBeyondShare();
        dispatchQueue(now, null);
    }

    /** Removes a server that is no longer listed; attempts in flight to it may still be answered. */
    private void removeBackend(Backend b) {
        b.ready = false;
        placeInTree(b);
        if (b.inFlight.isEmpty()) backends.remove(b.id, b);
    }

    /** A new id or start time means a new process: nothing learned about the old one applies to it. */
    private Backend newBackend(long id, Backend old) {
        if (old != null) {
            old.listed = false;
            removeBackend(old);
        }
        backends.put(id, new Backend(id, settings.rank(), faults.new ServerRates()));
        return backends.get(id);
    }

    /** Moves a server to its place in the tree: under its zone and cell if it is ready, else out of the tree. */
    private void placeInTree(Backend b) {
        if (b.isInTree()) tree.remove(b);
        if (!b.ready) clearEjection(b);
        if (!b.ready) return;
        int zone = b.entry.zone() < zones ? Math.max(SubsetTree.ANY, b.entry.zone()) : SubsetTree.ANY;
        tree.add(b, manyReplicas ? b.order : mix(b.id, -1), zone, cellOf(b));
    }

    private int cellOf(Backend b) {
        return jump(mix(b.id, 0), Math.max(1, cellCount));
    }

    /** Updates cell count and home zone. A new count must differ enough, so that flapping lists move no servers. */
    private void updateCells(long now) {
        int count = tree.size();
        int wanted = Math.max(count < 4 ? 1 : 2, (int) (0.5 + count / (CELL_SERVERS_PER_ZONE * zones)));
        boolean many = settings.replicas() > count;
        if (many != manyReplicas || cellCount == 0 || Math.abs(wanted - cellCount) > cellCount * CELL_HYSTERESIS) {
            boolean countChanged = wanted != cellCount, noneMoving = relabelQueue.isEmpty();
            if (many != manyReplicas) tree.clear();
            relabelQueue.clear();
            relabelQueue.addAll(backends.values());
            int batch = many == manyReplicas ? RELABEL_BATCH : relabelQueue.size();
            manyReplicas = many;
            cellCount = wanted;
            paths.clear();
            if (countChanged) assignTenantCells();
            if (noneMoving || batch > RELABEL_BATCH) relabel(now, batch);
        }
        int zone = chooseHomeZone();
        if (zone != homeZone) paths.clear();
        homeZone = zone;
    }

    private void relabel(long now, int batch) {
        for (int i = 0; i < batch && !relabelQueue.isEmpty(); i++) {
            Backend b = relabelQueue.pollFirst();
            if (b.ready && (!b.isInTree() || b.labels[1] != cellOf(b))) placeInTree(b);
        }
        if (!relabelQueue.isEmpty()) schedule(now + 1, CELLS, null);
    }

    /** A tenant's cells are the same at every instance. Where they hold more servers than this instance can keep
     * connections to, it uses only some of them; other instances use others. */
    private void assignTenantCells() {
        tenantCells = new int[tenants][];
        ownCells = new int[tenants][];
        int maxOwnCells = (int) Math.max(2, limits.maxConnections() / (2 * CELL_SERVERS_PER_ZONE));
        for (int t = 0; t < tenantCells.length; t++) {
            double share = t < settings.tenants().size() ? settings.tenants().get(t).share() : 1;
            int count = Math.min(cellCount, Math.max(2, (int) Math.ceil(TENANT_CELL_FACTOR * share * cellCount)));
            tenantCells[t] = Arrays.copyOf(ranked(~t, IntStream.range(0, cellCount).toArray()), count);
            ownCells[t] = count <= maxOwnCells ? tenantCells[t]
                    : Arrays.copyOf(ranked(settings.rank(), tenantCells[t]), maxOwnCells);
        }
    }

    /** A cell for an id, weighted by the cells' servers in the home zone: by weighted rendezvous hashing, or, among
     * many cells, the first of a sequence of hashed cells that a second hash accepts in proportion to its weight. */
    private int chooseCell(long id, int[] candidates) {
        int best = candidates[0];
        double bestScore = Double.NEGATIVE_INFINITY;
        for (int i = 0; i < Math.min(MAX_SCAN, candidates.length); i++) {
            int cell = candidates.length <= MAX_SCAN ? candidates[i] : candidates[jump(mix(id, i), candidates.length)];
            int weight = tree.node(homeZone, cell).size();
            if (candidates.length > MAX_SCAN && uniform(id, ~i) * 2 * CELL_SERVERS_PER_ZONE < weight) return cell;
            double score = Math.log(uniform(id, cell)) / (weight + 0.01);
            if (score > bestScore) best = cell;
            bestScore = Math.max(bestScore, score);
        }
        return best;
    }

    /** The zone used: where the own has too few servers, some instances use another. Cost: needless crossings. */
    private int chooseHomeZone() {
        double fair = tree.size() / (double) zones;
        int ownZone = Math.min(Math.max(0, settings.zone()), zones - 1);
        if (!manyReplicas || zoneSize(ownZone) >= fair * uniform(settings.rank(), 0)) return ownZone;
        double spare = 0;
        for (int z = 0; z < zones; z++) spare += Math.max(0, zoneSize(z) - fair);
        double left = spare * uniform(settings.rank(), 1);
        for (int z = 0; z < zones; z++) {
            left -= Math.max(0, zoneSize(z) - fair);
            if (left < 0) return z;
        }
        return ownZone;
    }

    private int zoneSize(int zone) {
        return tree.node(zone, SubsetTree.ANY).size();
    }

    // ---- Requests

    @Override
    public void request(long now, Request request) {
        Pending p = new Pending();
        p.request = request;
        p.classIndex = Math.min(Math.max(0, request.requestClass()), typicalMicros.length - 1);
        p.requestClass = settings.classes().get(p.classIndex);
        p.tenant = Math.min(Math.max(0, request.tenant()), tenants - 1);
        p.arrivedAt = now;
        if (p.requestClass.effect() == Effect.SAFE) safeRequestAt = now;
        p.maxAttempts = limits.maxAttempts();
        p.targetAt = now + p.requestClass.targetMicros() + (long) (p.requestClass.hintFactor() * request.hintMicros());
        if (requests.putIfAbsent(request.id(), p) != null) return;
        if (request.hintMicros() > 0) {
            typicalHint += typicalHint == 0 ? request.hintMicros()
                    : ANSWER_WEIGHT * (request.hintMicros() - typicalHint);
        }
        p.hintScale = request.hintMicros() <= 0 || typicalHint <= 0 ? 1
                : 0.5 + 0.5 * Math.min(8, request.hintMicros() / typicalHint);
        p.hashSeed = random.nextLong();
        p.beyondShare = tenantShares.spend(p.tenant);
        int[] cells = cellCount == 0 ? new int[] {0} : hasAffinityKey(p) ? tenantCells[p.tenant] : ownCells[p.tenant];
        p.cell = hasAffinityKey(p) ? chooseCell(request.key(), cells)
                : manyReplicas ? chooseCell(settings.rank(), cells) : cells[random.nextInt(cells.length)];
        retryTokens = Math.min(MAX_RETRY_TOKENS, retryTokens + RETRY_RATIO);
        requestsTaken++;
        rate.addToRate(now, admitProbability);
        checkHanging(now);
        if (requests.size() > limits.maxOpen()) shedLeastValuable(now, p, null);
        for (NamedLimit b : request.policy().limits()) {
            if (openByLimit.add(b.name(), 1) > b.maxOpen() && !p.ended) shedLeastValuable(now, p, b);
        }
        if (p.ended) return;
        if (request.deadlineMicros() - now <= targetMicros / 20 + 2 * settings.tickMicros()) {
            // No time is left for a probe or a timer (incident i0f9bed: an arrival at its own deadline).
            endRequest(now, p);
        } else if (manyReplicas && probesPerRequest == 0 && random.nextDouble()
                >= Math.pow(admitProbability, p.beyondShare ? 1 / settings.overShareWorth() : 1)) {
            // Admission control: an instance with few requests sees no queue, only late answers. It refuses early,
            // first what is beyond a tenant's share, and may refuse what a better server could have served.
            endRequest(now, p);
        } else if (probeCandidates(now, p)) {
            schedule(now + probeWaitMicros(), PROBE, p);
        } else sendOrQueue(now, p);
    }

    /** Past the limit of open requests, in all or under this named limit, refuses the queued or new request of
     * least value; of equals the oldest, since it has the least time left. */
    private void shedLeastValuable(long now, Pending arriving, NamedLimit limit) {
        Pending least = null;
        for (int lane = 0; lane < QUEUES_PER_CLASS * typicalMicros.length; lane++) {
            Pending p = queue.oldest(lane, x -> x != arriving && countsToward(x, limit));
            if (p != null && (least == null || value(p) < value(least)
                    || value(p) == value(least) && queue.isBefore(p, least))) {
                least = p;
            }
        }
        endRequest(now, least == null || value(arriving) < value(least) ? arriving : least);
    }

    private static boolean countsToward(Pending p, NamedLimit limit) {
        if (limit == null) return true;
        for (NamedLimit b : p.request.policy().limits()) if (b.name().equals(limit.name())) return true;
        return false;
    }

    /** Past the limit of queued requests, refuses one as past the limit of open requests. */
    private void enforceQueueLimits(long now, Pending arriving) {
        if (queue.size() > limits.maxQueued()) shedLeastValuable(now, arriving, null);
        for (NamedLimit b : arriving.request.policy().limits()) {
            if (arriving.isQueued() && queuedByLimit.get(b.name()) > b.maxQueued()) shedLeastValuable(now, arriving, b);
        }
    }

    private void setQueued(Pending p, boolean queued) {
        if (queued == p.isQueued()) return;
        int offset = p.request.policy().longLived() ? 2 : p.beyondShare ? 1 : 0;
        if (queued) queue.add(p, QUEUES_PER_CLASS * p.classIndex + offset);
        else queue.remove(p);
        for (NamedLimit b : p.request.policy().limits()) queuedByLimit.add(b.name(), queued ? 1 : -1);
    }

    private double value(Pending p) {
        return p.requestClass.worth() * (p.beyondShare ? settings.overShareWorth() : 1);
    }

    private long probeWaitMicros() {
        return (long) Math.min(probeMicros * 1.5 + settings.tickMicros(), targetMicros * PROBE_FRESHNESS);
    }

    /** Where servers keep state for keys, the key replaces the random choice. */
    private boolean hasAffinityKey(Pending p) {
        return settings.keyAffinity() && p.request.key() >= 0;
    }

    /** Where only probes tell the load, probes servers first; the caller delays the request by a probe's time. */
    private boolean probeCandidates(long now, Pending p) {
        if (probesPerRequest == 0 || tree.size() == 0) return false;
        if (p.probeRounds++ == 0) probeTokens = Math.min(4 * probesPerRequest, probeTokens + probesPerRequest);
        int probed = 0;
        for (IndexedMembers<Backend> node : path(p)) {
            for (int i = 0; i < Math.min(MAX_DRAWS, node.size()); i++) {
                if (probed >= PROBES_PER_ROUND || probeTokens < 1) break;
                Backend b = node.get(node.size() <= MAX_DRAWS ? i : random.nextInt(node.size()));
                boolean stale = b.probedAt == 0 || now - b.probedAt > targetMicros * PROBE_FRESHNESS;
                if (stale && connectable(now, p, b) && b.ejectedUntil == 0 && now >= b.pausedUntil) {
                    probeTokens--;
                    b.probedAt = now;
                    actions.probe(b.id);
                    probed++;
                }
            }
        }
        return probed > 0;
    }

    private List<IndexedMembers<Backend>> path(Pending p) {
        int cell = p.cell % cellCount;
        return paths.computeIfAbsent(cell, c -> List.of(tree.node(homeZone, c), tree.node(SubsetTree.ANY, c),
                tree.node(homeZone, SubsetTree.ANY), tree.node(SubsetTree.ANY, SubsetTree.ANY)));
    }

    /** Sends the request, or queues it. */
    private void sendOrQueue(long now, Pending p) {
        if (p.ended || p.isQueued()) return;
        setQueued(p, true);
        dispatchQueue(now, null);
        if (p.isQueued() && closing) endRequest(now, p);
        else if (p.isQueued()) enforceQueueLimits(now, p);
        if (!p.isQueued()) return;
        schedule(Math.max(now + 1, queueDeadline(p)), QUEUE, p);
        scheduleQueueCheck(now);
        if (now - queueingLoggedAt < 10 * targetMicros) return;
        queueingLoggedAt = now;
        actions.log("holding: " + queue.size() + " requests wait, no server has room");
    }

    /** One timer for the whole queue: what blocks the queued requests may end by the passing of time alone. */
    private void scheduleQueueCheck(long now) {
        if (queueTimerSet || queue.size() == 0) return;
        queueTimerSet = true;
        schedule(now + 1 + (long) (targetMicros * QUEUE_CHECK), QUEUE, null);
    }

    /** Until when a queued request may still be of value; after that it is refused, which costs nothing.
     * While more than half of the limit of open requests is in use, a request that no server can have run is refused
     * before half of its time: its client can still retry, and its connection is free for requests still in time. */
    private long queueDeadline(Pending p) {
        long end = p.request.deadlineMicros() - 2 * settings.tickMicros();
        if (firstPossiblyRun(p) == null && requests.size() > limits.maxOpen() / 2) {
            end = Math.min(end, p.arrivedAt + (long) (MAX_QUEUE_TIME * (p.request.deadlineMicros() - p.arrivedAt)));
        }
        if (p.requestClass.lateShare() == 0) end = Math.min(end, p.targetAt - (long) typicalLatency(p));
        return end;
    }

    /** Serves the queue while servers have room: requests within a tenant's share first, long-lived ones last, of
     * equals the newest. A server that became free is tried directly: draws from a large fleet would miss it. */
    private void dispatchQueue(long now, Backend freed) {
        while (queue.size() > 0) {
            Pending best = queue.newest();
            Backend server = chooseServer(now, best);
            if (server == null && freed != null && freed.isInTree() && hasRoom(now, best, freed, tree.size())) {
                server = freed;
            }
            if (server == null) return;
            setQueued(best, false);
            send(now, best, server, 0);
        }
    }

    /** Sends a hedged request beside the attempts in flight, where operators enabled it: after their hedge delay,
     * of a request that may run twice, to a server with room, within attempt limit and retry budget like a retry. */
    private void sendHedge(long now, Pending p) {
        int maxHedges = p.request.policy().maxHedges();
        boolean hedge = !p.isQueued() && p.inFlight > 0 && p.inFlight <= maxHedges
                && p.requestClass.effect() != Effect.UNSAFE;
        Backend server = hedge && p.attempts.size() < maxAttempts(p) && retryAllowed(now) ? chooseServer(now, p) : null;
        if (server != null) send(now, p, server, maxHedges);
    }

    /** The most attempts of a request: the limit of the settings, or fewer where the operators set fewer. */
    private int maxAttempts(Pending p) {
        return Math.max(1, Math.min(p.maxAttempts, p.request.policy().maxAttempts()));
    }

    // ---- The pick

    private double typicalLatency(Pending p) {
        return typicalMicros[p.classIndex] * p.hintScale;
    }

    /** Starts at the narrowest node; goes to a wider one where it is empty, and spills over where it costs more. */
    private Backend chooseServer(long now, Pending p) {
        if (tree.size() == 0) return null;
        Backend best = null;
        double bestCost = 0;
        // While idle connections die, using fewer servers keeps each connection busy.
        int subsetSize = (trustedIdleMicros(now) == Long.MAX_VALUE ? SPARE_SERVERS : 0)
                + (int) Math.ceil(rate(now) * typicalLatency(p));
        if (!manyReplicas) subsetSize = Integer.MAX_VALUE;
        for (IndexedMembers<Backend> node : path(p)) {
            Backend pick = node.size() > MAX_SCAN && (!manyReplicas || hasAffinityKey(p))
                    ? pickByDraws(now, p, node, best != null) : pickByScan(now, p, node, subsetSize, best != null);
            if (pick == null || pick == best) continue;
            double cost = cost(now, p, pick);
            boolean longLivedAtHome = p.request.policy().longLived() && pick.entry.zone() == homeZone;
            if (best == null || bestCost > cost * (longLivedAtHome ? LONG_LIVED_SPILL_RATIO : SPILL_RATIO)) {
                best = pick;
                bestCost = cost;
            }
        }
        return best;
    }

    /** Power of two choices: the cheaper of two random ready servers (reservoir sampling). By key, the two first by
     * rendezvous hashing, and the first unless it costs much more; in a wider node, the cheapest. With more instances
     * than servers, only the first ones in the instance's own order are candidates (deterministic subsetting), for few
     * connections; the next replace those without room. Drawback: fewer servers to choose from. */
    private Backend pickByScan(long now, Pending p, IndexedMembers<Backend> node, int subsetSize, boolean cheapest) {
        boolean keyed = !cheapest && hasAffinityKey(p);
        int count = 0, maxCount = keyed ? node.size() : Math.min(subsetSize, node.size());
        Backend first = null, second = null;
        for (int i = 0; i < node.size() && count < maxCount && i < MAX_DRAWS + SPARE_SERVERS; i++) {
            Backend b = node.get(i);
            if (!hasRoom(now, p, b, maxCount)) continue;
            if (!cheapest && (b.ejectedUntil != 0 || slowStartShare(now, b) < 1)) return b;
            int slot = count < 2 ? count : random.nextInt(count + 1);
            if (count++ == 1 && !cheapest && !keyed && random.nextBoolean()) {
                // Of two with equal cost the first wins: without the swap the second member never would.
                second = first;
                slot = 0;
            }
            if (cheapest) {
                if (first == null || cost(now, p, b) < cost(now, p, first)) first = b;
            } else if (!keyed) {
                first = slot == 0 ? b : first;
                second = slot == 1 ? b : second;
            } else if (first == null || mix(p.request.key(), b.id) > mix(p.request.key(), first.id)) {
                second = first;
                first = b;
            } else if (second == null || mix(p.request.key(), b.id) > mix(p.request.key(), second.id)) {
                second = b;
            }
        }
        double bias = keyed ? SPILL_RATIO : 1;
        return second == null || cost(now, p, first) <= bias * cost(now, p, second) ? first : second;
    }

    /** The same in a node too large to be scanned: a bounded number of draws finds two candidates with room, by key
     * along the ring of members from the key's hash. Draws skip ejected servers, which have trials round robin, and
     * cold ones: one member is drawn per request and, if cold, has its slow-start share, as in a scan of all. */
    private Backend pickByDraws(long now, Pending p, IndexedMembers<Backend> node, boolean cheapest) {
        int size = node.size();
        for (int i = 0; !cheapest && i < Math.min(MAX_TRIALS, node.markedCount()); i++) {
            Backend b = node.nextMarked();
            if (hasRoom(now, p, b, size)) return b;
        }
        Backend drawn = node.get((int) (uniform(p.hashSeed, size) * size));
        if (!cheapest && drawn.ejectedUntil == 0 && slowStartShare(now, drawn) < 1 && hasRoom(now, p, drawn, 1)) {
            return drawn;
        }
        int ringStart = !cheapest && hasAffinityKey(p) ? node.indexFrom(mix(p.request.key(), -1)) : -1;
        int wanted = cheapest ? CHEAPEST_DRAWS : 2;
        Backend first = null, second = null;
        for (int i = 0; i < MAX_DRAWS && wanted > 0; i++) {
            Backend b = node.get(ringStart >= 0 ? (ringStart + i) % size : random.nextInt(size));
            if (b == first || b.ejectedUntil != 0 || slowStartShare(now, b) < 1 || !hasRoom(now, p, b, size)) continue;
            wanted--;
            if (first == null) first = b;
            else if (second == null || cost(now, p, b) < cost(now, p, second)) second = b;
        }
        double bias = ringStart >= 0 ? SPILL_RATIO : 1;
        return second == null || cost(now, p, first) <= bias * cost(now, p, second) ? first : second;
    }

    private double cost(long now, Pending p, Backend b) {
        double successRate = 1 - b.faults.get(now, p.classIndex);
        boolean longLived = p.request.policy().longLived();
        double cost = (longLived ? 1 + load(now, b) + EXTERNAL_LOAD_WEIGHT * b.externalLoad
                : relativeLatency(now, b) * (1 + load(now, b) + b.externalLoad)) / (successRate * successRate + 0.01);
        if (!Double.isNaN(meanUtilization)) cost /= 1.1 - Math.min(1, utilization(now, b));
        if (manyReplicas && !hasWarmConnection(now, b))
            cost *= NEW_CONNECTION_COST + SETUP_COST * setupMicros.get(now) / targetMicros;
        return cost;
    }

    private double utilization(long now, Backend b) {
        if (Double.isNaN(b.utilization)) return meanUtilization;
        return meanUtilization + (b.utilization - meanUtilization)
                * Math.exp(-(now - b.reportedAt) / (DECAY * targetMicros));
    }

    /** Whether a recently used connection exists; one idle for as long as those that died is not trusted. */
    private boolean hasWarmConnection(long now, Backend b) {
        return b.usedAt != 0 && now - b.usedAt < Math.min(trustedIdleMicros(now), limits.idleMicros());
    }

    /** While connection set-ups are too slow, a new connection brings no answer in time. But only a set-up can show
     * that they are fast again: so a server with no attempt in flight is tried all the same, with more instances than
     * servers once per latency target. Drawback: late answers where set-ups are still slow. */
    private boolean connectable(long now, Pending p, Backend b) {
        if (hasWarmConnection(now, b)) return true;
        boolean trial = b.inFlight.isEmpty() && (!manyReplicas || now - setupMicros.updatedAt() > targetMicros);
        return now >= b.connectAt && (trial || now + setupMicros.get(now) + typicalLatency(p) <= p.targetAt);
    }

    private long trustedIdleMicros(long now) {
        return now - distrustedAt < FAULT_DECAY * targetMicros ? trustedIdle : Long.MAX_VALUE;
    }

    /** Whether an attempt hangs and the server has not answered since that was seen. Once it has, the connection or
     * the request is to blame. Drawback: a slow server is sent more, within its limit. */
    private static boolean silent(Backend b) {
        return b.suspectedAttempts > 0 && b.usedAt <= b.suspectedAt;
    }

    /** The oldest attempt in flight that tells something about the server; null if there is none. */
    private static Attempt oldestInformative(Backend b) {
        if (silent(b)) return b.inFlight.peekFirst();
        for (Attempt a : b.inFlight) if (!a.suspected) return a;
        return null;
    }

    /** Peak EWMA, and at least the age of the oldest attempt, since a hanging server never gives a sample. */
    private double relativeLatency(long now, Backend b) {
        Attempt oldest = oldestInformative(b);
        double age = oldest == null ? 0 : (now - oldest.sentAt) / (oldest.typical * (1 + oldest.load));
        return Math.max(estimate(now, b), age);
    }

    /** Starts at the mean of the server's kind and zone and decays towards it between samples. */
    private double estimate(long now, Backend b) {
        double pooled = kindLatency.get(b.entry.kind()) * zoneLatency.get(b.entry.zone());
        if (Double.isNaN(b.peakLatency)) return pooled;
        return pooled + (b.peakLatency - pooled) * Math.exp(-(now - b.sampledAt) / (2 * DECAY * targetMicros));
    }

    /** Own requests in flight, and those of others by the server's last report, which decays to the mean with age. */
    private double load(long now, Backend b) {
        if (Double.isNaN(meanOthersInFlight)) return b.inFlight.size();
        double last = Double.isNaN(b.othersInFlight) ? meanOthersInFlight : b.othersInFlight;
        double decay = Math.exp(-2 * (now - b.reportedAt) / targetMicros);
        return b.inFlight.size() + meanOthersInFlight + (last - meanOthersInFlight) * decay;
    }

    /** A server that restarted before the list says so is as cold as one that the list shows as new. */
    private double slowStartShare(long now, Backend b) {
        long start = b.maybeDown ? now : Math.max(b.entry.startMicros(), b.restartedAt);
        return settings.rules().slowStartShare(now, start);
    }

    /** Admission control of one server, including slow start and half-open trials. */
    private boolean hasRoom(long now, Pending p, Backend b, int candidates) {
        if (now < b.pausedUntil || silent(b) || !mayRunOn(now, p, b) || !connectable(now, p, b)) return false;
        if (b.ejectedUntil != 0) return now >= b.ejectedUntil && halfOpen(now, p, b);
        double warmShare = slowStartShare(now, b);
        boolean room = b.inFlight.size() < Math.max(1, b.limit * warmShare);
        if (warmShare < 1 && !(room && slowStartAllows(now, p, b, warmShare, candidates))) return false;
        if (!Double.isNaN(meanOthersInFlight)) {
            double load = load(now, b);
            double end = now + HEADROOM * typicalLatency(p) * b.meanLatency * (1 + load)
                    + (hasWarmConnection(now, b) ? 0 : setupMicros.get(now));
            return end <= p.targetAt || load < 1 && p.requestClass.lateShare() > 0;
        }
        return b.inFlight.size() < b.limit && (manyReplicas || now >= b.nextSendAt);
    }

    /** Slow start that holds for the sum over all instances: each request that comes to a node has one chance, of
     * the given share of an even part. Nothing is saved up, so it causes no bursts. In a mostly cold fleet the chance
     * rises with the mean coldness: else the few warm servers would get all that cold ones may not take. */
    private boolean slowStartAllows(long now, Pending p, Backend b, double share, int candidates) {
        double factor = manyReplicas ? admitProbability : Math.min(MAX_SLOW_START, 1 / meanWarmShare.get(now,
                () -> backends.values().stream().filter(x -> x.ready)
                .mapToDouble(x -> x.ejectedUntil != 0 ? 0 : slowStartShare(now, x)).average().orElse(1)));
        return uniform(p.hashSeed, b.id) < share * factor / Math.max(1, candidates);
    }

    /** An ejected server is tried as if it were cold, less often with each failure, at first by safe requests only. */
    private boolean halfOpen(long now, Pending p, Backend b) {
        if (b.inFlight.size() > 0) eject(now, b, "still no answer");
        if (now < b.ejectedUntil) return false;
        double safeOnlyUntil = Math.min(safeRequestAt, b.ejectedUntil) + targetMicros * (1 << MAX_BACKOFF);
        if (!p.attempts.isEmpty() || p.requestClass.effect() != Effect.SAFE && now < safeOnlyUntil) return false;
        return slowStartAllows(now, p, b, settings.rules().initialSlowStartShare() / b.backoff, 1);
    }

    /** Requests per microsecond that this instance accepts and admits. */
    private double rate(long now) {
        return rate.get(now) / (1 - Math.exp(-Math.max(targetMicros, now - startedAt) / rateDecayMicros));
    }

    // ---- Sending: every attempt passes through here

    /** Whether an attempt of this request may go to this server by the rules on effects; never twice to one server. */
    private boolean mayRunOn(long now, Pending p, Backend b) {
        if (b.refusesLongLived && p.request.policy().longLived()) return false;
        for (Attempt a : p.attempts) if (a.server == b) return false;
        Attempt first = firstPossiblyRun(p);
        if (first == null || p.requestClass.effect() == Effect.SAFE) return true;
        boolean late = now - first.sentAt >= p.requestClass.dedupWindowMicros() - settings.tickMicros();
        if (p.requestClass.effect() == Effect.UNSAFE || late) return false;
        return switch (p.requestClass.group()) {
            case ALL -> true;
            case ZONE -> first.server.entry.zone() == b.entry.zone();
            case CELL -> first.server.entry.cell() == b.entry.cell();
        };
    }

    private boolean mayRefuse(Pending p) {
        boolean deduplicated = p.requestClass.effect() == Effect.KEYED && p.requestClass.group() == Group.ALL;
        return p.requestClass.effect() == Effect.SAFE || deduplicated || firstPossiblyRun(p) == null;
    }

    /** The first attempt that may have run or may still run. */
    private static Attempt firstPossiblyRun(Pending p) {
        for (Attempt a : p.attempts) if (a.result == null || !a.result.provesNotRun) return a;
        return null;
    }

    /** The only place that sends. The checks repeat those of the pick, so that no path can bypass them. */
    private void send(long now, Pending p, Backend b, int alsoInFlight) {
        long left = p.request.deadlineMicros() - now;

        if (p.ended || p.streaming || !b.ready || p.inFlight > alsoInFlight || !mayRunOn(now, p, b) || left <= 0
                || p.attempts.size() >= maxAttempts(p) || !p.attempts.isEmpty() && !retryAllowed(now)) {
            if (!p.ended && p.inFlight == 0) endRequest(now, p);
            return;
        }
        double load = Double.isNaN(meanOthersInFlight) ? 0 : load(now, b);
        Attempt a = new Attempt(p, b, now, typicalLatency(p), load, hasWarmConnection(now, b));
        if (a.newConnection && b.connectionOpened && b.inFlight.size() == 0) {
            b.connectionOpened = false;
            b.usedAt = 0;
            actions.closeIdle(b.id);
        }
        if (a.number > 0) {
            retryTokens--;
            if (retryBudget != null) retryBudget.spend(now, requestsTaken);
        }
        hangChecks.add(a);
        p.attempts.add(a);
        p.inFlight++;
        b.inFlight.addLast(a);

        RequestPolicy terms = p.request.policy();
        actions.send(p.request.id(), b.id, terms.attemptTimeoutMicros());
        if (terms.maxHedges() > 0 && limits.hedging()) schedule(now + terms.hedgeDelayMicros(), HEDGE, p);
    }

    /** The retry budget. With a floor below one retry no single retry is sure to fit, so there are none. */
    private boolean retryAllowed(long now) {
        return retryBudget == null ? retryTokens >= 1
                : retryBudget.allows(now, requestsTaken) && settings.rules().retryFloor() >= 1;
    }

    /** The only place where this instance ends a request: by a refusal if it cannot have run or may repeat. */
    private void endRequest(long now, Pending p) {
        if (mayRefuse(p)) {
            double retryAfter = limits.retryAdvice() ? targetMicros * (1 + random.nextDouble()) / 4 : 0;
            actions.refuse(p.request.id(), Math.min((long) retryAfter, limits.maxRetryAdviceMicros()));
        } else {
            actions.fail(p.request.id());
        }
        finish(p);
    }

    /** The request has its final answer, whoever gave it: attempts still in flight are cancelled. */
    private void finish(Pending p) {
        if (p.ended) return;
        p.ended = true;
        setQueued(p, false);
        for (NamedLimit b : p.request.policy().limits()) openByLimit.add(b.name(), -1);
        boolean cancel = limits.cancelling();
        for (Attempt a : p.attempts) if (cancel && a.result == null) actions.cancel(p.request.id(), a.number);
        removeIfDone(p);
    }

    /** Removes a request once the last of its attempts has ended. */
    private void removeIfDone(Pending p) {
        if (p.ended && p.inFlight == 0) requests.remove(p.request.id());
    }

    // ---- Results of attempts

    @Override
    public void outcome(long now, Outcome o) {
        Pending p = requests.get(o.requestId());
        if (p == null || o.attempt() < 0 || o.attempt() >= p.attempts.size()) return;
        Attempt a = p.attempts.get(o.attempt());
        if (a.result != null) return;
        a.result = o.result();
        p.inFlight--;
        a.server.inFlight.remove(a);
        hangChecks.remove(a);
        if (!a.server.listed && a.server.inFlight.isEmpty()) backends.remove(a.server.id, a.server);
        if (a.suspected) a.server.suspectedAttempts--;
        recordOutcome(now, a, o);
        if (o.closed()) {
            finish(p);
        } else if (!p.ended && p.inFlight == 0 && !p.isQueued()) retryOrEnd(now, p);
        removeIfDone(p);
        dispatchQueue(now, a.server);
    }

    /** Retries if effect, attempt limit, retry budget and the time left allow it; else ends the request. */
    private void retryOrEnd(long now, Pending p) {
        boolean mayRetry = now < queueDeadline(p) && p.attempts.size() < maxAttempts(p) && !closing
                && (mayRefuse(p) || p.requestClass.effect() == Effect.KEYED)
                && p.attempts.stream().allMatch(a -> p.request.policy().retryOn().contains(a.result));
        if (mayRetry && retryAllowed(now)) sendOrQueue(now, p);
        else endRequest(now, p);
    }

    private void recordOutcome(long now, Attempt a, Outcome o) {
        Backend b = a.server;
        int c = a.pending.classIndex;
        switch (o.result()) {
            case SERVED -> {
                recordReport(now, b, o.report(), true);
                recordAnswer(now, a, o.elapsedMicros());
                double x = o.elapsedMicros() / (1 + a.load);
                typicalMicros[c] += ANSWER_WEIGHT
                        * (Math.min(x / a.pending.hintScale, 4 * typicalMicros[c]) - typicalMicros[c]);
                // A slow connection set-up says nothing about the server.
                if (a.newConnection && manyReplicas && x > HANG_FACTOR * a.typical) return;
                recordLatency(now, b, x / a.typical);
                b.meanLatency += 5 * ANSWER_WEIGHT * (Math.min(x / a.typical, 4) - b.meanLatency);
                kindLatency.add(b.entry.kind(), Math.min(x / a.typical, 4));
                zoneLatency.add(b.entry.zone(), Math.min(x / a.typical, 4));
                adjustLimit(now, a, o.elapsedMicros() / a.pending.hintScale);
            }
            case FULL -> {
                // A full server is busy, not faulty: cut the limit and pause for about one typical latency.
                b.usedAt = now;
                b.connectionOpened = true;
                b.faults.failed(now, c);
                cutAdmission();
                b.limit = Math.max(1, b.limit * LIMIT_CUT);
                b.pausedUntil = now + (long) (a.typical / 2 + random.nextDouble() * a.typical);
            }
            case NO_CONNECTION -> {
                // At its connection limit, slow to set up, or down: pauses new connections only.
                setupMicros.addToMean(now, 2 * o.elapsedMicros());
                cutAdmission();
                b.usedAt = 0;
                double wait = targetMicros * (1 << Math.min(b.connectFailures++, MAX_BACKOFF));
                // A crashed process refuses connections for a while. Broken connections occur at any server:
                // counted as crashes and so as restarts, they made the whole fleet look cold.
                if (b.connectFailures > 1) b.maybeDown = true;
                b.connectAt = now + (long) (wait * (0.75 + random.nextDouble() / 2));
            }
            case CANCELLED, NOT_SENT -> { }
            default -> {
                // An impatient client's time-out says nothing about the server.
                if (o.result() == Result.TIMED_OUT && o.elapsedMicros() * 2 < HANG_FACTOR * a.expected) return;
                if (o.result() == Result.TIMED_OUT && !a.suspected) markSuspected(now, a, false);
                if (estimate(now, b) * a.typical > LIMIT_TARGET * a.pending.requestClass.targetMicros()) cutAdmission();
                if (o.result() == Result.ERROR) {
                    // It has answered: the connection works, so its idle time before is not to blame.
                    b.faults.failed(now, c);
                    b.usedAt = now;
                    b.connectionOpened = true;
                } else if (a.idleMicros > targetMicros / 4 || a.suspected && b.usedAt > b.suspectedAt) return;
                recordLatency(now, b, Math.max(o.elapsedMicros(), targetMicros) / a.typical);
                if (b.ejectedUntil != 0 || ++b.failures >= EJECTION_FAILURES) eject(now, b, o.result().toString());
            }
        }
    }

    /** An answer clears the suspicions against the server, its connection and the class. */
    private void recordAnswer(long now, Attempt a, long elapsed) {
        Backend b = a.server;
        int c = a.pending.classIndex;
        if (a.newConnection) setupMicros.addToMean(now, Math.max(0, elapsed - a.expected));
        b.usedAt = now;
        b.connectionOpened = true;
        b.connectFailures = 0;
        b.connectAt = 0;
        if (b.maybeDown) b.restartedAt = now;
        b.maybeDown = false;
        b.failures = 0;
        b.faults.succeeded(now, c);
        // The attempt was only slow: neither this connection nor other idle ones had died.
        if (a.suspected && a.idleMicros > 0) trustedIdle = Long.MAX_VALUE;
        if (b.ejectedUntil != 0) {
            b.backoff = Math.max(0, b.backoff - 1);
            clearEjection(b);
            actions.log("server " + b.id + " re-admitted");
        }
        if (elapsed > ADMIT_TARGET * a.pending.requestClass.targetMicros() * a.pending.hintScale) cutAdmission();
        else admitProbability = Math.min(1, admitProbability + ADMIT_GAIN);
    }

    private void cutAdmission() {
        admitProbability = Math.max(MIN_ADMITTED, admitProbability * ADMIT_CUT);
    }

    /** Finds attempts that have had no answer for far longer than expected. */
    private void checkHanging(long now) {
        for (Attempt a; (a = hangChecks.pollOverdue(now, targetMicros / 2)) != null; ) {
            if (a.result == null && !a.suspected && !a.pending.streaming) markSuspected(now, a, true);
        }
    }

    /** An attempt hangs. After an idle period the connection has died, and connections idle for as long are distrusted
     * for a while, at other servers too. While the server answers others, the class is to blame, else the server. */
    private void markSuspected(long now, Attempt a, boolean stillInFlight) {
        Backend b = a.server;
        if (stillInFlight) {
            a.suspected = true;
            b.suspectedAttempts++;
            b.suspectedAt = now;
        }
        b.faults.failed(now, a.pending.classIndex);
        if (b.usedAt <= a.sentAt && a.idleMicros > targetMicros / 4 && b.meanLatency < SPILL_RATIO) {
            trustedIdle = Math.min(trustedIdleMicros(now), a.idleMicros) / 2;
            distrustedAt = now;

            b.usedAt = 0;
            actions.log("idle connections are not trusted: no answer after " + a.idleMicros / 1000 + " ms idle");
            return;
        }

        if (b.usedAt <= a.sentAt) eject(now, b, "no answer for " + (now - a.sentAt) / 1000 + " ms");
    }

    /** Peak EWMA: rises at once, decays with time. */
    private void recordLatency(long now, Backend b, double x) {
        boolean peak = Double.isNaN(b.peakLatency) || x > estimate(now, b);
        b.peakLatency = peak ? x : x + (b.peakLatency - x) * Math.exp(-(now - b.sampledAt) / (DECAY * targetMicros));
        b.sampledAt = now;
    }

    /** AIMD concurrency limit against the latency target: keeps queues so short that answers are in time. While a
     * server reports free cores and the limit holds requests back, it grows by a whole slot, so that a restart or a
     * burst does not cause refusals. Where one request per instance fills a server, no limit of a full one grows. */
    private void adjustLimit(long now, Attempt a, double elapsed) {
        Backend b = a.server;
        // Many instances share few cores: one request of each may be too many. A limit below one spaces out sends.
        b.nextSendAt = now + (long) (elapsed * (1 / Math.min(1, b.limit) - 1));
        double target = a.pending.requestClass.targetMicros();
        if (elapsed > Math.min(Math.max(LIMIT_TARGET * target, LIMIT_TYPICAL * typicalMicros[a.pending.classIndex]),
                LIMIT_MAX * target)) {
            // A server that reports free cores has no queue: a new connection, the network or this process was slow.
            // A limit that is already large is cut all the same, since reports come late.
            boolean mayQueue = Double.isNaN(b.utilization) || utilization(now, b) > BUSY || b.limit > 2 * INITIAL_LIMIT;
            if (a.sentAt >= b.limitCutAt && mayQueue) {
                b.limit = Math.max(manyReplicas ? 1 : MIN_LIMIT, b.limit * LIMIT_CUT);
                b.limitCutAt = now;
            }
        } else if (b.inFlight.size() + 1 >= b.limit / 2
                && (settings.replicas() < CROWD_SIZE || !(utilization(now, b) > FULL_LOAD))) {
            boolean free = !Double.isNaN(b.utilization) && utilization(now, b) < BUSY
                    && b.inFlight.size() + 1 >= b.limit;
            b.limit += b.limit < 1 ? b.limit / 4 : free ? 1 : 1 / b.limit;
        }
    }

    private void recordReport(long now, Backend b, LoadReport report, boolean answer) {
        if (report != null && !Double.isNaN(report.inFlight())) {
            b.othersInFlight = Math.max(0, report.inFlight() - b.inFlight.size());
            meanOthersInFlight = Double.isNaN(meanOthersInFlight) ? b.othersInFlight
                    : meanOthersInFlight + ANSWER_WEIGHT * (b.othersInFlight - meanOthersInFlight);
            b.reportedAt = now;
        }
        if (!answer || settings.reports() != ReportSource.ANSWERS) return;
        if (report != null && !Double.isNaN(report.utilization())) {
            b.utilization = report.utilization();
            meanUtilization = Double.isNaN(meanUtilization) ? b.utilization
                    : meanUtilization + ANSWER_WEIGHT * (b.utilization - meanUtilization);
            b.reportedAt = now;
        } else if (!Double.isNaN(meanUtilization)) {
            // A missing report where reports are usual means that the server is busy, not idle.
            b.utilization = Math.max(utilization(now, b), (1 + meanUtilization) / 2);
            b.reportedAt = now;
        }
    }

    // ---- Outlier ejection and half-open trials

    private void eject(long now, Backend b, String why) {
        if (!b.ready || b.ejectedUntil == 0 && ejectedCount + 1 > MAX_EJECTED_SHARE * tree.size()) return;
        if (b.ejectedUntil == 0) {
            ejectedCount++;
            tree.mark(b, true);
            actions.log("server " + b.id + " ejected: " + why);
        }
        double wait = targetMicros * (1 << b.backoff);
        b.backoff = Math.min(b.backoff + 1, MAX_BACKOFF);
        b.ejectedUntil = now + (long) (wait * (0.75 + random.nextDouble() / 2));
        b.failures = 0;
    }

    /** Keeps to the largest ejected share when others have left; a re-admitted server gets one request at first. */
    private void readmitBeyondShare() {
        while (ejectedCount > MAX_EJECTED_SHARE * tree.size()) {
            Backend next = backends.values().stream().filter(b -> b.ejectedUntil != 0)
                    .min(Comparator.comparingLong(b -> b.ejectedUntil)).orElseThrow();
            clearEjection(next);
            next.limit = Math.min(next.limit, 1);
            actions.log("server " + next.id + " re-admitted: too many are ejected");
        }
    }

    private void clearEjection(Backend b) {
        if (b.ejectedUntil != 0) ejectedCount--;
        tree.mark(b, false);
        b.ejectedUntil = 0;
    }

    @Override
    public void probed(long now, long server, Result result, long elapsedMicros, LoadReport report) {
        Backend b = backends.get(server);
        if (b == null || b.entry == null) return;
        if (result == Result.SERVED) {
            probeMicros += POOL_WEIGHT * (Math.min(elapsedMicros, targetMicros / 10) - probeMicros);
            recordReport(now, b, report, false);
        }
        dispatchQueue(now, b);
    }

    // ---- Other events

    @Override
    public void streamBegan(long now, String requestId, int attempt, long server, long elapsedMicros) {
        Pending p = requests.get(requestId);
        if (p == null || p.streaming || attempt < 0 || attempt >= p.attempts.size()) return;
        p.streaming = true;
        Attempt began = p.attempts.get(attempt);
        recordLatency(now, began.server, elapsedMicros / began.typical);
        began.server.inFlight.remove(began);
        hangChecks.remove(began);
    }

    @Override
    public void clientLeft(long now, String requestId) {
        Pending p = requests.get(requestId);
        if (p != null) finish(p);
    }

    @Override
    public void externalLoad(long now, long server, double requests, boolean full) {
        Backend b = backends.get(server);
        if (b == null) return;
        b.externalLoad = requests;
        b.refusesLongLived = full;
    }

    @Override
    public void limits(long now, int maxOpen, int maxQueued, int maxConnections) {
        limits = limits.with(maxOpen, maxQueued, maxConnections);
        assignTenantCells();
    }

    @Override
    public int ejectedServers(long now) {
        return ejectedCount;
    }

    @Override
    public void shutDown(long now) {
        closing = true;
        queue.forEach(p -> endRequest(now, p));
    }

    private void schedule(long at, int kind, Pending p) {
        long token = ++lastToken * TIMER_KINDS + kind;
        if (p != null) timers.put(token, p);
        actions.timer(at, token);
    }

    @Override
    public void timer(long now, long token) {
        int kind = (int) (token % TIMER_KINDS);
        if (kind == DISCOVERY) actions.subscribe();
        if (kind == CELLS) relabel(now, RELABEL_BATCH);
        Pending p = timers.remove(token);
        if (kind == QUEUE && p == null) {
            queueTimerSet = false;
            queue.forEach(q -> {
                if (now >= queueDeadline(q)) endRequest(now, q);
                else probeCandidates(now, q);
            });
            dispatchQueue(now, null);
            scheduleQueueCheck(now);
        }
        if (p == null || p.ended || p.streaming) return;
        if (kind == HEDGE) {
            sendHedge(now, p);
        } else if (kind == PROBE) {
            if (p.probeRounds < MAX_PROBE_ROUNDS && chooseServer(now, p) == null && probeCandidates(now, p)) {
                schedule(now + probeWaitMicros(), PROBE, p);
            } else sendOrQueue(now, p);
        } else if (p.isQueued() && now >= queueDeadline(p)) {
            endRequest(now, p);
        } else if (p.isQueued()) schedule(queueDeadline(p), QUEUE, p);
    }
}
