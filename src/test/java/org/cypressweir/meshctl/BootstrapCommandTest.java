package org.cypressweir.meshctl;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Path;
import java.util.List;
import org.cypressweir.meshctl.command.ExitStatus;
import org.cypressweir.testkit.MeshFixture;
import org.cypressweir.testkit.OperatorChecks;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A mesh that has lost all its disks starts again only when an operator bootstraps one blank controller. */
class BootstrapCommandTest {

    @TempDir
    private Path folder;

    @Test
    void meshWithoutDisksStartsOnlyWhenAnOperatorBootstrapsAController() throws Exception {
        List<String> controllers = List.of("h1", "h2", "h3");
        try (MeshFixture mesh = new MeshFixture(folder, 3, List.of())) {
            mesh.modifyUntilAcknowledged("h1", OperatorChecks.tenantChange("t0", "k00", 1));
            mesh.markInitialized();
            StringWriter output = new StringWriter();
            assertThat(bootstrap(output, mesh.controlAddress("h1"))).isEqualTo(ExitStatus.INVALID);
            assertThat(bootstrap(output, mesh.controlAddress("h1"), "--confirm"))
                    .isEqualTo(ExitStatus.DIFFERENT_OR_REJECTED);
            assertThat(output.toString()).contains("--confirm").contains("not blank");
            for (String controller : controllers) {
                mesh.kill(controller);
                mesh.emptyDataDirectory(controller);
            }
            for (String controller : controllers) {
                mesh.restart(controller);
            }
            mesh.await("every controller has found its disk empty", () -> controllers.stream()
                    .allMatch(name ->
                            lastLine(mesh.log(name)).contains("replica is blank and learns the committed state")));
            for (String controller : controllers) {
                assertThat(mesh.read(controller).status()).isEqualTo(503);
            }
            mesh.await("h1 starts", () -> bootstrap(output, mesh.controlAddress("h1"), "--confirm") == ExitStatus.OK);
            mesh.modifyUntilAcknowledged("h1", OperatorChecks.tenantChange("t0", "k01", 1));
            for (String controller : controllers) {
                mesh.await(
                        controller + " reads the change",
                        () -> mesh.read(controller).body().contains("k01"));
            }
        }
    }

    private static String lastLine(String log) {
        return log.substring(log.lastIndexOf('\n', log.length() - 2) + 1);
    }

    private static int bootstrap(StringWriter output, String... args) {
        String[] command = new String[args.length + 1];
        command[0] = "bootstrap";
        System.arraycopy(args, 0, command, 1, args.length);
        PrintWriter out = new PrintWriter(output, true);
        return MeshCtl.run(out, out, command);
    }
}
