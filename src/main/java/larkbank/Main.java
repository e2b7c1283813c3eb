package larkbank;

import larkbank.sidecar.Sidecar;
import larkbank.simhost.SimHost;

/** Chooses the host of the decision module: the sidecar, or the simulator's adapter. */
public final class Main {

    private Main() { }

    public static void main(String[] args) {
        String mode = args.length == 1 ? args[0] : "";
        switch (mode) {
            case "serve" -> System.exit(Sidecar.serve(System.getenv(), System.err));
            case "simhost" -> System.exit(SimHost.serve());
            default -> {
                System.err.println("usage: java -jar larkbank.jar serve|simhost");
                System.exit(2);
            }
        }
    }
}
