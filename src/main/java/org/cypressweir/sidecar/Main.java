package org.cypressweir.sidecar;

import org.cypressweir.sidecar.cli.CommandLineTool;
import org.cypressweir.sidecar.simhost.SimHost;

/** Chooses the host of the decision module: the sidecar, the simulator's adapter, or a command. */
public final class Main {

    private Main() {}

    public static void main(String[] args) {
        // The two that run in service do not wait for the command line to be loaded.
        String mode = args.length == 1 ? args[0] : "";
        switch (mode) {
            case "serve" -> System.exit(SidecarProcess.serve(System.getenv(), System.err));
            case "simhost" -> System.exit(SimHost.serve());
            case "" -> System.exit(args.length == 0 ? usage() : CommandLineTool.run(args));
            default -> System.exit(CommandLineTool.run(args));
        }
    }

    private static int usage() {
        System.err.println("usage: java -jar cypressweir-sidecar.jar"
                + " serve|simhost|check|explain|lab|plugin|members|help [--help]");
        return 2;
    }
}
