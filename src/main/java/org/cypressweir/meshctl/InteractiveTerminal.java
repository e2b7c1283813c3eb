package org.cypressweir.meshctl;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import org.jline.reader.EndOfFileException;
import org.jline.reader.LineReader;
import org.jline.reader.LineReaderBuilder;
import org.jline.reader.UserInterruptException;
import org.jline.terminal.Terminal;
import org.jline.terminal.TerminalBuilder;

/** Somebody at a terminal: lines are edited, kept and completed. The interrupt key ends a command only. */
final class InteractiveTerminal {

    private static final int KEPT = 1_000;

    private InteractiveTerminal() {}

    static int run(Shell shell, Path history) throws IOException {
        try (Terminal terminal =
                TerminalBuilder.builder().system(true).dumb(true).build()) {
            run(shell, terminal, history, AnsiStyle.usual());
        }
        return MeshCtl.DONE;
    }

    static void run(Shell shell, Terminal terminal, Path history, AnsiStyle paint) {
        PrintWriter out = terminal.writer();
        LineReader reader = LineReaderBuilder.builder()
                .appName("bridge")
                .terminal(terminal)
                .completer(new CommandCompleter(shell.line(out, out, paint).getCommandSpec()))
                .variable(LineReader.HISTORY_FILE, history)
                .variable(LineReader.HISTORY_SIZE, KEPT)
                .variable(LineReader.HISTORY_FILE_SIZE, KEPT)
                .build();
        Thread thread = Thread.currentThread();
        while (!shell.ended()) {
            try {
                String text = reader.readLine("bridge> ");
                Terminal.SignalHandler before = terminal.handle(Terminal.Signal.INT, signal -> thread.interrupt());
                try {
                    shell.run(text, out, out, paint);
                } finally {
                    terminal.handle(Terminal.Signal.INT, before);
                    Thread.interrupted();
                }
                out.flush();
            } catch (UserInterruptException e) {
                // The line is given up, the shell goes on.
            } catch (EndOfFileException e) {
                return;
            }
        }
    }
}
