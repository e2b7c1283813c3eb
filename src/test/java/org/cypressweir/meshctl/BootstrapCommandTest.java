package org.cypressweir.meshctl;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Path;
import java.util.List;
import org.cypressweir.testkit.MeshFixture;
import org.cypressweir.testkit.OperatorChecks;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** With all disks lost nothing begins but by an operator's word, to one harbour that is blank. */
class BootstrapCommandTest {

    @TempDir
    private Path folder;

    @Test
    void aSystemWithoutDisksBeginsByAnOperatorsWord() throws Exception {
        List<String> harbours = List.of("h1", "h2", "h3");
        try (MeshFixture rig = new MeshFixture(folder, 3, List.of())) {
            rig.order("h1", OperatorChecks.order("t0", "k00", 1));
            rig.begun();
            StringWriter said = new StringWriter();
            assertThat(begin(said, rig.control("h1"))).isEqualTo(MeshCtl.BAD);
            assertThat(begin(said, rig.control("h1"), "--confirm")).isEqualTo(MeshCtl.DIFFERENT);
            assertThat(said.toString()).contains("--confirm").contains("not blank");
            for (String harbour : harbours) {
                rig.kill(harbour);
                rig.empty(harbour);
            }
            for (String harbour : harbours) {
                rig.restart(harbour);
            }
            rig.await("all ask", () -> harbours.stream()
                    .allMatch(h -> rig.log(h).endsWith("store opened accepted=none\n")));
            for (String harbour : harbours) {
                assertThat(rig.read(harbour).status()).isEqualTo(503);
            }
            rig.await("h1 begins", () -> begin(said, rig.control("h1"), "--confirm") == MeshCtl.DONE);
            rig.order("h1", OperatorChecks.order("t0", "k01", 1));
            for (String harbour : harbours) {
                rig.await(harbour + " reads", () -> rig.read(harbour).body().contains("k01"));
            }
        }
    }

    private static int begin(StringWriter said, String... args) {
        String[] line = new String[args.length + 1];
        line[0] = "begin";
        System.arraycopy(args, 0, line, 1, args.length);
        PrintWriter out = new PrintWriter(said, true);
        return MeshCtl.run(out, out, line);
    }
}
