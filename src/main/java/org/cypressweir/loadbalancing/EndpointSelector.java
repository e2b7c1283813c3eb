package org.cypressweir.loadbalancing;

import static org.cypressweir.common.util.Hashes.mix;
import static org.cypressweir.common.util.Hashes.uniform;

import org.cypressweir.loadbalancing.LoadBalancer.Effect;

/**
 * Chooses the server for an attempt, or none. The ordinary path: the request walks from the node {its zone, its
 * tenant's cell} and takes the cheaper of two ready servers by peak-EWMA latency x (1 + in flight).
 */
final class EndpointSelector {

    /** Up to so many members a node is walked; of a larger one as many candidates are drawn, at most. */
    private static final int MAX_WALKED = 32;

    static final int MAX_DRAWS = 256;
    /** Candidates with room drawn for a cheap one; ejected ones looked at in turn. */
    private static final int CHEAP_CANDIDATES = 4;

    private static final int TRIALS = 4;
    /** Deterministic subsetting: servers of a node that an instance keeps, beside what its rate asks for. */
    private static final int MIN_KEPT = 2;
    /** Spill once a node's pick costs so many times the next node's; within a zone for what is to stay. */
    private static final double SPILL = 1.5;

    private static final double SPILL_LONG_LIVED = 1.1;
    /** Cost of a new connection while set-ups take no time; what a set-up of one target adds. */
    private static final double NEW_CONNECTION = 1.25;

    private static final double SETUP_COST = 10;
    /** Most of a chance with a cold server, in cold shares of a fair part, at each node of a path. */
    private static final double SLOW_START = 1.4;
    /** A server that tells its load is sent what it should answer in time, with this much to spare. */
    private static final double HEADROOM = 2;
    /** What servers carry counts so much for what is to stay there. */
    private static final int LONG_LIVED_COST = 50;

    private final BalancerContext context;
    private final ServerEstimates estimates;
    private final SubsetAssignment subsets;
    private final OutlierDetector outliers;
    private final RetryPolicy retries;

    EndpointSelector(BalancerContext context, SubsetAssignment subsets, OutlierDetector outliers, RetryPolicy retries) {
        this.context = context;
        this.subsets = subsets;
        this.outliers = outliers;
        this.retries = retries;
        estimates = context.estimates;
    }

    /** Walks from the narrowest node; widens where one is empty, and spills where it is much dearer. */
    Backend choose(long now, PendingRequest request) {
        if (subsets.tree.size() == 0) return null;
        Backend best = null;
        double bestCost = 0;
        int kept = context.hasManyInstances ? kept(now, request) : Integer.MAX_VALUE;
        boolean mayDraw = !context.hasManyInstances || context.isByKey(request);
        for (IndexedMembers<Backend> node : subsets.path(request)) {
            Backend pick = node.size() > MAX_WALKED && mayDraw
                    ? draw(now, request, node, best != null)
                    : pick(now, request, node, kept, best != null);
            if (pick == null || pick == best) continue;
            double cost = cost(now, request, pick);
            boolean even = request.isLongLived() && pick.server.zone() == subsets.homeZone;
            if (best == null || bestCost > cost * (even ? SPILL_LONG_LIVED : SPILL)) {
                best = pick;
                bestCost = cost;
            }
        }
        return best;
    }

    /** Servers of a node that are used. While idle connections die, fewer keep each connection in use. */
    private int kept(long now, PendingRequest request) {
        int least = context.idleTrust.trustedMicros(now) == Long.MAX_VALUE ? MIN_KEPT : 0;
        double requestsPerMicro = context.arrivals.perMicro(now, context.classes.targetMicros);
        return least + (int) Math.ceil(requestsPerMicro * context.classes.usualMicros(request));
    }

