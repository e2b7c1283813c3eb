package org.cypressweir.loadbalancing;

import java.util.EnumSet;
import java.util.List;
import java.util.Set;

/**
 * A client-side load balancer: its settings, the events it is told of and the actions it takes. One instance belongs
 * to one client process. It is driven by one thread, reads no clock (every event brings the time) and acts only
 * through {@link Actions}. All times are in microseconds unless a name says otherwise.
 */
public interface LoadBalancer {

    /** Whether a request may run more than once: always, only where servers deduplicate it by its key, or never. */
    enum Effect {
        SAFE,
        KEYED,
        UNSAFE
    }

    /** Which servers share the deduplication of a keyed request. */
    enum Group {
        ALL,
        ZONE,
        CELL
    }

    /** Where load reports come from. */
    enum ReportSource {
        NONE,
        ANSWERS,
        PROBES
    }

    /** The state of a server according to discovery. */
    enum Phase {
        READY,
        DRAINING,
        REMOVED
    }

    /** Kinds of server list: changes to the last one, a complete one, the one cached on disk, or a failed call. */
    enum ListKind {
        CHANGES,
        COMPLETE,
        CACHED,
        FAILED
    }

    /** How an attempt or a probe ended, and whether that proves that the request did not run. */
    enum Result {
        SERVED(false),
        ERROR(false),
        FULL(true),
        TIMED_OUT(false),
        NO_CONNECTION(true),
        BROKEN(false),
        CANCELLED(false),
        NOT_SENT(true);

        public final boolean provesNotRun;

        Result(boolean provesNotRun) {
            this.provesNotRun = provesNotRun;
        }
    }

    /**
     * A class of requests: whether they may run more than once, their times and what an answer is worth. The latency
     * target is a fixed time plus the hint factor times the request's hint; an answer after it is worth only the late
     * share.
     */
    record RequestClass(
            String name,
            Effect effect,
            Group group,
            long dedupWindowMicros,
            long targetMicros,
            double hintFactor,
            long deadlineMicros,
            double worth,
            double lateShare,
            boolean streaming) {
        /** Placeholder for a removed class, until another class takes its number. */
        public static final RequestClass REMOVED =
                new RequestClass("", Effect.UNSAFE, Group.ALL, 0, 0, 0, 0, 0, 0, false);

        public RequestClass {
            require(
                    targetMicros >= 0 && deadlineMicros >= 0 && dedupWindowMicros >= 0,
                    "class '" + name + "' has a negative time");
            require(worth >= 0 && lateShare >= 0 && hintFactor >= 0, "class '" + name + "' has a negative worth");
        }
    }

    /** A tenant and its share of the service. */
    record Tenant(String name, double share) {
        public Tenant {
            require(share >= 0, "tenant '" + name + "' has a negative share");
        }
    }

    /**
     * Limits of an instance: attempts per request, open requests, how many of these may be queued for a server, and
     * connections to servers; and which features it may use.
     */
    record Limits(
            int maxAttempts,
            boolean cancelling,
            boolean probing,
            boolean retryAdvice,
            long maxRetryAdviceMicros,
            long idleMicros,
            int maxOpen,
            int maxQueued,
            boolean hedging,
            int maxConnections) {
        public Limits {
            require(maxOpen >= 0 && maxQueued >= 0, "a limit of requests is negative");
        }

        /** A copy with other limits of open requests, queued requests and connections. */
        public Limits with(int otherMaxOpen, int otherMaxQueued, int otherMaxConnections) {
            return new Limits(
                    maxAttempts,
                    cancelling,
                    probing,
                    retryAdvice,
                    maxRetryAdviceMicros,
                    idleMicros,
                    otherMaxOpen,
                    otherMaxQueued,
                    hedging,
                    otherMaxConnections);
        }
    }

    /** A limit that several requests share by its name: of open requests, and of those of them that are queued. */
    record NamedLimit(String name, int maxOpen, int maxQueued) {}

