package org.cypressweir.sidecar.cli;

import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import org.cypressweir.simulation.CellsSimulation;
import org.cypressweir.simulation.Report;
import org.cypressweir.simulation.Scenario;
import org.cypressweir.simulation.Scenario.Harm;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/**
 * {@code lab cells}: simulates a fleet under a fault, once for each number of cells, with the real load balancer in
 * simulated time.
 */
@Command(
        mixinStandardHelpOptions = true,
        versionProvider = Version.class,
        name = "cells",
        description = "Simulate a fleet under a fault: how far the fault spreads" + " with each number of cells.")
final class LabCellsCommand implements Callable<Integer> {

    @Spec
    private CommandSpec command;

    @Option(names = "--servers", description = "servers (default ${DEFAULT-VALUE})", defaultValue = "120")
    private int servers;

    @Option(names = "--sidecars", description = "sidecars (default ${DEFAULT-VALUE})", defaultValue = "6")
    private int sidecars;

    @Option(names = "--units", description = "accounts of clients (default ${DEFAULT-VALUE})", defaultValue = "2000")
    private int units;

    @Option(
            names = "--skew",
            description = "Zipf exponent of their request rates (default" + " ${DEFAULT-VALUE})",
            defaultValue = "0.6")
    private double skew;

    @Option(
            names = "--load",
            description = "fraction of the cores in use before the fault (default" + " ${DEFAULT-VALUE})",
            defaultValue = "0.6")
    private double load;

    @Option(
            names = "--cells",
            split = ",",
            description = "numbers of cells to simulate; 1 for none (default" + " ${DEFAULT-VALUE})",
            defaultValue = "1,4,12")
    private List<Integer> cells;

    @Option(
            names = "--guests",
            description = "fraction of a cell for guests (default ${DEFAULT-VALUE})",
            defaultValue = "0")
    private double guests;

    @Option(names = "--quarantine", description = "reserve a twentieth of the servers for units that" + " flood")
    private boolean quarantine;

    @Option(
            names = "--harm",
            description = "${COMPLETION-CANDIDATES} (default ${DEFAULT-VALUE})",
            defaultValue = "FLOOD")
    private Harm harm;

    @Option(
            names = "--size",
            description =
                    "fraction of traffic that floods, or of servers" + " that turn slow (default ${DEFAULT-VALUE})",
            defaultValue = "0.24")
    private double size;

    @Option(
            names = "--seconds",
            description = "length of the run; the fault begins after a third (default" + " ${DEFAULT-VALUE})",
            defaultValue = "60")
    private int seconds;

    @Option(names = "--seed", description = "random seed (default ${DEFAULT-VALUE})", defaultValue = "1")
    private long seed;

    @Override
    public Integer call() {
        var out = command.commandLine().getOut();
        out.println("cells\tin_time_before\tin_time_with\tworth_before\tworth_with\tnoticed\tasked"
                + "\tunanswered\tran_twice\tin_both");
        for (int count : cells) {
            Report report;
            try {
                report = CellsSimulation.run(new Scenario(
                        servers,
                        sidecars,
                        units,
                        skew,
                        load,
                        count,
                        guests,
                        quarantine && count > 1,
                        harm,
                        size,
                        seconds,
                        seed));
            } catch (IllegalArgumentException e) {
                command.commandLine().getErr().println("cypressweir-sidecar: " + e.getMessage());
                return CommandLineTool.EXIT_INVALID_INPUT;
            }
            out.println(String.format(
                    Locale.ROOT,
                    "%d\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%d\t%d\t%d\t%d",
                    count,
                    report.inTimeBefore(),
                    report.inTimeWith(),
                    report.worthBefore(),
                    report.worthWith(),
                    report.noticedShare(),
                    report.requests(),
                    report.unanswered(),
                    report.duplicateWrites(),
                    report.overlappingWrites()));
            out.flush();
        }
        return 0;
    }
}
