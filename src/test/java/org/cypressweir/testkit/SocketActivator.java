package org.cypressweir.testkit;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.Writer;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Assertions;

/**
 * Holds a listening socket and starts programs that inherit it as file descriptor 0, as a platform with socket
 * activation does. Java cannot pass a socket to its child processes, so a Perl script does: it runs each line of its
 * input as a command, and prints a line for each start and each exit.
 */
public final class SocketActivator implements AutoCloseable {

    private static final String HOLDER_SCRIPT = String.join(
            "\n",
            "use strict; use Socket; use POSIX qw(:sys_wait_h dup2 dup); $| = 1;",
            "socket(my $s, PF_INET, SOCK_STREAM, 0) or die; $^F = 20;",
            "bind($s, sockaddr_in(0, inet_aton('127.0.0.1'))) or die; listen($s, 128) or die;",
            "my ($port) = sockaddr_in(getsockname($s)); print \"port $port\\n\";",
            "my %running;",
            "while (1) {",
            "  my $bits = ''; vec($bits, 0, 1) = 1;",
            "  if (select($bits, undef, undef, 0.02)) {",
            "    my $line = ''; my $c;",
            "    while (1) { my $n = sysread(STDIN, $c, 1); if (!$n) { kill 'KILL', keys %running; exit 0; }",
            "      last if $c eq \"\\n\"; $line .= $c; }",
            "    my $pid = fork();",
            "    if (!$pid) { dup2(fileno($s), 0); exec('sh', '-c', $line); exit 99; }",
            "    $running{$pid} = 1; print \"started $pid\\n\";",
            "  }",
            "  while ((my $pid = waitpid(-1, WNOHANG)) > 0) { delete $running{$pid};",
            "    print \"ended $pid \", ($? >> 8) + ($? & 127), \"\\n\"; }",
            "}");

    public final InetSocketAddress address;
    private final Process holder;
    private final Writer commands;
    private final BlockingQueue<String> started = new LinkedBlockingQueue<>();
    private final BlockingQueue<String> ended = new LinkedBlockingQueue<>();

    public SocketActivator() throws IOException {
        holder = new ProcessBuilder("perl", "-e", HOLDER_SCRIPT)
                .redirectError(ProcessBuilder.Redirect.INHERIT)
                .start();
        commands = holder.outputWriter(StandardCharsets.UTF_8);
        var output = new BufferedReader(new InputStreamReader(holder.getInputStream(), StandardCharsets.UTF_8));
        address = new InetSocketAddress(
                "127.0.0.1", Integer.parseInt(output.readLine().split(" ")[1]));
        Thread reader = new Thread(() -> output.lines()
                .forEach(w -> (w.startsWith("started") ? started : ended).add(w.substring(w.indexOf(' ') + 1))));
        reader.setDaemon(true);
        reader.start();
    }

    /** Starts a program with these environment variables and its output in this file; returns its process id. */
    public long start(String command, Map<String, String> environment, Path log) throws Exception {
        StringBuilder line = new StringBuilder("LB_SOCKET_FD=0 ");
        environment.forEach(
                (name, value) -> line.append(name).append("='").append(value).append("' "));
        commands.write(line + "exec " + command + " >>" + log + " 2>&1\n");
        commands.flush();
        String pid = started.poll(10, TimeUnit.SECONDS);
        Assertions.assertNotNull(pid, "no program was started");
        return Long.parseLong(pid);
    }

    /** Waits until a program has exited; returns its status. */
    public int awaitEnd(long pid) throws InterruptedException {
        String end = ended.poll(20, TimeUnit.SECONDS);
        Assertions.assertNotNull(end, "no program has exited");
        Assertions.assertEquals(String.valueOf(pid), end.split(" ")[0], "another program has exited");
        return Integer.parseInt(end.split(" ")[1]);
    }

    /** Whether any program has exited without having been awaited. */
    public boolean hasUnexpectedEnd() {
        return !ended.isEmpty();
    }

    /** Kills the programs that still run, and ends the script. */
    @Override
    public void close() throws IOException {
        commands.close();
        holder.onExit().join();
    }
}
