package org.cypressweir.controlplane.controller;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import org.cypressweir.testkit.MeshFixture;
import org.cypressweir.testkit.OperatorChecks;
import org.cypressweir.testkit.RawHttpClient;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Controllers as processes: a standby redirects operators, and replaces a voter that shuts down. */
class ControllerShutdownTest {

    @TempDir
    private Path folder;

    @Test
    void aStandbyReplacesAVoterThatShutsDown() throws Exception {
        try (MeshFixture rig = new MeshFixture(folder, 3, List.of())) {
            rig.order("h1", OperatorChecks.order("t0", "k00", 1));
            rig.begun();
            rig.join("h4");
            awaitRedirect(rig, "h4", List.of("h1", "h2", "h3"));
            for (String controller : List.of("h1", "h2", "h3")) {
                rig.await(
                        controller + " knows h4 as a standby",
                        () -> rig.state(controller).body().contains("\"standbys\":[\"" + rig.lines("h4")));
            }
            rig.term("h2");
            rig.gone("h2");
            // It ended after that was committed, long before the others could time it out.
            assertThat(List.of(voters(rig, "h1"), voters(rig, "h3")))
                    .anyMatch(voters -> !voters.contains(rig.lines("h2")));
            for (String controller : List.of("h1", "h3", "h4")) {
                rig.await(
                        controller + " has h4 as a voter",
                        () -> voters(rig, controller).contains(rig.lines("h4"))
                                && !voters(rig, controller).contains(rig.lines("h2")));
            }
            rig.order("h4", OperatorChecks.order("t0", "k01", 2));
            rig.restart("h2");
            awaitRedirect(rig, "h2", List.of("h1", "h3", "h4"));
            rig.kill("h1");
            rig.order("h4", OperatorChecks.order("t0", "k02", 3));
            rig.await("h2 is let in", () -> rig.firstAnswer("h2").status() == 200);
            assertThat(rig.firstAnswer("h2").body()).contains("k02");
        }
    }

    private static String voters(MeshFixture rig, String controller) throws IOException {
        String state = rig.state(controller).body();
        return state.substring(state.indexOf("\"crew\""), state.indexOf("\"members\""));
    }

    /** Waits until a voter is named; until it knows one it may answer anything. */
    private static void awaitRedirect(MeshFixture rig, String controller, List<String> voters) throws Exception {
        rig.await(controller + " redirects", () -> {
            RawHttpClient.Message answer = rig.firstAnswer(controller);
            return answer.status() == 307
                    && voters.stream().anyMatch(v -> ("http://" + rig.control(v) + "/cypressweir/config/read")
                            .equals(answer.headers().get("Location")));
        });
    }
}
