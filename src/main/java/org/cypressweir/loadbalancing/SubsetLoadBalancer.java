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
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

/**
 * Every decision of the balancer. Its interface (types, events, actions) is LoadBalancer.java.
 *
 * <p>Ordinary path: a request walks from the node {its zone, its tenant's cell} and takes the cheaper of
 * two ready servers by peak-EWMA latency x (1 + in-flight). Each exception says when it acts.
 */
public final class SubsetLoadBalancer implements LoadBalancer {

    /** Servers that a cell is meant to hold in each zone, and how far a tenant's cells exceed its share. */
    private static final double CELL_PER_ZONE = 4, OPEN_CELLS = 3;
    /** Up to so many members a node is walked; of a larger one as many candidates are drawn, at most. */
    private static final int WALK = 32, DRAWS = 256;
    /** Candidates with room drawn for a cheap one; ejected ones looked at in turn. */
    private static final int CHEAP = 4, TRIALS = 4;
    /** Part of the count of cells that another count must differ by to be taken over. */
    private static final double CELL_SLACK = 1.0 / 8;
    /** Servers looked at in one go after that, so that another count never stops the loop for long. */
    private static final int RELABEL = 128;
    /** Deterministic subsetting: servers of a node that a sidecar keeps, beside what its rate asks for. */
    private static final int KEEP = 2;
    /** Spill once a node's pick costs so many times the next node's; within a zone for what is to stay. */
    private static final double SPILL = 1.5, EVEN = 1.1;
    /** Cost of a new connection while set-ups take no time; what a set-up of an aim adds; weight of one. */
    private static final double NEW_CONNECTION = 1.25, SETUP_COST = 10, SETUP_WEIGHT = 0.3;
    /** Time constants in aims: of latency; of a class fault and the distrust of idle connections. */
    private static final double DECAY = 4, FAULT_MEMORY = 30;
    /** Weight of one answer in what is usual for its class; in what is known of a kind, zone or class. */
    private static final double USUAL_WEIGHT = 0.03, POOL_WEIGHT = 0.1;
    /** What is usual before the first answer, in aims. */
    private static final double FIRST_GUESS = 0.3;
    /** Silence in times of what is expected; failures of an outlier; doublings of its time of one aim. */
    private static final int HANGING = 4, FAILURES = 3, MAX_BACKOFF = 4;
    /** Most of the ready servers that may be outliers. */
    private static final double MAX_EJECTED = 0.5;
    /** Most of a chance with a cold server, in cold shares of a fair part, at each node of a path. */
    private static final double SLOW_START = 1.4;
    /** Where the site sets no budget: further attempts as a part of first tries; how many are saved. */
    private static final double RETRY_SHARE = 0.15, RETRY_SAVED = 10;
    /** Own concurrency limit of a server: its start, the part of the aim that cuts it, the cut, the least. */
    private static final double FIRST_LIMIT = 3, LIMIT_TARGET = 0.5, LIMIT_CUT = 0.7, LIMIT_LEAST = 0.2;
    /** Times what is usual that cut it, part of the aim; use, sidecars that bound it; use of a queue. */
    private static final double LIMIT_USUAL = 1.25, LIMIT_MOST = 0.6, LIMIT_USE = 0.9, FILL = 10, BUSY = 0.5;
    /** Admission by chance: the part of the aim that cuts it, the cut, the gain in time, the least. */
    private static final double ADMIT_TARGET = 0.8, ADMIT_CUT = 0.7, ADMIT_GAIN = 0.25, ADMIT_LEAST = 0.1;
    /** A server that tells its load is sent what it should answer in time, with this much to spare. */
    private static final double HEADROOM = 2;
    /** Requests that a tenant may be ahead of its share before it counts as beyond. */
    private static final double SHARE_SLACK = 5;
    /** Result that may be spent on probes; probes at once, and rounds of them before a pick. */
    private static final double PROBE_SPEND = 0.012;
    private static final int LOOK_WIDTH = 3, MAX_LOOKS = 4;
    /** Kinds of held requests in each class; what servers carry counts so much for what is to stay there. */
    private static final int LOTS = 3, STAYS = 50;
    /** Part of its time for which a request is held at most before a server has it. */
    private static final double HOLD = 0.45;
    /** Parts of an aim: for which a report is fresh; after which those that are held are looked at again. */
    private static final double FRESH = 0.05, HELD_LOOK = 0.03;
    /** List lines that discovery is taken to send all instances in the time within which each must ask. */
    private static final double LIST_LINES = 8000;
    /** Kinds of timer, in the low bits of their tokens. */
    private static final int HELD = 0, LOOK = 1, ASK = 2, COPY = 3, CELLS = 4, TIMER_KINDS = 5;

    private final Actions actions;
    private final SplittableRandom random;
    private final double rateSpan, probesPerRequest;
    private Settings settings;
    private Limits limits;
    private boolean anySafe;
    /** No server comes any more. */
    private boolean closing;

    private final Map<Long, Backend> backends = new LinkedHashMap<>();
    /** The subset tree of the ready servers, by zone and cell. */
    private final SubsetTree<Backend> tree = new SubsetTree<>(2);
    private final int zones;
    /** Servers that the count of cells may move and that are still in their old cell. */
    private final ArrayDeque<Backend> unsettled = new ArrayDeque<>();
    /** The nodes that a request of a cell walks, until the tree or the zone used is another. */
    private final Map<Integer, List<IndexedMembers<Backend>>> paths = new HashMap<>();

    private int[][] tenantCells = new int[0][], ownCells = new int[0][];
    /** Many quiet sidecars for few servers: own in-flight and samples say little, connections cost much. */
    private boolean sparse;
    private final Map<String, Pending> requests = new HashMap<>();
    private final Map<Long, Pending> timers = new HashMap<>();
    private final PendingRequestQueue<Pending> held = new PendingRequestQueue<>(LOTS);
    private boolean looking;
    /** Requests in hand and held under each of the operators' bounds. */
    private final CounterMap inHand = new CounterMap(), waiting = new CounterMap();
    private long lastToken;

    private final FailureRates faults;
    private double[] usualMicros = {};
    private final int tenants;
    private final WeightedAccounts shares;
    private final DecayingMean rate, setup;
    private final CachedMeasurement warmth = new CachedMeasurement(50_000);

    private final EwmaTable kindPace = new EwmaTable(1, POOL_WEIGHT), zonePace = new EwmaTable(1, POOL_WEIGHT);
    private double aimMicros, usualHint, retryTokens = RETRY_SAVED / 2;
    private long taken;
    /** Further attempts against the requests taken, where the site sets a budget. */
    private final SlidingWindowBudget extras;
    /** Attempts as sent, and the slow ones among them by when they hang; those that have ended are passed
     * over. */
    private final Set<Attempt> outstanding = new LinkedHashSet<>();
    private final PriorityQueue<Attempt> slow = new PriorityQueue<>(Comparator.comparingLong(a -> a.hangsAt));
    private double meanUse = Double.NaN, meanOthers = Double.NaN, admitted = 1;
    private double probeTokens, probeMicros;
    private long startedAt, distrustedAt, idleTrust = Long.MAX_VALUE, sheddingLoggedAt;

