package org.cypressweir.controlplane.controller;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import org.cypressweir.meshctl.MeshCtl;
import org.cypressweir.testkit.ApplicationStubs;
import org.cypressweir.testkit.MeshFixture;
import org.cypressweir.testkit.RawHttpClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Rollouts of a service under load, with controllers and proxies as processes. */
@Timeout(90)
class RolloutProcessTest {

    private static final String HOST = "orders.mesh";
    private static final String SETUP = "{'upsert':{'serviceTable':{'orders':{'healthPath':'/health',"
            + "'maxConnections':32,'configVersion':'r1'}},'routeTable':{'once':{'hostname':'" + HOST
            + "','pathPrefix':'/','routeType':'non_idempotent','timeout':'4s','targetLatency':'3s','priority':1,"
            + "'service':'orders','maxAttempts':2,'publicAccess':true,'configVersion':'r1'}}}}";
    private static final String ORDER = "{'service':'orders','targetVersion':'v2','rolloutPeriod':'8s'}";
    private static final int CLIENTS = 6;
    private static final List<String> OLD_PROXIES = List.of("p1", "p2");
    private static final List<String> NEW_PROXIES = List.of("p3", "p4");

    @TempDir
    Path folder;

    private MeshFixture fixture;
    private volatile boolean stopped;
    private final List<Thread> clients = new ArrayList<>();
    private final Map<Integer, AtomicInteger> statuses = new ConcurrentHashMap<>();
    private final Queue<String> ids = new ConcurrentLinkedQueue<>();

    @BeforeEach
    void start() throws IOException, InterruptedException {
        fixture = new MeshFixture(folder, 3, List.of("orders", "orders", "orders", "orders"));
        fixture.modifyUntilAcknowledged("h1", SETUP);
        fixture.markInitialized();
        for (String proxy : List.of("p1", "p2", "p3", "p4")) {
            fixture.awaitReady(proxy);
        }
        for (String proxy : NEW_PROXIES) {
            fixture.application(proxy).deregister();
        }
    }

    @AfterEach
    void stop() throws IOException, InterruptedException {
        stopped = true;
        for (Thread client : clients) {
            client.join();
        }
        fixture.close();
    }

    private void startNewVersion(ApplicationStubs.Behavior behavior) throws IOException {
        for (String proxy : NEW_PROXIES) {
            fixture.application(proxy).setBehavior(behavior);
            fixture.application(proxy).startIncarnation("new-" + proxy, "v2");
        }
    }

    private void startLoad() {
        for (int i = 0; i < CLIENTS; i++) {
            String proxy = "p" + (1 + i % 4);
            Thread client = new Thread(() -> {
                while (!stopped) {
                    sendRequest(proxy);
                }
            });
            client.setDaemon(true);
            clients.add(client);
            client.start();
        }
    }

    private void sendRequest(String proxy) {
        String id = fixture.nextRequestId();
        ids.add(id);
        try {
            int status = fixture.request(proxy, HOST, "/x", null, id).status();
            statuses.computeIfAbsent(status, key -> new AtomicInteger()).incrementAndGet();
        } catch (IOException e) {
            statuses.computeIfAbsent(0, key -> new AtomicInteger()).incrementAndGet();
        }
    }

    private int runs(List<String> proxies) {
        return proxies.stream()
                .mapToInt(proxy -> fixture.application(proxy).runs())
                .sum();
    }

    private boolean hasState(String controller, String state) throws IOException {
        RawHttpClient.Message response = fixture.readRollout(controller, "orders");
        return response.status() == 200 && response.body().contains("\"operState\":\"" + state + "\"");
    }

    private void assertCommandPrintsState() {
        StringWriter out = new StringWriter();
        PrintWriter writer = new PrintWriter(out, true);
        int status = MeshCtl.run(writer, writer, "rollout", "orders", "--controller", fixture.controlAddress("h2"));
        assertThat(status).isZero();
        assertThat(out.toString()).contains("in_progress");
    }

