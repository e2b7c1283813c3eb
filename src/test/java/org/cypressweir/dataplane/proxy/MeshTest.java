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

/** Three harbours and five pilots as processes: changes are taken, requests served, losses borne. */
@TestMethodOrder(MethodOrderer.OrderAnnotation.class)
@Timeout(30)
class MeshTest {

    private static final String HOST = "orders.mesh";
    private static final String SETUP = "{'upsert':{'serviceTable':{'orders':" + service(1) + ",'gate':"
            + service(1) + "},'routeTable':{'once':" + route("/", "non_idempotent") + ",'safe':"
            + route("/safe/", "idempotent") + "},'tenantTable':{"
            + "'free':{'apiKeys':['k-free'],'configVersion':'r1'},"
            + "'thin':{'apiKeys':['k-thin'],'ratePerS':2,'burstSize':2,'configVersion':'r1'}}}}";

    @TempDir
    static Path folder;

    private static MeshFixture rig;

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
        rig = new MeshFixture(folder, 3, List.of("orders", "orders", "orders", "gate", "gate"));
        rig.order("h1", SETUP);
        for (int i = 1; i <= 5; i++) {
            rig.ready("p" + i);
        }
        allServe();
    }

    /** Waits until the pilots know all three servers: each has been chosen by each. */
    private static void allServe() throws InterruptedException {
        for (int i = 1; i <= 5; i++) {
            String pilot = "p" + i;
            rig.await(pilot + " serves by all", () -> {
                List<String> by = new ArrayList<>();
                for (int n = 0; n < 9; n++) {
                    by.add(rig.request(pilot, HOST, "/safe/x", "k-free")
                            .headers()
                            .get("Instance"));
                }
                return by.containsAll(List.of("orders-p1", "orders-p2", "orders-p3"));
            });
        }
    }

    @AfterAll
    static void end() throws IOException {
        if (rig != null) {
            rig.close();
        }
    }

    private static int status(String pilot, String path, String key) throws IOException {
        return rig.request(pilot, HOST, path, key).status();
    }

    @Test
    @Order(1)
    void aRequestIsServedOverTheHop() throws Exception {
        String id = rig.id();
        RawHttpClient.Message answer = rig.request("p4", HOST, "/deep/er?q=1", "k-free", id);
        assertThat(answer.status()).isEqualTo(200);
        assertThat(answer.body()).isEqualTo("ran of " + id);
        assertThat(answer.headers()).containsEntry(ApplicationStubs.ID, id);
        String instance = answer.headers().get("Instance");
        ApplicationStubs ship = rig.ship(instance.substring("orders-".length()));
        RawHttpClient.Message seen = ship.seen.stream()
                .filter(m -> id.equals(m.headers().get(ApplicationStubs.ID)))
                .findFirst()
                .orElseThrow();
        assertThat(seen.first()).isEqualTo("POST /deep/er?q=1 HTTP/1.1");
        assertThat(seen.headers())
                .containsEntry("Cypressweir-Caller-Service", "gate")
                .containsEntry("Cypressweir-Tenant-Name", "free")
                .containsEntry("Cypressweir-Target-Instance", instance)
                .containsKey("Cypressweir-Time-Remaining")
                .doesNotContainKey("Cypressweir-Key");
        assertThat(ship.runs(id)).isEqualTo(1);
    }

    @Test
    @Order(2)
    void whatCanNotBeIsRefused() throws Exception {
        assertThat(status("p1", "/", null)).isEqualTo(401);
        assertThat(status("p2", "/", "k-none")).isEqualTo(401);
        assertThat(rig.request("p3", "other.mesh", "/", "k-free").status()).isEqualTo(404);
        int before =
                rig.ship("p1").runs() + rig.ship("p2").runs() + rig.ship("p3").runs();
        int served = 0;
        RawHttpClient.Message refused = null;
        for (int i = 0; i < 30 && refused == null; i++) {
            RawHttpClient.Message answer = rig.request("p5", HOST, "/", "k-thin");
            refused = answer.status() == 429 ? answer : null;
            served += answer.status() == 200 ? 1 : 0;
        }
        assertThat(refused).isNotNull();
        assertThat(Double.parseDouble(refused.headers().get("Retry-After"))).isPositive();
        assertThat(rig.ship("p1").runs()
                        + rig.ship("p2").runs()
                        + rig.ship("p3").runs()
                        - before)
                .isEqualTo(served);

        assertThat(rig.modify("h2", "{'upsert':{'routeTable':{'x':{'hostname':'x','configVersion':'r1'}}}}")
                        .status())
                .isEqualTo(400);
        assertThat(rig.modify(
                                "h3",
                                "{'upsert':{'serviceTable':{'gate':{'healthPath':'/other',"
                                        + "'maxConnections':1,'configVersion':'r1'}}}}")
                        .status())
                .isEqualTo(409);
        assertThat(rig.modify("h3", SETUP).status()).isEqualTo(200);
    }

    @Test
    @Order(3)
    void withoutOneHarbourAndOnePilotAllGoesOn() throws Exception {
        rig.kill("h1");
        rig.order(
                "h2",
                "{'upsert':{'routeTable':{'late':"
                        + route("/late/", "idempotent").replace(HOST, "late.mesh") + "}}}");
        assertThat(rig.read("h3").body()).contains("late.mesh");
        rig.await(
                "the new route is at p5",
                () -> rig.request("p5", "late.mesh", "/late/", "k-free").status() == 200);

        rig.kill("p1");
        for (int i = 0; i < 20; i++) {
            assertThat(status("p" + (2 + i % 4), "/safe/", "k-free")).isEqualTo(200);
        }
        int before = rig.ship("p1").runs();
        for (int i = 0; i < 20; i++) {
            assertThat(status("p" + (2 + i % 4), "/", "k-free")).isEqualTo(200);
        }
        assertThat(rig.ship("p1").runs()).isEqualTo(before);

        rig.restart("h1");
        rig.restart("p1");
        rig.ready("p1");
        rig.await("h1 tells what it missed", () -> rig.read("h1").body().contains("late.mesh"));
        allServe();
    }

    @Test
    @Order(4)
    void allHarboursAtOnceLoseNothing() throws Exception {
        String before = rig.read("h2").body();
        for (int i = 1; i <= 3; i++) {
            rig.kill("h" + i);
        }
        assertThat(status("p4", "/", "k-free")).isEqualTo(200);
        for (int i = 1; i <= 3; i++) {
            rig.restart("h" + i);
        }
        rig.await("the configuration is told again", () -> rig.read("h3").status() == 200);
        assertThat(rig.read("h3").body()).isEqualTo(before);
        for (int i = 1; i <= 5; i++) {
            assertThat(status("p" + i, "/", "k-free")).isEqualTo(200);
        }
    }

    @Test
    @Order(5)
    void otherSettingsAreTakenWithoutAStop() throws Exception {
        rig.settings("p5", "gate", ",\"other\":\"5s\"");
        rig.settings("h3", null, ",\"other\":\"5s\"");
        for (String name : List.of("p5", "h3")) {
            rig.hup(name);
            rig.await(name + " has read it", () -> rig.log(name).contains("Settings reloaded"));
            assertThat(rig.isAlive(name)).isTrue();
        }
        assertThat(status("p5", "/", "k-free")).isEqualTo(200);
        assertThat(rig.read("h3").status()).isEqualTo(200);
    }

    /** What is at servers while all pilots on its way take other settings, with and without a signal. */
    @Test
    @Order(5)
    void otherSettingsLoseNothingInHand() throws Exception {
        List<String> pilots = List.of("p1", "p2", "p3", "p4", "p5");
        List<ApplicationStubs> ships =
                Stream.of("p1", "p2", "p3").map(rig::ship).toList();
        ships.forEach(s -> s.takes(2_000));
        Map<String, CompletableFuture<Integer>> asked = new TreeMap<>();
        for (int i = 0; i < 10; i++) {
            String id = "kept" + i;
            String pilot = pilots.get(i % 5);
            asked.put(
                    id,
                    CompletableFuture.supplyAsync(
                            () -> {
                                try {
                                    return rig.request(pilot, HOST, "/", "k-free", id)
                                            .status();
                                } catch (IOException e) {
                                    return 0;
                                }
                            },
                            task -> new Thread(task, "client").start()));
        }
        Map<String, Integer> before = new TreeMap<>();
        for (String pilot : pilots) {
            before.put(pilot, takings(pilot));
        }
        rig.await("all are at servers", () -> asked.keySet().stream().allMatch(MeshTest::ran));
        for (String pilot : pilots) {
            rig.settings(pilot, pilot.compareTo("p4") < 0 ? "orders" : "gate", ",\"another\":\"6s\"");
            if (!pilot.equals("p2") && !pilot.equals("p4")) {
                rig.hup(pilot);
            }
        }
        for (String pilot : pilots) {
            rig.await(pilot + " has read it", () -> takings(pilot) > before.get(pilot));
        }
        ships.forEach(s -> s.takes(0));
        for (Map.Entry<String, CompletableFuture<Integer>> one : asked.entrySet()) {
            assertThat(one.getValue().get(10, TimeUnit.SECONDS))
                    .as(one.getKey())
                    .isEqualTo(200);
            assertThat(ships.stream().mapToInt(s -> s.runs(one.getKey())).sum()).isEqualTo(1);
        }
    }

    private static int takings(String name) throws IOException {
        return rig.log(name).split("Settings reloaded", -1).length;
    }

    @Test
    @Order(6)
    void aServerThatDrainsIsLeftAlone() throws Exception {
        ApplicationStubs ship = rig.ship("p3");
        ship.drain();
        rig.await("it has refused one, or nobody sends it any", () -> {
            int before = ship.seen.size();
            for (int i = 0; i < 12; i++) {
                assertThat(status("p" + (1 + i % 5), "/", "k-free")).isEqualTo(200);
            }
            return ship.refused.get() > 0 || ship.seen.size() == before;
        });
        // What others had sent by then is answered: its own pilot has known before anybody.
        int refused = ship.refused.get();
        int seen = ship.seen.size();
        for (int i = 0; i < 60; i++) {
            assertThat(status("p" + (1 + i % 5), "/", "k-free")).isEqualTo(200);
        }
        assertThat(ship.seen).hasSize(seen);
        assertThat(ship.refused.get()).isEqualTo(refused);
        ship.end();
        ship.begin("orders-p3");
        assertThat(status("p4", "/", "k-free")).isEqualTo(200);
    }

    @Test
    @Order(7)
    void aPilotThatEndsLosesNoRequest() throws Exception {
        Queue<String> wrong = new ConcurrentLinkedQueue<>();
        AtomicInteger served = new AtomicInteger();
        CountDownLatch warm = new CountDownLatch(100);
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            String pilot = i < 4 ? "p2" : "p4";
            Thread client = new Thread(() -> load(pilot, wrong, served, warm), "client");
            clients.add(client);
            client.start();
        }
        assertThat(warm.await(10, TimeUnit.SECONDS)).isTrue();
        rig.term("p2");
        rig.gone("p2");
        for (Thread client : clients) {
            client.interrupt();
            client.join(10_000);
            assertThat(client.isAlive()).isFalse();
        }
        assertThat(wrong).isEmpty();
        assertThat(served.get()).isGreaterThan(100);
    }

    /** Where nobody confirms the configuration, a pilot that starts waits for a while, and begins with it. */
    @Test
    @Order(8)
    void withoutAMajorityAPilotStartsWithWhatThereIs() throws Exception {
        rig.kill("h2");
        rig.kill("h3");
        rig.await("h1 knows that it is alone", () -> rig.log("h1").contains("quorum contact lost"));
        RawHttpClient.Message refused = rig.read("h1");
        assertThat(refused.status()).isEqualTo(503);
        assertThat(refused.headers()).containsKey("Retry-After");
        rig.kill("p3");
        rig.restart("p3");
        rig.ready("p3");
        assertThat(rig.log("p3")).contains("Starting with an unconfirmed configuration");
        assertThat(status("p3", "/safe/", "k-free")).isEqualTo(200);
        rig.restart("h2");
        rig.await("h1 takes orders again", () -> rig.read("h1").status() == 200);
        rig.kill("p3");
        rig.restart("p3");
        rig.ready("p3");
        assertThat(rig.log("p3").split("unconfirmed configuration", -1)).hasSize(2);
    }

    /** What goes to a server passes its own pilot, so that a drain holds without a word to any harbour. */
    @Test
    @Order(9)
    void withoutAnyHarbourADrainIsAcknowledgedAndHolds() throws Exception {
        rig.kill("h1");
        rig.kill("h2");
        List<String> pilots = List.of("p1", "p3", "p4", "p5");
        ApplicationStubs ship = rig.ship("p1");
        ship.drain();
        rig.await("nobody sends it any", () -> {
            int before = ship.seen.size();
            for (int i = 0; i < 12; i++) {
                assertThat(status(pilots.get(i % 4), "/", "k-free")).isEqualTo(200);
            }
            return ship.seen.size() == before;
        });
        int seen = ship.seen.size();
        for (int i = 0; i < 60; i++) {
            assertThat(status(pilots.get(i % 4), "/", "k-free")).isEqualTo(200);
        }
        assertThat(ship.seen).hasSize(seen);
    }

    private static boolean ran(String id) {
        for (int i = 1; i <= 5; i++) {
            if (rig.ship("p" + i).runs(id) > 0) {
                return true;
            }
        }
        return false;
    }

    /**
     * Asks on and on until nobody listens there. A connection that the system reset before the pilot had it
     * is no loss: what was asked on it was not read, and no server has run it.
     */
    private static void load(String pilot, Queue<String> wrong, AtomicInteger served, CountDownLatch warm) {
        while (!Thread.currentThread().isInterrupted()) {
            String id = "";
            try {
                id = rig.id();
                int status = rig.request(pilot, HOST, "/", "k-free", id).status();
                if (status == 200) {
                    served.incrementAndGet();
                    warm.countDown();
                } else {
                    wrong.add(pilot + " " + status);
                }
            } catch (ConnectException e) {
                return;
            } catch (IOException e) {
                if (ran(id)) {
                    wrong.add(e.toString());
                }
            }
        }
    }
}
