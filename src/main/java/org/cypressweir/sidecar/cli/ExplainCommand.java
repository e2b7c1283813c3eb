package org.cypressweir.sidecar.cli;

import java.util.Map;
import java.util.concurrent.Callable;
import org.cypressweir.sidecar.operatorconfig.Explain;
import org.cypressweir.sidecar.operatorconfig.Operators;
import org.cypressweir.sidecar.route.InvalidTargetException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** {@code explain FILE}: prints the values in force, or what happens to one request. */
@Command(
        mixinStandardHelpOptions = true,
        versionProvider = Version.class,
        name = "explain",
        description = "Print the values in force and where each comes from.")
final class ExplainCommand implements Callable<Integer> {

    @Spec
    private CommandSpec command;

    @Mixin
    private OperatorsFileOptions operatorsFile;

    @Option(
            names = "--request",
            paramLabel = "'METHOD TARGET'",
            description = "the request to explain, such as 'GET http://host/path'")
    private String request;

    @Mixin
    private HeaderOptions headers;

    @Override
    public Integer call() {
        Operators operators = operatorsFile.load();
        if (operators == null) {
            return CommandLineTool.EXIT_INVALID_INPUT;
        }
        var out = command.commandLine().getOut();
        if (request == null) {
            out.print(Explain.all(operators));
            out.flush();
            return 0;
        }
        int space = request.trim().indexOf(' ');
        if (space < 0) {
            return fail("--request takes a method and a target, such as 'GET http://host/path'");
        }
        Map<String, String> fields;
        try {
            fields = headers.fields();
        } catch (IllegalArgumentException e) {
            return fail(e.getMessage());
        }
        try {
            out.print(Explain.request(
                    operators,
                    request.trim().substring(0, space),
                    request.trim().substring(space + 1).trim(),
                    fields));
            out.flush();
            return 0;
        } catch (InvalidTargetException e) {
            return fail("the request would be answered 400: " + e.getMessage());
        }
    }

    private int fail(String why) {
        command.commandLine().getErr().println("cypressweir-sidecar: " + why);
        return CommandLineTool.EXIT_INVALID_INPUT;
    }
}