    /** Two ready servers at random (reservoir sampling), the lower cost wins; by the key's hash where servers
     * remember keys, the first unless much dearer; in a wider node the cheapest. One of many instances looks at the
     * first of its own order only (deterministic subsetting), so that it keeps few connections; the next ones step
     * in for the sick and full. Harm: fewer servers to choose from. */
    private Backend pick(long now, PendingRequest request, IndexedMembers<Backend> node, int kept, boolean cheapest) {
        boolean keyed = !cheapest && context.isByKey(request);
        int count = 0;
        int most = keyed ? node.size() : Math.min(kept, node.size());
        Backend first = null;
        Backend second = null;
        for (int i = 0; i < node.size() && count < most && i < MAX_DRAWS + MIN_KEPT; i++) {
            Backend candidate = node.get(i);
            if (!hasRoom(now, request, candidate, most)) continue;
            if (!cheapest && (candidate.isEjected() || coldShare(now, candidate) < 1)) return candidate;
            int slot = count < 2 ? count : context.random.nextInt(count + 1);
            if (count++ == 1 && !cheapest && !keyed && context.random.nextBoolean()) {
                // Of two alike the first wins, and the second member of a node would never be that.
                second = first;
                slot = 0;
            }
            if (cheapest) {
                first = first == null || cost(now, request, candidate) < cost(now, request, first) ? candidate : first;
            } else if (!keyed) {
                first = slot == 0 ? candidate : first;
                second = slot == 1 ? candidate : second;
            } else if (first == null || isNearer(request, candidate, first)) {
                second = first;
                first = candidate;
            } else if (second == null || isNearer(request, candidate, second)) {
                second = candidate;
            }
        }
        return cheaper(now, request, first, second, keyed);
    }

    /** Rendezvous hashing of the key. */
    private static boolean isNearer(PendingRequest request, Backend one, Backend other) {
        return mix(request.request.key(), one.id) > mix(request.request.key(), other.id);
    }

    /** The first, by key unless it is much dearer; null where there is none. */
    private Backend cheaper(long now, PendingRequest request, Backend first, Backend second, boolean keyed) {
        double bias = keyed ? SPILL : 1;
        return second == null || cost(now, request, first) <= bias * cost(now, request, second) ? first : second;
    }

    /** The same in a node too large to be walked: candidates are drawn until two with room are found, a bounded
     * number of times; by key along the ring of the members from the key's hash. The ejected, which no draw takes,
     * have their trials in turn. One member, drawn once for each request, has the chance of a cold one: a share of
     * its fair part, as if all were walked. */
    private Backend draw(long now, PendingRequest request, IndexedMembers<Backend> node, boolean cheapest) {
        int size = node.size();
        for (int i = 0; !cheapest && i < Math.min(TRIALS, node.marked()); i++) {
            Backend ejected = node.nextMarked();
            if (hasRoom(now, request, ejected, size)) return ejected;
        }
        Backend cold = node.get((int) (uniform(request.randomSeed, size) * size));
        if (!cheapest && !cold.isEjected() && coldShare(now, cold) < 1 && hasRoom(now, request, cold, 1)) return cold;
        boolean keyed = !cheapest && context.isByKey(request);
        int ringStart = keyed ? node.from(mix(request.request.key(), -1)) : 0;
        int wanted = cheapest ? CHEAP_CANDIDATES : 2;
        Backend first = null;
        Backend other = null;
        for (int i = 0; i < MAX_DRAWS && wanted > 0; i++) {
            Backend candidate = node.get(keyed ? (ringStart + i) % size : context.random.nextInt(size));
            boolean isTaken = candidate == first || candidate.isEjected() || coldShare(now, candidate) < 1;
            if (isTaken || !hasRoom(now, request, candidate, size)) continue;
            wanted--;
            if (first == null) {
                first = candidate;
            } else if (other == null || cost(now, request, candidate) < cost(now, request, other)) {
                other = candidate;
            }
        }
        return cheaper(now, request, first, other, keyed);
    }

