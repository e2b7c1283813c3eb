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

/** Every question to eight processes of which one has ended and one is cut off: both are named. */
@Timeout(60)
class FleetQueryTest {

    private static final String SETUP = "{'upsert':{'serviceTable':{'orders':{'healthPath':'/health',"
            + "'maxConnections':32,'configVersion':'r1'}},'routeTable':{'all':{'hostname':'orders.mesh',"
            + "'pathPrefix':'/','routeType':'idempotent','timeout':'4s','targetLatency':'3s','priority':1,"
            + "'service':'orders','maxAttempts':3,'configVersion':'r1'}}}}";

    private record Told(int status, String out, String err) {}

    @TempDir
    Path folder;

    private static Told ask(String... args) {
        StringWriter out = new StringWriter();
        StringWriter err = new StringWriter();
        List<String> all = new ArrayList<>(List.of(args));
        all.addAll(List.of("--timeout", "5000"));
        int status = MeshCtl.run(new PrintWriter(out), new PrintWriter(err), all.toArray(String[]::new));
        return new Told(status, out.toString(), err.toString());
    }

    /** All at once: each waits for who is cut off. */
    private static Map<String, Told> askAll(List<String> questions, String... more) {
        Map<String, CompletableFuture<Told>> asked = new LinkedHashMap<>();
        ExecutorService threads = Executors.newFixedThreadPool(questions.size());
        for (String question : questions) {
            List<String> args = new ArrayList<>(List.of(question.split(" ")));
            args.addAll(List.of(more));
            asked.put(
                    question.split(" ")[0],
                    CompletableFuture.supplyAsync(() -> ask(args.toArray(String[]::new)), threads));
        }
        Map<String, Told> told = new LinkedHashMap<>();
        asked.forEach((question, answer) -> told.put(question, answer.join()));
        threads.shutdown();
        return told;
    }

    @Test
    void whoDoesNotAnswerIsNamedByEveryQuestion() throws IOException, InterruptedException {
        try (MeshFixture rig = new MeshFixture(folder, 3, List.of("orders", "orders", "orders", "gate", "gate"))) {
            rig.order("h1", SETUP);
            rig.ready("p1");
            String h1 = rig.control("h1");
            rig.await("all answer", () -> {
                Told told = ask("copies", "--at", rig.control("p2"), "--json", "--where", "items=2");
                return told.status == 0 && told.out.split("\"at\"").length == 9;
            });
            assertThat(rig.request("p1", "orders.mesh", "/x", null, "a/1 b").status())
                    .isEqualTo(200);
            assertThat(rig.request("p2", "nowhere", "/", null, "a2").status()).isEqualTo(404);
            Told why = ask("why", "a/1 b", "--at", h1, "--columns", "name,route,service,try,pilot,outcome");
            assertThat(why.status).isZero();
            assertThat(why.out).containsPattern("p1 +all +orders +1 +p[123] +answered\n");
            assertThat(ask("why", "a2", "--at", h1, "--columns", "name,answer,fault").out)
                    .containsPattern("p2 +404 +no route\n");
            assertThat(ask("why", "a3", "--at", h1).status).isEqualTo(4);

            rig.kill("p5");
            rig.freeze("h3");
            rig.await("p5 is missed", () -> ask("state", "--at", h1).out.contains("missed[0].name"));
            rig.await(
                    "h3 is silent to both",
                    () -> ask("copies", "--at", rig.control("p1"), "--only").out.contains(" 2/3")
                            && ask("copies", "--at", h1, "--only").out.contains(" 1/2"));
            Map<String, Told> told = askAll(
                    List.of(
                            "fleet --all",
                            "items --all",
                            "route orders.mesh / --all",
                            "copies",
                            "shown",
                            "sights",
                            "tallies",
                            "refusals",
                            "why a2",
                            "state --all"),
                    "--at",
                    h1);
            told.forEach((question, answer) -> {
                assertThat(answer.status).as(question).isEqualTo(3);
                assertThat(answer.err.lines())
                        .as(question)
                        .containsExactlyInAnyOrder(
                                "cypressweir: " + rig.control("p5") + ": nobody listens (p5)",
                                "cypressweir: " + rig.control("h3") + ": no answer in 5000 ms (a harbour)");
            });
            assertThat(told.get("fleet").out).contains("orders-p1", "gate-p4");
            assertThat(told.get("items").out).contains("routeTable");
            assertThat(told.get("route").out).contains("orders.mesh");
            assertThat(told.get("copies").out).containsPattern("p1 .*2/3");
            assertThat(told.get("shown").out).containsPattern("all +r1 +false +6 +h1,");
            assertThat(told.get("sights").out)
                    .containsPattern("h1 +harbour +pilot p5 .* gone ")
                    .containsPattern("p1 +pilot +harbour .* silent");
            assertThat(told.get("refusals").out).containsPattern("p2 +no route +1 ");
            assertThat(told.get("why").out).contains("404");

            rig.await("h1 and p1 know the same", () -> ask("diff", h1, rig.control("p1")).status == 0);
            Told diff = ask("diff", h1, rig.control("h3"));
            assertThat(diff.status).isEqualTo(3);
            assertThat(diff.err).contains(rig.control("h3"));
        }
    }
}
