package org.cypressweir.sidecar;

import org.cypressweir.sidecar.cli.CommandLineTool;
import org.cypressweir.sidecar.simhost.SimHost;

/** Entry point of the sidecar's archive: starts the sidecar, the simulator adapter or a command-line command. */
public final class Main {

    private Main() {}

    public static void main(String[] args) {
        // The two long-running modes start without loading the command-line classes.
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