    private int cells, home, ejected, askFailures;

    /** A server and all that this instance knows of it; kept by id when the tree is rebuilt. */
    private static final class Backend extends SubsetTree.Member {
        final long id;
        Server line;
        boolean usable, listed;
        /** Place in this instance's own stable order of servers. */
        final long order;
        /** Peak EWMA of latency in units of what is usual (NaN: no sample), and the plain EWMA. */
        double slowness = Double.NaN, pace = 1;
        long sampledAt;
        final ArrayDeque<Attempt> out = new ArrayDeque<>();
        int failures, backoff, suspects;
        /** Ejected while above 0: no request before that time, then one trial. */
        long openUntil;
        double limit = FIRST_LIMIT;
        long cutAt, pausedUntil, restUntil, reportedAt, probedAt, suspectedAt;
        double othersInFlight = Double.NaN, use = Double.NaN, burden;
        /** When its connection was last known to work, 0 if never; when a new one may be tried. */
        long usedAt, connectAt, returnedAt;
        int connectFailures;
        boolean opened, maybeDead, full;
        final FailureRates.Of faults;

        Backend(long id, int rank, FailureRates.Of faults) {
            this.id = id;
            order = mix(id, rank);
            this.faults = faults;
        }

    }

    private static final class Attempt {
        final Pending of;
        final Backend server;
        final int number;
        final long sentAt, idle;
        final double usual, load, expected;
        final long hangsAt;
        final boolean fresh;
        boolean suspected;
        Result result;

        Attempt(Pending of, Backend server, long now, double usual, double load, boolean warm) {
            this.of = of;
            this.server = server;
            this.usual = usual;
            this.load = load;
            number = of.attempts.size();
            sentAt = now;
            expected = usual * Math.max(1, server.pace) * (1 + load);
            hangsAt = now + 1 + (long) (HANGING * expected);
            fresh = !warm;
            idle = warm ? now - server.usedAt : 0;
        }
    }

    /** A request from its arrival until the last of its attempts has ended. */
    private static final class Pending extends PendingRequestQueue.Item {
        Request request;
        RequestClass rules;
        long arrivedAt, aimAt, luck;
        double scale;
        boolean over, streaming, beyondShare;
        int requestClass, tenant, cell, out, looks, cap;
        final List<Attempt> attempts = new ArrayList<>(2);
    }

    public SubsetLoadBalancer(Settings settings, Actions actions) {
        this.settings = settings;
        this.actions = actions;
        limits = settings.limits();
        Rules rules = settings.rules();
        extras = rules.lookBackMicros() == 0 ? null
                : new SlidingWindowBudget(rules.lookBackMicros(), rules.extraFloor(), rules.extraPerRequest());
        random = new SplittableRandom(settings.seed());
        zones = Math.max(1, settings.zones().size());
        classes(List.of());
        faults = new FailureRates(FAULT_MEMORY * aimMicros, POOL_WEIGHT);
        shares = new WeightedAccounts(settings.tenants().stream().map(Tenant::share).toList(), SHARE_SLACK);
        tenants = Math.max(1, settings.tenants().size());
        rateSpan = 2.0 * Math.max(1, rules.fallMicros());
        rate = new DecayingMean(rateSpan, 0);
        setup = new DecayingMean(FAULT_MEMORY * aimMicros, SETUP_WEIGHT);
        boolean probing = limits.probing() && settings.reports() != ReportSource.NONE;
        probesPerRequest = !probing ? 0 : Math.min(4, PROBE_SPEND / Math.max(settings.probePrice(), 1e-6));
    }

    /** Takes the classes as they are now; what is usual stays where a place has its class of before. */
    private void classes(List<RequestClass> before) {
        List<RequestClass> classes = settings.classes();
        usualMicros = Arrays.copyOf(usualMicros, classes.size());
        double aims = 0, live = 0;
        anySafe = false;
        for (int i = 0; i < classes.size(); i++) {
            RequestClass c = classes.get(i);
            if (c == RequestClass.GONE) continue;
            double aim = Math.max(1, c.aimMicros() > 0 ? c.aimMicros() : c.deadlineMicros());
            boolean known = i < before.size() && before.get(i).name().equals(c.name());
            usualMicros[i] = known ? usualMicros[i] : aim * FIRST_GUESS;
            aims += aim;
            live++;
            anySafe |= c.effect() == Effect.SAFE;
        }
        aimMicros = aims / live;
    }

    /** What is in hand keeps its rules and the attempts that it may have. */
    @Override
    public void retune(long now, Settings next) {
        List<RequestClass> before = settings.classes();
        settings = next;
        limits = next.limits().with(limits.open(), limits.held(), limits.connections());
        classes(before);
    }

    // ---- Lists and the subset tree

    @Override
    public void servers(long now, ListKind kind, List<Server> list) {
        if (settings.discoveryOnAsk() && kind == ListKind.CACHED) {
            // All sidecars of a fleet may start at once, and discovery sends only so many lines a second.
            double spread = Math.min(0.8, list.size() * (double) settings.replicas() / LIST_LINES);
            long wait = (long) (spread * settings.rules().askEveryMicros()) + 20 * settings.tickMicros();
            later(now + random.nextLong(1 + wait), ASK, null);
        }
        if (kind == ListKind.FAILED) {
            // Keep the list, ask again with jittered back-off inside four times the rule's time.
            double wait = settings.rules().askEveryMicros() / 8.0 * (1 << Math.min(askFailures++, 3));
            later(now + 1 + (long) (wait * (0.5 + random.nextDouble())), ASK, null);
            if (askFailures == 1) {
                actions.log("discovery failed: keeping the last list of " + tree.size() + " ready servers");
            }
            return;
        }
        askFailures = 0;
        if (startedAt == 0) startedAt = now;
        if (kind != ListKind.CHANGES) for (Backend b : backends.values()) b.listed = false;
        for (Server line : list) {
            Backend b = backends.get(line.id());
            if (b == null || b.line.startMicros() != line.startMicros()) b = anew(line.id(), b);
            boolean usable = line.phase() == Phase.READY;
            boolean moved = usable != b.usable || b.line == null || b.line.zone() != line.zone();
            b.line = line;
            b.usable = usable;
            b.listed = line.phase() != Phase.REMOVED;
            if (moved) place(b);
            if (!b.listed) gone(b);
        }
        if (kind != ListKind.CHANGES) {
            for (Backend b : List.copyOf(backends.values())) if (!b.listed) gone(b);
        }
        settle(now);
        pump(now, null);
    }

