package org.cypressweir.meshctl;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.Charset;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import org.cypressweir.meshctl.command.Version;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** {@code shell}: several commands, typed at a terminal or read from standard input. */
@Command(
        name = "shell",
        mixinStandardHelpOptions = true,
        versionProvider = Version.class,
        description = "Run several commands: at a terminal with history, completion and colour; otherwise one for "
                + "each line of standard input, where # starts a comment.",
        footer = "Exit status: at a terminal 0; otherwise the highest of the commands.")
final class ShellCommand implements Callable<Integer> {

    private static final String HISTORY_FILE = ".cypressweir_history";

    @Spec
    private CommandSpec spec;

    @Option(
            names = "--at",
            paramLabel = "ADDRESS",
            description = "The address that commands without --at query; may be repeated, and changed by the command "
                    + "at.")
    private List<String> addresses = new ArrayList<>();

    @Option(
            names = "--history",
            paramLabel = "FILE",
            description = "The file that keeps the history (default: " + HISTORY_FILE + " in the home directory).")
    private Path history = Path.of(System.getProperty("user.home", "."), HISTORY_FILE);

    @Override
    public Integer call() throws IOException {
        Shell shell = new Shell(addresses);
        if (System.console() != null) {
            return InteractiveTerminal.run(shell, history);
        }
        BufferedReader input = new BufferedReader(new InputStreamReader(System.in, Charset.defaultCharset()));
        return shell.run(input, spec.commandLine().getOut(), spec.commandLine().getErr());
    }
}
