package org.cypressweir.meshctl;

import picocli.CommandLine.Command;

/** The programs as the help names them; alone on the command line they start without it. */
final class ServeCommand {

    private ServeCommand() {}

    /** Beside an application server. */
    @Command(
            name = "pilot",
            mixinStandardHelpOptions = true,
            versionProvider = Version.class,
            description = "Run beside an application server, until SIGTERM.")
    static final class PilotCommand implements Runnable {
        @Override
        public void run() {
            throw new IllegalStateException("pilot takes no arguments");
        }
    }

    /** On a core machine. */
    @Command(
            name = "harbour",
            mixinStandardHelpOptions = true,
            versionProvider = Version.class,
            description = "Run on a core machine, until SIGTERM.")
    static final class HarbourCommand implements Runnable {
        @Override
        public void run() {
            throw new IllegalStateException("harbour takes no arguments");
        }
    }
}
