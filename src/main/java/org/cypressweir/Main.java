package org.cypressweir;

import org.cypressweir.controlplane.controller.Controller;
import org.cypressweir.dataplane.proxy.Proxy;
import org.cypressweir.meshctl.MeshCtl;

/**
 * Starts the program that the first argument names. A proxy or a controller starts without loading the command line;
 * "pilot" and "harbour" are their names in earlier builds.
 */
public final class Main {

    private Main() {}

    public static void main(String[] args) {
        // Netty would search for the hardware address to build an id that nothing here needs.
        System.setProperty("io.netty.machineId", "02:00:00:00:00:00:00:01");
        switch (args.length == 1 ? args[0] : "") {
            case "proxy", "pilot" -> System.exit(Proxy.run(System.getenv(), System.err));
            case "controller", "harbour" -> System.exit(Controller.run(System.getenv(), System.err));
            default -> System.exit(MeshCtl.run(args));
        }
    }
}
