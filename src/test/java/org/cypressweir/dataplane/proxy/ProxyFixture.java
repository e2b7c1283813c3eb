package org.cypressweir.dataplane.proxy;

import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.cypressweir.common.diagnostics.RequestTrace;
import org.cypressweir.common.settings.NodeSettings;
import org.cypressweir.controlplane.configuration.RouteConfiguration;
import org.cypressweir.controlplane.configuration.WeightedDestination;
import org.cypressweir.dataplane.http.upstream.RequestOutcome;
import org.cypressweir.dataplane.http.upstream.UpstreamLoad;
import org.cypressweir.dataplane.http.upstream.UpstreamRequest;
import org.cypressweir.loadbalancing.LoadBalancer.Result;
import org.cypressweir.testkit.RecordedServerRequest;

/** A request handler with simulated time, clients and instances; the test decides how and when each attempt ends. */
final class ProxyFixture implements AttemptTransport {

    static final long LATENCY_TARGET_MICROS = 500_000;
    static final long TIMEOUT_MICROS = 2_000_000;
    /** The settings of a proxy beside an instance of the service "till". */
    static final NodeSettings SETTINGS = NodeSettings.read(("{'localNode':{'nodeName':'p1','ipAddress':'10.0.0.1',"
                            + "'zone':'z','service':'till','application':'10.0.0.1:80'},'network':{'listenAddresses':"
                            + "{'controlPlane':'10.0.0.1:82'},'internalPortRange':[7640,7655],"
                            + "'seedNodes':['10.0.0.9:82'],'zones':{'z':'r'}},'platform':{'heartbeat':'1500ms'},"
                            + "'termTable':{'timingBounds':{}}}")
                    .replace('\'', '"')
                    .getBytes(StandardCharsets.UTF_8))
            .get();

    /** One attempt that was handed to the transport. */
    static final class SentAttempt {
        final Endpoint endpoint;
        final UpstreamRequest request;
        private final Consumer<AttemptResult> callback;
        /** Null while the attempt is in flight. */
        RequestOutcome outcome;

        boolean cancelled;
        /** Runs when the attempt is cancelled. */
        Runnable whenCancelled = () -> {};

        SentAttempt(Endpoint endpoint, UpstreamRequest request, Consumer<AttemptResult> callback) {
            this.endpoint = endpoint;
            this.request = request;
            this.callback = callback;
        }

        void complete(RequestOutcome completed) {
            outcome = completed;
            callback.accept(new AttemptResult(completed, new UpstreamLoad(1, 0, 8)));
        }

        boolean hasNotRun() {
            return outcome instanceof RequestOutcome.NotRun;
        }

        void respond(int status) {
            complete(
                    new RequestOutcome.Responded(status, List.of(Map.entry("By", endpoint.instanceId())), new byte[0]));
        }
    }

    /** A client that waits for a response. */
    static class Client extends RecordedServerRequest {
        Client() {
            super("POST", "/x");
        }

        int status() {
            return responses.isEmpty() ? 0 : responses.get(0).status();
        }

        String retryAfter() {
            return org.cypressweir.dataplane.http.server.Headers.first(
                    responses.get(0).headers(), "Retry-After");
        }
    }

    final List<SentAttempt> sent = new ArrayList<>();
    /** Called with each attempt as it is sent. */
    Consumer<SentAttempt> onSend = attempt -> {};
    /** The results of attempts that were reported to the observer. */
    final List<Result> observedResults = new ArrayList<>();
    /** Whether sending fails for a non-idempotent request that may have run before. */
    boolean strict = true;

    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final ServiceRequestHandler handler;
    long now = 1_000_000_000L;
    final RequestTrace trace = new RequestTrace(() -> now, 4);
    private long lastNumber;

    ProxyFixture(int endpointCount) {
        channel.freezeTime();
        handler = new ServiceRequestHandler(
                "s",
                channel.eventLoop(),
                () -> now,
                this,
                "p1",
                0,
                List.of("z"),
                ServiceRequestHandler.retryBudget(10_000_000, 50, 0.25),
                (route, result, latencyMicros) -> observedResults.add(result));
        updateEndpoints(endpointCount);
    }

    ServiceRequestHandler handler() {
        return handler;
    }

    /** Replaces the endpoint list by one with this many endpoints. */
    void updateEndpoints(int count) {
        List<Endpoint> endpoints = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            endpoints.add(new Endpoint(100 + i, "p" + i, 1, "10.0.0." + i + ":7000", "i" + i, "z"));
        }
        handler.updateEndpoints(endpoints, List.of("z"), Map.of());
        advance(0);
    }

    List<SentAttempt> attempts(String id) {
        return sent.stream().filter(attempt -> attempt.request.id().equals(id)).toList();
    }

    @Override
    public Handle send(Endpoint endpoint, UpstreamRequest request, Consumer<AttemptResult> callback) {
        if (strict && !request.idempotent() && !attempts(request.id()).stream().allMatch(SentAttempt::hasNotRun)) {
            throw new AssertionError("retried a request that may have run: " + request.id());
        }
        SentAttempt attempt = new SentAttempt(endpoint, request, callback);
        sent.add(attempt);
        onSend.accept(attempt);
        return () -> {
            attempt.cancelled = true;
            attempt.whenCancelled.run();
        };
    }

    Client request(boolean idempotent) {
        return request(idempotent, new Client());
    }

    Client request(boolean idempotent, Client client) {
        RouteConfiguration route = new RouteConfiguration(
                "r",
                "a",
                "/",
                idempotent,
                TIMEOUT_MICROS,
                LATENCY_TARGET_MICROS,
                1,
                List.of(new WeightedDestination("s", 1)),
                3,
                false);
        String number = Long.toString(++lastNumber);
        handler.handle(new ProxiedRequest(
                number,
                client,
                "id" + number,
                route,
                "t",
                1,
                false,
                now,
                now + LATENCY_TARGET_MICROS,
                now + TIMEOUT_MICROS,
                List.of(),
                trace));
        advance(0);
        return client;
    }

    /** Runs a task after a delay of simulated time. */
    void schedule(long micros, Runnable task) {
        channel.eventLoop().schedule(task, micros, TimeUnit.MICROSECONDS);
    }

    /** Advances the simulated time, and runs each task at the time at which it is due. */
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
