package org.cypressweir.dataplane.proxy;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicBoolean;
import org.cypressweir.dataplane.http.server.Headers;
import org.cypressweir.dataplane.http.server.ServerResponse;
import org.cypressweir.dataplane.http.upstream.RejectionReason;
import org.cypressweir.dataplane.http.upstream.RequestHandle;
import org.cypressweir.dataplane.http.upstream.RequestOutcome;
import org.cypressweir.dataplane.http.upstream.SimulatedUpstream;

/**
 * Random histories in simulated time: clients, load balancer and request handler, forwarding over connections that may
 * be lost, the scheduling beside the instance, and instances that behave in every way that an instance may. The
 * simulation records which requests really ran, and checks each response against that.
 */
public final class RequestHistories {

    private static final String SEAL = "Cypressweir-Server-Seal";
    private static final String NOT_RUN = "Cypressweir-Not-Executed";
    private static final int INSTANCES = 3;
    private static final int SLOTS = 3;

    /** A client, its request, and what instances really did with the request. */
    private static final class CheckedClient extends ProxyFixture.Client {
        private final String id;
        private final boolean idempotent;
        private final byte[] body;
        private final List<String> validResponses = new ArrayList<>();
        private int runs;
        private boolean isDisconnected;

        private CheckedClient(String id, boolean idempotent) {
            this.id = id;
            this.idempotent = idempotent;
            body = ("body of " + id).getBytes(StandardCharsets.ISO_8859_1);
        }

        @Override
        public String uri() {
            return "/x/" + id + "?q=" + id + "&e=%20";
        }

        @Override
        public byte[] body() {
            return body;
        }
    }

    private final SplittableRandom random;
    private final ProxyFixture fixture = new ProxyFixture(INSTANCES);
    private final List<SimulatedUpstream> upstreams = new ArrayList<>();
    private final Map<String, CheckedClient> clients = new HashMap<>();
    private String violation;
    private String lastId = "none";

    private RequestHistories(long seed) {
        random = new SplittableRandom(seed);
        fixture.strict = false;
        fixture.onSend = this::forward;
        for (int i = 0; i < INSTANCES; i++) {
            upstreams.add(
                    new SimulatedUpstream(() -> fixture.now, fixture::schedule, SLOTS, new SimulatedUpstream.Server() {
                        @Override
                        public boolean accepts() {
                            return random.nextInt(30) > 0;
                        }

                        @Override
                        public void onRequest(SimulatedUpstream.Execution execution) {
                            serve(execution);
                        }
                    }));
        }
    }

    private void recordViolation(String rule, String what) {
        violation = violation == null ? rule + ": " + what : violation;
    }

    /** Forwards the attempt to the proxy beside the instance, and its outcome back. */
    private void forward(ProxyFixture.SentAttempt attempt) {
        SimulatedUpstream upstream = upstreams.get((int) (attempt.endpoint.id() - 100));
        AtomicBoolean isConnectionLost = new AtomicBoolean();
        RequestHandle[] handle = {null};
        int action = random.nextInt(40);
        if (action == 0) {
            fixture.schedule(
                    random.nextInt(2_000),
                    () -> attempt.complete(new RequestOutcome.NotRun(RejectionReason.NO_CONNECTION, 0)));
            return;
        }
        fixture.schedule(
                random.nextInt(2_000),
                () -> handle[0] = upstream.submit(
                        attempt.request,
                        outcome -> fixture.schedule(random.nextInt(2_000), () -> {
                            if (!isConnectionLost.get()) {
                                attempt.complete(outcome);
                            }
                        })));
        attempt.whenCancelled = () -> fixture.schedule(2_000, () -> upstream.cancel(handle[0]));
        if (action == 1) {
            fixture.schedule(2_000 + random.nextInt(60_000), () -> {
                if (attempt.outcome == null) {
                    isConnectionLost.set(true);
                    upstream.cancel(handle[0]);
                    attempt.complete(new RequestOutcome.MayHaveRun("connection lost"));
                }
            });
        }
    }

    /** Serves a request as an instance, and records whether it ran before any response is sent. */
    private void serve(SimulatedUpstream.Execution execution) {
        String id = header(execution.head, "Cypressweir-Attempt-Id: ");
        CheckedClient client = clients.get(id);
        if (client == null
                || !execution.head.startsWith(client.method() + " " + client.uri() + " HTTP/1.1\r\n")
                || !execution.body.equals(new String(client.body, StandardCharsets.ISO_8859_1))) {
            recordViolation("UNASKED", execution.head + execution.body);
            return;
        }
        int action = random.nextInt(100);
        int micros = 1_000 + random.nextInt(random.nextInt(8) == 0 ? 400_000 : 40_000);
        if (action < 12) {
            fixture.schedule(action < 4 ? micros : 1_000, () -> reject(execution, id, action));
            return;
        }
        if (action == 12) {
            fixture.schedule(micros, execution::disconnect);
            return;
        }
        client.runs++;
        if (client.runs > 1 && !client.idempotent) {
            recordViolation("TWICE", id);
        }
        String otherId = lastId.equals(id) ? "none" : lastId;
        lastId = id;
        fixture.schedule(micros, () -> respond(execution, client, action, otherId));
    }

