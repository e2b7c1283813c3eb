package org.cypressweir.sidecar.cli;

import picocli.CommandLine.Command;
import picocli.CommandLine.HelpCommand;

/** {@code lab}: experiments in made-up time, with the real decisions, at sizes that sockets don't reach. */
@Command(
        mixinStandardHelpOptions = true,
        versionProvider = Version.class,
        name = "lab",
        description = "Play a fleet in made-up time, with the real decisions.",
        synopsisSubcommandLabel = "EXPERIMENT",
        subcommands = {LabCellsCommand.class, LabQuietCommand.class, HelpCommand.class})
final class LabCommand {}
