package org.cypressweir.sidecar;

import java.io.FileOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.channels.Channel;
import java.nio.channels.ServerSocketChannel;

/**
 * The clients' listening socket where the platform holds it and each process inherits it, so that one process
 * can follow another without a moment in which nobody listens. All of them accept from one queue of the
 * kernel: who must not be given a connection must not listen.
 */
final class InheritedSocket {

    private InheritedSocket() {}

    /** Whether the platform promises one. */
    static boolean promised(String descriptor) {
        return descriptor != null && !descriptor.isEmpty();
    }

    /**
     * A log that goes on. The runtime leads descriptors 0 to 2 to the null device once it has taken the
     * socket over, so what is to be said later needs a stream of its own before.
     */
    static PrintStream keep(PrintStream log) {
        try {
            return new PrintStream(new FileOutputStream("/proc/self/fd/2", true), true);
        } catch (IOException e) {
            log.println(
                    "cypressweir-sidecar: the log ends here, standard error can't be opened again: " + e.getMessage());
            return log;
        }
    }

    /** Takes the socket over; the exception's message is one plain line. */
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
