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
import org.cypressweir.loadbalancing.LoadBalancer.Result;
import org.cypressweir.loadbalancing.LoadBalancer.Server;
import org.cypressweir.loadbalancing.LoadBalancer.Settings;
import org.cypressweir.loadbalancing.LoadBalancer.Terms;

/**
 * Drives a module by hand, in time that it makes up, with outcomes at random, and holds each action against
 * the rules and the terms of its request. A broken one is an {@link AssertionError} at once.
 */
public final class LoadBalancerFixture implements Actions {

    private final Settings settings;
    private final SplittableRandom random;
    private final LoadBalancer module;
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final Map<String, Asked> asked = new HashMap<>();
    private final Map<Long, Server> servers = new HashMap<>();
    private final List<String> trace = new ArrayList<>();
    private final String title;
    private long now = 1_000_000;
    private long sequence;
    /** Attempts beyond the first, and copies of what was still out: that the test has looked at something. */
    private int retries;

    private int copies;

    private record Event(long at, long sequence, Runnable task) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(sequence, other.sequence);
        }
    }

    private static final class Sent {
        private final long server;
        private final long at;
        private Result result;

        Sent(long server, long at) {
            this.server = server;
            this.at = at;
        }

        boolean mayHaveRun() {
            return result == null || !result.provesNotRun;
        }
    }

    private static final class Asked {
        private final Request request;
        private final long takenAt;
        private final List<Sent> sent = new ArrayList<>();
        private String answer;

        Asked(Request request, long takenAt) {
            this.request = request;
            this.takenAt = takenAt;
        }

        long out() {
            return sent.stream().filter(s -> s.result == null).count();
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

    /** Has a request come so much later. */
    public void ask(long afterMicros, String id, int requestClass, long timeoutMicros, Terms terms) {
        at(now + afterMicros, () -> {
            Request request =
                    new Request(id, requestClass, 0, false, random.nextInt(50), now + timeoutMicros, 0, false, terms);
            asked.put(id, new Asked(request, now));
            module.request(now, request);
        });
    }

    /** Has something else happen so much later. */
    public void after(long micros, Runnable task) {
        at(now + micros, task);
    }

    /** Runs until nothing is left to happen, then demands that each request has had its answer. */
    public void run() {
        for (Event event; (event = events.poll()) != null; ) {
            now = Math.max(now, event.at);
            event.task.run();
        }
        for (Asked a : asked.values()) {
            check(a, a.answer != null, "no answer");
            check(a, a.out() == 0, "an attempt without an end");
        }
    }

    /** Requests that ended so: served, refused or failed. */
    public long ended(String answer) {
        return asked.values().stream().filter(a -> answer.equals(a.answer)).count();
    }

    private void at(long when, Runnable task) {
        events.add(new Event(when, sequence++, task));
    }

    private void check(Asked a, boolean holds, String otherwise) {
        if (!holds) {
            throw new AssertionError(title + ": request " + (a == null ? "?" : a.request.id()) + ": "
                    + otherwise
                    + "\n" + String.join("\n", trace.subList(Math.max(0, trace.size() - 40), trace.size())));
        }
    }

    @Override
    public void send(String requestId, long server, long timeoutMicros) {
        trace.add(now + " send " + requestId + " to " + server);
        Asked a = asked.get(requestId);
        Request r = a.request;
        Terms terms = r.terms();
        RequestClass c = settings.classes().get(r.requestClass());
        check(a, a.answer == null, "sent after its answer");
        check(a, now < r.deadlineMicros(), "sent after its time");
        check(a, timeoutMicros == terms.attemptMicros(), "another time for an attempt: " + timeoutMicros);
        check(a, a.sent.size() < Math.min(terms.attempts(), settings.limits().attempts()), "one too many");
        check(a, a.out() <= terms.copies(), "more copies than allowed");
        check(a, c.effect() != Effect.UNSAFE || a.out() == 0, "an unsafe one is out twice");
        Sent first = a.sent.stream().filter(Sent::mayHaveRun).findFirst().orElse(null);
        if (first != null && c.effect() != Effect.SAFE) {
            check(a, c.effect() == Effect.KEYED, "an unsafe one goes out again that may have run");
            check(a, now - first.at < c.dedupWindowMicros(), "a keyed one goes out past its memory");
            check(
                    a,
                    c.group() != Group.ZONE
                            || servers.get(first.server).zone()
                                    == servers.get(server).zone(),
                    "a keyed one leaves its group");
        }
        if (a.out() == 0) {
            check(
                    a,
                    a.sent.stream().allMatch(s -> terms.retryOn().contains(s.result)),
                    "sent again after an outcome that is not to be retried");
        }
        if (!a.sent.isEmpty()) {
            retries++;
            copies += a.out() > 0 ? 1 : 0;
        }
        Sent sent = new Sent(server, now);
        a.sent.add(sent);
        int number = a.sent.size() - 1;
        long limit = timeoutMicros == 0 ? r.deadlineMicros() : Math.min(r.deadlineMicros(), now + timeoutMicros);
        long took = 1_000 + random.nextLong(random.nextInt(4) == 0 ? 1_200_000 : 150_000);
        if (now + took >= limit) {
            at(limit, () -> end(a, number, sent, Result.TIMED_OUT));
        } else {
            Result result =
                    switch (random.nextInt(10)) {
                        case 0 -> Result.ERROR;
                        case 1 -> Result.BROKEN;
                        case 2 -> Result.FULL;
                        case 3 -> Result.NO_CONNECTION;
                        default -> Result.SERVED;
                    };
            at(now + took, () -> end(a, number, sent, result));
        }
    }

    private void end(Asked a, int number, Sent sent, Result result) {
        if (sent.result != null) {
            return;
        }
        trace.add(now + " " + a.request.id() + "/" + number + " " + result);
        sent.result = result;
        if (result == Result.SERVED && a.answer == null) {
            a.answer = "served";
        }
        module.outcome(
                now, new Outcome(a.request.id(), number, sent.server, result, now - sent.at, a.answer != null, null));
    }

    private void answer(String requestId, String how) {
        trace.add(now + " " + how + " " + requestId);
        Asked a = asked.get(requestId);
        check(a, a.answer == null, "a second answer: " + how);
        a.answer = how;
        Effect effect = settings.classes().get(a.request.requestClass()).effect();
        boolean ran = a.sent.stream().anyMatch(Sent::mayHaveRun);
        check(a, !how.equals("refused") || effect != Effect.UNSAFE || !ran, "refused though it may have run");
        check(a, now <= a.request.deadlineMicros(), "answered past its time, taken at " + a.takenAt);
    }

    @Override
    public void refuse(String requestId, long retryAfterMicros) {
        answer(requestId, "refused");
    }

    @Override
    public void fail(String requestId) {
        answer(requestId, "failed");
    }

    @Override
    public void cancel(String requestId, int attempt) {
        Asked a = asked.get(requestId);
        at(now, () -> end(a, attempt, a.sent.get(attempt), Result.CANCELLED));
    }

    @Override
    public void timer(long atMicros, long token) {
        at(atMicros, () -> module.timer(now, token));
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
