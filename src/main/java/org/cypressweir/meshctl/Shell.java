package org.cypressweir.meshctl;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import org.cypressweir.common.util.Addresses;
import org.jline.reader.impl.DefaultParser;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** What lines of the shell mean: the commands of the command line, and two of its own. */
final class Shell {

    private List<String> usual;
    private boolean ended;

    Shell(List<String> usual) {
        this.usual = List.copyOf(usual);
    }

    List<String> usual() {
        return usual;
    }

    boolean ended() {
        return ended;
    }

    /** All commands, ready to be run once: none keeps what another line has set. */
    CommandLine line(PrintWriter out, PrintWriter err, AnsiStyle paint) {
        CommandLine line = new MeshCtl(usual, paint).line(out, err, new At(), new Exit());
        List.of("pilot", "harbour", "bridge").forEach(line.getCommandSpec()::removeSubcommand);
        return line;
    }

    /** Runs one line; its status. */
    int run(String text, PrintWriter out, PrintWriter err, AnsiStyle paint) {
        String bare = text.strip();
        if (bare.isEmpty() || bare.startsWith("#")) {
            return MeshCtl.DONE;
        }
        List<String> words = new DefaultParser().parse(bare, bare.length()).words();
        return line(out, err, paint)
                .execute(words.stream().filter(word -> !word.isEmpty()).toArray(String[]::new));
    }

    /** Runs lines until they end; the highest status. */
    int run(BufferedReader lines, PrintWriter out, PrintWriter err) throws IOException {
        int status = MeshCtl.DONE;
        for (String text = lines.readLine(); text != null && !ended; text = lines.readLine()) {
            status = Math.max(status, run(text, out, err, AnsiStyle.OFF));
        }
        return status;
    }

    /** {@code at [ADDRESS...]}: whom to ask from now on. */
    @Command(
            name = "at",
            mixinStandardHelpOptions = true,
            versionProvider = Version.class,
            description = "Whom commands ask that name nobody; without an address it tells them.")
    private final class At implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Parameters(arity = "0..*", paramLabel = "ADDRESS")
        private List<String> given = new ArrayList<>();

        @Override
        public Integer call() {
            try {
                given.forEach(Addresses::parse);
            } catch (IllegalArgumentException e) {
                throw new ParameterException(spec.commandLine(), e.getMessage());
            }
            if (given.isEmpty()) {
                usual.forEach(spec.commandLine().getOut()::println);
            } else {
                usual = List.copyOf(given);
            }
            return MeshCtl.DONE;
        }
    }

    /** {@code exit}. */
    @Command(
            name = "exit",
            aliases = "quit",
            mixinStandardHelpOptions = true,
            versionProvider = Version.class,
            description = "End the shell.")
    private final class Exit implements Runnable {
        @Override
        public void run() {
            ended = true;
        }
    }
}
