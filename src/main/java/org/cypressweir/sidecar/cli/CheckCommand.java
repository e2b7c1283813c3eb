package org.cypressweir.sidecar.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** {@code check FILE}: reports the problems of an operators' file. */
@Command(
        mixinStandardHelpOptions = true,
        versionProvider = Version.class,
        name = "check",
        description = "Check an operators' file: exit status 0, or 2 with all reasons.")
final class CheckCommand implements Callable<Integer> {

    @Mixin
    private OperatorsFileOptions operatorsFile;

    @Override
    public Integer call() {
        return operatorsFile.load() == null ? CommandLineTool.EXIT_INVALID_INPUT : 0;
    }
}
