package org.cypressweir.simulation;

import static org.junit.jupiter.api.Assertions.fail;

import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Runs {@link MembershipChecks} in simulated time, each with a fixed seed and a random one. */
@Timeout(60)
class MembershipSimulationTest {

    static Set<String> checks() {
        return MembershipChecks.all().keySet();
    }

    @ParameterizedTest
    @MethodSource("checks")
    void holds(String check) {
        Stream.of(1L, System.nanoTime() & 0xFFFF).forEach(seed -> {
            try {
                MembershipChecks.all().get(check).run(seed);
            } catch (AssertionError e) {
                fail("seed " + seed + ": " + e.getMessage(), e);
            }
        });
    }
}
