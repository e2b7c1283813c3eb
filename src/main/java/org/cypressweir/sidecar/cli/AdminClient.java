package org.cypressweir.sidecar.cli;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A sidecar's operators' door, asked one line a connection. */
record AdminClient(InetSocketAddress address, int timeoutMillis) {

    /** All that it says to a line. */
    String send(String line) throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(address, timeoutMillis);
            socket.setSoTimeout(timeoutMillis);
            socket.getOutputStream().write((line + "\n").getBytes(StandardCharsets.UTF_8));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        }
    }
}
