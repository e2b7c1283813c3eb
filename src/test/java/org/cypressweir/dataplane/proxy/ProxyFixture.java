package org.cypressweir.dataplane.proxy;

import io.netty.channel.embedded.EmbeddedChannel;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.cypressweir.common.diagnostics.RequestTrace;
import org.cypressweir.controlplane.configuration.RouteConfiguration;
import org.cypressweir.controlplane.configuration.WeightedDestination;
import org.cypressweir.dataplane.http.server.ServerRequest;
import org.cypressweir.dataplane.http.server.ServerResponse;
import org.cypressweir.dataplane.http.upstream.RequestOutcome;
import org.cypressweir.dataplane.http.upstream.UpstreamLoad;
import org.cypressweir.dataplane.http.upstream.UpstreamRequest;

/** A helm with made-up time, clients and servers: the test says what becomes of each attempt, and when. */
final class ProxyFixture implements AttemptTransport {

    static final long AIM = 500_000;
    static final long LEFT = 2_000_000;

    /** One attempt that was handed to the carrier. */
    static final class Sent {
        final Endpoint target;
        final UpstreamRequest freight;
        private final Consumer<AttemptResult> end;
        /** As far as it is known. */
        RequestOutcome outcome;

        boolean cancelled;
        /** Hears of it when it is cancelled. */
        Runnable whenCancelled = () -> {};

        Sent(Endpoint target, UpstreamRequest freight, Consumer<AttemptResult> end) {
            this.target = target;
            this.freight = freight;
            this.end = end;
        }

        void ends(RequestOutcome its) {
            outcome = its;
            end.accept(new AttemptResult(its, new UpstreamLoad(1, 0, 8)));
        }

        boolean hasNotRun() {
            return outcome instanceof RequestOutcome.NotRun;
        }

        void answers(int status) {
            ends(new RequestOutcome.Responded(status, List.of(Map.entry("By", target.instance())), new byte[0]));
        }
    }

    /** A client that waits for an answer. */
    static class Client implements ServerRequest {
        final List<ServerResponse> answers = new ArrayList<>();
        private Runnable gone;

        int status() {
            return answers.isEmpty() ? 0 : answers.get(0).status();
        }

        String retryAfter() {
            return org.cypressweir.dataplane.http.server.Headers.first(
                    answers.get(0).headers(), "Retry-After");
        }

        void leaves() {
            gone.run();
        }

        @Override
        public String method() {
            return "POST";
        }

        @Override
        public String uri() {
            return "/x";
        }

        @Override
        public String host() {
            return "a";
        }

        @Override
        public List<Map.Entry<String, String>> headers() {
            return List.of();
        }

        @Override
        public byte[] body() {
            return new byte[0];
        }

        @Override
        public long arrivedMicros() {
            return 0;
        }

        @Override
        public InetSocketAddress remote() {
            return null;
        }

        @Override
        public boolean answer(ServerResponse answer) {
            answers.add(answer);
            return true;
        }

        @Override
        public void onDisconnect(Runnable task) {
            gone = task;
        }

        @Override
        public boolean isOpen() {
            return answers.isEmpty();
        }
    }

    final List<Sent> sent = new ArrayList<>();
    /** Does what the test wants with each attempt as it is sent. */
    Consumer<Sent> server = s -> {};
    /** Whether it is an error to send again what may have run and can't be repeated. */
    boolean strict = true;

    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final ServiceRequestHandler helm;
    long now = 1_000_000_000L;
    final RequestTrace wake = new RequestTrace(() -> now, 4);
    private long numbers;

    ProxyFixture(int servers) {
        channel.freezeTime();
        helm = new ServiceRequestHandler(
                "s",
                channel.eventLoop(),
                () -> now,
                this,
                "p1",
                0,
                List.of("z"),
                ServiceRequestHandler.budget(10_000_000, 50, 0.25));
        servers(servers);
    }

    ServiceRequestHandler helm() {
        return helm;
    }

    /** From now on there are so many servers. */
    void servers(int count) {
        List<Endpoint> targets = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            targets.add(new Endpoint(100 + i, "p" + i, 1, "10.0.0." + i + ":7000", "i" + i, "z"));
        }
        helm.servers(targets, List.of("z"), Map.of());
        advance(0);
    }

    List<Sent> attempts(String id) {
        return sent.stream().filter(s -> s.freight.id().equals(id)).toList();
    }

    @Override
    public Ride send(Endpoint target, UpstreamRequest freight, Consumer<AttemptResult> end) {
        if (strict && !freight.idempotent() && !attempts(freight.id()).stream().allMatch(Sent::hasNotRun)) {
            throw new AssertionError("sent again: " + freight.id());
        }
        Sent one = new Sent(target, freight, end);
        sent.add(one);
        server.accept(one);
        return () -> {
            one.cancelled = true;
            one.whenCancelled.run();
        };
    }

    Client ask(boolean repeatable) {
        return ask(repeatable, new Client());
    }

    Client ask(boolean repeatable, Client client) {
        RouteConfiguration route = new RouteConfiguration(
                "r", "a", "/", repeatable, LEFT, AIM, 1, List.of(new WeightedDestination("s", 1)), 3, false);
        String number = Long.toString(++numbers);
        helm.take(new ProxiedRequest(
                number, client, "id" + number, route, "t", 1, false, now, now + AIM, now + LEFT, List.of(), wake));
        advance(0);
        return client;
    }

    /** A task at a time from now on. */
    void later(long micros, Runnable task) {
        channel.eventLoop().schedule(task, micros, TimeUnit.MICROSECONDS);
    }

    /** Time passes, and all happens that is due meanwhile, each at its time. */
    void advance(long micros) {
        long until = now + micros;
        while (true) {
            channel.runPendingTasks();
            long next = channel.runScheduledPendingTasks();
            long step = next < 0 ? Long.MAX_VALUE : Math.max(1, (next + 999) / 1_000);
            if (next == 0) {
                continue;
            }
            if (step > until - now) {
                channel.advanceTimeBy(until - now, TimeUnit.MICROSECONDS);
                now = until;
                channel.runPendingTasks();
                return;
            }
            channel.advanceTimeBy(step, TimeUnit.MICROSECONDS);
            now += step;
        }
    }
}
