package org.cypressweir.sidecar.cli;

import java.util.Locale;
import java.util.concurrent.Callable;
import org.cypressweir.simulation.QuietFleetSimulation;
import org.cypressweir.simulation.QuietReport;
import org.cypressweir.simulation.QuietScenario;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** {@code lab quiet}: simulates thousands of low-traffic instances, once watching the list and once polling it. */
@Command(
        mixinStandardHelpOptions = true,
        versionProvider = Version.class,
        name = "quiet",
        description = "Simulate thousands of low-traffic instances: their load on discovery and" + " on a cold server.")
final class LabQuietCommand implements Callable<Integer> {

    @Spec
    private CommandSpec command;

    @Option(names = "--instances", description = "instances (default ${DEFAULT-VALUE})", defaultValue = "3000")
    private int instances;

    @Option(names = "--servers", description = "servers (default ${DEFAULT-VALUE})", defaultValue = "60")
    private int servers;

    @Option(
            names = "--per-minute",
            description = "requests of one instance per minute (default ${DEFAULT-VALUE})",
            defaultValue = "6")
    private double perMinute;

    @Option(
            names = "--list-rate",
            description = "list calls per second by all instances (default" + " ${DEFAULT-VALUE})",
            defaultValue = "400")
    private double listRate;

    @Option(
            names = "--changes",
            description = "additional changes of the list per minute (default" + " ${DEFAULT-VALUE})",
            defaultValue = "30")
    private double changes;

    @Option(names = "--seconds", description = "length of the run (default ${DEFAULT-VALUE})", defaultValue = "90")
    private int seconds;

    @Option(names = "--seed", description = "random seed (default ${DEFAULT-VALUE})", defaultValue = "1")
    private long seed;

    @Override
    public Integer call() {
        var out = command.commandLine().getOut();
        out.println("list_rate\tcalls\tcalls_peak\ttold_ms\tcold_peak\tcold_first\tin_time\tunanswered");
        for (double rate : new double[] {0, listRate}) {
            QuietReport report;
            try {
                report = QuietFleetSimulation.run(
                        new QuietScenario(instances, servers, perMinute, rate, changes, seconds, seed));
            } catch (IllegalArgumentException e) {
                command.commandLine().getErr().println("cypressweir-sidecar: " + e.getMessage());
                return CommandLineTool.EXIT_INVALID_INPUT;
            }
            out.println(String.format(
                    Locale.ROOT,
                    "%s\t%d\t%d\t%d\t%.2f\t%d\t%.3f\t%d",
                    rate == 0 ? "watch" : String.valueOf(rate),
                    report.calls(),
                    report.callsPeak(),
                    report.listedAfterMillis(),
                    report.coldPeak(),
                    report.coldFirstSecond(),
                    report.inTime(),
                    report.unanswered()));
            out.flush();
        }
        return 0;
    }
}
