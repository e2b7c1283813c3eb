package org.cypressweir.sidecar.cli;

import picocli.CommandLine.Command;
import picocli.CommandLine.HelpCommand;

/** {@code lab}: simulations with the real load balancer, for fleets too large to run over real sockets. */
@Command(
        mixinStandardHelpOptions = true,
        versionProvider = Version.class,
        name = "lab",
        description = "Simulate a fleet in virtual time with the real load balancer.",
        synopsisSubcommandLabel = "EXPERIMENT",
        subcommands = {LabCellsCommand.class, LabQuietCommand.class, HelpCommand.class})
final class LabCommand {}
