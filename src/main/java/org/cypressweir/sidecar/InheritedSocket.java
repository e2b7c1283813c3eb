package org.cypressweir.sidecar;

import java.io.FileOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.channels.Channel;
import java.nio.channels.ServerSocketChannel;

/**
 * The client listening socket that the platform holds and each process inherits, so that one process can replace
 * another without an interval in which nobody listens. All these processes accept from one kernel queue, so a process
 * that must not receive connections must not listen.
 */
final class InheritedSocket {

    private InheritedSocket() {}

    /** Whether the platform provides a socket. */
    static boolean isConfigured(String descriptor) {
        return descriptor != null && !descriptor.isEmpty();
    }

    /**
     * A log that keeps working after the socket is taken over. The runtime then redirects descriptors 0 to 2 to the
     * null device, so the log opens a stream of its own before.
     */
    static PrintStream reopenLog(PrintStream log) {
        try {
            return new PrintStream(new FileOutputStream("/proc/self/fd/2", true), true);
        } catch (IOException e) {
            log.println(
                    "cypressweir-sidecar: the log ends here, standard error can't be opened again: " + e.getMessage());
            return log;
        }
    }

    /** Takes over the socket; the exception's message is a single line. */
    static ServerSocketChannel take(String descriptor) throws IOException {
        if (!"0".equals(descriptor)) {
            throw new IOException("LB_SOCKET_FD: only descriptor 0 can be inherited, not " + descriptor);
        }
        Channel inherited = System.inheritedChannel();
        if (inherited instanceof ServerSocketChannel listening && listening.getLocalAddress() != null) {
            return listening;
        }
        throw new IOException("LB_SOCKET_FD: descriptor 0 is no listening socket");
    }
}
