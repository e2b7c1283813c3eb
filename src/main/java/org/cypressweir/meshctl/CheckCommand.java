package org.cypressweir.meshctl;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.function.Function;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** {@code check settings FILE} and {@code check config FILE}: all that is wrong with a file, a line each. */
@Command(
        name = "check",
        mixinStandardHelpOptions = true,
        versionProvider = Version.class,
        description = "Check a file before a program reads it.",
        subcommands = {CheckCommand.Settings.class, CheckCommand.Config.class},
        footer = "Exit status: 0 good; 1 can't be read; 2 bad, with a line for each fault.")
final class CheckCommand implements Runnable {

    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "say settings or config");
    }

    /** Checks a file; its faults go to standard output, since they are what was asked for. */
    private static int check(Path file, CommandSpec spec, Function<byte[], List<ValidationError>> check) {
        PrintWriter out = spec.commandLine().getOut();
        byte[] bytes = read(file, spec);
        if (bytes == null) {
            return MeshCtl.NOBODY;
        }
        List<ValidationError> flaws = check.apply(bytes);
        flaws.forEach(flaw -> out.println(file + ": " + flaw));
        out.flush();
        return flaws.isEmpty() ? MeshCtl.DONE : MeshCtl.BAD;
    }

    private static byte[] read(Path file, CommandSpec spec) {
        try {
            return Files.readAllBytes(file);
        } catch (IOException e) {
            spec.commandLine().getErr().println(file + ": can't be read: " + e);
            return null;
        }
    }

    /** A settings file of a process. */
    @Command(
            name = "settings",
            mixinStandardHelpOptions = true,
            versionProvider = Version.class,
            description = "Check a settings file.")
    static final class Settings implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Option(names = "--for", paramLabel = "PROGRAM", description = "Also what pilot or harbour wants.")
        private SettingsCheck.Program program;

        @Parameters(paramLabel = "FILE")
        private Path file;

        @Override
        public Integer call() {
            return check(file, spec, bytes -> SettingsCheck.flaws(bytes, program));
        }
    }

    /** A change of the configuration, or a whole one as it is read back. */
    @Command(
            name = "config",
            mixinStandardHelpOptions = true,
            versionProvider = Version.class,
            description = "Check a change as it is sent to modify, or a configuration as read gives it.")
    static final class Config implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Option(
                names = "--on",
                paramLabel = "FILE",
                description = "The configuration that the change is made to; nothing stands without it.")
        private Path base;

        @Parameters(paramLabel = "FILE")
        private Path file;

        @Override
        public Integer call() {
            byte[] on = base == null ? null : read(base, spec);
            if (base != null && on == null) {
                return MeshCtl.NOBODY;
            }
            List<ValidationError> wrong = on == null ? List.of() : ConfigurationCheck.flaws(on, null);
            if (!wrong.isEmpty()) {
                return check(base, spec, bytes -> wrong);
            }
            return check(file, spec, bytes -> ConfigurationCheck.flaws(bytes, on));
        }
    }
}
