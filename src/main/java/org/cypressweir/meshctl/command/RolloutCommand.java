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

/** {@code rollout SERVICE [VERSION]}: orders that a service moves to a new version, or tells how far that is. */
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
        OperatorCall.Answer answer = targetVersion == null ? read() : begin();
        if (!answer.isOk()) {
            spec.commandLine().getErr().println("cypressweir: " + controller + " rejects it: " + answer.text());
            return ExitStatus.DIFFERENT;
        }
        String text = targetVersion == null ? answer.text() : service + " moves to " + targetVersion;
        spec.commandLine().getOut().println(text);
        return ExitStatus.OK;
    }

    private OperatorCall.Answer begin() throws IOException, InterruptedException {
        byte[] body = JsonCodec.bytes(
                JsonCodec.map("service", service, "targetVersion", targetVersion, "rolloutPeriod", period));
        return OperatorCall.post(controller, ApiCall.ROLLOUT_BEGIN.path(), body);
    }

    private OperatorCall.Answer read() throws IOException, InterruptedException {
        return OperatorCall.get(controller, ApiCall.ROLLOUT_READ.path() + service + "/read");
    }
}
