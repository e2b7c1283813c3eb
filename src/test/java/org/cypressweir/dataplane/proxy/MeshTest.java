package org.cypressweir.dataplane.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.ConnectException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.cypressweir.testkit.ApplicationStubs;
import org.cypressweir.testkit.MeshFixture;
import org.cypressweir.testkit.RawHttpClient;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.MethodOrderer;
import org.junit.jupiter.api.Order;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestMethodOrder;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Three controllers and five proxies as processes: configuration changes, requests, and killed processes. */
@TestMethodOrder(MethodOrderer.OrderAnnotation.class)
@Timeout(30)
class MeshTest {

    private static final String HOST = "orders.mesh";
    private static final String SETUP = "{'upsert':{'serviceTable':{'orders':" + service(1) + ",'gate':"
            + service(1) + "},'routeTable':{'once':" + route("/", "non_idempotent") + ",'safe':"
            + route("/safe/", "idempotent") + "},'tenantTable':{"
            + "'free':{'apiKeys':['k-free'],'configVersion':'r1'},"
            + "'thin':{'apiKeys':['k-thin'],'ratePerS':2,'burstSize':2,'configVersion':'r1'}}}}";

    /** The timing bound "drain" of the fixture's settings, after which a draining instance gets no more requests. */
    private static final long DRAIN_NANOS = TimeUnit.MILLISECONDS.toNanos(2_500);

    @TempDir
    static Path folder;

    private static MeshFixture fixture;

    private static String service(int version) {
        return "{'healthPath':'/health','maxConnections':32,'configVersion':'r" + version + "'}";
    }

    private static String route(String prefix, String type) {
        return "{'hostname':'" + HOST + "','pathPrefix':'" + prefix + "','routeType':'" + type
                + "','timeout':'4s','targetLatency':'3s','priority':1,'service':'orders','maxAttempts':3,"
                + "'publicAccess':false,'configVersion':'r1'}";
    }

    @BeforeAll
    static void start() throws IOException, InterruptedException {
        fixture = new MeshFixture(folder, 3, List.of("orders", "orders", "orders", "gate", "gate"));
        fixture.modifyUntilAcknowledged("h1", SETUP);
        for (int i = 1; i <= 5; i++) {
            fixture.awaitReady("p" + i);
        }
        awaitAllEndpoints();
    }

    /** Waits until each proxy has selected each of the three instances. */
    private static void awaitAllEndpoints() throws InterruptedException {
        for (int i = 1; i <= 5; i++) {
            String proxy = "p" + i;
            fixture.await(proxy + " uses all instances", () -> {
                List<String> instances = new ArrayList<>();
                for (int n = 0; n < 9; n++) {
                    instances.add(fixture.request(proxy, HOST, "/safe/x", "k-free")
                            .headers()
                            .get("Instance"));
                }
                return instances.containsAll(List.of("orders-p1", "orders-p2", "orders-p3"));
            });
        }
    }

    @AfterAll
    static void end() throws IOException {
        if (fixture != null) {
            fixture.close();
        }
    }

    private static int status(String proxy, String path, String key) throws IOException {
        return fixture.request(proxy, HOST, path, key).status();
    }

    private static double metric(String process, String line) throws IOException {
        return fixture.metrics(process)
                .body()
                .lines()
                .filter(each -> each.startsWith(line + " "))
                .mapToDouble(each -> Double.parseDouble(each.substring(line.length() + 1)))
                .findFirst()
                .orElse(-1);
    }

    @Test
    @Order(1)
    void processesServeTheirMetrics() throws Exception {
        String served = "cypressweir_requests_total{caller=\"tenant\",service=\"orders\",status=\"2xx\"}";
        String rejected = "cypressweir_rejections_total{kind=\"no_key\"}";
        double before = metric("p4", served);
        double rejectedBefore = Math.max(0, metric("p4", rejected));
        for (int i = 0; i < 5; i++) {
            assertThat(status("p4", "/safe/x", "k-free")).isEqualTo(200);
        }
        assertThat(status("p4", "/safe/x", "k-unknown")).isEqualTo(401);
        assertThat(metric("p4", served)).isEqualTo(before + 5);
        assertThat(metric("p4", rejected)).isEqualTo(rejectedBefore + 1);
        assertThat(metric("p4", "cypressweir_controllers_active")).isEqualTo(3);
        assertThat(metric("h1", "cypressweir_voters")).isEqualTo(3);
        assertThat(metric("h1", "cypressweir_registered_proxies")).isEqualTo(5);
        assertThat(metric("h1", "cypressweir_quorum_contact")).isEqualTo(1);
        assertThat(metric("h1", "cypressweir_store_write_duration_seconds_count"))
                .isPositive();
    }

