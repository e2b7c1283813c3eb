package org.cypressweir.testkit;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Plays drawn days one after the other, some at once, and goes on after a breach: a line each. */
public final class ControllerFaultScenarios {

    private ControllerFaultScenarios() {}

    /** @param args a folder, the first seed, how many days, faults a day, how many days at once */
    public static void main(String[] args) throws InterruptedException {
        Path folder = Path.of(args[0]);
        int first = Integer.parseInt(args[1]);
        int count = Integer.parseInt(args[2]);
        int faults = Integer.parseInt(args[3]);
        AtomicInteger seeds = new AtomicInteger(first);
        AtomicInteger wrong = new AtomicInteger();
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < Integer.parseInt(args[4]); i++) {
            Thread thread = new Thread(
                    () -> {
                        for (int seed; (seed = seeds.getAndIncrement()) < first + count; ) {
                            wrong.addAndGet(play(folder, seed, faults) ? 0 : 1);
                        }
                    },
                    "days");
            threads.add(thread);
            thread.start();
        }
        for (Thread thread : threads) {
            thread.join();
        }
        System.out.println(count + " days, " + wrong + " with a breach");
        System.exit(wrong.get() == 0 ? 0 : 1);
    }

    private static boolean play(Path folder, int seed, int faults) {
        long begun = System.nanoTime();
        String breach;
        String told = "";
        try {
            Path own = Files.createDirectories(folder.resolve("day" + seed));
            try (ControllerFaultScenario day = new ControllerFaultScenario(own, seed % 2 == 0 ? 3 : 5, seed)) {
                try {
                    breach = day.run(faults);
                } catch (AssertionError e) {
                    Files.writeString(own.resolve("breach"), e.toString());
                    breach = e.getMessage().lines().findFirst().orElse("");
                }
                told = day.toString();
            }
        } catch (IOException | InterruptedException | RuntimeException | AssertionError e) {
            breach = e.toString().lines().findFirst().orElse("");
        }
        System.out.println("seed " + seed + ", " + (System.nanoTime() - begun) / 1_000_000_000 + " s, "
                + (breach == null ? "no breach: " : "BREACH " + breach + ": ") + told);
        return breach == null;
    }
}