    private double cost(long now, PendingRequest request, Backend backend) {
        double succeeds = 1 - backend.failureRates.get(now, request.requestClass);
        double load = 1 + estimates.load(now, backend);
        double cost = request.isLongLived()
                ? load + LONG_LIVED_COST * backend.longLivedLoad
                : estimates.latency(now, backend) * (load + backend.longLivedLoad);
        cost /= succeeds * succeeds + 0.01;
        if (estimates.knowsUtilization()) cost /= 1.1 - Math.min(1, estimates.utilization(now, backend));
        if (context.hasManyInstances && !isWarm(now, backend)) {
            cost *= NEW_CONNECTION + SETUP_COST * estimates.setupMicros.get(now) / context.classes.targetMicros;
        }
        return cost;
    }

    /** A connection that was used a moment ago; one idle for longer than those that died is not trusted. */
    boolean isWarm(long now, Backend backend) {
        long trusted = Math.min(context.idleTrust.trustedMicros(now), context.limits.idleMicros());
        return backend.connectionUsedAt != 0 && now - backend.connectionUsedAt < trusted;
    }

    /** Where set-ups have taken too long lately, a new connection brings no answer in time. But only a set-up
     * shows that they are short again: a server with nothing out is tried all the same, one of a crowd of instances
     * once a target. Harm: late answers where set-ups really are slow. */
    boolean isConnectable(long now, PendingRequest request, Backend backend) {
        if (isWarm(now, backend)) return true;
        DecayingMean setup = estimates.setupMicros;
        boolean isTrial = backend.inFlight.isEmpty()
                && (!context.hasManyInstances || now - setup.at() > context.classes.targetMicros);
        return now >= backend.connectAt
                && (isTrial || now + setup.get(now) + context.classes.usualMicros(request) <= request.targetAt);
    }

    private double coldShare(long now, Backend backend) {
        return backend.coldShare(now, context.settings.rules());
    }

    /** Whether a server takes one more, as one of so many; slow start and half-open trials among it. */
    boolean hasRoom(long now, PendingRequest request, Backend backend, int among) {
        boolean mayTake = now >= backend.pausedUntil && !backend.isSilent() && retries.mayRunOn(now, request, backend);
        if (!mayTake || !isConnectable(now, request, backend)) return false;
        if (backend.isEjected()) return now >= backend.ejectedUntil && mayTry(now, request, backend);
        double cold = coldShare(now, backend);
        boolean isBelowLimit = backend.inFlight.size() < Math.max(1, backend.concurrencyLimit * cold);
        if (cold < 1 && !(isBelowLimit && hasChance(now, request, backend, cold, among))) return false;
        if (estimates.knowsLoad()) {
            double load = estimates.load(now, backend);
            double took = HEADROOM * context.classes.usualMicros(request) * backend.meanLatency * (1 + load);
            double end = now + took + (isWarm(now, backend) ? 0 : estimates.setupMicros.get(now));
            return end <= request.targetAt || load < 1 && request.rules.lateShare() > 0;
        }
        return backend.inFlight.size() < backend.concurrencyLimit
                && (context.hasManyInstances || now >= backend.restUntil);
    }

    /** Slow start as a sum over all instances: each request that walks to a node has one chance, by that share of
     * what one of its servers is sent. Nothing is saved up, so no burst can come of it. A fleet that is mostly cold
     * is sent by the same measure: else its few warm servers had all that the cold may not. */
    private boolean hasChance(long now, PendingRequest request, Backend backend, double share, int among) {
        double part = context.hasManyInstances
                ? context.admissionProbability
                : Math.min(SLOW_START, 1 / context.backends.meanColdShare(now));
        return uniform(request.randomSeed, backend.id) < share * part / Math.max(1, among);
    }

    /** An ejected server is tried as if it were cold, less with each failure, by a safe request. */
    private boolean mayTry(long now, PendingRequest request, Backend backend) {
        if (!backend.inFlight.isEmpty()) outliers.eject(now, backend, "still no answer");
        boolean isSafe = !context.classes.hasSafeClass || request.rules.effect() == Effect.SAFE;
        double share = context.settings.rules().coldFrom() / backend.ejections;
        boolean mayTry = now >= backend.ejectedUntil && request.attempts.isEmpty() && isSafe;
        return mayTry && hasChance(now, request, backend, share, 1);
    }
}
