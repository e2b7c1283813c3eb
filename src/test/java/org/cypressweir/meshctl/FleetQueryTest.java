package org.cypressweir.meshctl;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.cypressweir.testkit.MeshFixture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** With one of eight processes killed and one suspended, every query names both as not responding. */
@Timeout(60)
class FleetQueryTest {

    private static final String SETUP = "{'upsert':{'serviceTable':{'orders':{'healthPath':'/health',"
            + "'maxConnections':32,'configVersion':'r1'}},'routeTable':{'all':{'hostname':'orders.mesh',"
            + "'pathPrefix':'/','routeType':'idempotent','timeout':'4s','targetLatency':'3s','priority':1,"
            + "'service':'orders','maxAttempts':3,'configVersion':'r1'}}}}";

    private record Result(int status, String out, String err) {}

    @TempDir
    Path folder;

    private static Result run(String... args) {
        StringWriter out = new StringWriter();
        StringWriter err = new StringWriter();
        List<String> all = new ArrayList<>(List.of(args));
        all.addAll(List.of("--timeout", "5000"));
        int status = MeshCtl.run(new PrintWriter(out), new PrintWriter(err), all.toArray(String[]::new));
        return new Result(status, out.toString(), err.toString());
    }

    /** Runs all queries at once, since each waits for the suspended process. */
    private static Map<String, Result> runAll(List<String> queries, String... furtherArgs) {
        Map<String, CompletableFuture<Result>> pending = new LinkedHashMap<>();
        ExecutorService threads = Executors.newFixedThreadPool(queries.size());
        for (String query : queries) {
            List<String> args = new ArrayList<>(List.of(query.split(" ")));
            args.addAll(List.of(furtherArgs));
            pending.put(
                    query.split(" ")[0],
                    CompletableFuture.supplyAsync(() -> run(args.toArray(String[]::new)), threads));
        }
        Map<String, Result> results = new LinkedHashMap<>();
        pending.forEach((query, result) -> results.put(query, result.join()));
        threads.shutdown();
        return results;
    }

    @Test
    void everyQueryNamesTheProcessesThatDoNotRespond() throws IOException, InterruptedException {
        try (MeshFixture mesh = new MeshFixture(folder, 3, List.of("orders", "orders", "orders", "gate", "gate"))) {
            mesh.modifyUntilAcknowledged("h1", SETUP);
            mesh.awaitReady("p1");
            String h1 = mesh.controlAddress("h1");
            mesh.await("all respond", () -> {
                Result replicas = run("replicas", "--at", mesh.controlAddress("p2"), "--json", "--where", "items=2");
                return replicas.status == 0 && replicas.out.split("\"at\"").length == 9;
            });
            assertThat(mesh.request("p1", "orders.mesh", "/x", null, "a/1 b").status())
                    .isEqualTo(200);
            assertThat(mesh.request("p2", "nowhere", "/", null, "a2").status()).isEqualTo(404);
            Result why = run("why", "a/1 b", "--at", h1, "--columns", "name,route,service,attempt,proxy,outcome");
            assertThat(why.status).isZero();
            assertThat(why.out).containsPattern("p1 +all +orders +1 +p[123] +answered\n");
            assertThat(run("why", "a2", "--at", h1, "--columns", "name,status,error").out)
                    .containsPattern("p2 +404 +no route\n");
            assertThat(run("why", "a3", "--at", h1).status).isEqualTo(4);

            mesh.kill("p5");
            mesh.suspend("h3");
            mesh.await("p5 is removed", () -> run("state", "--at", h1).out.contains("missed[0].name"));
            mesh.await(
                    "h3 is unresponsive to both",
                    () -> run("replicas", "--at", mesh.controlAddress("p1"), "--only")
                                    .out
                                    .contains(" 2/3")
                            && run("replicas", "--at", h1, "--only").out.contains(" 1/2"));
            Map<String, Result> results = runAll(
                    List.of(
                            "fleet --all",
                            "items --all",
                            "route orders.mesh / --all",
                            "replicas",
                            "config-status",
                            "connectivity",
                            "quotas",
                            "rejections",
                            "why a2",
                            "state --all"),
                    "--at",
                    h1);
            results.forEach((query, result) -> {
                assertThat(result.status).as(query).isEqualTo(3);
                assertThat(result.err.lines())
                        .as(query)
                        .containsExactlyInAnyOrder(
                                "cypressweir: " + mesh.controlAddress("p5") + ": cannot connect (p5)",
                                "cypressweir: " + mesh.controlAddress("h3")
                                        + ": no response within 5000 ms (a controller)");
            });
            assertThat(results.get("fleet").out).contains("orders-p1", "gate-p4");
            assertThat(results.get("items").out).contains("routeTable");
            assertThat(results.get("route").out).contains("orders.mesh");
            assertThat(results.get("replicas").out).containsPattern("p1 .*2/3");
            assertThat(results.get("config-status").out).containsPattern("all +r1 +false +6 +h1,");
            assertThat(results.get("connectivity").out)
                    .containsPattern("h1 +controller +proxy p5 .* lost ")
                    .containsPattern("p1 +proxy +controller .* unresponsive");
            assertThat(results.get("rejections").out).containsPattern("p2 +no route +1 ");
            assertThat(results.get("why").out).contains("404");

            mesh.await(
                    "h1 and p1 have the same configuration",
                    () -> run("diff", h1, mesh.controlAddress("p1")).status == 0);
            Result diff = run("diff", h1, mesh.controlAddress("h3"));
            assertThat(diff.status).isEqualTo(3);
            assertThat(diff.err).contains(mesh.controlAddress("h3"));
        }
    }
}
