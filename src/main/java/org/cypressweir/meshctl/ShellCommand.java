package org.cypressweir.meshctl;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.Charset;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** {@code bridge}: one command after another, of somebody at a terminal or of a file. */
@Command(
        name = "bridge",
        mixinStandardHelpOptions = true,
        versionProvider = Version.class,
        description = "The shell: the same commands one after another. At a terminal with history, "
                + "completion and colour; else a command a line of standard input, # begins a comment.",
        footer = "Exit status: of a file the highest of its commands; at a terminal 0.")
final class ShellCommand implements Callable<Integer> {

    @Spec
    private CommandSpec spec;

    @Option(
            names = "--at",
            paramLabel = "ADDRESS",
            description = "Whom commands ask that name nobody; may " + "be repeated, and changed by the command at.")
    private List<String> at = new ArrayList<>();

    @Option(
            names = "--history",
            paramLabel = "FILE",
            description = "Where lines are kept " + "(.cypressweir_history in the home directory).")
    private Path history = Path.of(System.getProperty("user.home", "."), ".cypressweir_history");

    @Override
    public Integer call() throws IOException {
        Shell shell = new Shell(at);
        if (System.console() != null) {
            return InteractiveTerminal.run(shell, history);
        }
        return shell.run(
                new BufferedReader(new InputStreamReader(System.in, Charset.defaultCharset())),
                spec.commandLine().getOut(),
                spec.commandLine().getErr());
    }
}