    private int orderStatus(String controller, String json) throws IOException {
        return fixture.beginRollout(controller, json).status();
    }

    @Test
    void aRolloutSurvivesTheRestartOfAllControllers() throws Exception {
        assertThat(fixture.readRollout("h1", "orders").status()).isEqualTo(404);
        assertThat(orderStatus("h1", ORDER.replace("orders", "nobody"))).isEqualTo(400);
        assertThat(orderStatus("h1", ORDER.replace("8s", "soon"))).isEqualTo(400);
        assertThat(orderStatus("h1", ORDER.replace("8s", "1ms"))).isEqualTo(400);
        assertThat(orderStatus("h1", "{'service':'orders'}")).isEqualTo(400);
        assertThat(orderStatus("h1", ORDER)).isEqualTo(200);
        assertThat(orderStatus("h2", ORDER)).isEqualTo(200);
        assertThat(orderStatus("h3", ORDER.replace("v2", "v3"))).isEqualTo(409);
        assertThat(hasState("h2", "in_progress")).isTrue();
        assertCommandPrintsState();
        assertThat(fixture.modify("h1", "{'upsert':{'rolloutTable':{'orders':{'configVersion':'r9'}}}}")
                        .status())
                .isEqualTo(400);
        for (String controller : List.of("h1", "h2", "h3")) {
            fixture.kill(controller);
        }
        for (String controller : List.of("h1", "h2", "h3")) {
            fixture.restart(controller);
        }
        for (String controller : List.of("h1", "h2", "h3")) {
            fixture.await(
                    controller + " still has the rollout",
                    () -> fixture.readRollout(controller, "orders").body().contains("\"targetVersion\":\"v2\""));
        }
        // There is no instance of the new version, so the rollout is reverted at the end of its period.
        fixture.await("the rollout is reverted", () -> hasState("h1", "reverted"));
    }

    @Test
    void aHealthyVersionGetsAllRequestsAndTheRolloutCompletes() throws Exception {
        startLoad();
        assertThat(orderStatus("h1", ORDER)).isEqualTo(200);
        startNewVersion(ApplicationStubs.Behavior.RESPONDS);
        fixture.await("the rollout is completed", () -> hasState("h3", "completed"));
        int oldRuns = runs(OLD_PROXIES);
        int newRuns = runs(NEW_PROXIES);
        fixture.await("the new version serves", () -> runs(NEW_PROXIES) > newRuns + 50);
        assertThat(runs(OLD_PROXIES)).isEqualTo(oldRuns);
        assertThat(statuses.keySet()).containsOnly(200);
        assertEachRequestRanAtMostOnce();
    }

    @Test
    void aFailingVersionIsRevertedAfterFewRequests() throws Exception {
        startLoad();
        fixture.await("some requests are served", () -> runs(OLD_PROXIES) > 100);
        assertThat(orderStatus("h1", ORDER)).isEqualTo(200);
        startNewVersion(ApplicationStubs.Behavior.FAILS);
        fixture.await("the rollout is reverted", () -> hasState("h2", "reverted"));
        assertThat(runs(NEW_PROXIES)).isLessThanOrEqualTo(50 + runs(OLD_PROXIES) / 10);
        int newRuns = runs(NEW_PROXIES);
        int oldRuns = runs(OLD_PROXIES);
        fixture.await("the old version serves", () -> runs(OLD_PROXIES) > oldRuns + 100);
        assertThat(runs(NEW_PROXIES)).isLessThanOrEqualTo(newRuns + CLIENTS);
        assertThat(orderStatus("h1", ORDER)).isEqualTo(200);
        assertThat(hasState("h3", "reverted")).isTrue();
        assertEachRequestRanAtMostOnce();
    }

    private void assertEachRequestRanAtMostOnce() {
        for (String id : ids) {
            int runs = 0;
            for (String proxy : List.of("p1", "p2", "p3", "p4")) {
                runs += fixture.application(proxy).runs(id);
            }
            assertThat(runs).as(id).isLessThanOrEqualTo(1);
        }
    }
}
