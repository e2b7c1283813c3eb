package org.cypressweir.sidecar.cli;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import org.cypressweir.fleet.transport.FleetSocket;
import org.cypressweir.sidecar.SidecarProcess;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** {@code serve --operators FILE}: runs a sidecar with an operators' file. */
@Command(
        mixinStandardHelpOptions = true,
        versionProvider = Version.class,
        name = "serve",
        description = "Run a sidecar; LB_CONFIG names its configuration.")
final class ServeCommand implements Callable<Integer> {

    @Option(names = "--operators", paramLabel = "FILE", description = "the operators' file")
    private Path operators;

    @Override
    public Integer call() {
        return SidecarProcess.serve(System.getenv(), operators, System.err, FleetSocket::open);
    }
}
