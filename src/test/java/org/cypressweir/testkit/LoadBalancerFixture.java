package org.cypressweir.testkit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.BiFunction;
import org.cypressweir.loadbalancing.LoadBalancer;
import org.cypressweir.loadbalancing.LoadBalancer.Actions;
import org.cypressweir.loadbalancing.LoadBalancer.Effect;
import org.cypressweir.loadbalancing.LoadBalancer.Group;
import org.cypressweir.loadbalancing.LoadBalancer.ListKind;
import org.cypressweir.loadbalancing.LoadBalancer.Outcome;
import org.cypressweir.loadbalancing.LoadBalancer.Phase;
import org.cypressweir.loadbalancing.LoadBalancer.Request;
import org.cypressweir.loadbalancing.LoadBalancer.RequestClass;
import org.cypressweir.loadbalancing.LoadBalancer.RequestPolicy;
import org.cypressweir.loadbalancing.LoadBalancer.Result;
import org.cypressweir.loadbalancing.LoadBalancer.Server;
import org.cypressweir.loadbalancing.LoadBalancer.Settings;

/**
 * Drives a load balancer in simulated time with random outcomes of attempts, and checks each of its actions against
 * the limits and the terms of the request. A violation throws an {@link AssertionError} at once.
 */
public final class LoadBalancerFixture implements Actions {

    private final Settings settings;
    private final SplittableRandom random;
    private final LoadBalancer module;
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final Map<String, TrackedRequest> requests = new HashMap<>();
    private final Map<Long, Server> servers = new HashMap<>();
    private final List<String> trace = new ArrayList<>();
    private final String title;
    private long now = 1_000_000;
    private long sequence;
    /** How many attempts were not the first of their request: shows that a run has exercised retries. */
    private int retries;
    /** How many of those were sent while another attempt was in flight. */
    private int copies;

