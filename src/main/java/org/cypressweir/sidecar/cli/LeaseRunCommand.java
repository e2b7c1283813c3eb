package org.cypressweir.sidecar.cli;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** {@code lease run --door ADDRESS NAME -- COMMAND...}: a command that runs only while a lease is held. */
@Command(
        mixinStandardHelpOptions = true,
        versionProvider = Version.class,
        name = "run",
        description = "Run a command while the sidecar holds a lease, and end it before the"
                + " lease is over. Exit status: the command's own; 73 where the lease is not held, 74 where it was"
                + " lost and the command was ended, 1 where the sidecar can't be asked, 2 for a bad command line.")
final class LeaseRunCommand extends AdminCommand {

    static final int NOT_HELD = 73;
    static final int LOST = 74;
    private static final int ASK_MILLIS = 100;
    private static final int PATIENCE_MILLIS = 500;
    /** From the request to end to the end by force, and from that to the end of what was promised. */
    private static final long STOP_MILLIS = 500;

    private static final long SPARE_MILLIS = 200;

    @Option(names = "--wait", description = "wait until the lease is held, however long that takes")
    private boolean waits;

    @Parameters(index = "0", paramLabel = "NAME", description = "the lease")
    private String name;

    @Parameters(index = "1..*", arity = "1..*", paramLabel = "COMMAND", description = "what to run, after --")
    private List<String> words;

    /** What the sidecar has said; it counts from when it was asked, so that a late answer says less. */
    private record Answer(String text, long token, long until) {
        boolean held() {
            return text.startsWith("YES ");
        }
    }

    @Override
    int work(InetSocketAddress address) throws InterruptedException {
        Answer first;
        while (true) {
            try {
                first = ask(address);
            } catch (IOException e) {
                return say("the door at " + door() + " can't be asked: " + e.getMessage(), 1);
            }
            if (first.held() && left(first) > STOP_MILLIS + SPARE_MILLIS) {
                break;
            }
            if (!first.held() && !waits) {
                return say("lease '" + name + "' is not held here: " + first.text, NOT_HELD);
            }
            TimeUnit.MILLISECONDS.sleep(ASK_MILLIS);
        }
        return run(address, first);
    }

    private int run(InetSocketAddress address, Answer first) throws InterruptedException {
        ProcessBuilder builder = new ProcessBuilder(words).inheritIO();
        builder.environment().put("LB_LEASE", name);
        builder.environment().put("LB_LEASE_TOKEN", String.valueOf(first.token));
        builder.environment().put("LB_LEASE_END", String.valueOf(System.currentTimeMillis() + left(first)));
        Process process;
        try {
            process = builder.start();
        } catch (IOException e) {
            return say("can't run " + words.get(0) + ": " + e.getMessage(), 1);
        }
        Thread withUs = new Thread(() -> all(process).forEach(ProcessHandle::destroyForcibly));
        Runtime.getRuntime().addShutdownHook(withUs);
        long until = first.until;
        boolean lost = false;
        while (!process.waitFor(ASK_MILLIS, TimeUnit.MILLISECONDS)) {
            Answer next = askIfPossible(address);
            // Where nobody answers, what was promised holds. A higher token is another grant, between which
            // and this one somebody else may have acted.
            if (next != null) {
                lost = !next.held() || next.token != first.token;
                until = lost ? until : Math.max(until, next.until);
            }
            if (lost || millis(until) <= STOP_MILLIS + SPARE_MILLIS) {
                end(process, until);
                return say("lease '" + name + "' was lost; the command was ended", LOST);
            }
        }
        return process.exitValue();
    }

    /** Asks it to end, and ends it by force before what was promised is over. */
    private static void end(Process process, long until) throws InterruptedException {
        List<ProcessHandle> all = all(process).toList();
        all.forEach(ProcessHandle::destroy);
        long wait = Math.max(0, Math.min(STOP_MILLIS, millis(until) - SPARE_MILLIS));
        process.waitFor(wait, TimeUnit.MILLISECONDS);
        all.forEach(ProcessHandle::destroyForcibly);
        process.waitFor();
    }

    private static Stream<ProcessHandle> all(Process process) {
        return Stream.concat(process.descendants(), Stream.of(process.toHandle()));
    }

    private static long millis(long until) {
        return (until - System.nanoTime()) / 1_000_000;
    }

    private static long left(Answer answer) {
        return millis(answer.until);
    }

    /** Null where the door can't be asked. */
    private Answer askIfPossible(InetSocketAddress address) {
        try {
            return ask(address);
        } catch (IOException e) {
            return null;
        }
    }

    private Answer ask(InetSocketAddress address) throws IOException {
        long asked = System.nanoTime();
        try {
            String text = new AdminClient(address, PATIENCE_MILLIS)
                    .ask("LEASE " + name)
                    .strip();
            String[] parts = text.split(" ");
            boolean held = parts.length == 3 && parts[0].equals("YES");
            return new Answer(
                    text,
                    held ? Long.parseLong(parts[1]) : 0,
                    held ? asked + Long.parseLong(parts[2]) * 1_000_000 : asked);
        } catch (NumberFormatException e) {
            throw new IOException("no answer of a door", e);
        }
    }
}