    @Test
    @Order(1)
    void requestIsForwardedToAnotherProxy() throws Exception {
        String id = fixture.nextRequestId();
        RawHttpClient.Message response = fixture.request("p4", HOST, "/deep/er?q=1", "k-free", id);
        assertThat(response.status()).isEqualTo(200);
        assertThat(response.body()).isEqualTo("ran of " + id);
        assertThat(response.headers()).containsEntry(ApplicationStubs.ID, id);
        String instanceId = response.headers().get("Instance");
        ApplicationStubs instance = fixture.application(instanceId.substring("orders-".length()));
        RawHttpClient.Message received = instance.received.stream()
                .filter(m -> id.equals(m.headers().get(ApplicationStubs.ID)))
                .findFirst()
                .orElseThrow();
        assertThat(received.firstLine()).isEqualTo("POST /deep/er?q=1 HTTP/1.1");
        assertThat(received.headers())
                .containsEntry("Cypressweir-Caller-Service", "gate")
                .containsEntry("Cypressweir-Tenant-Name", "free")
                .containsEntry("Cypressweir-Target-Instance", instanceId)
                .containsKey("Cypressweir-Time-Remaining")
                .doesNotContainKey("Cypressweir-Key");
        assertThat(instance.runs(id)).isEqualTo(1);
    }

    @Test
    @Order(2)
    void invalidRequestsAreRejected() throws Exception {
        assertThat(status("p1", "/", null)).isEqualTo(401);
        assertThat(status("p2", "/", "k-none")).isEqualTo(401);
        assertThat(fixture.request("p3", "other.mesh", "/", "k-free").status()).isEqualTo(404);
        int before = fixture.application("p1").runs()
                + fixture.application("p2").runs()
                + fixture.application("p3").runs();
        int served = 0;
        RawHttpClient.Message rejection = null;
        for (int i = 0; i < 30 && rejection == null; i++) {
            RawHttpClient.Message response = fixture.request("p5", HOST, "/", "k-thin");
            rejection = response.status() == 429 ? response : null;
            served += response.status() == 200 ? 1 : 0;
        }
        assertThat(rejection).isNotNull();
        assertThat(Double.parseDouble(rejection.headers().get("Retry-After"))).isPositive();
        assertThat(fixture.application("p1").runs()
                        + fixture.application("p2").runs()
                        + fixture.application("p3").runs()
                        - before)
                .isEqualTo(served);

        assertThat(fixture.modify("h2", "{'upsert':{'routeTable':{'x':{'hostname':'x','configVersion':'r1'}}}}")
                        .status())
                .isEqualTo(400);
        assertThat(fixture.modify(
                                "h3",
                                "{'upsert':{'serviceTable':{'gate':{'healthPath':'/other',"
                                        + "'maxConnections':1,'configVersion':'r1'}}}}")
                        .status())
                .isEqualTo(409);
        assertThat(fixture.modify("h3", SETUP).status()).isEqualTo(200);
    }

    @Test
    @Order(3)
    void survivesLossOfOneControllerAndOneProxy() throws Exception {
        fixture.kill("h1");
        fixture.modifyUntilAcknowledged(
                "h2",
                "{'upsert':{'routeTable':{'late':"
                        + route("/late/", "idempotent").replace(HOST, "late.mesh") + "}}}");
        assertThat(fixture.read("h3").body()).contains("late.mesh");
        fixture.await(
                "p5 has the new route",
                () -> fixture.request("p5", "late.mesh", "/late/", "k-free").status() == 200);

        fixture.kill("p1");
        for (int i = 0; i < 20; i++) {
            assertThat(status("p" + (2 + i % 4), "/safe/", "k-free")).isEqualTo(200);
        }
        int before = fixture.application("p1").runs();
        for (int i = 0; i < 20; i++) {
            assertThat(status("p" + (2 + i % 4), "/", "k-free")).isEqualTo(200);
        }
        assertThat(fixture.application("p1").runs()).isEqualTo(before);

        fixture.restart("h1");
        fixture.restart("p1");
        fixture.awaitReady("p1");
        fixture.await(
                "h1 has the change that it missed",
                () -> fixture.read("h1").body().contains("late.mesh"));
        awaitAllEndpoints();
    }

