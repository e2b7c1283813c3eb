package org.cypressweir.meshctl;

import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Supplier;
import org.cypressweir.meshctl.command.BootstrapCommand;
import org.cypressweir.meshctl.command.ConfigStatusCommand;
import org.cypressweir.meshctl.command.ConnectivityCommand;
import org.cypressweir.meshctl.command.ControllerCommand;
import org.cypressweir.meshctl.command.ProxyCommand;
import org.cypressweir.meshctl.command.QuotasCommand;
import org.cypressweir.meshctl.command.RejectionsCommand;
import org.cypressweir.meshctl.command.ReplicasCommand;
import picocli.CommandLine;

/**
 * The names that commands had in earlier builds. They still work for one release, but no help text lists them. Each is
 * a hidden command of its own, since the help would list a picocli alias.
 */
final class FormerCommandNames {

    private static final Map<String, Supplier<Object>> QUERIES = new TreeMap<>(Map.of(
            "begin", BootstrapCommand::new,
            "copies", ReplicasCommand::new,
            "refusals", RejectionsCommand::new,
            "shown", ConfigStatusCommand::new,
            "sights", ConnectivityCommand::new,
            "tallies", QuotasCommand::new));
    private static final Map<String, Supplier<Object>> PROGRAMS = new TreeMap<>(Map.of(
            "bridge", ShellCommand::new,
            "harbour", ControllerCommand::new,
            "pilot", ProxyCommand::new));

    private FormerCommandNames() {}

    /** The former names of the programs and of the shell, which the shell itself does not run. */
    static Set<String> programs() {
        return new TreeSet<>(PROGRAMS.keySet());
    }

    static void addTo(CommandLine commandLine) {
        QUERIES.forEach((name, command) -> addHidden(commandLine, name, command.get()));
        PROGRAMS.forEach((name, command) -> addHidden(commandLine, name, command.get()));
    }

    private static void addHidden(CommandLine commandLine, String name, Object command) {
        CommandLine hidden = new CommandLine(command);
        hidden.getCommandSpec().usageMessage().hidden(true);
        commandLine.addSubcommand(name, hidden);
    }
}