    /**
     * The operators' policy for a request, within the limits of settings and class: attempts; the time-out of one
     * (0: the time that the request has left); the results after which a retry may follow; how many hedged requests
     * may be in flight at once, and the delay of each after the attempt before; the named limits that the request
     * counts towards; whether it asks for a long-lived connection, for which the load that servers carry beside
     * requests counts most.
     */
    record RequestPolicy(
            int maxAttempts,
            long attemptTimeoutMicros,
            Set<Result> retryOn,
            int maxHedges,
            long hedgeDelayMicros,
            List<NamedLimit> limits,
            boolean longLived) {
        /** Sets nothing: only the limits of settings and class apply. */
        public static final RequestPolicy NONE = new RequestPolicy(
                Integer.MAX_VALUE, 0, Set.copyOf(EnumSet.allOf(Result.class)), 0, 0, List.of(), false);

        /** The same for a request for a long-lived connection, which is never hedged. */
        public RequestPolicy forLongLived() {
            return new RequestPolicy(maxAttempts, attemptTimeoutMicros, retryOn, 0, 0, limits, true);
        }

        public RequestPolicy {
            require(
                    maxAttempts >= 1 && attemptTimeoutMicros >= 0 && maxHedges >= 0 && hedgeDelayMicros >= 0,
                    "a request's policy is out of range");
        }
    }

    /**
     * Rules on slow start, discovery and retries. A cold server starts at a share of a warm one's traffic and grows
     * linearly to all of it. The request rate is averaged over twice the fall time. Discovery must be asked once in
     * an interval. Within a sliding window there may be at most the floor and so many retries per request taken; a
     * window of 0 means that there is no retry budget.
     */
    record Rules(
            double initialSlowStartShare,
            long slowStartMicros,
            long fallMicros,
            long discoveryIntervalMicros,
            double retryFloor,
            double retriesPerRequest,
            long retryWindowMicros) {
        public Rules {
            require(
                    slowStartMicros >= 0 && fallMicros >= 0 && discoveryIntervalMicros >= 0 && retryWindowMicros >= 0,
                    "a rule has a negative time");
            require(
                    retryFloor >= 0 && retriesPerRequest >= 0 && retriesPerRequest <= 1,
                    "the retry budget is negative or above one retry per request");
        }

        /** The slow-start share of a server by its start time (0: long ago): the fraction of a warm one's traffic. */
        public double slowStartShare(long nowMicros, long startMicros) {
            long age = nowMicros - startMicros;
            return startMicros <= 0 || age >= slowStartMicros
                    ? 1
                    : Math.min(
                            1,
                            initialSlowStartShare + (1 - initialSlowStartShare) * Math.max(0, age) / slowStartMicros);
        }
    }

    /** All settings of an instance at its start; the probe price is a fraction of the result. */
    record Settings(
            long seed,
            int rank,
            int replicas,
            int zone,
            List<String> zones,
            List<RequestClass> classes,
            List<Tenant> tenants,
            double overShareWorth,
            double probePrice,
            Limits limits,
            Rules rules,
            ReportSource reports,
            boolean discoveryOnAsk,
            boolean keyAffinity,
            long tickMicros) {
        public Settings {
            require(!classes.isEmpty(), "there are no request classes");
            require(probePrice >= 0 && overShareWorth >= 0, "a price or worth is negative");
            require(tickMicros >= 0, "the tick is negative");
        }

        /** A copy with another number of instances. */
        public Settings withReplicas(int instances) {
            return new Settings(
                    seed,
                    rank,
                    instances,
                    zone,
                    zones,
                    classes,
                    tenants,
                    overShareWorth,
                    probePrice,
                    limits,
                    rules,
                    reports,
                    discoveryOnAsk,
                    keyAffinity,
                    tickMicros);
        }

        /** A copy with these classes, of which at least one must not be a placeholder. */
        public Settings with(List<RequestClass> otherClasses) {
            return new Settings(
                    seed,
                    rank,
                    replicas,
                    zone,
                    zones,
                    otherClasses,
                    tenants,
                    overShareWorth,
                    probePrice,
                    limits,
                    rules,
                    reports,
                    discoveryOnAsk,
                    keyAffinity,
                    tickMicros);
        }

        /** A copy with other limits and another way of asking discovery. */
        public Settings with(Limits otherLimits, boolean otherDiscoveryOnAsk) {
            return new Settings(
                    seed,
                    rank,
                    replicas,
                    zone,
                    zones,
                    classes,
                    tenants,
                    overShareWorth,
                    probePrice,
                    otherLimits,
                    rules,
                    reports,
                    otherDiscoveryOnAsk,
                    keyAffinity,
                    tickMicros);
        }
    }