    @Test
    @Order(4)
    void survivesRestartOfAllControllers() throws Exception {
        String before = fixture.read("h2").body();
        for (int i = 1; i <= 3; i++) {
            fixture.kill("h" + i);
        }
        assertThat(status("p4", "/", "k-free")).isEqualTo(200);
        for (int i = 1; i <= 3; i++) {
            fixture.restart("h" + i);
        }
        fixture.await(
                "the configuration is served again", () -> fixture.read("h3").status() == 200);
        assertThat(fixture.read("h3").body()).isEqualTo(before);
        for (int i = 1; i <= 5; i++) {
            assertThat(status("p" + i, "/", "k-free")).isEqualTo(200);
        }
    }

    @Test
    @Order(5)
    void settingsAreReloaded() throws Exception {
        fixture.writeProxySettings("p5", "gate", ",\"other\":\"5s\"");
        fixture.writeControllerSettings("h3", ",\"other\":\"5s\"");
        for (String name : List.of("p5", "h3")) {
            fixture.reloadSettings(name);
            fixture.await(name + " has reloaded", () -> fixture.log(name).contains("Settings reloaded"));
            assertThat(fixture.isAlive(name)).isTrue();
        }
        assertThat(status("p5", "/", "k-free")).isEqualTo(200);
        assertThat(fixture.read("h3").status()).isEqualTo(200);
    }

    /** Requests are in flight while all proxies reload their settings, some on a signal and some by polling. */
    @Test
    @Order(5)
    void reloadOfSettingsLosesNoRequestInFlight() throws Exception {
        List<String> proxies = List.of("p1", "p2", "p3", "p4", "p5");
        List<ApplicationStubs> instances =
                Stream.of("p1", "p2", "p3").map(fixture::application).toList();
        instances.forEach(s -> s.setResponseDelayMillis(2_000));
        Map<String, CompletableFuture<Integer>> responses = new TreeMap<>();
        for (int i = 0; i < 10; i++) {
            String id = "kept" + i;
            responses.put(id, statusInBackground(proxies.get(i % 5), id));
        }
        Map<String, Integer> before = new TreeMap<>();
        for (String proxy : proxies) {
            before.put(proxy, reloads(proxy));
        }
        fixture.await(
                "all requests are in flight", () -> responses.keySet().stream().allMatch(MeshTest::hasRun));
        for (String proxy : proxies) {
            fixture.writeProxySettings(proxy, proxy.compareTo("p4") < 0 ? "orders" : "gate", ",\"another\":\"6s\"");
            if (!proxy.equals("p2") && !proxy.equals("p4")) {
                fixture.reloadSettings(proxy);
            }
        }
        for (String proxy : proxies) {
            fixture.await(proxy + " has reloaded", () -> reloads(proxy) > before.get(proxy));
        }
        instances.forEach(s -> s.setResponseDelayMillis(0));
        for (Map.Entry<String, CompletableFuture<Integer>> response : responses.entrySet()) {
            assertThat(response.getValue().get(10, TimeUnit.SECONDS))
                    .as(response.getKey())
                    .isEqualTo(200);
            assertThat(instances.stream()
                            .mapToInt(s -> s.runs(response.getKey()))
                            .sum())
                    .isEqualTo(1);
        }
    }

    /** Sends a request on a new thread; 0 if there is no response. */
    private static CompletableFuture<Integer> statusInBackground(String proxy, String id) {
        return CompletableFuture.supplyAsync(
                () -> {
                    try {
                        return fixture.request(proxy, HOST, "/", "k-free", id).status();
                    } catch (IOException e) {
                        return 0;
                    }
                },
                task -> new Thread(task, "client").start());
    }

    private static int reloads(String name) throws IOException {
        return fixture.log(name).split("Settings reloaded", -1).length;
    }

    @Test
    @Order(6)
    void drainingInstanceGetsNoRequests() throws Exception {
        ApplicationStubs instance = fixture.application("p3");
        instance.drain();
        long acknowledgedAt = System.nanoTime();
        fixture.await("no proxy sends it anything", () -> {
            int before = instance.received.size();
            for (int i = 0; i < 12; i++) {
                assertThat(status("p" + (1 + i % 5), "/", "k-free")).isEqualTo(200);
            }
            return instance.received.size() == before;
        });
        assertThat(System.nanoTime() - acknowledgedAt).as("the bound drain").isLessThan(DRAIN_NANOS);
        // Requests that were sent before are still served: the instance's own proxy was the first to know of the
        // draining.
        int rejectedBefore = instance.rejectedWhileDraining.get();
        int receivedBefore = instance.received.size();
        for (int i = 0; i < 60; i++) {
            assertThat(status("p" + (1 + i % 5), "/", "k-free")).isEqualTo(200);
        }
        assertThat(instance.received).hasSize(receivedBefore);
        assertThat(instance.rejectedWhileDraining.get()).isEqualTo(rejectedBefore);
        instance.deregister();
        instance.startIncarnation("orders-p3");
        assertThat(status("p4", "/", "k-free")).isEqualTo(200);
    }

