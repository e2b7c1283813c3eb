package org.cypressweir.sidecar.cli;

import picocli.CommandLine.Command;
import picocli.CommandLine.HelpCommand;

/** {@code plugin}: commands for authors of plug-ins. */
@Command(
        mixinStandardHelpOptions = true,
        versionProvider = Version.class,
        name = "plugin",
        description = "Check and try plug-ins.",
        synopsisSubcommandLabel = "COMMAND",
        subcommands = {PluginCheckCommand.class, PluginRunCommand.class, HelpCommand.class})
final class PluginCommand {}
