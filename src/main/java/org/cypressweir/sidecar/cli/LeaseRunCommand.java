package org.cypressweir.sidecar.cli;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** {@code lease run --door ADDRESS NAME -- COMMAND...}: runs a command only while the sidecar holds a lease. */
@Command(
        mixinStandardHelpOptions = true,
        versionProvider = Version.class,
        name = "run",
        description = "Run a command while the sidecar holds a lease, and end it before the"
                + " lease is over. Exit status: the command's own; 73 where the lease is not held, 74 where it was"
                + " lost and the command was ended, 1 where the sidecar can't be reached, 2 for a bad command line.")
final class LeaseRunCommand extends AdminCommand {

    static final int EXIT_NOT_HELD = 73;
    static final int EXIT_LOST = 74;
    private static final int POLL_INTERVAL_MILLIS = 100;
    private static final int REQUEST_TIMEOUT_MILLIS = 500;
    /** Time between asking the process to terminate and killing it. */
    private static final long TERMINATION_GRACE_MILLIS = 500;

    /** Time between killing the process and the expiry of the lease. */
    private static final long SAFETY_MARGIN_MILLIS = 200;

    @Option(names = "--wait", description = "wait until the lease is held, however long that takes")
    private boolean waitUntilHeld;

    @Parameters(index = "0", paramLabel = "NAME", description = "the lease")
    private String name;

    @Parameters(index = "1..*", arity = "1..*", paramLabel = "COMMAND", description = "what to run, after --")
    private List<String> commandWords;

    /**
     * A response of the sidecar. Its expiry counts from the time of the query, so that a delayed response cannot
     * extend the lease.
     */
    private record LeaseResponse(String text, long token, long expiryNanos) {
        boolean held() {
            return text.startsWith("YES ");
        }
    }

    @Override
    int execute(InetSocketAddress address) throws InterruptedException {
        LeaseResponse initial;
        while (true) {
            try {
                initial = query(address);
            } catch (IOException e) {
                return report("admin listener at " + adminAddress() + " can't be reached: " + e.getMessage(), 1);
            }
            if (initial.held() && remainingMillis(initial) > TERMINATION_GRACE_MILLIS + SAFETY_MARGIN_MILLIS) {
                break;
            }
            if (!initial.held() && !waitUntilHeld) {
                return report("lease '" + name + "' is not held here: " + initial.text, EXIT_NOT_HELD);
            }
            TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MILLIS);
        }
        return run(address, initial);
    }

    private int run(InetSocketAddress address, LeaseResponse initial) throws InterruptedException {
        ProcessBuilder builder = new ProcessBuilder(commandWords).inheritIO();
        builder.environment().put("LB_LEASE", name);
        builder.environment().put("LB_LEASE_TOKEN", String.valueOf(initial.token));
        builder.environment()
                .put("LB_LEASE_END", String.valueOf(System.currentTimeMillis() + remainingMillis(initial)));
        Process process;
        try {
            process = builder.start();
        } catch (IOException e) {
            return report("can't run " + commandWords.get(0) + ": " + e.getMessage(), 1);
        }
        Thread shutdownHook = new Thread(() -> processTree(process).forEach(ProcessHandle::destroyForcibly));
        Runtime.getRuntime().addShutdownHook(shutdownHook);
        long expiryNanos = initial.expiryNanos;
        boolean lost = false;
        while (!process.waitFor(POLL_INTERVAL_MILLIS, TimeUnit.MILLISECONDS)) {
            LeaseResponse next = queryOrNull(address);
            // Without a response the last known expiry remains valid. Another fencing token means a new grant:
            // another holder may have acted in between, so the lease counts as lost.
            if (next != null) {
                lost = !next.held() || next.token != initial.token;
                expiryNanos = lost ? expiryNanos : Math.max(expiryNanos, next.expiryNanos);
            }
            if (lost || millisUntil(expiryNanos) <= TERMINATION_GRACE_MILLIS + SAFETY_MARGIN_MILLIS) {
                terminate(process, expiryNanos);
                return report("lease '" + name + "' was lost; the command was ended", EXIT_LOST);
            }
        }
        return process.exitValue();
    }

    /** Asks the process to terminate, and kills it before the lease expires. */
    private static void terminate(Process process, long expiryNanos) throws InterruptedException {
        List<ProcessHandle> processes = processTree(process).toList();
        processes.forEach(ProcessHandle::destroy);
        long wait = Math.max(0, Math.min(TERMINATION_GRACE_MILLIS, millisUntil(expiryNanos) - SAFETY_MARGIN_MILLIS));
        process.waitFor(wait, TimeUnit.MILLISECONDS);
        processes.forEach(ProcessHandle::destroyForcibly);
        process.waitFor();
    }

    private static Stream<ProcessHandle> processTree(Process process) {
        return Stream.concat(process.descendants(), Stream.of(process.toHandle()));
    }

    private static long millisUntil(long expiryNanos) {
        return (expiryNanos - System.nanoTime()) / 1_000_000;
    }

    private static long remainingMillis(LeaseResponse answer) {
        return millisUntil(answer.expiryNanos);
    }

    /** Queries the sidecar; null if it cannot be reached. */
    private LeaseResponse queryOrNull(InetSocketAddress address) {
        try {
            return query(address);
        } catch (IOException e) {
            return null;
        }
    }

    private LeaseResponse query(InetSocketAddress address) throws IOException {
        long sentNanos = System.nanoTime();
        try {
            String text = new AdminClient(address, REQUEST_TIMEOUT_MILLIS)
                    .send("LEASE " + name)
                    .strip();
            String[] parts = text.split(" ");
            boolean held = parts.length == 3 && parts[0].equals("YES");
            return new LeaseResponse(
                    text,
                    held ? Long.parseLong(parts[1]) : 0,
                    held ? sentNanos + Long.parseLong(parts[2]) * 1_000_000 : sentNanos);
        } catch (NumberFormatException e) {
            throw new IOException("not a response of an admin listener", e);
        }
    }
}
