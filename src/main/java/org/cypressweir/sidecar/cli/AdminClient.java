package org.cypressweir.sidecar.cli;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Client of a sidecar's admin listener; each connection carries one command line. */
record AdminClient(InetSocketAddress address, int timeoutMillis) {

    /** Sends a command line and returns the whole response. */
    String send(String line) throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(address, timeoutMillis);
            socket.setSoTimeout(timeoutMillis);
            socket.getOutputStream().write((line + "\n").getBytes(StandardCharsets.UTF_8));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        }
    }
}