    /** Not on the list any more; what is still out at it may yet be answered. */
    private void gone(Backend b) {
        b.usable = false;
        place(b);
        close(b);
        if (b.out.isEmpty()) backends.remove(b.id, b);
    }

    /** A new id or start time is a new process: nothing learned of an old one holds. */
    private Backend anew(long id, Backend old) {
        if (old != null) {
            old.listed = false;
            gone(old);
        }
        backends.put(id, new Backend(id, settings.rank(), faults.new Of()));
        return backends.get(id);
    }

    /** Takes a server to where it belongs in the tree: out of it, or in under its zone and cell. */
    private void place(Backend b) {
        if (b.isIn()) tree.remove(b);
        if (!b.usable) return;
        int zone = b.line.zone() < zones ? Math.max(SubsetTree.ANY, b.line.zone()) : SubsetTree.ANY;
        tree.add(b, sparse ? b.order : mix(b.id, -1), zone, cell(b));
    }

    private int cell(Backend b) {
        return jump(mix(b.id, 0), Math.max(1, cells));
    }

    /** After a change: the count of cells and what hangs on it. Another count moves servers, so it is taken
     * over only where it differs by more than a part: a list that flaps does not move a fleet. */
    private void settle(long now) {
        int count = tree.size();
        int wanted = Math.max(count < 4 ? 1 : 2, (int) (0.5 + count / (CELL_PER_ZONE * zones)));
        boolean many = settings.replicas() > count;
        if (many != sparse || cells == 0 || Math.abs(wanted - cells) > cells * CELL_SLACK) {
            boolean others = wanted != cells, idle = unsettled.isEmpty();
            if (many != sparse) tree.clear();
            unsettled.clear();
            unsettled.addAll(backends.values());
            int most = many == sparse ? RELABEL : unsettled.size();
            sparse = many;
            cells = wanted;
            paths.clear();
            if (others) openCells();
            if (idle || most > RELABEL) relabel(now, most);
        }
        int zone = homeZone();
        if (zone != home) paths.clear();
        home = zone;
    }

    private void relabel(long now, int most) {
        for (int i = 0; i < most && !unsettled.isEmpty(); i++) {
            Backend b = unsettled.pollFirst();
            if (b.usable && (!b.isIn() || b.labels[1] != cell(b))) place(b);
        }
        if (!unsettled.isEmpty()) later(now + 1, CELLS, null);
    }

    /** A tenant's cells are the same at every sidecar. Where its cells hold more servers than this sidecar
     * can keep connections to, it uses some of them only, others than the next sidecar does. */
    private void openCells() {
        tenantCells = new int[tenants][];
        ownCells = new int[tenants][];
        int most = (int) Math.max(2, limits.connections() / (2 * CELL_PER_ZONE));
        for (int t = 0; t < tenantCells.length; t++) {
            double share = t < settings.tenants().size() ? settings.tenants().get(t).share() : 1;
            int open = Math.min(cells, Math.max(2, (int) Math.ceil(OPEN_CELLS * share * cells)));
            tenantCells[t] = Arrays.copyOf(ranked(~t, IntStream.range(0, cells).toArray()), open);
            ownCells[t] = open <= most ? tenantCells[t]
                    : Arrays.copyOf(ranked(settings.rank(), tenantCells[t]), most);
        }
    }

    /** One of these cells by the id, in proportion to its servers in the home zone: weighted rendezvous, or,
     * where they are many, the first of a row of hashed cells that a hash lets in by its weight. */
    private int first(long id, int[] among) {
        int best = among[0];
        double bestScore = Double.NEGATIVE_INFINITY;
        for (int i = 0; i < Math.min(WALK, among.length); i++) {
            int cell = among.length <= WALK ? among[i] : among[jump(mix(id, i), among.length)];
            int weight = tree.node(home, cell).size();
            if (among.length > WALK && uniform(id, ~i) * 2 * CELL_PER_ZONE < weight) return cell;
            double score = Math.log(uniform(id, cell)) / (weight + 0.01);
            if (score > bestScore) best = cell;
            bestScore = Math.max(bestScore, score);
        }
        return best;
    }

    /** The zone used: where the own has too few servers, some settle elsewhere. Harm: needless crossings. */
    private int homeZone() {
        double fair = tree.size() / (double) zones;
        int own = Math.min(Math.max(0, settings.zone()), zones - 1);
        if (!sparse || zoneSize(own) >= fair * uniform(settings.rank(), 0)) return own;
        double spare = 0;
        for (int z = 0; z < zones; z++) spare += Math.max(0, zoneSize(z) - fair);
        double left = spare * uniform(settings.rank(), 1);
        for (int z = 0; z < zones; z++) {
            left -= Math.max(0, zoneSize(z) - fair);
            if (left < 0) return z;
        }
        return own;
    }

    private int zoneSize(int zone) {
        return tree.node(zone, SubsetTree.ANY).size();
    }

    // ---- Requests

    @Override
    public void request(long now, Request request) {
        Pending p = new Pending();
        p.request = request;
        p.requestClass = Math.min(Math.max(0, request.requestClass()), usualMicros.length - 1);
        p.rules = settings.classes().get(p.requestClass);
        p.tenant = Math.min(Math.max(0, request.tenant()), tenants - 1);
        p.arrivedAt = now;
        p.cap = limits.attempts();
        p.aimAt = now + p.rules.aimMicros() + (long) (p.rules.aimStretch() * request.hintMicros());
        if (requests.putIfAbsent(request.id(), p) != null) return;
        if (request.hintMicros() > 0) {
            usualHint += usualHint == 0 ? request.hintMicros()
                    : USUAL_WEIGHT * (request.hintMicros() - usualHint);
        }
        p.scale = request.hintMicros() <= 0 || usualHint <= 0 ? 1
                : 0.5 + 0.5 * Math.min(8, request.hintMicros() / usualHint);
        p.luck = random.nextLong();
        p.beyondShare = shares.spend(p.tenant);
        int[] open = cells == 0 ? new int[] {0} : byKey(p) ? tenantCells[p.tenant] : ownCells[p.tenant];
        p.cell = byKey(p) ? first(request.key(), open)
                : sparse ? first(settings.rank(), open) : open[random.nextInt(open.length)];
        retryTokens = Math.min(RETRY_SAVED, retryTokens + RETRY_SHARE);
        taken++;
        rate.count(now, admitted);
        watch(now);
        if (requests.size() > limits.open()) makeRoom(now, p, null);
        for (Bound b : request.terms().bounds()) {
            if (inHand.add(b.name(), 1) > b.open() && !p.over) makeRoom(now, p, b);
        }
        if (p.over) return;
        if (request.deadlineMicros() - now <= aimMicros / 20 + 2 * settings.tickMicros()) {
            // No time is left for a look or a timer (incident i0f9bed: an arrival at its own deadline).
            end(now, p);
        } else if (sparse && probesPerRequest == 0 && random.nextDouble()
                >= Math.pow(admitted, p.beyondShare ? 1 / settings.overShareWorth() : 1)) {
            // Admission control: a quiet sidecar sees no queue, only that answers come late; refused early,
            // and what is beyond a tenant's share first. It may refuse what a better server could serve.
            end(now, p);
        } else if (look(now, p)) {
            later(now + lookMicros(), LOOK, p);
        } else admit(now, p);
    }

