package org.cypressweir.sidecar.cli;

import java.net.InetSocketAddress;
import java.util.concurrent.Callable;
import org.cypressweir.common.util.Addresses;
import picocli.CommandLine;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** A command that queries a sidecar through its admin listener. */
abstract class AdminCommand implements Callable<Integer> {

    @Spec
    private CommandSpec command;

    @Option(
            names = "--door",
            paramLabel = "ADDRESS",
            required = true,
            description = "the sidecar's admin listener, address:port")
    private String adminAddress;

    /** Runs the command against this admin listener; returns the exit status. */
    abstract int execute(InetSocketAddress address) throws InterruptedException;

    @Override
    public final Integer call() throws InterruptedException {
        InetSocketAddress address;
        try {
            address = Addresses.parse(adminAddress);
        } catch (IllegalArgumentException e) {
            return report("--door: " + e.getMessage(), CommandLineTool.EXIT_INVALID_INPUT);
        }
        return execute(address);
    }

    final String adminAddress() {
        return adminAddress;
    }

    final CommandLine commandLine() {
        return command.commandLine();
    }

    /** Prints one line to standard error and returns the given status. */
    final int report(String why, int status) {
        commandLine().getErr().println("cypressweir-sidecar: " + why);
        return status;
    }
}
