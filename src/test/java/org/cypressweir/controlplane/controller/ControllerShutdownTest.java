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

/** Harbours as processes: who waits sends operators on, and takes the place of one that leaves. */
class ControllerShutdownTest {

    @TempDir
    private Path folder;

    @Test
    void whoWaitsTakesThePlaceOfOneThatLeaves() throws Exception {
        try (MeshFixture rig = new MeshFixture(folder, 3, List.of())) {
            rig.order("h1", OperatorChecks.order("t0", "k00", 1));
            rig.begun();
            rig.join("h4");
            sendsOn(rig, "h4", List.of("h1", "h2", "h3"));
            for (String harbour : List.of("h1", "h2", "h3")) {
                rig.await(
                        harbour + " knows that h4 waits",
                        () -> rig.state(harbour).body().contains("\"standbys\":[\"" + rig.lines("h4")));
            }
            rig.term("h2");
            rig.gone("h2");
            // It has ended after that was agreed, long before the others could take it to be silent.
            assertThat(List.of(crew(rig, "h1"), crew(rig, "h3"))).anyMatch(crew -> !crew.contains(rig.lines("h2")));
            for (String harbour : List.of("h1", "h3", "h4")) {
                rig.await(
                        harbour + " counts h4",
                        () -> crew(rig, harbour).contains(rig.lines("h4"))
                                && !crew(rig, harbour).contains(rig.lines("h2")));
            }
            rig.order("h4", OperatorChecks.order("t0", "k01", 2));
            rig.restart("h2");
            sendsOn(rig, "h2", List.of("h1", "h3", "h4"));
            rig.kill("h1");
            rig.order("h4", OperatorChecks.order("t0", "k02", 3));
            rig.await("h2 is let in", () -> rig.firstAnswer("h2").status() == 200);
            assertThat(rig.firstAnswer("h2").body()).contains("k02");
        }
    }

    private static String crew(MeshFixture rig, String harbour) throws IOException {
        String state = rig.state(harbour).body();
        return state.substring(state.indexOf("\"crew\""), state.indexOf("\"members\""));
    }

    /** Sooner or later, whatever it answers until it knows. */
    private static void sendsOn(MeshFixture rig, String harbour, List<String> voters) throws Exception {
        rig.await(harbour + " sends on", () -> {
            RawHttpClient.Message answer = rig.firstAnswer(harbour);
            return answer.status() == 307
                    && voters.stream().anyMatch(v -> ("http://" + rig.control(v) + "/cypressweir/config/read")
                            .equals(answer.headers().get("Location")));
        });
    }
}
