package org.cypressweir.meshctl;

import java.util.List;
import java.util.Set;
import org.jline.reader.Candidate;
import org.jline.reader.Completer;
import org.jline.reader.LineReader;
import org.jline.reader.ParsedLine;
import picocli.CommandLine;
import picocli.CommandLine.Model.CommandSpec;
import picocli.shell.jline3.PicocliJLineCompleter;

/** What may come next in a line: commands, options, and after some options the columns of the command. */
final class CommandCompleter implements Completer {

    private static final Set<String> TAKE_COLUMNS = Set.of("--columns", "--sort", "--where");

    private final CommandSpec spec;
    private final Completer commands;

    CommandCompleter(CommandSpec spec) {
        this.spec = spec;
        commands = new PicocliJLineCompleter(spec);
    }

    @Override
    public void complete(LineReader reader, ParsedLine line, List<Candidate> found) {
        List<String> words = line.words();
        int at = line.wordIndex();
        CommandLine command = words.isEmpty() ? null : spec.subcommands().get(words.get(0));
        if (at > 1
                && TAKE_COLUMNS.contains(words.get(at - 1))
                && command != null
                && command.getCommandSpec().userObject() instanceof Query query) {
            columns(query, line.word(), words.get(at - 1).equals("--where") ? "=" : "", found);
        } else {
            commands.complete(reader, line, found);
        }
    }

    /** After a comma the next one. */
    private static void columns(Query query, String word, String end, List<Candidate> found) {
        String before = word.substring(0, word.lastIndexOf(',') + 1);
        query.columns()
                .forEach(column ->
                        found.add(new Candidate(before + column + end, column, null, null, null, null, false)));
    }
}
