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
        try (MeshFixture mesh = new MeshFixture(folder, 3, List.of())) {
            mesh.modifyUntilAcknowledged("h1", OperatorChecks.tenantChange("t0", "k00", 1));
            mesh.markInitialized();
            mesh.startAdditionalController("h4");
            awaitRedirect(mesh, "h4", List.of("h1", "h2", "h3"));
            for (String controller : List.of("h1", "h2", "h3")) {
                mesh.await(
                        controller + " knows h4 as a standby",
                        () -> mesh.state(controller).body().contains("\"standbys\":[\"" + mesh.peerAddress("h4")));
            }
            mesh.terminate("h2");
            mesh.awaitExit("h2");
            // h2 exits only after its replacement is committed, long before the others could time it out.
            assertThat(List.of(voters(mesh, "h1"), voters(mesh, "h3")))
                    .anyMatch(voters -> !voters.contains(mesh.peerAddress("h2")));
            for (String controller : List.of("h1", "h3", "h4")) {
                mesh.await(
                        controller + " has h4 as a voter",
                        () -> voters(mesh, controller).contains(mesh.peerAddress("h4"))
                                && !voters(mesh, controller).contains(mesh.peerAddress("h2")));
            }
            mesh.modifyUntilAcknowledged("h4", OperatorChecks.tenantChange("t0", "k01", 2));
            mesh.restart("h2");
            awaitRedirect(mesh, "h2", List.of("h1", "h3", "h4"));
            mesh.kill("h1");
            mesh.modifyUntilAcknowledged("h4", OperatorChecks.tenantChange("t0", "k02", 3));
            mesh.await(
                    "h2 is admitted as a voter",
                    () -> mesh.readWithoutRedirect("h2").status() == 200);
            assertThat(mesh.readWithoutRedirect("h2").body()).contains("k02");
        }
    }

    private static String voters(MeshFixture mesh, String controller) throws IOException {
        String state = mesh.state(controller).body();
        return state.substring(state.indexOf("\"crew\""), state.indexOf("\"members\""));
    }

    /** Waits until the controller redirects to a voter; before it knows one it may answer anything. */
    private static void awaitRedirect(MeshFixture mesh, String controller, List<String> voters) throws Exception {
        mesh.await(controller + " redirects", () -> {
            RawHttpClient.Message answer = mesh.readWithoutRedirect(controller);
            return answer.status() == 307
                    && voters.stream().anyMatch(v -> ("http://" + mesh.controlAddress(v) + "/cypressweir/config/read")
                            .equals(answer.headers().get("Location")));
        });
    }
}
