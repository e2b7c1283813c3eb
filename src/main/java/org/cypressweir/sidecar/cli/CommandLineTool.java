package org.cypressweir.sidecar.cli;

import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.HelpCommand;

/** The root of the command line; each subcommand has a class of its own. */
@Command(
        mixinStandardHelpOptions = true,
        versionProvider = Version.class,
        name = "cypressweir-sidecar",
        description = "A client-side load balancer.",
        synopsisSubcommandLabel = "COMMAND",
        subcommands = {
            ServeCommand.class,
            CheckCommand.class,
            ExplainCommand.class,
            LabCommand.class,
            PluginCommand.class,
            MembersCommand.class,
            LeaseCommand.class,
            HelpCommand.class
        })
public final class CommandLineTool {

    /** Exit status for an invalid file or command line. */
    static final int EXIT_INVALID_INPUT = 2;

    CommandLineTool() {}

    /** Runs a command and returns the exit status. */
    public static int run(String[] args) {
        return new CommandLine(new CommandLineTool())
                .setExitCodeExceptionMapper(e -> 1)
                .execute(args);
    }
}
