package org.cypressweir.common.settings;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.cypressweir.common.util.ReloadSignal;
import org.jboss.logging.Logger;

/** How a program of the mesh starts: its settings are read and checked; what is wrong ends it in a line. */
public final class SettingsLoader {

    private static final Logger LOG = Logger.getLogger(SettingsLoader.class);
    private static final String NAMES_FILE = "CYPRESSWEIR_NODE_FILE";

    private SettingsLoader() {}

    /** A program that runs until the process is ended. */
    public interface Program {
        void serve(NodeSettings papers, SettingsWatcher file) throws IOException;
    }

    /**
     * Runs a program; 2 where its settings can't be used, 1 where it can't start.
     *
     * @param lacks what the program wants and the settings don't have
     */
    public static int run(
            String program,
            Map<String, String> env,
            PrintStream err,
            Function<NodeSettings, Option<String>> lacks,
            Program its) {
        String named = env.get(NAMES_FILE);
        if (named == null) {
            err.println(program + ": " + NAMES_FILE + " is not set");
            return 2;
        }
        SettingsWatcher file = new SettingsWatcher(Path.of(named));
        Either<List<String>, NodeSettings> papers = file.first().flatMap(read -> lacks.apply(read)
                .map(what -> List.of(named + ": a " + program + " wants " + what))
                .toEither(read)
                .swap());
        if (papers.isLeft()) {
            papers.getLeft().forEach(err::println);
            return 2;
        }
        try {
            its.serve(papers.get(), file);
            return 0;
        } catch (IOException e) {
            err.println(program + ": " + e.getMessage());
            return 1;
        }
    }

    /** From now on each SIGHUP runs the task. */
    public static void onHangup(Runnable task) {
        try {
            ReloadSignal.handle(task);
        } catch (ReflectiveOperationException e) {
            LOG.warn("SIGHUP can't be heard here: " + e + ". A changed file is seen all the same.");
        }
    }
}