    private void reject(SimulatedUpstream.Execution execution, String id, int action) {
        Map<String, String> marked = Map.of(NOT_RUN, "true");
        switch (action % 4) {
            case 0 -> execution.respond(429, id, "", marked);
            case 1 -> execution.respond(421, id, "", Map.of());
            case 2 -> execution.respond(400, id, "", marked);
            default -> execution.respond(503, id, "", marked);
        }
    }

    private void respond(SimulatedUpstream.Execution execution, CheckedClient client, int action, String otherId) {
        String seal = "seal " + client.id + " " + client.runs;
        String text = "ran " + client.id;
        switch (action) {
            case 13, 14, 15 -> execution.disconnect();
            case 16, 17 -> {}
            case 18 -> execution.respond(200, client.id, text, Map.of());
            case 19 -> execution.respond(200, client.id, text, Map.of(SEAL, seal, NOT_RUN, "true"));
            case 20 -> execution.respond(200, client.id, "packed", Map.of(SEAL, seal, "Content-Encoding", "gzip"));
            case 21, 22 -> execution.respond(503, client.id, "", Map.of());
            case 23 -> execution.respond(429, client.id, "", Map.of());
            case 24, 25 -> execution.respond(500, client.id, "", Map.of());
            case 26, 27 -> {
                execution.respond(200, otherId, "late", Map.of(SEAL, "late"));
                respondValidly(execution, client, seal, text);
            }
            default -> respondValidly(execution, client, seal, text);
        }
    }

    private void respondValidly(SimulatedUpstream.Execution execution, CheckedClient client, String seal, String text) {
        client.validResponses.add(seal + " " + text);
        execution.respond(200, client.id, text, Map.of(SEAL, seal));
    }

    private static String header(String head, String name) {
        int at = head.indexOf(name) + name.length();
        return head.substring(at, head.indexOf("\r\n", at));
    }

    private String run(int requests) {
        for (int i = 1; i <= requests && violation == null; i++) {
            CheckedClient client = new CheckedClient("id" + i, random.nextInt(2) == 0);
            clients.put(client.id, client);
            fixture.request(client.idempotent, client);
            if (random.nextInt(30) == 0) {
                fixture.schedule(random.nextInt(100_000), () -> {
                    client.isDisconnected = client.responses.isEmpty();
                    if (client.isDisconnected) {
                        client.disconnect();
                    }
                });
            }
            fixture.advance(random.nextInt(random.nextInt(10) == 0 ? 60_000 : 6_000));
            if (i % 100 == 0) {
                fixture.updateEndpoints(1 + random.nextInt(INSTANCES));
            }
        }
        fixture.advance(3 * ProxyFixture.TIMEOUT_MICROS);
        clients.values().forEach(this::check);
        if (fixture.handler().inFlightCount() > 0) {
            recordViolation("LOST", fixture.handler().inFlightCount() + " requests are in flight for ever");
        }
        return violation;
    }

    private void check(CheckedClient client) {
        if (client.isDisconnected) {
            return;
        }
        if (client.responses.isEmpty()) {
            recordViolation("LOST", client.id);
            return;
        }
        ServerResponse response = client.responses.get(0);
        String text = Headers.first(response.headers(), SEAL) + " "
                + new String(response.body(), StandardCharsets.ISO_8859_1);
        if (client.responses.size() > 1 || response.status() / 100 == 2 && !client.validResponses.contains(text)) {
            recordViolation("MIXED", client.id + " got " + client.responses);
        }
        boolean saysNotRun = List.of(408, 421, 429, 503).contains(response.status());
        if (saysNotRun && !client.idempotent && client.runs > 0) {
            recordViolation("REFUSED", client.id + " got " + response.status() + " and has run");
        }
    }

    /** Runs the given number of histories; returns the first violation of each history that has one. */
    public static List<String> violations(int histories, int requests) {
        List<String> violations = new ArrayList<>();
        for (int seed = 1; seed <= histories; seed++) {
            String violation = new RequestHistories(seed).run(requests);
            if (violation != null) {
                violations.add("history " + seed + ": " + violation);
            }
        }
        return violations;
    }
}
