package org.cypressweir.meshctl.command;

import java.io.IOException;
import java.util.concurrent.Callable;
import org.cypressweir.common.transport.ApiCall;
import org.cypressweir.common.transport.JsonCodec;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** {@code rollout SERVICE [VERSION]}: starts the rollout of a new version of a service, or shows its progress. */
@Command(
        name = "rollout",
        mixinStandardHelpOptions = true,
        versionProvider = Version.class,
        description = "Move the requests of a service to a new version, or tell how far the last rollout is.",
        footer = "Exit status: 5 if the controller rejects it.")
public final class RolloutCommand implements Callable<Integer> {

    @Parameters(index = "0", paramLabel = "SERVICE", description = "The service.")
    private String service;

    @Parameters(
            index = "1",
            arity = "0..1",
            paramLabel = "VERSION",
            description = "The version to move to; without it the last rollout is shown.")
    private String targetVersion;

    @Option(
            names = "--controller",
            required = true,
            paramLabel = "ADDRESS",
            description = "The controlPlane address of any controller.")
    private String controller;

    @Option(names = "--period", paramLabel = "DURATION", description = "How long it may take, such as 12s.")
    private String period;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws IOException, InterruptedException {
        if ((targetVersion == null) != (period == null)) {
            throw new ParameterException(spec.commandLine(), "a VERSION and --period go together");
        }
        OperatorCall.Response response = targetVersion == null ? read() : begin();
        if (!response.isOk()) {
            spec.commandLine().getErr().println("cypressweir: " + controller + " rejects it: " + response.text());
            return ExitStatus.DIFFERENT_OR_REJECTED;
        }
        String text = targetVersion == null ? response.text() : service + " moves to " + targetVersion;
        spec.commandLine().getOut().println(text);
        return ExitStatus.OK;
    }

    private OperatorCall.Response begin() throws IOException, InterruptedException {
        byte[] body = JsonCodec.bytes(
                JsonCodec.map("service", service, "targetVersion", targetVersion, "rolloutPeriod", period));
        return OperatorCall.post(controller, ApiCall.ROLLOUT_BEGIN.path(), body);
    }

    private OperatorCall.Response read() throws IOException, InterruptedException {
        return OperatorCall.get(controller, ApiCall.ROLLOUT_READ.path() + service + "/read");
    }
}
