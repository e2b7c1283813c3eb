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

/**
 * Starts a program of the mesh with its settings: finds the file by an environment variable, validates it, and
 * ends with an exit status and one line for each problem where the program can't start.
 */
public final class SettingsLoader {

    private static final Logger LOG = Logger.getLogger(SettingsLoader.class);

    /** The environment variable with the path of the settings file. */
    private static final String FILE_VARIABLE = "CYPRESSWEIR_NODE_FILE";

    private static final int EXIT_OK = 0;
    private static final int EXIT_START_FAILED = 1;
    private static final int EXIT_BAD_SETTINGS = 2;

    private SettingsLoader() {}

    /** A program that serves until the process is ended. */
    public interface Program {
        void serve(NodeSettings settings, SettingsWatcher watcher) throws IOException;
    }

    /**
     * Runs a program until it ends.
     *
     * @param environment the environment variables of the process
     * @param missingFields names the fields that the program requires but the settings lack; none if they are complete
     * @return the exit status: 2 where the settings can't be used, 1 where the program can't start
     */
    public static int run(
            String programName,
            Map<String, String> environment,
            PrintStream err,
            Function<NodeSettings, Option<String>> missingFields,
            Program program) {
        String file = environment.get(FILE_VARIABLE);
        if (file == null) {
            err.println(programName + ": " + FILE_VARIABLE + " is not set");
            return EXIT_BAD_SETTINGS;
        }
        SettingsWatcher watcher = new SettingsWatcher(Path.of(file));
        Either<List<String>, NodeSettings> settings =
                watcher.load().flatMap(loaded -> requireComplete(programName, file, loaded, missingFields));
        if (settings.isLeft()) {
            settings.getLeft().forEach(err::println);
            return EXIT_BAD_SETTINGS;
        }
        try {
            program.serve(settings.get(), watcher);
            return EXIT_OK;
        } catch (IOException e) {
            err.println(programName + ": " + e.getMessage());
            return EXIT_START_FAILED;
        }
    }

    private static Either<List<String>, NodeSettings> requireComplete(
            String programName,
            String file,
            NodeSettings settings,
            Function<NodeSettings, Option<String>> missingFields) {
        Option<String> fields = missingFields.apply(settings);
        return fields.isEmpty()
                ? Either.right(settings)
                : Either.left(List.of(file + ": a " + programName + " requires " + fields.get()));
    }

    /** Runs the task on each SIGHUP from now on, on a thread of the runtime. */
    public static void onReloadSignal(Runnable task) {
        try {
            ReloadSignal.handle(task);
        } catch (ReflectiveOperationException e) {
            LOG.warnf("SIGHUP is not handled, settings are reloaded by polling only cause=%s", e);
        }
    }
}
