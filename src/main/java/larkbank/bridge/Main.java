package larkbank.bridge;

import larkbank.harbour.Harbour;
import larkbank.pilot.Pilot;

/** Chooses the program: the two that serve don't wait for the command line to be loaded. */
public final class Main {

    private Main() {}

    public static void main(String[] args) {
        // Nothing here needs the machine's hardware address, and a search for one costs time.
        System.setProperty("io.netty.machineId", "02:00:00:00:00:00:00:01");
        switch (args.length == 1 ? args[0] : "") {
            case "pilot" -> System.exit(Pilot.run(System.getenv(), System.err));
            case "harbour" -> System.exit(Harbour.run(System.getenv(), System.err));
            default -> System.exit(Bridge.run(args));
        }
    }
}
