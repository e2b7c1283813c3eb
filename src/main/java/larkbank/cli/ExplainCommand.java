package larkbank.cli;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import larkbank.operators.Explain;
import larkbank.operators.Operators;
import larkbank.route.BadTarget;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** {@code explain FILE}: what is in force, or what happens to one request. */
@Command(name = "explain", description = "Say what is in force and where each value comes from.")
final class ExplainCommand implements Callable<Integer> {

    @Spec
    private CommandSpec command;

    @Mixin
    private Installed installed;

    @Option(names = "--request", paramLabel = "'METHOD TARGET'",
            description = "the request to explain, such as 'GET http://host/path'")
    private String request;

    @Option(names = "-H", paramLabel = "'NAME: VALUE'", description = "a header of the request")
    private List<String> headers = List.of();

    @Override
    public Integer call() {
        Operators operators = installed.load();
        if (operators == null) {
            return CommandLineTool.BAD;
        }
        var out = command.commandLine().getOut();
        if (request == null) {
            out.print(Explain.all(operators));
            out.flush();
            return 0;
        }
        int space = request.trim().indexOf(' ');
        if (space < 0) {
            return bad("--request takes a method and a target, such as 'GET http://host/path'");
        }
        Map<String, String> fields = new LinkedHashMap<>();
        for (String header : headers) {
            int colon = header.indexOf(':');
            if (colon < 1) {
                return bad("-H takes a name and a value, such as 'Tenant: acme', not '" + header + "'");
            }
            fields.merge(header.substring(0, colon).toLowerCase(Locale.ROOT),
                    header.substring(colon + 1).trim(), (a, b) -> a + ", " + b);
        }
        try {
            out.print(Explain.request(operators, request.trim().substring(0, space),
                    request.trim().substring(space + 1).trim(), fields));
            out.flush();
            return 0;
        } catch (BadTarget e) {
            return bad("the request would be answered 400: " + e.getMessage());
        }
    }

    private int bad(String why) {
        command.commandLine().getErr().println("larkbank: " + why);
        return CommandLineTool.BAD;
    }
}
