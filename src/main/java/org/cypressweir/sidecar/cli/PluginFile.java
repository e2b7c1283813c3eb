package org.cypressweir.sidecar.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.cypressweir.sidecar.route.PluginConfiguration;
import org.cypressweir.sidecar.route.PluginGrant;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Options for the plug-in module that a command examines. */
final class PluginFile {

    private static final int DEADLINE_MICROS = 100_000;
    private static final int MEMORY_PAGES = 32;

    @Spec(Spec.Target.MIXEE)
    private CommandSpec command;

    @Parameters(paramLabel = "FILE.wasm", description = "the module")
    private Path file;

    /** Reads the module; null if it can't be read, which is reported. */
    byte[] read() {
        try {
            return Files.readAllBytes(file);
        } catch (IOException e) {
            fail("can't be read");
            return null;
        }
    }

    PluginConfiguration configuration(byte[] module, PluginGrant grant, Map<String, String> config) {
        return new PluginConfiguration(
                file.getFileName().toString(), 1, module, DEADLINE_MICROS, MEMORY_PAGES, false, grant, config);
    }

    PrintWriter out() {
        return command.commandLine().getOut();
    }

    /** Reports a problem with the module and returns the exit status. */
    int fail(String why) {
        command.commandLine().getErr().println(file + ": " + why);
        return CommandLineTool.EXIT_INVALID_INPUT;
    }
}
