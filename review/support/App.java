import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

/** A stand-in application server beside a proxy, as PROTOCOL.md describes one; it records what it runs. */
final class App implements AutoCloseable {

    /** What the server does with a request that it runs. */
    interface Work {
        byte[] run(Http.Message request) throws Exception;
    }

    final String id;
    private final Mesh mesh;
    private final int proxy;
    private final String service;
    private final Work work;
    private final ServerSocket listener = new ServerSocket();
    private final AtomicLong sequence = new AtomicLong();
    private volatile boolean closed;
    volatile String state = "in_service";
    volatile int slots = 12;
    final AtomicLong runs = new AtomicLong();

    App(Mesh mesh, int proxy, String service, String id, Work work) throws IOException {
        this.mesh = mesh;
        this.proxy = proxy;
        this.service = service;
        this.id = id;
        this.work = work;
        listener.setReuseAddress(true);
        listener.bind(new InetSocketAddress(InetAddress.getByName(mesh.proxyIp(proxy)), 8103), 128);
        daemon(this::accept);
        daemon(this::beat);
    }

    private static void daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        while (!closed) {
            try {
                Socket socket = listener.accept();
                daemon(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream(), 65536);
            OutputStream out = socket.getOutputStream();
            for (Http.Message request = Http.read(in); request != null; request = Http.read(in)) {
                answer(request, out);
            }
        } catch (IOException e) {
            // The connection ended.
        }
    }

    private void answer(Http.Message request, OutputStream out) throws IOException {
        String attempt = request.header("Cypressweir-Attempt-Id");
        String target = request.header("Cypressweir-Target-Instance");
        String[] line = request.startLine().split(" ");
        if (line[1].equals("/health")) {
            write(out, "200 OK", "Cypressweir-Instance-Id: " + id + "\r\n", new byte[0]);
        } else if (attempt == null) {
            write(out, "400 Bad Request", "Cypressweir-Not-Executed: 1\r\n", new byte[0]);
        } else if (target != null && !target.equals(id)) {
            mesh.record.line("server " + id + " turns " + attempt + " away: 421, it is for " + target);
            write(out, "421 Misdirected Request", "Cypressweir-Attempt-Id: " + attempt
                    + "\r\nCypressweir-Not-Executed: 1\r\n", new byte[0]);
        } else {
            run(request, attempt, line, out);
        }
    }

    private void run(Http.Message request, String attempt, String[] line, OutputStream out) throws IOException {
        runs.incrementAndGet();
        mesh.record.line("server " + id + " runs " + line[0] + " " + line[1] + " id=" + attempt + " body="
                + request.body().length + " tenant=" + request.header("Cypressweir-Tenant-Name") + " left="
                + request.header("Cypressweir-Time-Remaining"));
        byte[] body;
        try {
            body = work.run(request);
        } catch (Exception e) {
            throw new IOException(e);
        }
        write(out, "200 OK", "Cypressweir-Attempt-Id: " + attempt + "\r\nCypressweir-Server-Seal: " + id + "."
                + attempt + "\r\nCypressweir-Server-Load: 1,0," + slots + "\r\n", body);
        mesh.record.line("server " + id + " has answered " + attempt + " with 200");
    }

    private static void write(OutputStream out, String status, String headers, byte[] body) throws IOException {
        out.write(("HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + body.length + "\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1));
        out.write(body);
        out.flush();
    }

    private void beat() {
        try {
            while (!closed) {
                sendBeat();
                Thread.sleep(1_500);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Sends a heartbeat; returns whether it was acknowledged. */
    boolean sendBeat() {
        String body = "{\"address\":\"" + mesh.application(proxy) + "\",\"nodeInfo\":{\"service\":\"" + service
                + "\",\"configVersion\":\"v1\",\"zone\":\"" + Mesh.zone(proxy) + "\",\"capacitySlots\":" + slots
                + "},\"operStatus\":{\"operState\":\"" + state + "\",\"callSequence\":" + sequence.incrementAndGet()
                + ",\"warmupLeft\":\"0ms\"}}";
        return call("/heartbeat", body);
    }

    boolean deregister() {
        return call("/deregister", "{}");
    }

    private boolean call(String name, String body) {
        try {
            return Http.call(mesh.proxyControl(proxy), "POST", "/cypressweir/instances/" + id + name,
                    Map.of("Host", mesh.proxyControl(proxy), "Content-Type", "application/json"),
                    body.getBytes(StandardCharsets.UTF_8), 1_000).status() / 100 == 2;
        } catch (IOException e) {
            return false;
        }
    }

    @Override
    public void close() throws IOException {
        closed = true;
        listener.close();
    }
}
