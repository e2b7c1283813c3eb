package org.cypressweir.meshctl;

import java.util.List;
import java.util.Set;
import org.cypressweir.meshctl.command.QueryCommand;
import org.jline.reader.Candidate;
import org.jline.reader.Completer;
import org.jline.reader.LineReader;
import org.jline.reader.ParsedLine;
import picocli.CommandLine;
import picocli.CommandLine.Model.CommandSpec;
import picocli.shell.jline3.PicocliJLineCompleter;

/** Completes commands and options, and after some options the columns of the command. */
final class CommandCompleter implements Completer {

    private static final String WHERE = "--where";
    private static final Set<String> OPTIONS_WITH_COLUMNS = Set.of("--columns", "--sort", WHERE);

    private final CommandSpec spec;
    private final Completer commands;

    CommandCompleter(CommandSpec spec) {
        this.spec = spec;
        commands = new PicocliJLineCompleter(spec);
    }

    @Override
    public void complete(LineReader reader, ParsedLine line, List<Candidate> candidates) {
        List<String> words = line.words();
        int index = line.wordIndex();
        CommandLine command = words.isEmpty() ? null : spec.subcommands().get(words.get(0));
        if (index > 1
                && OPTIONS_WITH_COLUMNS.contains(words.get(index - 1))
                && command != null
                && command.getCommandSpec().userObject() instanceof QueryCommand query) {
            String suffix = words.get(index - 1).equals(WHERE) ? "=" : "";
            addColumns(query, line.word(), suffix, candidates);
        } else {
            commands.complete(reader, line, candidates);
        }
    }

    /** Completes the last one of the columns, which are separated by commas. */
    private static void addColumns(QueryCommand query, String word, String suffix, List<Candidate> candidates) {
        String prefix = word.substring(0, word.lastIndexOf(',') + 1);
        for (String column : query.columns()) {
            candidates.add(new Candidate(prefix + column + suffix, column, null, null, null, null, false));
        }
    }
}
