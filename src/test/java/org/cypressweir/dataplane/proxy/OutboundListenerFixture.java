package org.cypressweir.dataplane.proxy;

import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.cypressweir.common.diagnostics.RequestTrace;
import org.cypressweir.controlplane.configuration.Configuration;
import org.cypressweir.controlplane.configuration.ConfigurationChange;
import org.cypressweir.controlplane.consensus.ProposalNumber;
import org.cypressweir.dataplane.http.upstream.UpstreamRequest;
import org.cypressweir.dataplane.quota.QuotaGate;
import org.cypressweir.dataplane.quota.TokenRequester;
import org.cypressweir.testkit.RecordedServerRequest;

/** A listener with simulated time, a configuration that changes, and instances whose answers the test decides. */
final class OutboundListenerFixture implements AttemptTransport {

    /** A client of the listener, which gives its id and maybe a key. */
    static final class Client extends RecordedServerRequest {
        private final String id;
        private final String key;
        private final long arrivedMicros;

        private Client(String path, String id, String key, long arrivedMicros) {
            super("POST", path);
            this.id = id;
            this.key = key;
            this.arrivedMicros = arrivedMicros;
        }

        int status() {
            return responses.isEmpty() ? 0 : responses.get(0).status();
        }

        @Override
        public List<Map.Entry<String, String>> headers() {
            List<Map.Entry<String, String>> headers = new ArrayList<>();
            headers.add(Map.entry("Cypressweir-Attempt-Id", id));
            if (key != null) {
                headers.add(Map.entry("Cypressweir-Key", key));
            }
            return headers;
        }

        @Override
        public long arrivedMicros() {
            return arrivedMicros;
        }
    }

    final List<ProxyFixture.SentAttempt> sent = new ArrayList<>();
    /** Called with each attempt as it is sent; by default each is served at once. */
    Consumer<ProxyFixture.SentAttempt> onSend = attempt -> attempt.respond(200);

    final QuotaGate quotas;
    final ServiceHandlers handlers;
    final RolloutRouting rollouts = new RolloutRouting();
    long now = 1_000_000_000;

    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final OutboundListener listener;
    private Configuration configuration = Configuration.EMPTY;
    private RoutingTable table = RoutingTable.empty();
    private int changeCount;

    OutboundListenerFixture(TokenRequester requester) {
        channel.freezeTime();
        quotas = new QuotaGate(requester, new SplittableRandom(1));
        handlers = new ServiceHandlers(
                channel.eventLoop(),
                () -> now,
                this,
                () -> ProxyFixture.SETTINGS,
                List.of("z"),
                () -> 1,
                () -> {},
                service -> AttemptObserver.NONE);
        listener = new OutboundListener(
                () -> now, () -> table, () -> "till", quotas, handlers, rollouts, new RequestTrace(() -> now, 4));
    }

    /** A change that adds services and three routes to them: "/i/" is idempotent, "/n/" is not, "/p/" is public. */
    static String services(String destinations, String... names) {
        StringBuilder services = new StringBuilder();
        for (String name : names) {
            services.append(services.isEmpty() ? "" : ",")
                    .append("'" + name + "':{'healthPath':'/health','maxConnections':32,'configVersion':'r1'}");
        }
        return "{'upsert':{'serviceTable':{" + services + "},'routeTable':{"
                + route("i", "/i/", "idempotent", destinations, false) + ","
                + route("n", "/n/", "non_idempotent", destinations, false) + ","
                + route("p", "/p/", "idempotent", destinations, true) + "}}}";
    }

    private static String route(String name, String prefix, String type, String destinations, boolean publicAccess) {
        return "'" + name + "':{'hostname':'a','pathPrefix':'" + prefix + "','routeType':'" + type
                + "','timeout':'4s','targetLatency':'1s','priority':1," + destinations + ",'maxAttempts':2,"
                + "'publicAccess':" + publicAccess + ",'configVersion':'r1'}";
    }

    /** Applies a change of the configuration, with single quotes in place of double ones. */
    void change(String json) {
        configuration = configuration.with(
                ConfigurationChange.read(json.replace('\'', '"').getBytes(StandardCharsets.UTF_8))
                        .get()
                        .items());
        table = table.next(ProposalNumber.of(++changeCount + "@x"), configuration);
        rollouts.update(configuration);
    }

    /** The listener's table made anew from the configuration, as by a proxy that starts now. */
    void restart() {
        table = RoutingTable.empty().next(table.version(), configuration);
    }

    /** Gives each of the services one endpoint, whose instance has the service's name. */
    void setEndpoints(String... services) {
        Map<String, List<Endpoint>> endpoints = new HashMap<>();
        for (String service : services) {
            handlers.handler(service, true);
            handlers.handler(service, false);
            endpoints.put(
                    service,
                    List.of(new Endpoint(service.charAt(0), "p-" + service, 1, "10.0.0.7:7000", service, "z")));
        }
        handlers.updateEndpoints(endpoints, Map.of());
    }

    /** Lets a client send a request. */
    Client request(String path, String id, String key) {
        Client client = new Client(path, id, key, now);
        listener.handle(client);
        channel.runPendingTasks();
        return client;
    }

    /** Advances the simulated time and runs the tasks that are due by then. */
    void advance(long micros) {
        now += micros;
        channel.advanceTimeBy(micros, TimeUnit.MICROSECONDS);
        channel.runPendingTasks();
        channel.runScheduledPendingTasks();
    }

    @Override
    public Handle send(Endpoint endpoint, UpstreamRequest request, Consumer<AttemptResult> callback) {
        ProxyFixture.SentAttempt attempt = new ProxyFixture.SentAttempt(endpoint, request, callback);
        sent.add(attempt);
        onSend.accept(attempt);
        return () -> attempt.cancelled = true;
    }
}