    /** Past the most in hand, at all or under this bound, the held or new request that is worth least is
     * refused, of equals the oldest: its time is the shortest. */
    private void makeRoom(long now, Pending fresh, Bound within) {
        Pending least = null;
        for (int lot = 0; lot < LOTS * usualMicros.length; lot++) {
            Pending p = held.oldest(lot, x -> x != fresh && counts(x, within));
            if (p != null && (least == null || value(p) < value(least)
                    || value(p) == value(least) && held.isBefore(p, least))) {
                least = p;
            }
        }
        end(now, least == null || value(fresh) < value(least) ? fresh : least);
    }

    private static boolean counts(Pending p, Bound within) {
        if (within == null) return true;
        for (Bound b : p.request.terms().bounds()) if (b.name().equals(within.name())) return true;
        return false;
    }

    /** Past the most that may wait, room is made as past the most in hand. */
    private void boundHeld(long now, Pending fresh) {
        if (held.size() > limits.held()) makeRoom(now, fresh, null);
        for (Bound b : fresh.request.terms().bounds()) {
            if (fresh.isHeld() && waiting.of(b.name()) > b.held()) makeRoom(now, fresh, b);
        }
    }

    private void hold(Pending p, boolean hold) {
        if (hold == p.isHeld()) return;
        int kind = p.request.terms().stays() ? 2 : p.beyondShare ? 1 : 0;
        if (hold) held.add(p, LOTS * p.requestClass + kind);
        else held.remove(p);
        for (Bound b : p.request.terms().bounds()) waiting.add(b.name(), hold ? 1 : -1);
    }

    private double value(Pending p) {
        return p.rules.worth() * (p.beyondShare ? settings.overShareWorth() : 1);
    }

    private long lookMicros() {
        return (long) Math.min(probeMicros * 1.5 + settings.tickMicros(), aimMicros * FRESH);
    }

    /** Where servers remember keys, the key takes the place of chance in the pick. */
    private boolean byKey(Pending p) {
        return settings.warmKeys() && p.request.key() >= 0;
    }

    /** Where only probes tell the load, look before the leap: hold the request for one usual probe time. */
    private boolean look(long now, Pending p) {
        if (probesPerRequest == 0 || tree.size() == 0) return false;
        if (p.looks++ == 0) probeTokens = Math.min(4 * probesPerRequest, probeTokens + probesPerRequest);
        int asked = 0;
        for (IndexedMembers<Backend> node : path(p)) {
            for (int i = 0; i < Math.min(DRAWS, node.size()); i++) {
                if (asked >= LOOK_WIDTH || probeTokens < 1) break;
                Backend b = node.get(node.size() <= DRAWS ? i : random.nextInt(node.size()));
                boolean stale = b.probedAt == 0 || now - b.probedAt > aimMicros * FRESH;
                if (stale && connectable(now, p, b) && b.openUntil == 0 && now >= b.pausedUntil) {
                    probeTokens--;
                    b.probedAt = now;
                    actions.probe(b.id);
                    asked++;
                }
            }
        }
        return asked > 0;
    }

    private List<IndexedMembers<Backend>> path(Pending p) {
        int cell = p.cell % cells;
        return paths.computeIfAbsent(cell, c -> List.of(tree.node(home, c), tree.node(SubsetTree.ANY, c),
                tree.node(home, SubsetTree.ANY), tree.node(SubsetTree.ANY, SubsetTree.ANY)));
    }

    /** Sends the request, or holds it in the queue. */
    private void admit(long now, Pending p) {
        if (p.over || p.isHeld()) return;
        hold(p, true);
        pump(now, null);
        if (p.isHeld() && closing) end(now, p);
        else if (p.isHeld()) boundHeld(now, p);
        if (!p.isHeld()) return;
        later(Math.max(now + 1, lastUseful(p)), HELD, p);
        lookAgain(now);
        if (now - sheddingLoggedAt < 10 * aimMicros) return;
        sheddingLoggedAt = now;
        actions.log("holding: " + held.size() + " requests wait, no server has room");
    }

    /** One timer for all that are held, however many: what holds them back may end with time alone. */
    private void lookAgain(long now) {
        if (looking || held.size() == 0) return;
        looking = true;
        later(now + 1 + (long) (aimMicros * HELD_LOOK), HELD, null);
    }

    /** Until when a held request may still earn something; after that it is refused, which costs nothing.
     * Where more than half of those that may be in hand are, one that no server may have goes before half of
     * its time: its client can still try again, and its connection is free for what is in time. */
    private long lastUseful(Pending p) {
        long end = p.request.deadlineMicros() - 2 * settings.tickMicros();
        if (mayHaveRun(p) == null && requests.size() > limits.open() / 2) {
            end = Math.min(end, p.arrivedAt + (long) (HOLD * (p.request.deadlineMicros() - p.arrivedAt)));
        }
        if (p.rules.lateShare() == 0) end = Math.min(end, p.aimAt - (long) usual(p));
        return end;
    }

    /** Serves the queue while servers have room: inside a share first, what stays last, of equals the newest.
     * A server that has come free is asked for by name, since draws from a large fleet would miss it. */
    private void pump(long now, Backend freed) {
        while (held.size() > 0) {
            Pending best = held.newest();
            Backend server = choose(now, best);
            if (server == null && freed != null && freed.isIn() && hasRoom(now, best, freed, tree.size())) {
                server = freed;
            }
            if (server == null) return;
            hold(best, false);
            send(now, best, server, 0);
        }
    }

    /** A second copy beside what is out, where the operators asked for one: after the time that they set,
     * of a request that may repeat, to a server that has room, within cap and retry budget as any further
     * attempt. */
    private void copy(long now, Pending p) {
        int copies = p.request.terms().copies();
        boolean may = !p.isHeld() && p.out > 0 && p.out <= copies && p.rules.effect() != Effect.UNSAFE;
        Backend server = may && p.attempts.size() < most(p) && extraAllowed(now) ? choose(now, p) : null;
        if (server != null) send(now, p, server, copies);
    }

