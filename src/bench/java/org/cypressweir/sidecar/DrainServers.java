package org.cypressweir.sidecar;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.cypressweir.testkit.RawHttpClient;
import org.cypressweir.testkit.WebSocketClient;

/**
 * Servers in a separate process, so that their descriptors do not count against the benchmark's limit: they accept
 * WebSocket upgrades, echo messages and answer plain requests. Argument: number of servers. Prints their ports on one
 * line, then, for each line of input, the number of open tunnels of each server.
 */
public final class DrainServers implements AutoCloseable {

    private final Process process;
    private final BufferedReader answers;
    private final int[] ports;

    /** Starts the process with the class path of this one. */
    DrainServers(int count) throws IOException {
        process = new ProcessBuilder(
                        ProcessHandle.current().info().command().orElseThrow(),
                        "-Xss256k",
                        "-cp",
                        System.getProperty("java.class.path"),
                        DrainServers.class.getName(),
                        String.valueOf(count))
                .redirectError(ProcessBuilder.Redirect.INHERIT)
                .start();
        answers = new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.US_ASCII));
        ports = readNumbers();
    }

    private int[] readNumbers() throws IOException {
        return Arrays.stream(answers.readLine().split(" "))
                .mapToInt(Integer::parseInt)
                .toArray();
    }

    int[] ports() {
        return ports;
    }

    synchronized int[] open() throws IOException {
        process.getOutputStream().write('\n');
        process.getOutputStream().flush();
        return readNumbers();
    }

    @Override
    public void close() {
        process.destroy();
    }

    public static void main(String[] args) throws IOException {
        List<Server> servers = new ArrayList<>();
        for (int i = 0; i < Integer.parseInt(args[0]); i++) {
            servers.add(new Server());
        }
        System.out.println(String.join(
                " ",
                servers.stream()
                        .map(s -> String.valueOf(s.listener.getLocalPort()))
                        .toList()));
        while (System.in.read() >= 0) {
            System.out.println(String.join(
                    " ", servers.stream().map(s -> s.open.toString()).toList()));
        }
    }

    private static final class Server {
        private final ServerSocket listener = new ServerSocket(0, 512, InetAddress.getLoopbackAddress());
        private final AtomicInteger open = new AtomicInteger();

        Server() throws IOException {
            thread(this::accept);
        }

        private static void thread(Runnable task) {
            Thread thread = new Thread(task, "server");
            thread.setDaemon(true);
            thread.start();
        }

        private void accept() {
            try {
                while (true) {
                    Socket socket = listener.accept();
                    thread(() -> serve(socket));
                }
            } catch (IOException e) {
                // Closed: the measurement is over.
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                for (RawHttpClient.Message m; (m = RawHttpClient.read(socket.getInputStream())) != null; ) {
                    String key = m.headers().get("Sec-WebSocket-Key");
                    if (key == null) {
                        socket.getOutputStream()
                                .write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
                                        .getBytes(StandardCharsets.US_ASCII));
                        continue;
                    }
                    open.incrementAndGet();
                    try {
                        socket.getOutputStream()
                                .write(WebSocketClient.switchingProtocols(key, "Sec-WebSocket-Protocol: chat\r\n")
                                        .getBytes(StandardCharsets.US_ASCII));
                        WebSocketClient ws = new WebSocketClient(socket, false);
                        for (WebSocketClient.Frame f; (f = ws.read()) != null && f.opcode() != 8; ) {
                            ws.send(f.opcode() == 9 ? 10 : f.opcode(), f.fin(), f.payload());
                        }
                        ws.close(1001);
                    } finally {
                        open.decrementAndGet();
                    }
                    return;
                }
            } catch (IOException e) {
                // The peer hung up.
            }
        }
    }
}
