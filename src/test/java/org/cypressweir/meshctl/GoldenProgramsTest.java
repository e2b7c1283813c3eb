package org.cypressweir.meshctl;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** The programs whose settings can be checked, as operators name them. */
class GoldenProgramsTest {

    @Test
    void namesOnTheCommandLine() {
        assertThat(Stream.of(SettingsCheck.Program.values()).map(Enum::name)).containsExactly("pilot", "harbour");
    }
}
