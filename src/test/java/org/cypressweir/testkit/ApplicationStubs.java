package org.cypressweir.testkit;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A stub of an application instance: it sends heartbeats to its proxy, and responds to requests as the test has set.
 * Each connection has a thread of its own; {@link #close} ends all. Thread-safe.
 */
public final class ApplicationStubs implements AutoCloseable {

    /** How the stub handles requests. */
    public enum Behavior {
        /** Executes the request and responds. */
        RESPONDS,
        /** Responds that it has not executed the request. */
        REJECTS,
        /** Executes the request and closes the connection in the middle of the response. */
        TRUNCATES_RESPONSE,
        /** Executes the request and never responds. */
        NEVER_RESPONDS,
        /** Executes the request and responds with an error. */
        FAILS
    }

    public static final String ID = "Cypressweir-Attempt-Id";
    private static final int HEARTBEAT_INTERVAL_MILLIS = 300;
    private static final int CALL_TIMEOUT_MILLIS = 2_000;

    /** All requests in the order of their arrival. */
    public final BlockingQueue<RawHttpClient.Message> received = new LinkedBlockingQueue<>();
    /** How many requests were rejected because the instance was draining or had deregistered. */
    public final AtomicInteger rejectedWhileDraining = new AtomicInteger();

    private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "application-stub-timer");
        thread.setDaemon(true);
        return thread;
    });
    private final ServerSocket listening;
    private final InetSocketAddress proxy;
    private final String service;
    private final String zone;
    private final int slots;
    private volatile String instance;
    private volatile String version = "r1";
    private volatile Behavior behavior = Behavior.RESPONDS;
    private volatile int responseDelayMillis;
    private volatile boolean draining;
    private volatile boolean deregistered;
    private long sequence;

    /** @param proxy the address to which heartbeats are sent */
    public ApplicationStubs(
            InetSocketAddress own, InetSocketAddress proxy, String instance, String service, String zone, int slots)
            throws IOException {
        this.proxy = proxy;
        this.instance = instance;
        this.service = service;
        this.zone = zone;
        this.slots = slots;
        listening = new ServerSocket(own.getPort(), 256, own.getAddress());
        daemon(this::accept);
        timer.scheduleAtFixedRate(this::sendHeartbeatIfPossible, 0, HEARTBEAT_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    public String instance() {
        return instance;
    }

    public void setBehavior(Behavior next) {
        behavior = next;
    }

    /** Sets the time between a request and its response. */
    public void setResponseDelayMillis(int millis) {
        responseDelayMillis = millis;
    }

    /** How often the request with this id was executed. */
    public int runs(String id) {
        return runs.getOrDefault(id, new AtomicInteger()).get();
    }

    /** How often each request was executed, by its id. */
    public Map<String, Integer> runsById() {
        Map<String, Integer> counts = new HashMap<>();
        runs.forEach((id, count) -> counts.put(id, count.get()));
        return counts;
    }

    public int runs() {
        return runs.values().stream().mapToInt(AtomicInteger::get).sum();
    }

    /** Starts draining; returns once the proxy has acknowledged it. */
    public void drain() throws IOException {
        draining = true;
        sendHeartbeat();
    }

    /** Deregisters the instance at the proxy. The stub keeps listening, and rejects requests that arrive late. */
    public void deregister() throws IOException {
        deregistered = true;
        call("deregister", "{}");
    }

    /** Starts another incarnation at the same address. */
    public void startIncarnation(String nextInstance) throws IOException {
        instance = nextInstance;
        draining = false;
        deregistered = false;
        sendHeartbeat();
    }

    /** Starts another incarnation with another version of the software. */
    public void startIncarnation(String nextInstance, String nextVersion) throws IOException {
        version = nextVersion;
        startIncarnation(nextInstance);
    }

    private void sendHeartbeatIfPossible() {
        try {
            if (!deregistered) {
                sendHeartbeat();
            }
        } catch (IOException e) {
            // The proxy is not reachable now; the next heartbeat is sent all the same.
        }
    }

    private synchronized void sendHeartbeat() throws IOException {
        call(
                "heartbeat",
                "{\"address\":\"" + listening.getInetAddress().getHostAddress() + ":"
                        + listening.getLocalPort() + "\",\"nodeInfo\":{\"service\":\"" + service
                        + "\",\"configVersion\":\"" + version + "\",\"zone\":\"" + zone + "\",\"capacitySlots\":"
                        + slots
                        + "},\"operStatus\":{\"operState\":\"" + (draining ? "draining" : "serving")
                        + "\",\"callSequence\":" + ++sequence + ",\"warmupLeft\":\"0ms\"}}");
    }

    private void call(String what, String body) throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(proxy, CALL_TIMEOUT_MILLIS);
            socket.setSoTimeout(CALL_TIMEOUT_MILLIS);
            write(
                    socket,
                    "POST /cypressweir/instances/" + instance + "/" + what + " HTTP/1.1\r\n"
                            + "Host: proxy\r\nConnection: close\r\nContent-Length: " + body.length()
                            + "\r\n\r\n" + body);
            RawHttpClient.Message response = RawHttpClient.read(socket.getInputStream());
            if (response == null || response.status() != 200) {
                throw new IOException("not acknowledged: " + response);
            }
        }
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = listening.accept();
                socket.setTcpNoDelay(true);
                sockets.add(socket);
                daemon(() -> serveConnection(socket));
            }
        } catch (IOException e) {
            // Closed: the test is over.
        }
    }

    private void serveConnection(Socket socket) {
        try (socket) {
            InputStream in = socket.getInputStream();
            for (RawHttpClient.Message request; (request = RawHttpClient.read(in)) != null; ) {
                received.add(request);
                if (!respond(socket, request)) {
                    return;
                }
            }
        } catch (IOException e) {
            // The proxy closed the connection, which a test may want.
        } finally {
            sockets.remove(socket);
        }
    }

    private boolean respond(Socket socket, RawHttpClient.Message request) throws IOException {
        String id = request.headers().getOrDefault(ID, "");
        String wanted = request.headers().get("Cypressweir-Target-Instance");
        if (wanted != null && !wanted.equals(instance)) {
            reply(socket, id, "421 Misdirected Request", "Cypressweir-Not-Executed: true\r\n", "");
            return true;
        }
        if (draining || deregistered || behavior == Behavior.REJECTS) {
            rejectedWhileDraining.addAndGet(draining || deregistered ? 1 : 0);
            reply(socket, id, "503 Service Unavailable", "Cypressweir-Not-Executed: true\r\n", "");
            return true;
        }
        runs.computeIfAbsent(id, i -> new AtomicInteger()).incrementAndGet();
        switch (behavior) {
            case NEVER_RESPONDS -> {}
            case FAILS -> reply(socket, id, "500 Internal Server Error", "Instance: " + instance + "\r\n", "");
            case TRUNCATES_RESPONSE -> {
                write(socket, "HTTP/1.1 200 OK\r\n" + ID + ": " + id + "\r\nContent-Length: 10\r\n\r\nab");
                return false;
            }
            default -> serve(socket, request, id);
        }
        return true;
    }

    private void serve(Socket socket, RawHttpClient.Message request, String id) throws IOException {
        int millis = responseDelayMillis;
        String extra = "Cypressweir-Server-Seal: sealed-" + id + "\r\nInstance: " + instance + "\r\n";
        if (millis == 0) {
            reply(socket, id, "200 OK", extra, "ran " + request.body());
            return;
        }
        timer.schedule(
                () -> {
                    reply(socket, id, "200 OK", extra, "ran " + request.body());
                    return null;
                },
                millis,
                TimeUnit.MILLISECONDS);
    }

    private static void reply(Socket socket, String id, String status, String headers, String body) throws IOException {
        write(
                socket,
                "HTTP/1.1 " + status + "\r\n" + ID + ": " + id + "\r\n" + headers + "Content-Length: " + body.length()
                        + "\r\n\r\n" + body);
    }

    private static void write(Socket socket, String text) throws IOException {
        OutputStream out = socket.getOutputStream();
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    private void daemon(Runnable task) {
        Thread thread = new Thread(task, "application-stub");
        thread.setDaemon(true);
        thread.start();
    }

    /** The address of a port at an IP address. */
    public static InetSocketAddress at(String ip, int port) throws IOException {
        return new InetSocketAddress(InetAddress.getByName(ip), port);
    }

    @Override
    public void close() throws IOException {
        timer.shutdownNow();
        listening.close();
        for (Socket socket : List.copyOf(sockets)) {
            socket.close();
        }
    }
}
