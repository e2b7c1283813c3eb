package org.cypressweir.meshctl;

import java.io.PrintWriter;
import java.util.List;
import org.cypressweir.meshctl.command.AnsiStyle;
import org.cypressweir.meshctl.command.BootstrapCommand;
import org.cypressweir.meshctl.command.CheckCommand;
import org.cypressweir.meshctl.command.CommandContext;
import org.cypressweir.meshctl.command.ConfigStatusCommand;
import org.cypressweir.meshctl.command.ConnectivityCommand;
import org.cypressweir.meshctl.command.ControllerCommand;
import org.cypressweir.meshctl.command.DiffCommand;
import org.cypressweir.meshctl.command.ExitStatus;
import org.cypressweir.meshctl.command.FleetCommand;
import org.cypressweir.meshctl.command.ItemsCommand;
import org.cypressweir.meshctl.command.ProxyCommand;
import org.cypressweir.meshctl.command.QuotasCommand;
import org.cypressweir.meshctl.command.RejectionsCommand;
import org.cypressweir.meshctl.command.ReplicasCommand;
import org.cypressweir.meshctl.command.RolloutCommand;
import org.cypressweir.meshctl.command.RouteCommand;
import org.cypressweir.meshctl.command.StateCommand;
import org.cypressweir.meshctl.command.Version;
import org.cypressweir.meshctl.command.WhyCommand;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.HelpCommand;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** The command line with all commands of the mesh. An error is printed as one line to standard error. */
@Command(
        name = "cypressweir",
        mixinStandardHelpOptions = true,
        versionProvider = Version.class,
        description = "A service mesh: run its programs, validate its files, query its processes.",
        synopsisSubcommandLabel = "COMMAND",
        footer = {
            "",
            "Programs: proxy, controller (settings file in CYPRESSWEIR_NODE_FILE).",
            "Exit status: 0 success; 1 no process responded, or a file cannot be read; 2 wrong usage, or an invalid "
                    + "file; 3 some processes did not respond; 4 no such route or request; 5 the processes differ, or "
                    + "a command was rejected."
        },
        subcommands = {
            ProxyCommand.class,
            ControllerCommand.class,
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
            RolloutCommand.class,
            HelpCommand.class
        })
public final class MeshCtl implements Runnable, CommandContext {

    private final List<String> defaultAddresses;
    private final AnsiStyle style;

    @Spec
    private CommandSpec spec;

    /** @param defaultAddresses the processes to query when a command names none */
    MeshCtl(List<String> defaultAddresses, AnsiStyle style) {
        this.defaultAddresses = defaultAddresses;
        this.style = style;
    }

    @Override
    public List<String> defaultAddresses() {
        return defaultAddresses;
    }

    @Override
    public AnsiStyle style() {
        return style;
    }

    /** Runs a command with the standard streams; returns its exit status. */
    public static int run(String... args) {
        PrintWriter out = new PrintWriter(System.out, true);
        PrintWriter err = new PrintWriter(System.err, true);
        return new MeshCtl(List.of(), AnsiStyle.detect()).commandLine(out, err).execute(args);
    }

    public static int run(PrintWriter out, PrintWriter err, String... args) {
        return new MeshCtl(List.of(), AnsiStyle.OFF).commandLine(out, err).execute(args);
    }

    /** A command line with all commands and the given further ones, for one execution. */
    CommandLine commandLine(PrintWriter out, PrintWriter err, Object... furtherCommands) {
        CommandLine commandLine = new CommandLine(this);
        FormerCommandNames.addTo(commandLine);
        for (Object command : furtherCommands) {
            commandLine.addSubcommand(command);
        }
        return commandLine
                .setOut(out)
                .setErr(err)
                .setExitCodeExceptionMapper(error -> ExitStatus.FAILED)
                .setParameterExceptionHandler((error, args) -> reportUsageError(error, err))
                .setExecutionExceptionHandler((error, command, result) -> {
                    err.println("cypressweir: " + error);
                    return ExitStatus.FAILED;
                });
    }

    private static int reportUsageError(ParameterException error, PrintWriter err) {
        String message = String.valueOf(error.getMessage()).replace('\n', ' ');
        String command = error.getCommandLine().getCommandSpec().qualifiedName();
        err.println("cypressweir: " + message + " (" + command + " --help)");
        return ExitStatus.INVALID;
    }

    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "a command is missing");
    }
}
