package org.cypressweir.meshctl.command;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.Callable;
import org.cypressweir.common.transport.ApiCall;
import org.cypressweir.common.transport.JsonCodec;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** {@code bootstrap CONTROLLER --confirm}: starts a mesh that has lost all its disks with an empty configuration. */
@Command(
        name = "bootstrap",
        mixinStandardHelpOptions = true,
        versionProvider = Version.class,
        description = "Make one blank controller start alone with an empty configuration. Every change that was ever "
                + "acknowledged is given up: only for a mesh whose disks are lost.",
        footer = "Exit status: 5 if the controller rejects it.")
public final class BootstrapCommand implements Callable<Integer> {

    @Parameters(index = "0", paramLabel = "CONTROLLER", description = "The controller's controlPlane address.")
    private String controller;

    @Option(names = "--confirm", description = "Required: without it nothing is sent.")
    private boolean confirmed;

    @Option(
            names = "--abandon",
            paramLabel = "ADDRESS",
            arity = "1..*",
            description = "Controllers whose data is given up although they still have some.")
    private List<String> abandoned = List.of();

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws IOException, InterruptedException {
        if (!confirmed) {
            throw new ParameterException(
                    spec.commandLine(),
                    "with --confirm " + controller + " gives up every change that was ever acknowledged");
        }
        byte[] body = JsonCodec.bytes(JsonCodec.map("confirm", true, "abandon", abandoned));
        OperatorCall.Response response = OperatorCall.post(controller, ApiCall.BOOTSTRAP.path(), body);
        if (response.isOk()) {
            spec.commandLine().getOut().println(controller + " starts with an empty configuration.");
            return ExitStatus.OK;
        }
        spec.commandLine().getErr().println("cypressweir: " + controller + " rejects it: " + response.text());
        return ExitStatus.DIFFERENT_OR_REJECTED;
    }
}