    private record Event(long at, long sequence, Runnable task) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(sequence, other.sequence);
        }
    }

    private static final class Attempt {
        private final long server;
        private final long at;
        private Result result;

        Attempt(long server, long at) {
            this.server = server;
            this.at = at;
        }

        boolean mayHaveRun() {
            return result == null || !result.provesNotRun;
        }
    }

    private static final class TrackedRequest {
        private final Request request;
        private final long receivedAt;
        private final List<Attempt> attempts = new ArrayList<>();
        private String outcome;

        TrackedRequest(Request request, long receivedAt) {
            this.request = request;
            this.receivedAt = receivedAt;
        }

        long inFlightCount() {
            return attempts.stream().filter(s -> s.result == null).count();
        }
    }

    public LoadBalancerFixture(
            String title,
            Settings settings,
            long seed,
            int count,
            BiFunction<Settings, Actions, LoadBalancer> modules) {
        this.title = title;
        this.settings = settings;
        random = new SplittableRandom(seed);
        module = modules.apply(settings, this);
        for (long id = 1; id <= count; id++) {
            servers.put(id, new Server(id, (int) (id % settings.zones().size()), 0, 0, Phase.READY, 0, 1));
        }
        module.servers(now, ListKind.COMPLETE, List.copyOf(servers.values()));
    }

    public LoadBalancer module() {
        return module;
    }

    public long now() {
        return now;
    }

    public int retries() {
        return retries;
    }

    public int copies() {
        return copies;
    }

    /** Schedules a request. */
    public void submit(long afterMicros, String id, int requestClass, long timeoutMicros, RequestPolicy terms) {
        scheduleAt(now + afterMicros, () -> {
            Request request =
                    new Request(id, requestClass, 0, false, random.nextInt(50), now + timeoutMicros, 0, false, terms);
            requests.put(id, new TrackedRequest(request, now));
            module.request(now, request);
        });
    }

    /** Schedules a task. */
    public void schedule(long micros, Runnable task) {
        scheduleAt(now + micros, task);
    }

    /** Runs all scheduled events, then checks that each request was answered and has no attempt in flight. */
    public void run() {
        for (Event event; (event = events.poll()) != null; ) {
            now = Math.max(now, event.at);
            event.task.run();
        }
        for (TrackedRequest a : requests.values()) {
            check(a, a.outcome != null, "no answer");
            check(a, a.inFlightCount() == 0, "an attempt has no outcome");
        }
    }

    /** How many requests had this outcome: served, refused or failed. */
    public long countWithOutcome(String answer) {
        return requests.values().stream().filter(a -> answer.equals(a.outcome)).count();
    }

    private void scheduleAt(long when, Runnable task) {
        events.add(new Event(when, sequence++, task));
    }

    private void check(TrackedRequest a, boolean holds, String otherwise) {
        if (!holds) {
            throw new AssertionError(title + ": request " + (a == null ? "?" : a.request.id()) + ": "
                    + otherwise
                    + "\n" + String.join("\n", trace.subList(Math.max(0, trace.size() - 40), trace.size())));
        }
    }

    @Override
    public void send(String requestId, long server, long timeoutMicros) {
        trace.add(now + " send " + requestId + " to " + server);
        TrackedRequest a = requests.get(requestId);
        Request r = a.request;
        RequestPolicy terms = r.policy();
        RequestClass c = settings.classes().get(r.requestClass());
        check(a, a.outcome == null, "sent after the request was answered");
        check(a, now < r.deadlineMicros(), "sent after the deadline");
        check(a, timeoutMicros == terms.attemptTimeoutMicros(), "wrong attempt time-out: " + timeoutMicros);
        check(
                a,
                a.attempts.size()
                        < Math.min(terms.maxAttempts(), settings.limits().maxAttempts()),
                "more attempts than allowed");
        check(a, a.inFlightCount() <= terms.maxHedges(), "more copies than allowed");
        check(a, c.effect() != Effect.UNSAFE || a.inFlightCount() == 0, "an unsafe request has two attempts in flight");
        Attempt first =
                a.attempts.stream().filter(Attempt::mayHaveRun).findFirst().orElse(null);
        if (first != null && c.effect() != Effect.SAFE) {
            check(a, c.effect() == Effect.KEYED, "an unsafe request that may have run is sent again");
            check(
                    a,
                    now - first.at < c.dedupWindowMicros(),
                    "a keyed request is sent again after its deduplication window");
            check(
                    a,
                    c.group() != Group.ZONE
                            || servers.get(first.server).zone()
                                    == servers.get(server).zone(),
                    "a keyed request is sent again outside its group");
        }
        if (a.inFlightCount() == 0) {
            check(
                    a,
                    a.attempts.stream().allMatch(s -> terms.retryOn().contains(s.result)),
                    "sent again after an outcome that must not be retried");
        }
        if (!a.attempts.isEmpty()) {
            retries++;
            copies += a.inFlightCount() > 0 ? 1 : 0;
        }
        Attempt sent = new Attempt(server, now);
        a.attempts.add(sent);
        int number = a.attempts.size() - 1;
        long limit = timeoutMicros == 0 ? r.deadlineMicros() : Math.min(r.deadlineMicros(), now + timeoutMicros);
        long elapsed = 1_000 + random.nextLong(random.nextInt(4) == 0 ? 1_200_000 : 150_000);
        if (now + elapsed >= limit) {
            scheduleAt(limit, () -> endAttempt(a, number, sent, Result.TIMED_OUT));
        } else {
            Result result =
                    switch (random.nextInt(10)) {
                        case 0 -> Result.ERROR;
                        case 1 -> Result.BROKEN;
                        case 2 -> Result.FULL;
                        case 3 -> Result.NO_CONNECTION;
                        default -> Result.SERVED;
                    };
            scheduleAt(now + elapsed, () -> endAttempt(a, number, sent, result));
        }
    }

    private void endAttempt(TrackedRequest a, int number, Attempt sent, Result result) {
        if (sent.result != null) {
            return;
        }
        trace.add(now + " " + a.request.id() + "/" + number + " " + result);
        sent.result = result;
        if (result == Result.SERVED && a.outcome == null) {
            a.outcome = "served";
        }
        module.outcome(
                now, new Outcome(a.request.id(), number, sent.server, result, now - sent.at, a.outcome != null, null));
    }

    private void recordOutcome(String requestId, String how) {
        trace.add(now + " " + how + " " + requestId);
        TrackedRequest a = requests.get(requestId);
        check(a, a.outcome == null, "answered again: " + how);
        a.outcome = how;
        Effect effect = settings.classes().get(a.request.requestClass()).effect();
        boolean ran = a.attempts.stream().anyMatch(Attempt::mayHaveRun);
        check(a, !how.equals("refused") || effect != Effect.UNSAFE || !ran, "refused though it may have run");
        check(a, now <= a.request.deadlineMicros(), "answered after its deadline, received at " + a.receivedAt);
    }

    @Override
    public void refuse(String requestId, long retryAfterMicros) {
        recordOutcome(requestId, "refused");
    }

    @Override
    public void fail(String requestId) {
        recordOutcome(requestId, "failed");
    }

    @Override
    public void cancel(String requestId, int attempt) {
        TrackedRequest a = requests.get(requestId);
        scheduleAt(now, () -> endAttempt(a, attempt, a.attempts.get(attempt), Result.CANCELLED));
    }

    @Override
    public void timer(long atMicros, long token) {
        scheduleAt(atMicros, () -> module.timer(now, token));
    }

    @Override
    public void probe(long server) {
        throw new AssertionError(title + ": probes are not allowed");
    }

    @Override
    public void closeIdle(long server) {}

    @Override
    public void subscribe() {}

    @Override
    public void log(String line) {}
}
