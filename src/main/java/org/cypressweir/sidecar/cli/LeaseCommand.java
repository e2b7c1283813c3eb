package org.cypressweir.sidecar.cli;

import picocli.CommandLine.Command;
import picocli.CommandLine.HelpCommand;

/** {@code lease}: commands for leases of the whole fleet. */
@Command(
        mixinStandardHelpOptions = true,
        versionProvider = Version.class,
        name = "lease",
        description = "Leases for tasks of the whole fleet.",
        synopsisSubcommandLabel = "COMMAND",
        subcommands = {LeaseRunCommand.class, HelpCommand.class})
final class LeaseCommand {

    LeaseCommand() {}
}
