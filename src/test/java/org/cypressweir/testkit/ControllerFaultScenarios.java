package org.cypressweir.testkit;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Runs random fault scenarios, several at a time, and prints a line for each. A violation does not end the run. */
public final class ControllerFaultScenarios {

    private ControllerFaultScenarios() {}

    /** @param args a folder, the first seed, the number of scenarios, the faults in each, the number of threads */
    public static void main(String[] args) throws InterruptedException {
        Path folder = Path.of(args[0]);
        int first = Integer.parseInt(args[1]);
        int count = Integer.parseInt(args[2]);
        int faults = Integer.parseInt(args[3]);
        AtomicInteger seeds = new AtomicInteger(first);
        AtomicInteger violations = new AtomicInteger();
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < Integer.parseInt(args[4]); i++) {
            Thread thread = new Thread(
                    () -> {
                        for (int seed; (seed = seeds.getAndIncrement()) < first + count; ) {
                            violations.addAndGet(runScenario(folder, seed, faults) ? 0 : 1);
                        }
                    },
                    "scenarios");
            threads.add(thread);
            thread.start();
        }
        for (Thread thread : threads) {
            thread.join();
        }
        System.out.println(count + " scenarios, " + violations + " with a violation");
        System.exit(violations.get() == 0 ? 0 : 1);
    }

    private static boolean runScenario(Path folder, int seed, int faults) {
        long startNanos = System.nanoTime();
        String violation;
        String summary = "";
        try {
            Path scenarioFolder = Files.createDirectories(folder.resolve("day" + seed));
            try (ControllerFaultScenario scenario =
                    new ControllerFaultScenario(scenarioFolder, seed % 2 == 0 ? 3 : 5, seed)) {
                try {
                    violation = scenario.run(faults);
                } catch (AssertionError e) {
                    Files.writeString(scenarioFolder.resolve("violation"), e.toString());
                    violation = e.getMessage().lines().findFirst().orElse("");
                }
                summary = scenario.toString();
            }
        } catch (IOException | InterruptedException | RuntimeException | AssertionError e) {
            violation = e.toString().lines().findFirst().orElse("");
        }
        System.out.println("seed " + seed + ", " + (System.nanoTime() - startNanos) / 1_000_000_000 + " s, "
                + (violation == null ? "no violation: " : "VIOLATION " + violation + ": ") + summary);
        return violation == null;
    }
}
