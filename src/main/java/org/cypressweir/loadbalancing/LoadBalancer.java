package org.cypressweir.loadbalancing;

import java.util.EnumSet;
import java.util.List;
import java.util.Set;

/**
 * What a load balancer is told and what it answers. One instance belongs to one client process; it is driven
 * by one thread, reads no clock (every event brings the time) and acts only through {@link Actions}.
 */
public interface LoadBalancer {

    /** Whether a request may run more than once. */
    enum Effect {
        SAFE,
        KEYED,
        UNSAFE
    }

    /** Which servers drop the repeats of a keyed request. */
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

    /** What discovery says of a server. */
    enum Phase {
        READY,
        DRAINING,
        REMOVED
    }

    /** Kinds of list: changes to the last one, a complete one, the one kept on disk, or a failed call. */
    enum ListKind {
        CHANGES,
        COMPLETE,
        CACHED,
        FAILED
    }

    /** How an attempt or a probe ended, and whether that proves that the request never ran. */
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

    /** A class of requests: its effect, its times and what an answer is worth. */
    record RequestClass(
            String name,
            Effect effect,
            Group group,
            long dedupWindowMicros,
            long aimMicros,
            double aimStretch,
            long deadlineMicros,
            double worth,
            double lateShare,
            boolean streaming) {
        /** Holds the place of a class that was dropped, until another takes it. */
        public static final RequestClass GONE = new RequestClass("", Effect.UNSAFE, Group.ALL, 0, 0, 0, 0, 0, 0, false);

        public RequestClass {
            require(
                    aimMicros >= 0 && deadlineMicros >= 0 && dedupWindowMicros >= 0,
                    "class '" + name + "' has a negative time");
            require(worth >= 0 && lateShare >= 0 && aimStretch >= 0, "class '" + name + "' has a negative worth");
        }
    }

    /** A tenant and its share of the service. */
    record Tenant(String name, double share) {
        public Tenant {
            require(share >= 0, "tenant '" + name + "' has a negative share");
        }
    }

    /**
     * What the site allows; open is how many requests an instance may have in hand, held how many of them may
     * wait for a server, connections how many it may keep to servers.
     */
    record Limits(
            int attempts,
            boolean cancelling,
            boolean probing,
            boolean retryAdvice,
            long maxRetryAdviceMicros,
            long idleMicros,
            int open,
            int held,
            boolean secondCopies,
            int connections) {
        public Limits {
            require(open >= 0 && held >= 0, "a limit of requests is negative");
        }

        /** The same with others for requests in hand, those of them that wait, and connections. */
        public Limits with(int otherOpen, int otherHeld, int otherConnections) {
            return new Limits(
                    attempts,
                    cancelling,
                    probing,
                    retryAdvice,
                    maxRetryAdviceMicros,
                    idleMicros,
                    otherOpen,
                    otherHeld,
                    secondCopies,
                    otherConnections);
        }
    }

    /** At most so many requests under this name in hand, and so many of them waiting for a server. */
    record Bound(String name, int open, int held) {}

    /**
     * What operators set for a request, within what site and class allow: attempts; the time of one (0: what
     * the request has left); after which results another may follow; how many further copies may be out at
     * once, and how long after the copy before; bounds that the request counts for; whether it asks for a
     * connection that stays, which makes what servers carry beside requests count first.
     */
    record Terms(
            int attempts,
            long attemptMicros,
            Set<Result> retryOn,
            int copies,
            long copyAfterMicros,
            List<Bound> bounds,
            boolean stays) {
        /** Nothing is set: site and class alone say what holds. */
        public static final Terms NONE =
                new Terms(Integer.MAX_VALUE, 0, Set.copyOf(EnumSet.allOf(Result.class)), 0, 0, List.of(), false);

        /** The same for a request for a connection that stays. */
        public Terms forOneThatStays() {
            return new Terms(attempts, attemptMicros, retryOn, 0, 0, bounds, true);
        }

        public Terms {
            require(
                    attempts >= 1 && attemptMicros >= 0 && copies >= 0 && copyAfterMicros >= 0,
                    "a request's terms are out of range");
        }
    }

    /**
     * Figures of the rules on drains, on cold servers and on further attempts: within the look-back at most
     * the floor and so many for each request taken; a look-back of 0 means that there is no such rule.
     */
    record Rules(
            double coldFrom,
            long coldMicros,
            long fallMicros,
            long askEveryMicros,
            double extraFloor,
            double extraPerRequest,
            long lookBackMicros) {
        public Rules {
            require(
                    coldMicros >= 0 && fallMicros >= 0 && askEveryMicros >= 0 && lookBackMicros >= 0,
                    "a rule has a negative time");
            require(
                    extraFloor >= 0 && extraPerRequest >= 0 && extraPerRequest <= 1,
                    "the retry budget is negative or above one a request");
        }

        /** What a server that started then (0: long ago) takes by now, as a part of what a warm one does. */
        public double coldShare(long nowMicros, long startMicros) {
            long age = nowMicros - startMicros;
            return startMicros <= 0 || age >= coldMicros
                    ? 1
                    : Math.min(1, coldFrom + (1 - coldFrom) * Math.max(0, age) / coldMicros);
        }
    }

