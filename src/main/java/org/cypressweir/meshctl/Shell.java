package org.cypressweir.meshctl;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import org.cypressweir.common.util.Addresses;
import org.cypressweir.meshctl.command.AnsiStyle;
import org.cypressweir.meshctl.command.ExitStatus;
import org.cypressweir.meshctl.command.Version;
import org.jline.reader.impl.DefaultParser;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/**
 * Runs lines of text as commands: those of the command line except the programs, and also {@code at} and {@code exit}.
 * Confined to one thread.
 */
final class Shell {

    private static final String COMMENT = "#";
    private static final List<String> PROGRAMS = List.of("proxy", "controller", "shell");

    private List<String> defaultAddresses;
    private boolean exited;

    Shell(List<String> defaultAddresses) {
        this.defaultAddresses = List.copyOf(defaultAddresses);
    }

    boolean exited() {
        return exited;
    }

    /** Returns a new command line; each line of text gets its own, so that no options are carried over. */
    CommandLine commandLine(PrintWriter out, PrintWriter err, AnsiStyle style) {
        CommandLine commandLine =
                new MeshCtl(defaultAddresses, style).commandLine(out, err, new AtCommand(), new ExitCommand());
        CommandSpec commands = commandLine.getCommandSpec();
        PROGRAMS.forEach(commands::removeSubcommand);
        FormerCommandNames.programs().forEach(commands::removeSubcommand);
        return commandLine;
    }

    /** Runs one line; returns its exit status. */
    int run(String line, PrintWriter out, PrintWriter err, AnsiStyle style) {
        String text = line.strip();
        if (text.isEmpty() || text.startsWith(COMMENT)) {
            return ExitStatus.OK;
        }
        List<String> words = new DefaultParser().parse(text, text.length()).words();
        String[] args = words.stream().filter(word -> !word.isEmpty()).toArray(String[]::new);
        return commandLine(out, err, style).execute(args);
    }

    /** Runs all lines; returns the highest exit status. */
    int run(BufferedReader lines, PrintWriter out, PrintWriter err) throws IOException {
        int highest = ExitStatus.OK;
        for (String line = lines.readLine(); line != null && !exited; line = lines.readLine()) {
            highest = Math.max(highest, run(line, out, err, AnsiStyle.OFF));
        }
        return highest;
    }

    /** {@code at [ADDRESS...]}: shows or changes the default addresses. */
    @Command(
            name = "at",
            mixinStandardHelpOptions = true,
            versionProvider = Version.class,
            description = "Set the addresses that commands without --at query; without an argument, show them.")
    private final class AtCommand implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Parameters(arity = "0..*", paramLabel = "ADDRESS")
        private List<String> addresses = new ArrayList<>();

        @Override
        public Integer call() {
            try {
                addresses.forEach(Addresses::parse);
            } catch (IllegalArgumentException e) {
                throw new ParameterException(spec.commandLine(), e.getMessage());
            }
            if (addresses.isEmpty()) {
                defaultAddresses.forEach(spec.commandLine().getOut()::println);
            } else {
                defaultAddresses = List.copyOf(addresses);
            }
            return ExitStatus.OK;
        }
    }

    /** {@code exit}. */
    @Command(
            name = "exit",
            aliases = "quit",
            mixinStandardHelpOptions = true,
            versionProvider = Version.class,
            description = "Leave the shell.")
    private final class ExitCommand implements Runnable {
        @Override
        public void run() {
            exited = true;
        }
    }
}
