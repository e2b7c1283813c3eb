package org.cypressweir.sidecar.cli;

import java.net.InetSocketAddress;
import java.util.concurrent.Callable;
import org.cypressweir.common.util.Addresses;
import picocli.CommandLine;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** A command that asks a sidecar at its operators' door. */
abstract class AdminCommand implements Callable<Integer> {

    @Spec
    private CommandSpec command;

    @Option(
            names = "--door",
            paramLabel = "ADDRESS",
            required = true,
            description = "the sidecar's operators' door, address:port")
    private String door;

    /** Does its work at this door; the exit status. */
    abstract int work(InetSocketAddress address) throws InterruptedException;

    @Override
    public final Integer call() throws InterruptedException {
        InetSocketAddress address;
        try {
            address = Addresses.parse(door);
        } catch (IllegalArgumentException e) {
            return say("--door: " + e.getMessage(), CommandLineTool.BAD);
        }
        return work(address);
    }

    final String door() {
        return door;
    }

    final CommandLine commandLine() {
        return command.commandLine();
    }

    /** Says in a line why it ends, or goes on; hands the status back. */
    final int say(String why, int status) {
        commandLine().getErr().println("cypressweir-sidecar: " + why);
        return status;
    }
}