    @Test
    @Order(7)
    void gracefulShutdownLosesNoRequest() throws Exception {
        Queue<String> failures = new ConcurrentLinkedQueue<>();
        AtomicInteger served = new AtomicInteger();
        CountDownLatch firstResponses = new CountDownLatch(100);
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            String proxy = i < 4 ? "p2" : "p4";
            Thread client = new Thread(() -> sendRequests(proxy, failures, served, firstResponses), "client");
            clients.add(client);
            client.start();
        }
        assertThat(firstResponses.await(10, TimeUnit.SECONDS)).isTrue();
        fixture.terminate("p2");
        fixture.awaitExit("p2");
        for (Thread client : clients) {
            client.interrupt();
            client.join(10_000);
            assertThat(client.isAlive()).isFalse();
        }
        assertThat(failures).isEmpty();
        assertThat(served.get()).isGreaterThan(100);
    }

    /** If no controller confirms the configuration, a starting proxy uses it after a time-out. */
    @Test
    @Order(8)
    void startsWithUnconfirmedConfigurationWithoutAMajority() throws Exception {
        fixture.kill("h2");
        fixture.kill("h3");
        fixture.await(
                "h1 knows that it has no majority", () -> fixture.log("h1").contains("quorum contact lost"));
        RawHttpClient.Message rejection = fixture.read("h1");
        assertThat(rejection.status()).isEqualTo(503);
        assertThat(rejection.headers()).containsKey("Retry-After");
        fixture.kill("p3");
        fixture.restart("p3");
        fixture.awaitReady("p3");
        assertThat(fixture.log("p3")).contains("Starting with an unconfirmed configuration");
        assertThat(status("p3", "/safe/", "k-free")).isEqualTo(200);
        fixture.restart("h2");
        fixture.await("h1 accepts changes again", () -> fixture.read("h1").status() == 200);
        fixture.kill("p3");
        fixture.restart("p3");
        fixture.awaitReady("p3");
        assertThat(fixture.log("p3").split("unconfirmed configuration", -1)).hasSize(2);
    }

    /** All requests to an instance go through its own proxy, so draining works without a controller. */
    @Test
    @Order(9)
    void drainingIsAcknowledgedWithoutAnyController() throws Exception {
        fixture.kill("h1");
        fixture.kill("h2");
        List<String> proxies = List.of("p1", "p3", "p4", "p5");
        ApplicationStubs instance = fixture.application("p1");
        instance.drain();
        fixture.await("it gets no requests", () -> {
            int before = instance.received.size();
            for (int i = 0; i < 12; i++) {
                assertThat(status(proxies.get(i % 4), "/", "k-free")).isEqualTo(200);
            }
            return instance.received.size() == before;
        });
        int receivedBefore = instance.received.size();
        for (int i = 0; i < 60; i++) {
            assertThat(status(proxies.get(i % 4), "/", "k-free")).isEqualTo(200);
        }
        assertThat(instance.received).hasSize(receivedBefore);
    }

    private static boolean hasRun(String id) {
        for (int i = 1; i <= 5; i++) {
            if (fixture.application("p" + i).runs(id) > 0) {
                return true;
            }
        }
        return false;
    }

    /**
     * Sends requests until the proxy no longer listens. A connection that was reset before the proxy accepted it is not
     * a failure: its request was not read, and no instance has run it.
     */
    private static void sendRequests(
            String proxy, Queue<String> failures, AtomicInteger served, CountDownLatch firstResponses) {
        while (!Thread.currentThread().isInterrupted()) {
            String id = "";
            try {
                id = fixture.nextRequestId();
                int status = fixture.request(proxy, HOST, "/", "k-free", id).status();
                if (status == 200) {
                    served.incrementAndGet();
                    firstResponses.countDown();
                } else {
                    failures.add(proxy + " " + status);
                }
            } catch (ConnectException e) {
                return;
            } catch (IOException e) {
                if (hasRun(id)) {
                    failures.add(e.toString());
                }
            }
        }
    }
}
