package org.cypressweir.meshctl.command;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.function.Function;
import org.cypressweir.meshctl.validation.ConfigurationCheck;
import org.cypressweir.meshctl.validation.SettingsCheck;
import org.cypressweir.meshctl.validation.ValidationError;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** {@code check settings FILE} and {@code check config FILE}: print every error of a file, one per line. */
@Command(
        name = "check",
        mixinStandardHelpOptions = true,
        versionProvider = Version.class,
        description = "Validate a file before a program reads it.",
        subcommands = {CheckCommand.Settings.class, CheckCommand.Config.class},
        footer = "Exit status: 0 valid; 1 the file cannot be read; 2 invalid, with a line for each error.")
public final class CheckCommand implements Runnable {

    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "settings or config is missing");
    }

    /** Prints the errors to standard output, since they are the result of the command. */
    private static int check(Path file, CommandSpec spec, Function<byte[], List<ValidationError>> validator) {
        PrintWriter out = spec.commandLine().getOut();
        byte[] bytes = read(file, spec);
        if (bytes == null) {
            return ExitStatus.FAILED;
        }
        List<ValidationError> errors = validator.apply(bytes);
        errors.forEach(error -> out.println(file + ": " + error));
        out.flush();
        return errors.isEmpty() ? ExitStatus.OK : ExitStatus.INVALID;
    }

    /** Reads a file; prints the reason and returns null if that fails. */
    private static byte[] read(Path file, CommandSpec spec) {
        try {
            return Files.readAllBytes(file);
        } catch (IOException e) {
            spec.commandLine().getErr().println(file + ": can't be read: " + e);
            return null;
        }
    }

    /** The settings file of a process. */
    @Command(
            name = "settings",
            mixinStandardHelpOptions = true,
            versionProvider = Version.class,
            description = "Validate a settings file.")
    static final class Settings implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Option(
                names = "--for",
                paramLabel = "PROGRAM",
                converter = ProgramConverter.class,
                description = "Also check what this program requires: proxy or controller.")
        private SettingsCheck.Program program;

        @Parameters(paramLabel = "FILE")
        private Path file;

        @Override
        public Integer call() {
            return check(file, spec, bytes -> SettingsCheck.errors(bytes, program));
        }
    }

    /** A configuration change, or a complete configuration. */
    @Command(
            name = "config",
            mixinStandardHelpOptions = true,
            versionProvider = Version.class,
            description =
                    "Validate a change, as it is sent to modify, or a complete configuration, as read returns it.")
    static final class Config implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Option(
                names = "--on",
                paramLabel = "FILE",
                description = "The configuration that the change applies to; default: an empty one.")
        private Path base;

        @Parameters(paramLabel = "FILE")
        private Path file;

        @Override
        public Integer call() {
            if (base == null) {
                return check(file, spec, bytes -> ConfigurationCheck.errors(bytes, null));
            }
            byte[] baseBytes = read(base, spec);
            if (baseBytes == null) {
                return ExitStatus.FAILED;
            }
            List<ValidationError> baseErrors = ConfigurationCheck.errors(baseBytes, null);
            return baseErrors.isEmpty()
                    ? check(file, spec, bytes -> ConfigurationCheck.errors(bytes, baseBytes))
                    : check(base, spec, bytes -> baseErrors);
        }
    }
}
