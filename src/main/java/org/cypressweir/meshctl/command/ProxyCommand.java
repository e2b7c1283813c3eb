package org.cypressweir.meshctl.command;

import picocli.CommandLine.Command;

/** {@code proxy}: exists only for the help; the program is started without this command line. */
@Command(
        name = "proxy",
        mixinStandardHelpOptions = true,
        versionProvider = Version.class,
        description = "Run a proxy beside an application server until SIGTERM.")
public final class ProxyCommand implements Runnable {

    @Override
    public void run() {
        throw new IllegalStateException("proxy takes no arguments");
    }
}