    /** Attempts that a request may have: the site's cap, or fewer where the operators say so. */
    private int most(Pending p) {
        return Math.max(1, Math.min(p.cap, p.request.terms().attempts()));
    }

    // ---- The pick

    private double usual(Pending p) {
        return usualMicros[p.requestClass] * p.scale;
    }

    /** Walks from the narrowest node; widens where one is empty, and spills where it is much dearer. */
    private Backend choose(long now, Pending p) {
        if (tree.size() == 0) return null;
        Backend best = null;
        double bestCost = 0;
        // While idle connections die, fewer servers keep each connection in use.
        int keep = (trust(now) == Long.MAX_VALUE ? KEEP : 0) + (int) Math.ceil(rate(now) * usual(p));
        if (!sparse) keep = Integer.MAX_VALUE;
        for (IndexedMembers<Backend> node : path(p)) {
            Backend pick = node.size() > WALK && (!sparse || byKey(p)) ? draw(now, p, node, best != null)
                    : pick(now, p, node, keep, best != null);
            if (pick == null || pick == best) continue;
            double cost = cost(now, p, pick);
            boolean even = p.request.terms().stays() && pick.line.zone() == home;
            if (best == null || bestCost > cost * (even ? EVEN : SPILL)) {
                best = pick;
                bestCost = cost;
            }
        }
        return best;
    }

