package org.cypressweir.meshctl;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.List;
import org.cypressweir.meshctl.command.AnsiStyle;
import org.cypressweir.meshctl.command.ExitStatus;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Each command still works under its name of earlier builds, and no help text lists that name. */
class FormerCommandNamesTest {

    private final StringWriter out = new StringWriter();
    private final StringWriter err = new StringWriter();

    private int run(String... args) {
        return MeshCtl.run(new PrintWriter(out, true), new PrintWriter(err, true), args);
    }

    private String outputOf(String... args) {
        StringWriter output = new StringWriter();
        PrintWriter writer = new PrintWriter(output, true);
        assertThat(MeshCtl.run(writer, writer, args)).isEqualTo(ExitStatus.OK);
        return output.toString();
    }

    @ParameterizedTest
    @CsvSource({
        "pilot, proxy",
        "harbour, controller",
        "bridge, shell",
        "copies, replicas",
        "sights, connectivity",
        "tallies, quotas",
        "begin, bootstrap",
        "shown, config-status",
        "refusals, rejections"
    })
    void formerNameHasTheSameHelpAndIsNotListed(String formerName, String name) {
        assertThat(outputOf(formerName, "--help"))
                .isEqualTo(outputOf(name, "--help"))
                .contains("cypressweir " + name);
        assertThat(outputOf("help", formerName)).isEqualTo(outputOf("help", name));
        assertThat(outputOf("--help")).contains("  " + name + " ").doesNotContainPattern("\\b" + formerName + "\\b");
    }

    @ParameterizedTest
    @CsvSource({"copies", "sights", "tallies", "shown", "refusals", "replicas", "connectivity", "quotas"})
    void queryRunsByEitherName(String name) {
        // Nothing listens on port 1 of the loopback address.
        assertThat(run(name, "--at", "127.0.0.1:1", "--only")).isEqualTo(ExitStatus.FAILED);
        assertThat(err.toString()).isEqualToIgnoringNewLines("cypressweir: 127.0.0.1:1: cannot connect");
    }

    @ParameterizedTest
    @CsvSource({"begin", "bootstrap"})
    void bootstrapRequiresConfirmationUnderEitherName(String name) {
        assertThat(run(name, "127.0.0.1:1")).isEqualTo(ExitStatus.INVALID);
        assertThat(err.toString()).contains("--confirm", "cypressweir bootstrap --help");
    }

    @Test
    void shellRunsByItsFormerName() {
        assertThat(run("bridge", "--no-such-option")).isEqualTo(ExitStatus.INVALID);
        assertThat(err.toString()).contains("cypressweir shell --help");
    }

    @ParameterizedTest
    @CsvSource({"pilot", "harbour", "bridge", "proxy", "controller", "shell"})
    void shellRunsNoProgramByEitherName(String name) {
        PrintWriter writer = new PrintWriter(err, true);
        assertThat(new Shell(List.of()).run(name, writer, writer, AnsiStyle.OFF))
                .isEqualTo(ExitStatus.INVALID);
        assertThat(err.toString()).contains("Unmatched argument");
    }
}
