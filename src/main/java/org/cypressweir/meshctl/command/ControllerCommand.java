package org.cypressweir.meshctl.command;

import picocli.CommandLine.Command;

/** {@code controller}: exists only for the help; the program is started without this command line. */
@Command(
        name = "controller",
        mixinStandardHelpOptions = true,
        versionProvider = Version.class,
        description = "Run a controller on a core machine until SIGTERM.")
public final class ControllerCommand implements Runnable {

    @Override
    public void run() {
        throw new IllegalStateException("controller takes no arguments");
    }
}
