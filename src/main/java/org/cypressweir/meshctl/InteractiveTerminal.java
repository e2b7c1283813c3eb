package org.cypressweir.meshctl;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import org.cypressweir.meshctl.command.AnsiStyle;
import org.cypressweir.meshctl.command.ExitStatus;
import org.jline.reader.EndOfFileException;
import org.jline.reader.LineReader;
import org.jline.reader.LineReaderBuilder;
import org.jline.reader.UserInterruptException;
import org.jline.terminal.Terminal;
import org.jline.terminal.TerminalBuilder;

/**
 * Runs a shell at a terminal, with line editing, history and completion. Ctrl-C ends only the running command.
 */
final class InteractiveTerminal {

    private static final String NAME = "meshctl";
    private static final String PROMPT = NAME + "> ";
    private static final int HISTORY_LINES = 1_000;

    private InteractiveTerminal() {}

    static int run(Shell shell, Path history) throws IOException {
        try (Terminal terminal =
                TerminalBuilder.builder().system(true).dumb(true).build()) {
            run(shell, terminal, history, AnsiStyle.detect());
        }
        return ExitStatus.OK;
    }

    static void run(Shell shell, Terminal terminal, Path history, AnsiStyle style) {
        LineReader reader = lineReader(shell, terminal, history, style);
        while (!shell.exited()) {
            try {
                runInterruptibly(shell, reader.readLine(PROMPT), terminal, style);
            } catch (UserInterruptException e) {
                // The line is discarded; the shell continues.
            } catch (EndOfFileException e) {
                return;
            }
        }
    }

    private static LineReader lineReader(Shell shell, Terminal terminal, Path history, AnsiStyle style) {
        PrintWriter out = terminal.writer();
        return LineReaderBuilder.builder()
                .appName(NAME)
                .terminal(terminal)
                .completer(
                        new CommandCompleter(shell.commandLine(out, out, style).getCommandSpec()))
                .variable(LineReader.HISTORY_FILE, history)
                .variable(LineReader.HISTORY_SIZE, HISTORY_LINES)
                .variable(LineReader.HISTORY_FILE_SIZE, HISTORY_LINES)
                .build();
    }

    private static void runInterruptibly(Shell shell, String line, Terminal terminal, AnsiStyle style) {
        PrintWriter out = terminal.writer();
        Thread thread = Thread.currentThread();
        Terminal.SignalHandler previous = terminal.handle(Terminal.Signal.INT, signal -> thread.interrupt());
        try {
            shell.run(line, out, out, style);
        } finally {
            terminal.handle(Terminal.Signal.INT, previous);
            Thread.interrupted();
        }
        out.flush();
    }
}
