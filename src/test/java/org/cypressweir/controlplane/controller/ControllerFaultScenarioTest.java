package org.cypressweir.controlplane.controller;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import org.cypressweir.testkit.ControllerFaultScenario;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Drawn days of harbours as processes; more and longer ones with -Dharbour.days=100 -Dharbour.faults=12, cuts
 * of up to 20 s with -Dharbour.cut=20000, orders are sent again long after too.
 */
class ControllerFaultScenarioTest {

    private static final int FIRST = Integer.getInteger("harbour.first", 0);
    private static final int DAYS = Integer.getInteger("harbour.days", 1);
    private static final int FAULTS = Integer.getInteger("harbour.faults", 3);

    @TempDir
    private Path folder;

    @Test
    void nothingAcknowledgedIsLost() throws Exception {
        for (int seed = FIRST; seed < FIRST + DAYS; seed++) {
            long begun = System.nanoTime();
            Path own = Files.createDirectory(folder.resolve("day" + seed));
            try (ControllerFaultScenario day = new ControllerFaultScenario(own, seed % 2 == 0 ? 3 : 5, seed)) {
                String breach = day.run(FAULTS);
                assertThat(breach).as("seed %s: %s", seed, day).isNull();
                if (DAYS > 1) {
                    System.out.println(
                            "seed " + seed + ", " + (System.nanoTime() - begun) / 1_000_000_000 + " s: " + day);
                }
            }
        }
    }
}