    /** The design's pick: two ready servers at random (reservoir sampling), the lower cost wins; by the key's
     * hash where servers remember keys, the first unless much dearer; in a wider node the cheapest. One of
     * many sidecars looks at the first of its own order only (deterministic subsetting), so that it keeps few
     * connections; the next ones step in for the sick and full. Harm: fewer servers to choose from. */
    private Backend pick(long now, Pending p, IndexedMembers<Backend> node, int keep, boolean cheapest) {
        boolean keyed = !cheapest && byKey(p);
        int count = 0, most = keyed ? node.size() : Math.min(keep, node.size());
        Backend first = null, second = null;
        for (int i = 0; i < node.size() && count < most && i < DRAWS + KEEP; i++) {
            Backend b = node.get(i);
            if (!hasRoom(now, p, b, most)) continue;
            if (!cheapest && (b.openUntil != 0 || coldShare(now, b) < 1)) return b;
            int slot = count < 2 ? count : random.nextInt(count + 1);
            if (count++ == 1 && !cheapest && !keyed && random.nextBoolean()) {
                // Of two alike the first wins, and the second member of a node would never be that.
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
        double bias = keyed ? SPILL : 1;
        return second == null || cost(now, p, first) <= bias * cost(now, p, second) ? first : second;
    }

    /** The same in a node too large to be walked: candidates are drawn until two with room are found, a
     * bounded number of times; by key along the ring of the members from the key's hash. The ejected, which
     * no draw takes, have their trials in turn. One member, drawn once for each request, has the chance of a
     * cold one: a share of its fair part, as if all were walked. */
    private Backend draw(long now, Pending p, IndexedMembers<Backend> node, boolean cheapest) {
        int size = node.size();
        for (int i = 0; !cheapest && i < Math.min(TRIALS, node.marked()); i++) {
            Backend b = node.nextMarked();
            if (hasRoom(now, p, b, size)) return b;
        }
        Backend lucky = node.get((int) (uniform(p.luck, size) * size));
        if (!cheapest && lucky.openUntil == 0 && coldShare(now, lucky) < 1 && hasRoom(now, p, lucky, 1)) {
            return lucky;
        }
        int ring = !cheapest && byKey(p) ? node.from(mix(p.request.key(), -1)) : -1;
        int wanted = cheapest ? CHEAP : 2;
        Backend first = null, other = null;
        for (int i = 0; i < DRAWS && wanted > 0; i++) {
            Backend b = node.get(ring >= 0 ? (ring + i) % size : random.nextInt(size));
            if (b == first || b.openUntil != 0 || coldShare(now, b) < 1 || !hasRoom(now, p, b,
                    size)) continue;
            wanted--;
            if (first == null) first = b;
            else if (other == null || cost(now, p, b) < cost(now, p, other)) other = b;
        }
        double bias = ring >= 0 ? SPILL : 1;
        return other == null || cost(now, p, first) <= bias * cost(now, p, other) ? first : other;
    }

    private double cost(long now, Pending p, Backend b) {
        double works = 1 - b.faults.get(now, p.requestClass);
        boolean stays = p.request.terms().stays();
        double cost = (stays ? 1 + load(now, b) + STAYS * b.burden
                : slowness(now, b) * (1 + load(now, b) + b.burden)) / (works * works + 0.01);
        if (!Double.isNaN(meanUse)) cost /= 1.1 - Math.min(1, use(now, b));
        if (sparse && !warm(now, b)) cost *= NEW_CONNECTION + SETUP_COST * setup.get(now) / aimMicros;
        return cost;
    }

    private double use(long now, Backend b) {
        if (Double.isNaN(b.use)) return meanUse;
        return meanUse + (b.use - meanUse) * Math.exp(-(now - b.reportedAt) / (DECAY * aimMicros));
    }

    /** A connection that was used a moment ago; one idle for longer than those that died is not trusted. */
    private boolean warm(long now, Backend b) {
        return b.usedAt != 0 && now - b.usedAt < Math.min(trust(now), limits.idleMicros());
    }

    /** Where set-ups have taken too long lately, a new connection brings no answer in time. But only a set-up
     * shows that they are short again: a server with nothing out is tried all the same, one of a crowd of
     * sidecars once an aim. Harm: late answers where set-ups really are slow. */
    private boolean connectable(long now, Pending p, Backend b) {
        if (warm(now, b)) return true;
        boolean trial = b.out.isEmpty() && (!sparse || now - setup.at() > aimMicros);
        return now >= b.connectAt && (trial || now + setup.get(now) + usual(p) <= p.aimAt);
    }

    private long trust(long now) {
        return now - distrustedAt < FAULT_MEMORY * aimMicros ? idleTrust : Long.MAX_VALUE;
    }

    /** An attempt hangs, and nothing has come from the server since that was seen. Once something has, it is
     * the connection or that request. Harm: a slow server is sent more, within its limit. */
    private static boolean silent(Backend b) {
        return b.suspects > 0 && b.usedAt <= b.suspectedAt;
    }

    /** The attempt out for the longest time that still says something of the server. */
    private static Attempt oldest(Backend b) {
        if (silent(b)) return b.out.peekFirst();
        for (Attempt a : b.out) if (!a.suspected) return a;
        return null;
    }

    /** Peak EWMA, and at least the age of the oldest attempt: a hanging server never gives a sample. */
    private double slowness(long now, Backend b) {
        Attempt oldest = oldest(b);
        double age = oldest == null ? 0 : (now - oldest.sentAt) / (oldest.usual * (1 + oldest.load));
        return Math.max(known(now, b), age);
    }

    /** Drifts to what is usual for kind and zone between samples, and starts there. */
    private double known(long now, Backend b) {
        double usual = kindPace.get(b.line.kind()) * zonePace.get(b.line.zone());
        if (Double.isNaN(b.slowness)) return usual;
        return usual + (b.slowness - usual) * Math.exp(-(now - b.sampledAt) / (2 * DECAY * aimMicros));
    }

    /** Own requests in flight, and those of others by the server's last report; an old one says the mean. */
    private double load(long now, Backend b) {
        if (Double.isNaN(meanOthers)) return b.out.size();
        double last = Double.isNaN(b.othersInFlight) ? meanOthers : b.othersInFlight;
        double keep = Math.exp(-2 * (now - b.reportedAt) / aimMicros);
        return b.out.size() + meanOthers + (last - meanOthers) * keep;
    }

    /** A server that came back before the list says so is as cold as one that the list calls new. */
    private double coldShare(long now, Backend b) {
        long start = b.maybeDead ? now : Math.max(b.line.startMicros(), b.returnedAt);
        return settings.rules().coldShare(now, start);
    }

    /** Admission control of one server, slow start and half-open trials among it. */
    private boolean hasRoom(long now, Pending p, Backend b, int among) {
        if (now < b.pausedUntil || silent(b) || !mayRunOn(now, p, b) || !connectable(now, p, b)) return false;
        if (b.openUntil != 0) return now >= b.openUntil && halfOpen(now, p, b);
        double cold = coldShare(now, b);
        boolean room = b.out.size() < Math.max(1, b.limit * cold);
        if (cold < 1 && !(room && chance(now, p, b, cold, among))) return false;
        if (!Double.isNaN(meanOthers)) {
            double load = load(now, b);
            double end = now + HEADROOM * usual(p) * b.pace * (1 + load) + (warm(now, b) ? 0
                    : setup.get(now));
            return end <= p.aimAt || load < 1 && p.rules.lateShare() > 0;
        }
        return b.out.size() < b.limit && (sparse || now >= b.restUntil);
    }

    /** Slow start as a sum over all instances: each request that walks to a node has one chance, by that
     * share of what one of its servers is sent. Nothing is saved up, so no burst can come of it. A fleet that
     * is mostly cold is sent by the same measure: else its few warm servers had all that the cold may not. */
    private boolean chance(long now, Pending p, Backend b, double share, int among) {
        double part = sparse ? admitted : Math.min(SLOW_START, 1 / warmth.at(now, () -> backends.values()
                .stream().filter(x -> x.usable).mapToDouble(x -> x.openUntil != 0 ? 0 : coldShare(now, x))
                .average().orElse(1)));
        return uniform(p.luck, b.id) < share * part / Math.max(1, among);
    }

    /** An ejected server is tried as if it were cold, less with each failure, by a safe request. */
    private boolean halfOpen(long now, Pending p, Backend b) {
        if (b.out.size() > 0) eject(now, b, "still no answer");
        if (now < b.openUntil) return false;
        if (!p.attempts.isEmpty() || anySafe && p.rules.effect() != Effect.SAFE) return false;
        return chance(now, p, b, settings.rules().coldFrom() / b.backoff, 1);
    }

    /** Requests a microsecond that this instance takes and admits. */
    private double rate(long now) {
        return rate.get(now) / (1 - Math.exp(-Math.max(aimMicros, now - startedAt) / rateSpan));
    }

    // ---- The gate: every attempt goes through here

    /** Rule on effects: whether an attempt of this request may go to this server; never to one twice. */
    private boolean mayRunOn(long now, Pending p, Backend b) {
        if (b.full && p.request.terms().stays()) return false;
        for (Attempt a : p.attempts) if (a.server == b) return false;
        Attempt first = mayHaveRun(p);
        if (first == null || p.rules.effect() == Effect.SAFE) return true;
        boolean late = now - first.sentAt >= p.rules.dedupWindowMicros() - settings.tickMicros();
        if (p.rules.effect() == Effect.UNSAFE || late) return false;
        return switch (p.rules.group()) {
            case ALL -> true;
            case ZONE -> first.server.line.zone() == b.line.zone();
            case CELL -> first.server.line.cell() == b.line.cell();
        };
    }

    private boolean mayRefuse(Pending p) {
        boolean dropped = p.rules.effect() == Effect.KEYED && p.rules.group() == Group.ALL;
        return p.rules.effect() == Effect.SAFE || dropped || mayHaveRun(p) == null;
    }

    /** The first attempt that may have run or may still run. */
    private static Attempt mayHaveRun(Pending p) {
        for (Attempt a : p.attempts) if (a.result == null || !a.result.provesNotRun) return a;
        return null;
    }

    /** The single place of sending. The checks repeat what the pick has seen, so no path can pass them by. */
    private void send(long now, Pending p, Backend b, int beside) {
        long left = p.request.deadlineMicros() - now;

        if (p.over || p.streaming || !b.usable || p.out > beside || !mayRunOn(now, p, b) || left <= 0
                || p.attempts.size() >= most(p) || !p.attempts.isEmpty() && !extraAllowed(now)) {
            if (!p.over && p.out == 0) end(now, p);
            return;
        }
        double load = Double.isNaN(meanOthers) ? 0 : load(now, b);
        Attempt a = new Attempt(p, b, now, usual(p), load, warm(now, b));
        if (a.fresh && b.opened && b.out.size() == 0) {
            b.opened = false;
            b.usedAt = 0;
            actions.closeIdle(b.id);
        }
        if (a.number > 0) {
            retryTokens--;
            if (extras != null) extras.spend(now, taken);
        }
        outstanding.add(a);
        p.attempts.add(a);
        p.out++;
        b.out.addLast(a);

        Terms terms = p.request.terms();
        actions.send(p.request.id(), b.id, terms.attemptMicros());
        if (terms.copies() > 0 && limits.secondCopies()) later(now + terms.copyAfterMicros(), COPY, p);
    }

    /** The retry budget. Where the site sets one below one nothing is sure, and nothing is sent again. */
    private boolean extraAllowed(long now) {
        return extras == null ? retryTokens >= 1
                : extras.allows(now, taken) && settings.rules().extraFloor() >= 1;
    }

    /** The single place where this instance ends a request. */
    private void end(long now, Pending p) {
        if (mayRefuse(p)) {
            double stay = limits.retryAdvice() ? aimMicros * (1 + random.nextDouble()) / 4 : 0;
            actions.refuse(p.request.id(), Math.min((long) stay, limits.maxRetryAdviceMicros()));
        } else {
            actions.fail(p.request.id());
        }
        over(p);
    }

    /** The request has its final answer, whoever gave it: what is still out is called off. */
    private void over(Pending p) {
        if (p.over) return;
        p.over = true;
        hold(p, false);
        for (Bound b : p.request.terms().bounds()) inHand.add(b.name(), -1);
        boolean cancel = limits.cancelling();
        for (Attempt a : p.attempts) if (cancel && a.result == null) actions.cancel(p.request.id(), a.number);
        forget(p);
    }

    /** A request is kept until the last of its attempts has ended. */
    private void forget(Pending p) {
        if (p.over && p.out == 0) requests.remove(p.request.id());
    }

    // ---- What comes back

    @Override
    public void outcome(long now, Outcome o) {
        Pending p = requests.get(o.requestId());
        if (p == null || o.attempt() < 0 || o.attempt() >= p.attempts.size()) return;
        Attempt a = p.attempts.get(o.attempt());
        if (a.result != null) return;
        a.result = o.result();
        p.out--;
        a.server.out.remove(a);
        outstanding.remove(a);
        if (!a.server.listed && a.server.out.isEmpty()) backends.remove(a.server.id, a.server);
        if (a.suspected) a.server.suspects--;
        learn(now, a, o);
        if (o.closed()) {
            over(p);
        } else if (!p.over && p.out == 0 && !p.isHeld()) again(now, p);
        forget(p);
        pump(now, a.server);
    }

    /** A further attempt, if effect, cap, retry budget and the time left allow it; else the end. */
    private void again(long now, Pending p) {
        boolean sensible = now < lastUseful(p) && p.attempts.size() < most(p) && !closing
                && (mayRefuse(p) || p.rules.effect() == Effect.KEYED)
                && p.attempts.stream().allMatch(a -> p.request.terms().retryOn().contains(a.result));
        if (sensible && extraAllowed(now)) admit(now, p);
        else end(now, p);
    }

    private void learn(long now, Attempt a, Outcome o) {
        Backend b = a.server;
        int c = a.of.requestClass;
        switch (o.result()) {
            case SERVED -> {
                report(now, b, o.report(), true);
                answered(now, a, o.elapsedMicros());
                double x = o.elapsedMicros() / (1 + a.load);
                usualMicros[c] += USUAL_WEIGHT
                        * (Math.min(x / a.of.scale, 4 * usualMicros[c]) - usualMicros[c]);
                // A slow set-up says nothing of the server.
                if (a.fresh && sparse && x > HANGING * a.usual) return;
                sample(now, b, x / a.usual);
                b.pace += 5 * USUAL_WEIGHT * (Math.min(x / a.usual, 4) - b.pace);
                kindPace.add(b.line.kind(), Math.min(x / a.usual, 4));
                zonePace.add(b.line.zone(), Math.min(x / a.usual, 4));
                limit(now, a, o.elapsedMicros() / a.of.scale);
            }
            case FULL -> {
                // Full is busy, not sick: shrink the limit and stay away for one usual answer.
                b.usedAt = now;
                b.opened = true;
                b.faults.failed(now, c);
                crowded();
                b.limit = Math.max(1, b.limit * LIMIT_CUT);
                b.pausedUntil = now + (long) (a.usual / 2 + random.nextDouble() * a.usual);
            }
            case NO_CONNECTION -> {
                // At its limit, slow to set up, or down: only new connections stay away.
                setup.mean(now, 2 * o.elapsedMicros());
                crowded();
                b.usedAt = 0;
                double wait = aimMicros * (1 << Math.min(b.connectFailures++, MAX_BACKOFF));
                // A process that dies refuses connections for a while. Broken ones come from any server:
                // taken for deaths and so for restarts, they made the whole fleet look cold.
                if (b.connectFailures > 1) b.maybeDead = true;
                b.connectAt = now + (long) (wait * (0.75 + random.nextDouble() / 2));
            }
            case CANCELLED, NOT_SENT -> { }
            default -> {
                // A client that has no patience says nothing of the server.
                if (o.result() == Result.TIMED_OUT && o.elapsedMicros() * 2 < HANGING * a.expected) return;
                if (o.result() == Result.TIMED_OUT && !a.suspected) suspect(now, a, false);
                if (known(now, b) * a.usual > LIMIT_TARGET * a.of.rules.aimMicros()) crowded();
                if (o.result() == Result.ERROR) {
                    // It has answered: the connection works, and no idle spell before is to blame.
                    b.faults.failed(now, c);
                    b.usedAt = now;
                    b.opened = true;
                } else if (a.idle > aimMicros / 4 || a.suspected && b.usedAt > b.suspectedAt) return;
                sample(now, b, Math.max(o.elapsedMicros(), aimMicros) / a.usual);
                if (b.openUntil != 0 || ++b.failures >= FAILURES) eject(now, b, o.result().toString());
            }
        }
    }

    /** An answer clears the server, its connection and the class. */
    private void answered(long now, Attempt a, long elapsed) {
        Backend b = a.server;
        int c = a.of.requestClass;
        if (a.fresh) setup.mean(now, Math.max(0, elapsed - a.expected));
        b.usedAt = now;
        b.opened = true;
        b.connectFailures = 0;
        b.connectAt = 0;
        if (b.maybeDead) b.returnedAt = now;
        b.maybeDead = false;
        b.failures = 0;
        b.faults.answered(now, c);
        // It was slow after all: neither its connection nor the others' had died.
        if (a.suspected && a.idle > 0) idleTrust = Long.MAX_VALUE;
        if (b.openUntil != 0) {
            b.backoff = Math.max(0, b.backoff - 1);
            close(b);
            actions.log("server " + b.id + " re-admitted");
        }
        if (elapsed > ADMIT_TARGET * a.of.rules.aimMicros() * a.of.scale) crowded();
        else admitted = Math.min(1, admitted + ADMIT_GAIN);
    }

    private void crowded() {
        admitted = Math.max(ADMIT_LEAST, admitted * ADMIT_CUT);
    }

    /** Looks at attempts without an answer for far longer than expected. */
    private void watch(long now) {
        for (var first = outstanding.iterator(); first.hasNext(); first.remove()) {
            Attempt a = first.next();
            if (now - a.sentAt < aimMicros / 2) break;
            slow.add(a);
        }
        while (!slow.isEmpty() && slow.peek().hangsAt <= now) {
            Attempt a = slow.poll();
            if (a.result == null && !a.suspected && !a.of.streaming) suspect(now, a, true);
        }
    }

    /** Silence. After an idle spell it is the connection that died: such spells are not trusted for a
     * while, elsewhere either. While the server answers others it is the class. Else it is the server. */
    private void suspect(long now, Attempt a, boolean out) {
        Backend b = a.server;
        if (out) {
            a.suspected = true;
            b.suspects++;
            b.suspectedAt = now;
        }
        b.faults.failed(now, a.of.requestClass);
        if (b.usedAt <= a.sentAt && a.idle > aimMicros / 4 && b.pace < SPILL) {
            idleTrust = Math.min(trust(now), a.idle) / 2;
            distrustedAt = now;

            b.usedAt = 0;
            actions.log("idle connections are not trusted: no answer after " + a.idle / 1000 + " ms idle");
            return;
        }

        if (b.usedAt <= a.sentAt) eject(now, b, "no answer for " + (now - a.sentAt) / 1000 + " ms");
    }

    /** Peak EWMA: up at once, down with time. */
    private void sample(long now, Backend b, double x) {
        boolean peak = Double.isNaN(b.slowness) || x > known(now, b);
        b.slowness = peak ? x : x + (b.slowness - x) * Math.exp(-(now - b.sampledAt) / (DECAY * aimMicros));
        b.sampledAt = now;
    }

    /** Concurrency limit by AIMD against the aim: keeps queues where answers are still in time. While a
     * server reports free cores and the limit holds requests back, it grows by a whole slot: so a restart or
     * a burst is not answered by refusals. Where one of each sidecar fills a server, none grows on a full. */
    private void limit(long now, Attempt a, double elapsed) {
        Backend b = a.server;
        // Many sidecars share few cores: one request of each may be too many; below one, rest between sends.
        b.restUntil = now + (long) (elapsed * (1 / Math.min(1, b.limit) - 1));
        double aim = a.of.rules.aimMicros();
        if (elapsed > Math.min(Math.max(LIMIT_TARGET * aim, LIMIT_USUAL * usualMicros[a.of.requestClass]),
                LIMIT_MOST * aim)) {
            // A server that reports free cores has no queue: what was slow is a new connection, the way or
            // this process. A limit that is large already is cut all the same, since reports come late.
            boolean queue = Double.isNaN(b.use) || use(now, b) > BUSY || b.limit > 2 * FIRST_LIMIT;
            if (a.sentAt >= b.cutAt && queue) {
                b.limit = Math.max(sparse ? 1 : LIMIT_LEAST, b.limit * LIMIT_CUT);
                b.cutAt = now;
            }
        } else if (b.out.size() + 1 >= b.limit / 2
                && (settings.replicas() < FILL || !(use(now, b) > LIMIT_USE))) {
            boolean free = !Double.isNaN(b.use) && use(now, b) < BUSY && b.out.size() + 1 >= b.limit;
            b.limit += b.limit < 1 ? b.limit / 4 : free ? 1 : 1 / b.limit;
        }
    }

    private void report(long now, Backend b, LoadReport report, boolean answer) {
        if (report != null && !Double.isNaN(report.inFlight())) {
            b.othersInFlight = Math.max(0, report.inFlight() - b.out.size());
            meanOthers = Double.isNaN(meanOthers) ? b.othersInFlight
                    : meanOthers + USUAL_WEIGHT * (b.othersInFlight - meanOthers);
            b.reportedAt = now;
        }
        if (!answer || settings.reports() != ReportSource.ANSWERS) return;
        if (report != null && !Double.isNaN(report.utilization())) {
            b.use = report.utilization();
            meanUse = Double.isNaN(meanUse) ? b.use : meanUse + USUAL_WEIGHT * (b.use - meanUse);
            b.reportedAt = now;
        } else if (!Double.isNaN(meanUse)) {
            // A report missing where one is usual means busy, not idle.
            b.use = Math.max(use(now, b), (1 + meanUse) / 2);
            b.reportedAt = now;
        }
    }

    // ---- Outlier ejection and half-open trials

    private void eject(long now, Backend b, String why) {
        if (!b.usable || b.openUntil == 0 && ejected + 1 > MAX_EJECTED * tree.size()) return;
        if (b.openUntil == 0) {
            ejected++;
            tree.mark(b, true);
            actions.log("server " + b.id + " ejected: " + why);
        }
        double wait = aimMicros * (1 << Math.min(b.backoff++, MAX_BACKOFF));
        b.openUntil = now + (long) (wait * (0.75 + random.nextDouble() / 2));
        b.failures = 0;
    }

    private void close(Backend b) {
        if (b.openUntil != 0) ejected--;
        tree.mark(b, false);
        b.openUntil = 0;
    }

    @Override
    public void probed(long now, long server, Result result, long elapsedMicros, LoadReport report) {
        Backend b = backends.get(server);
        if (b == null || b.line == null) return;
        if (result == Result.SERVED) {
            probeMicros += POOL_WEIGHT * (Math.min(elapsedMicros, aimMicros / 10) - probeMicros);
            report(now, b, report, false);
        }
        pump(now, b);
    }

    // ---- Other events

    @Override
    public void streamBegan(long now, String requestId, int attempt, long server, long elapsedMicros) {
        Pending p = requests.get(requestId);
        if (p == null || p.streaming || attempt < 0 || attempt >= p.attempts.size()) return;
        p.streaming = true;
        Attempt began = p.attempts.get(attempt);
        sample(now, began.server, elapsedMicros / began.usual);
        began.server.out.remove(began);
        outstanding.remove(began);
    }

    @Override
    public void clientLeft(long now, String requestId) {
        Pending p = requests.get(requestId);
        if (p != null) over(p);
    }

    @Override
    public void burden(long now, long server, double requests, boolean full) {
        Backend b = backends.get(server);
        if (b == null) return;
        b.burden = requests;
        b.full = full;
    }

    @Override
    public void limits(long now, int open, int held, int connections) {
        limits = limits.with(open, held, connections);
        openCells();
    }

    @Override
    public int avoided(long now) {
        return ejected;
    }

    @Override
    public void closing(long now) {
        closing = true;
        held.forEach(p -> end(now, p));
    }

    private void later(long at, int kind, Pending p) {
        long token = ++lastToken * TIMER_KINDS + kind;
        if (p != null) timers.put(token, p);
        actions.timer(at, token);
    }

    @Override
    public void timer(long now, long token) {
        int kind = (int) (token % TIMER_KINDS);
        if (kind == ASK) actions.subscribe();
        if (kind == CELLS) relabel(now, RELABEL);
        Pending p = timers.remove(token);
        if (kind == HELD && p == null) {
            looking = false;
            held.forEach(q -> {
                if (now >= lastUseful(q)) end(now, q);
                else look(now, q);
            });
            pump(now, null);
            lookAgain(now);
        }
        if (p == null || p.over || p.streaming) return;
        if (kind == COPY) {
            copy(now, p);
        } else if (kind == LOOK) {
            if (p.looks < MAX_LOOKS && choose(now, p) == null && look(now, p)) {
                later(now + lookMicros(), LOOK, p);
            } else admit(now, p);
        } else if (p.isHeld() && now >= lastUseful(p)) {
            end(now, p);
        } else if (p.isHeld()) later(lastUseful(p), HELD, p);
    }
}
