package org.cypressweir;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.List;
import org.cypressweir.testkit.MeshFixture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** The programs still start under their former names, which operators' scripts use. */
class FormerProgramNamesTest {

    private static final String ORDERS_SERVICE =
            "{'upsert':{'serviceTable':{'orders':{'healthPath':'/health','maxConnections':32,"
                    + "'configVersion':'r1'}}}}";

    @TempDir
    private Path folder;

    @Test
    @Timeout(60)
    void formerNamesStartAControllerAndAProxy() throws Exception {
        try (MeshFixture mesh = MeshFixture.withFormerProgramNames(folder, 3, List.of("orders"))) {
            mesh.modifyUntilAcknowledged("h1", ORDERS_SERVICE);
            mesh.awaitReady("p1");
            assertThat(mesh.state("h1").status()).isEqualTo(200);
        }
    }
}
