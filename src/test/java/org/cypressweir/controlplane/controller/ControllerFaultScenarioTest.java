package org.cypressweir.controlplane.controller;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import org.cypressweir.testkit.ControllerFaultScenario;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Random fault scenarios with controllers as processes: no acknowledged change may be lost, and changes that are
 * retried much later must be answered as before. -Dharbour.days=100 -Dharbour.faults=12 runs more and longer
 * scenarios, and -Dharbour.cut=20000 has partitions of up to 20 s.
 */
class ControllerFaultScenarioTest {

    private static final int FIRST_SEED = Integer.getInteger("harbour.first", 0);
    private static final int SCENARIOS = Integer.getInteger("harbour.days", 1);
    private static final int FAULTS_PER_SCENARIO = Integer.getInteger("harbour.faults", 3);

    @TempDir
    private Path folder;

    @Test
    void nothingAcknowledgedIsLost() throws Exception {
        for (int seed = FIRST_SEED; seed < FIRST_SEED + SCENARIOS; seed++) {
            long startNanos = System.nanoTime();
            Path scenarioFolder = Files.createDirectory(folder.resolve("day" + seed));
            try (ControllerFaultScenario scenario =
                    new ControllerFaultScenario(scenarioFolder, seed % 2 == 0 ? 3 : 5, seed)) {
                String violation = scenario.run(FAULTS_PER_SCENARIO);
                assertThat(violation).as("seed %s: %s", seed, scenario).isNull();
                if (SCENARIOS > 1) {
                    System.out.println("seed " + seed + ", " + (System.nanoTime() - startNanos) / 1_000_000_000 + " s: "
                            + scenario);
                }
            }
        }
    }
}
