package org.cypressweir.meshctl.validation;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.stream.Stream;
import org.cypressweir.meshctl.validation.SettingsCheck.Program;
import org.junit.jupiter.api.Test;

/** The programs whose settings can be checked, as operators name them: scripts depend on the names. */
class GoldenProgramsTest {

    @Test
    void namesOnTheCommandLine() {
        assertThat(Stream.of(Program.values()).map(Program::programName)).containsExactly("proxy", "controller");
    }

    @Test
    void namesOfEarlierBuildsAreAccepted() {
        assertThat(Stream.of("pilot", "harbour").map(name -> Program.named(name).orElseThrow()))
                .containsExactly(Program.PROXY, Program.CONTROLLER);
    }

    @Test
    void noOtherNameIsAccepted() {
        assertThat(Stream.of("", "PROXY", "sidecar").flatMap(name -> Program.named(name).stream()))
                .isEmpty();
    }
}
