package org.cypressweir.meshctl;

import java.io.IOException;
import java.io.PrintWriter;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
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

/** {@code begin HARBOUR --confirm}: a blank harbour begins with nothing. */
@Command(
        name = "begin",
        mixinStandardHelpOptions = true,
        versionProvider = Version.class,
        description = "Tells one blank harbour to begin with an empty configuration, alone. All that was "
                + "ever acknowledged is given up: only for a system whose disks are lost.",
        footer = "Exit status: 5 where the harbour refuses.")
final class BootstrapCommand implements Callable<Integer> {

    private static final Duration PATIENCE = Duration.ofSeconds(5);

    @Parameters(index = "0", paramLabel = "HARBOUR", description = "Its controlPlane address.")
    private String harbour;

    @Option(names = "--confirm", description = "Without it nothing is told.")
    private boolean confirm;

    @Option(
            names = "--abandon",
            paramLabel = "ADDRESS",
            arity = "1..*",
            description = "Harbours that hold something which is given up.")
    private List<String> abandon = List.of();

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws IOException, InterruptedException {
        PrintWriter err = spec.commandLine().getErr();
        if (!confirm) {
            throw new ParameterException(
                    spec.commandLine(), "with --confirm " + harbour + " gives up all that was ever acknowledged");
        }
        HttpResponse<byte[]> answer = HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .connectTimeout(PATIENCE)
                .build()
                .send(
                        HttpRequest.newBuilder(URI.create("http://" + harbour + ApiCall.BOOTSTRAP.path()))
                                .timeout(PATIENCE)
                                .POST(HttpRequest.BodyPublishers.ofByteArray(
                                        JsonCodec.bytes(JsonCodec.map("confirm", true, "abandon", abandon))))
                                .build(),
                        HttpResponse.BodyHandlers.ofByteArray());
        if (answer.statusCode() == 200) {
            spec.commandLine().getOut().println(harbour + " begins with nothing.");
            return MeshCtl.DONE;
        }
        err.println(
                "cypressweir: " + harbour + " refuses: " + new String(answer.body(), StandardCharsets.UTF_8).strip());
        return MeshCtl.DIFFERENT;
    }
}