    private static void require(boolean condition, String problem) {
        if (!condition) throw new IllegalArgumentException("settings: " + problem);
    }

    /** An entry of a server list. A start time of 0 means long ago. */
    record Server(long id, int zone, int kind, int cell, Phase phase, long startMicros, double weight) {}

    /** A request. A key below 0 means none, and a hint of 0 that the expected processing time is unknown. */
    record Request(
            String id,
            int requestClass,
            int tenant,
            boolean repeat,
            long key,
            long deadlineMicros,
            long hintMicros,
            boolean write,
            RequestPolicy policy) {
        public Request(
                String id,
                int requestClass,
                int tenant,
                boolean repeat,
                long key,
                long deadlineMicros,
                long hintMicros,
                boolean write) {
            this(id, requestClass, tenant, repeat, key, deadlineMicros, hintMicros, write, RequestPolicy.NONE);
        }
    }

    /** A server's report on its own load; NaN where it does not report a value. */
    record LoadReport(
            double inFlight, double queue, double utilization, double latencyMillis, double rate, double errorRate) {}

    /** The end of an attempt; closed means that the client has its final answer. The report may be null. */
    record Outcome(
            String requestId,
            int attempt,
            long server,
            Result result,
            long elapsedMicros,
            boolean closed,
            LoadReport report) {}

    /** The actions of the balancer, to be carried out in the order of the calls. */
    interface Actions {
        void send(String requestId, long server, long timeoutMicros);

        void refuse(String requestId, long retryAfterMicros);

        void fail(String requestId);

        void cancel(String requestId, int attempt);

        /** Asks for a call of {@link LoadBalancer#timer} at that time; a timer cannot be cancelled. */
        void timer(long atMicros, long token);

        void probe(long server);

        /** Closes this instance's idle connections to a server. */
        void closeIdle(long server);

        /** Subscribes to changes from discovery, which answers with a list or a failure. */
        void subscribe();

        /** Logs a line for operators. */
        void log(String line);
    }

    void servers(long nowMicros, ListKind kind, List<Server> list);

    void request(long nowMicros, Request request);

    /** The response of a streaming class has begun: from now on the attempt belongs to the client. */
    void streamBegan(long nowMicros, String requestId, int attempt, long server, long elapsedMicros);

    void outcome(long nowMicros, Outcome outcome);

    /** The client left, or was answered by other means: no answer is due any more. */
    void clientLeft(long nowMicros, String requestId);

    void timer(long nowMicros, long token);

    void probed(long nowMicros, long server, Result result, long elapsedMicros, LoadReport report);

    /**
     * The load of a server beside requests, from long-lived connections that were upgraded to another protocol,
     * in units of requests in flight; and whether the server is full, so that it takes no further such connection.
     */
    default void externalLoad(long nowMicros, long server, double requests, boolean full) {}

    /** Changes the limits; open requests stay. */
    default void limits(long nowMicros, int maxOpen, int maxQueued, int maxConnections) {}

    /**
     * Changes the classes and the attempt limit for requests from now on. A class that remains keeps its number, and
     * the number of a removed one is reused only after the last request under it has ended.
     */
    default void reconfigure(long nowMicros, Settings next) {}

    /** The number of ready servers that get no new requests now, whatever the load. */
    default int ejectedServers(long nowMicros) {
        return 0;
    }

    /** No further servers will come: ends all queued requests and stops retries. */
    default void shutDown(long nowMicros) {}
}
