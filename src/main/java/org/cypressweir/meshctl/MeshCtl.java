package org.cypressweir.meshctl;

import java.io.PrintWriter;
import java.util.List;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.HelpCommand;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** The command line. One class a command; errors are one line each on standard error. */
@Command(
        name = "cypressweir",
        mixinStandardHelpOptions = true,
        versionProvider = Version.class,
        description = "A service mesh: its programs, its checks, and questions to it.",
        synopsisSubcommandLabel = "COMMAND",
        footer = {
            "",
            "Programs: pilot, harbour (settings file in CYPRESSWEIR_NODE_FILE).",
            "Exit status: 0 done; 1 nobody answers, or a file can't be read; 2 wrong use, or a bad file; "
                    + "3 some don't answer; 4 no such route, or request; "
                    + "5 not the same."
        },
        subcommands = {
            ServeCommand.PilotCommand.class,
            ServeCommand.HarbourCommand.class,
            CheckCommand.class,
            ShellCommand.class,
            FleetCommand.class,
            ItemsCommand.class,
            RouteCommand.class,
            ReplicasCommand.class,
            ConfigStatusCommand.class,
            ConnectivityCommand.class,
            QuotasCommand.class,
            RejectionsCommand.class,
            WhyCommand.class,
            DiffCommand.class,
            StateCommand.class,
            BootstrapCommand.class,
            HelpCommand.class
        })
public final class MeshCtl implements Runnable {

    static final int DONE = 0;
    /** Nobody answers, or a file can't be read. */
    static final int NOBODY = 1;
    /** Wrong use, or a bad file. */
    static final int BAD = 2;

    static final int SOME_SILENT = 3;
    static final int NO_ROUTE = 4;
    /** What was compared is not the same. */
    static final int DIFFERENT = 5;

    private final List<String> usual;
    private final AnsiStyle paint;

    @Spec
    private CommandSpec spec;

    /** @param usual whom questions ask that name nobody */
    MeshCtl(List<String> usual, AnsiStyle paint) {
        this.usual = usual;
        this.paint = paint;
    }

    List<String> usual() {
        return usual;
    }

    AnsiStyle paint() {
        return paint;
    }

    /** Runs a command; the exit status. */
    public static int run(String... args) {
        return new MeshCtl(List.of(), AnsiStyle.usual())
                .line(new PrintWriter(System.out, true), new PrintWriter(System.err, true))
                .execute(args);
    }

    public static int run(PrintWriter out, PrintWriter err, String... args) {
        return new MeshCtl(List.of(), AnsiStyle.OFF).line(out, err).execute(args);
    }

    /** All commands and some more, ready to be run once. */
    CommandLine line(PrintWriter out, PrintWriter err, Object... more) {
        CommandLine line = new CommandLine(this);
        for (Object one : more) {
            line.addSubcommand(one);
        }
        return line.setOut(out)
                .setErr(err)
                .setExitCodeExceptionMapper(e -> NOBODY)
                .setParameterExceptionHandler((e, given) -> wrong(e, err))
                .setExecutionExceptionHandler((e, failed, result) -> {
                    err.println("cypressweir: " + e);
                    return NOBODY;
                });
    }

    private static int wrong(ParameterException e, PrintWriter err) {
        String line = String.valueOf(e.getMessage()).replace('\n', ' ');
        err.println("cypressweir: " + line + " ("
                + e.getCommandLine().getCommandSpec().qualifiedName() + " --help)");
        return BAD;
    }

    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "a command is missing");
    }
}