    /** Everything that an instance is handed at its start; the probe price is a fraction of the result. */
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
            boolean warmKeys,
            long tickMicros) {
        public Settings {
            require(!classes.isEmpty(), "there are no request classes");
            require(probePrice >= 0 && overShareWorth >= 0, "a price or worth is negative");
            require(tickMicros >= 0, "the tick is negative");
        }

        /** The same as one of so many instances. */
        public Settings among(int instances) {
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
                    warmKeys,
                    tickMicros);
        }

        /** The same with these classes; not all of them are gone. */
        public Settings with(List<RequestClass> others) {
            return new Settings(
                    seed,
                    rank,
                    replicas,
                    zone,
                    zones,
                    others,
                    tenants,
                    overShareWorth,
                    probePrice,
                    limits,
                    rules,
                    reports,
                    discoveryOnAsk,
                    warmKeys,
                    tickMicros);
        }

        /** The same with other limits and another way to discovery. */
        public Settings with(Limits other, boolean asks) {
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
                    other,
                    rules,
                    reports,
                    asks,
                    warmKeys,
                    tickMicros);
        }
    }

    private static void require(boolean held, String otherwise) {
        if (!held) throw new IllegalArgumentException("settings: " + otherwise);
    }

    /** A line of a server list. A start time of 0 means long ago. */
    record Server(long id, int zone, int kind, int cell, Phase phase, long startMicros, double weight) {}

    /** A request. A key below 0 or a hint of 0 means that there is none. */
    record Request(
            String id,
            int requestClass,
            int tenant,
            boolean repeat,
            long key,
            long deadlineMicros,
            long hintMicros,
            boolean write,
            Terms terms) {
        public Request(
                String id,
                int requestClass,
                int tenant,
                boolean repeat,
                long key,
                long deadlineMicros,
                long hintMicros,
                boolean write) {
            this(id, requestClass, tenant, repeat, key, deadlineMicros, hintMicros, write, Terms.NONE);
        }
    }

    /** A server's own word on its load; NaN where it says nothing. */
    record LoadReport(
            double inFlight, double queue, double utilization, double latencyMillis, double rate, double errorRate) {}

    /** How one attempt ended; closed tells that the client has its final answer. The report may be null. */
    record Outcome(
            String requestId,
            int attempt,
            long server,
            Result result,
            long elapsedMicros,
            boolean closed,
            LoadReport report) {}

    /** What the balancer may do, in the order in which it asks for it. */
    interface Actions {
        void send(String requestId, long server, long timeoutMicros);

        void refuse(String requestId, long retryAfterMicros);

        void fail(String requestId);

        void cancel(String requestId, int attempt);

        /** Asks for {@link LoadBalancer#timer} at that time; a timer can't be taken back. */
        void timer(long atMicros, long token);

        void probe(long server);

        /** Closes this instance's idle connections to a server. */
        void closeIdle(long server);

        /** Asks discovery for changes from now on; answered by a list or a failure. */
        void subscribe();

        /** A line for on-call staff. */
        void log(String line);
    }

    void servers(long nowMicros, ListKind kind, List<Server> list);

    void request(long nowMicros, Request request);

    /** The answer of a streamed class has begun: the attempt is the client's now. */
    void streamBegan(long nowMicros, String requestId, int attempt, long server, long elapsedMicros);

    void outcome(long nowMicros, Outcome outcome);

    /** The client left, or was answered by other means: nothing is owed any more. */
    void clientLeft(long nowMicros, String requestId);

    void timer(long nowMicros, long token);

    void probed(long nowMicros, long server, Result result, long elapsedMicros, LoadReport report);

    /**
     * What a server carries beside requests, counted in requests in flight: connections that have gone over
     * to another protocol and stay; and whether it takes a further one of them now.
     */
    default void burden(long nowMicros, long server, double requests, boolean full) {}

    /** Other limits hold from now on; what is in hand stays. */
    default void limits(long nowMicros, int open, int held, int connections) {}

    /**
     * Other classes and attempts hold for requests from now on; a class that stays keeps its number, and the
     * number of one that is gone is taken by another only after the last request under it.
     */
    default void retune(long nowMicros, Settings next) {}

    /** Ready servers that nothing new would be sent to now, whatever the load. */
    default int avoided(long nowMicros) {
        return 0;
    }

    /** No server will come any more: what waits for one is given up, and nothing is tried again. */
    default void closing(long nowMicros) {}
}
