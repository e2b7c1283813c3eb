package org.cypressweir.sidecar.cli;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import org.cypressweir.sidecar.Installation;
import org.cypressweir.sidecar.operatorconfig.AssumedFacts;
import org.cypressweir.sidecar.operatorconfig.Facts;
import org.cypressweir.sidecar.operatorconfig.InvalidFileException;
import org.cypressweir.sidecar.operatorconfig.Operators;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Options for an operators' file and the configuration that it is checked against. */
final class OperatorsFileOptions {

    @Spec(Spec.Target.MIXEE)
    private CommandSpec command;

    @Parameters(paramLabel = "FILE", description = "the operators' file")
    private Path file;

    @Option(
            names = "--config",
            paramLabel = "CONFIG",
            description = "the sidecar's configuration, which holds the settings (default: LB_CONFIG; without"
                    + " either, only what needs no settings is checked)")
    private Path config;

    private Facts facts(Map<String, String> environment) throws IOException {
        if (!environment.getOrDefault("LB_CONFIG", "").isEmpty()) {
            return Installation.facts(environment);
        }
        command.commandLine()
                .getErr()
                .println("cypressweir-sidecar: without settings (--config or LB_CONFIG) these" + " were not checked: "
                        + AssumedFacts.UNCHECKED);
        // An unreadable file is reported when it is loaded.
        return AssumedFacts.of(
                Files.isReadable(file) && !Files.isDirectory(file)
                        ? new String(Files.readAllBytes(file), StandardCharsets.UTF_8)
                        : "");
    }

    /** Reads and checks the file; prints problems to standard error and then returns null. */
    Operators load() {
        Map<String, String> environment = new HashMap<>(System.getenv());
        if (config != null) {
            environment.put("LB_CONFIG", config.toString());
        }
        try {
            return Operators.load(file, facts(environment));
        } catch (InvalidFileException e) {
            command.commandLine().getErr().println(e.getMessage());
        } catch (IOException e) {
            command.commandLine().getErr().println("cypressweir-sidecar: " + e.getMessage());
        }
        return null;
    }
}
