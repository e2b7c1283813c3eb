import java.io.BufferedInputStream;
import java.io.BufferedWriter;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Stream;

/**
 * What the scripts of the review share: it starts controllers and proxies with the commands of deploy/system.toml on
 * loopback addresses, and has small stand-ins for application servers, clients and the operator.
 */
final class Kit {

    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int CANNOT_RUN = 2;
    private static final long MAX_MILLIS = 116_000;
    private static final long RECOVERY_MILLIS = 15_000;

    static final long START = System.nanoTime();
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
    private static BufferedWriter record;

    private Kit() {}

    // ---- Record and ends

    static void openRecord(String folder) throws IOException {
        record = Files.newBufferedWriter(Path.of(folder, "record.txt"));
        log("trouble=" + TROUBLE);
    }

    static long nowMillis() {
        return (System.nanoTime() - START) / 1_000_000;
    }

    static synchronized void log(String line) {
        try {
            record.write(String.format(Locale.ROOT, "%7.3f %s%n", nowMillis() / 1000.0, line));
            record.flush();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    static void sleep(long millis) throws InterruptedException {
        if (millis > 0) {
            Thread.sleep(millis);
        }
    }

    /** The body of a case; returns whether the rule was broken. */
    interface Case {
        boolean run(Mesh mesh) throws Exception;
    }

    /** Runs a case on a fresh mesh, ends all processes, and exits with the status that the issue asks for. */
    static void main(String folder, Case body) {
        int status = CANNOT_RUN;
        try {
            openRecord(folder);
            Mesh mesh = new Mesh();
            Runtime.getRuntime().addShutdownHook(new Thread(mesh::killAll));
            thread(() -> endLate(mesh));
            status = run(mesh, body);
            mesh.killAll();
            mesh.deleteFiles(status == CANNOT_RUN);
        } catch (Throwable e) {
            System.err.println("the case could not run: " + e);
            status = status == BROKEN ? BROKEN : CANNOT_RUN;
        }
        System.out.println("exit status " + status + ", see record.txt");
        Runtime.getRuntime().halt(status);
    }

    private static int run(Mesh mesh, Case body) {
        try {
            boolean broken = body.run(mesh);
            log(broken ? "RESULT: the rule was broken" : "RESULT: the rule held");
            return broken ? BROKEN : HELD;
        } catch (Throwable e) {
            log("RESULT: the case could not run: " + e);
            for (StackTraceElement each : e.getStackTrace()) {
                log("    at " + each);
            }
            return CANNOT_RUN;
        }
    }

    /** No case takes longer than two minutes. */
    private static void endLate(Mesh mesh) {
        try {
            sleep(MAX_MILLIS);
        } catch (InterruptedException e) {
            return;
        }
        log("RESULT: the case could not run: it takes too long");
        mesh.killAll();
        Runtime.getRuntime().halt(CANNOT_RUN);
    }

    /** A request of a client: when it was sent, and whether it was served. */
    private record Sent(long at, boolean served) {}

    private static final Queue<Sent> SENT = new ConcurrentLinkedQueue<>();

    /** RECOVER as it is written, over all requests of all clients. */
    static boolean recoverBroken(Mesh mesh) {
        double before = served("before the closing fault", 0, mesh.closingAt);
        double after = served("more than recovery after the machines are back", mesh.backAt + RECOVERY_MILLIS,
                Long.MAX_VALUE);
        return before >= 0.25 && after < 0.25;
    }

    private static double served(String when, long from, long until) {
        long all = SENT.stream().filter(s -> s.at > from && s.at < until).count();
        long served = SENT.stream().filter(s -> s.at > from && s.at < until && s.served).count();
        log("of " + all + " requests sent " + when + " " + served + " were served");
        if (all < 20) {
            throw new IllegalStateException("too few requests");
        }
        return served / (double) all;
    }

    // ---- Processes

    /** The processes of a small deployment, each on a loopback address of its own. */
    static final class Mesh {
        final Path root = Path.of("").toAbsolutePath();
        final Path dir;
        final String net;
        final Map<String, Process> processes = new LinkedHashMap<>();
        private final Map<String, List<String>> commands = new LinkedHashMap<>();
        final List<Server> servers = new ArrayList<>();
        private long closingAt = Long.MAX_VALUE;
        private long backAt = Long.MAX_VALUE / 2;

        Mesh() throws IOException {
            dir = Files.createTempDirectory("review");
            net = freeNet();
            for (String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
                if (line.startsWith("run = \"")) {
                    String command = line.substring(7, line.lastIndexOf('"'));
                    commands.put(command.substring(command.lastIndexOf(' ') + 1), List.of(command.split(" ")));
                }
            }
            log("mesh net=" + net);
        }

        private static String freeNet() throws IOException {
            Random random = new Random();
            for (int i = 0; i < 50; i++) {
                String net = "127." + (20 + random.nextInt(200));
                try (ServerSocket a = new ServerSocket(7400, 1, InetAddress.getByName(net + ".1.1"));
                        ServerSocket b = new ServerSocket(7500, 1, InetAddress.getByName(net + ".2.1"))) {
                    return net;
                } catch (IOException e) {
                    // Taken: try another.
                }
            }
            throw new IOException("no free loopback net");
        }

        String controller(int i) {
            return net + ".1." + i;
        }

        String proxy(int i) {
            return net + ".2." + i;
        }

        private static String zone(int i) {
            return "zone-" + ((i - 1) % 3 + 1);
        }

        void writeSettings(String name, String ip, int zone, String more, String listen, boolean first)
                throws IOException {
            String text = "{\"localNode\": {\"nodeName\": \"" + name + "\", \"ipAddress\": \"" + ip + "\", \"zone\": \""
                    + zone(zone) + "\", \"region\": \"region-1\", \"initialStart\": " + first + ", " + more
                    + "\"limits\": {\"memoryMb\": 390, \"fileDescriptors\": 4100}},\n"
                    + "\"network\": {\"listenAddresses\": {" + listen + "\"controlPlane\": \"" + ip + ":7500\"},\n"
                    + "\"internalPortRange\": [7400, 7409], \"seedNodes\": [\"" + controller(1) + ":7500\", \""
                    + controller(2) + ":7500\", \"" + controller(3) + ":7500\"],\n"
                    + "\"zones\": {\"zone-1\": \"region-1\", \"zone-2\": \"region-1\", \"zone-3\": \"region-1\"}},\n"
                    + "\"platform\": {\"heartbeat\": \"1500ms\"},\n"
                    + "\"termTable\": {\"faultTolerance\": {\"machineFailures\": 1}, \"timingBounds\": {"
                    + "\"contact\": \"3000ms\", \"drain\": \"2500ms\", \"gracePeriod\": \"6s\","
                    + " \"configApply\": \"2500ms\", \"retryBudgetRatio\": 0.2, \"retryWindow\": \"10s\","
                    + " \"retrySlack\": 56, \"quotaWindow\": \"5s\", \"quotaOverrun\": 0.1, \"quotaSlack\": 20}}}\n";
            Files.writeString(dir.resolve(name + ".json"), text);
        }

        /** Starts three controllers for the first time, and proxies, each beside a server of the named service. */
        void start(String... services) throws IOException, InterruptedException {
            for (int i = 1; i <= 3; i++) {
                String disk = "\"dataDirectory\": \"" + dir.resolve("disk-" + i) + "\", ";
                writeSettings("controller-" + i, controller(i), i, disk, "", true);
                launch("controller-" + i, "controller");
            }
            for (int i = 1; i <= services.length; i++) {
                String app = "\"application\": \"" + proxy(i) + ":9000\", \"service\": \"" + services[i - 1] + "\", ";
                writeSettings("proxy-" + i, proxy(i), i, app,
                        "\"outbound\": \"" + proxy(i) + ":7502\", \"readiness\": \"" + proxy(i) + ":7501\", ", false);
                launch("proxy-" + i, "proxy");
            }
            for (int i = 1; i <= 3; i++) {
                for (int tries = 0; tries < 200 && !Files.exists(dir.resolve("disk-" + i + "/current")); tries++) {
                    sleep(50);
                }
                String disk = "\"dataDirectory\": \"" + dir.resolve("disk-" + i) + "\", ";
                writeSettings("controller-" + i, controller(i), i, disk, "", false);
            }
        }

        void launch(String name, String role) throws IOException {
            ProcessBuilder builder = new ProcessBuilder(commands.get(role));
            builder.directory(root.toFile());
            Map<String, String> env = builder.environment();
            env.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
            env.put("CYPRESSWEIR_NODE_FILE", dir.resolve(name + ".json").toString());
            builder.redirectErrorStream(true);
            builder.redirectOutput(
                    ProcessBuilder.Redirect.appendTo(dir.resolve(name + ".log").toFile()));
            builder.redirectInput(ProcessBuilder.Redirect.from(Path.of("/dev/null").toFile()));
            processes.put(name, builder.start());
            log("started " + name);
        }

        void signal(String name, String signal) throws IOException, InterruptedException {
            log("signal " + signal + " to " + name);
            new ProcessBuilder("sh", "-c", "kill -" + signal + " " + processes.get(name).pid()).start().waitFor();
        }

        /** A closing fault: a change is acknowledged, then one controller loses its disk and comes back after 1 s. */
        void closingFault(String change) throws IOException, InterruptedException {
            if (modify(change) != 200) {
                throw new IllegalStateException("the change before the closing fault was not acknowledged");
            }
            closingAt = nowMillis();
            signal("controller-1", "KILL");
            processes.get("controller-1").waitFor();
            deleteTree(dir.resolve("disk-1"));
            log("controller-1 has lost its disk");
            sleep(1_000);
            launch("controller-1", "controller");
            for (int tries = 0; tries < 100 && !isReady(controller(1)); tries++) {
                sleep(100);
            }
            backAt = nowMillis();
            log("controller-1 is back");
        }

        private static boolean isReady(String ip) {
            try {
                return Kit.call(ip, 7500, "GET", "/cypressweir/readiness", List.of(), new byte[0], 1_000).status == 200;
            } catch (IOException e) {
                return false;
            }
        }

        private static void deleteTree(Path tree) throws IOException {
            try (Stream<Path> files = Files.walk(tree)) {
                files.sorted((a, b) -> b.compareTo(a)).forEach(f -> f.toFile().delete());
            }
        }

        void killAll() {
            servers.forEach(Server::end);
            processes.values().forEach(Process::destroyForcibly);
            for (Process each : processes.values()) {
                try {
                    each.waitFor(5, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
        }

        void deleteFiles(boolean withLogs) throws IOException {
            if (withLogs) {
                try (Stream<Path> files = Files.list(dir)) {
                    for (Path log : files.filter(f -> f.toString().endsWith(".log")).sorted().toList()) {
                        Kit.log("---- " + log.getFileName());
                        for (String line : Files.readAllLines(log)) {
                            Kit.log(line);
                        }
                    }
                }
            }
            deleteTree(dir);
        }

        /** Writes the first lines of a process's log that contain a text to the record. */
        void logMatching(String name, String text, int most) throws IOException {
            List<String> found = Files.readAllLines(dir.resolve(name + ".log")).stream()
                    .filter(line -> line.contains(text))
                    .toList();
            Kit.log(name + " has logged " + text + " " + found.size() + " times");
            found.stream().limit(most).forEach(line -> Kit.log(name + " log: " + line));
        }

        /** A server of a service beside a proxy; it sends heartbeats until it ends. */
        Server server(int proxy, String service, String id, int slots, Handler handler) throws IOException {
            return server(proxy, service, id, "v1", slots, handler);
        }

        /** The same with a version of its software. */
        Server server(int proxy, String service, String id, String version, int slots, Handler handler)
                throws IOException {
            Server server = new Server(this, proxy, service, id, slots, handler);
            server.version = version;
            servers.add(server);
            return server.begin();
        }

        /** Sends a change until it has a clear answer; returns the status. */
        int modify(String change) throws InterruptedException {
            long until = nowMillis() + 30_000;
            for (int i = 0; nowMillis() < until; i++) {
                try {
                    Answer answer = Kit.call(controller(i % 3 + 1), 7500, "POST", "/cypressweir/config/modify",
                            List.of("Content-Type: application/json"), change.getBytes(StandardCharsets.UTF_8), 3_000);
                    if (answer.status < 500 && answer.status != 307) {
                        log("change answered " + answer.status + " " + answer.text() + ": " + change);
                        return answer.status;
                    }
                } catch (IOException e) {
                    // The next controller.
                }
                sleep(300);
            }
            throw new IllegalStateException("the change got no clear answer in 30 s");
        }

        String read() throws InterruptedException {
            for (int i = 0; i < 60; i++) {
                try {
                    Answer answer = Kit.call(controller(i % 3 + 1), 7500, "GET", "/cypressweir/config/read",
                            List.of(), new byte[0], 2_000);
                    if (answer.status == 200) {
                        return answer.text();
                    }
                } catch (IOException e) {
                    // The next controller.
                }
                sleep(300);
            }
            throw new IllegalStateException("the configuration can't be read");
        }

        void awaitReady(int... proxies) throws InterruptedException {
            for (int proxy : proxies) {
                for (int tries = 0;; tries++) {
                    try {
                        if (Kit.call(proxy(proxy), 7501, "GET", "/cypressweir/readiness", List.of(), new byte[0], 1_000)
                                        .status
                                == 200) {
                            break;
                        }
                    } catch (IOException e) {
                        // Not yet.
                    }
                    if (tries > 150) {
                        throw new IllegalStateException("proxy-" + proxy + " is not ready");
                    }
                    sleep(200);
                }
            }
            log("ready");
        }

        /** A client's request at a proxy. */
        Answer request(int proxy, String id, String host, String method, String path, int remainingMillis,
                List<String> headers, byte[] body, int timeoutMillis) throws IOException {
            List<String> all = new ArrayList<>(headers);
            all.add("Cypressweir-Attempt-Id: " + id);
            all.add("Cypressweir-Time-Remaining: " + remainingMillis);
            log(id + " sent to proxy-" + proxy);
            long at = nowMillis();
            boolean served = false;
            try {
                Answer answer = Kit.call(proxy(proxy), 7502, method, path, host, all, body, timeoutMillis);
                served = answer.status >= 200 && answer.status < 300;
                return answer;
            } finally {
                SENT.add(new Sent(at, served));
            }
        }
    }

    // ---- HTTP

    static final class Answer {
        int status;
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = new byte[0];

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    static Answer call(String ip, int port, String method, String path, List<String> headers, byte[] body,
            int timeoutMillis) throws IOException {
        return call(ip, port, method, path, ip, headers, body, timeoutMillis);
    }

    static Socket connect(String ip, int port, int timeoutMillis) throws IOException {
        Socket socket = new Socket();
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(timeoutMillis);
        socket.connect(new InetSocketAddress(ip, port), 1_000);
        return socket;
    }

    static byte[] head(String method, String path, String host, List<String> headers, int length) {
        StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\n");
        headers.forEach(h -> head.append(h).append("\r\n"));
        if (length > 0 || method.equals("POST")) {
            head.append("Content-Length: ").append(length).append("\r\n");
        }
        return head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
    }

    /** One request on a new connection. */
    static Answer call(String ip, int port, String method, String path, String host, List<String> headers, byte[] body,
            int timeoutMillis) throws IOException {
        try (Socket socket = connect(ip, port, timeoutMillis)) {
            socket.getOutputStream().write(head(method, path, host, headers, body.length));
            socket.getOutputStream().write(body);
            socket.getOutputStream().flush();
            return readAnswer(new BufferedInputStream(socket.getInputStream(), 65_536));
        }
    }

    static Answer readAnswer(InputStream in) throws IOException {
        Answer answer = new Answer();
        String first = readLine(in);
        answer.status = Integer.parseInt(first.split(" ")[1]);
        readHeaders(in, answer.headers);
        answer.body = readBody(in, answer.headers);
        return answer;
    }

    private static void readHeaders(InputStream in, Map<String, String> headers) throws IOException {
        for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
    }

    private static byte[] readBody(InputStream in, Map<String, String> headers) throws IOException {
        if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            while (true) {
                int size = Integer.parseInt(readLine(in).split(";")[0].trim(), 16);
                all.write(in.readNBytes(size));
                readLine(in);
                if (size == 0) {
                    return all.toByteArray();
                }
            }
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            throw new EOFException("body cut off");
        }
        return body;
    }

    static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                throw new EOFException("connection closed");
            }
            if (c != '\r') {
                line.append((char) c);
            }
        }
        return line.toString();
    }

    // ---- Application server

    static final class ServerRequest {
        String method;
        String path;
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = new byte[0];

        String id() {
            return headers.get("cypressweir-attempt-id");
        }
    }

    /** Runs a request that is for this server; returns the body of a 200, or null for the server's own 500. */
    interface Handler {
        byte[] run(ServerRequest request) throws Exception;
    }

    /** An application server as PROTOCOL.md describes it: heartbeats, 421 for another instance, the seal. */
    static final class Server {
        final Mesh mesh;
        final int proxy;
        final String service;
        final String id;
        final int slots;
        final Handler handler;
        final AtomicLong sequence = new AtomicLong();
        volatile String state = "in_service";
        volatile boolean beating = true;
        volatile boolean ended;
        volatile String version = "v1";
        /** Whether it resets new connections, as one whose queue is long. */
        volatile boolean resetsNew;
        private final ServerSocket socket;
        private final List<Socket> open = new ArrayList<>();

        Server(Mesh mesh, int proxy, String service, String id, int slots, Handler handler) throws IOException {
            this.mesh = mesh;
            this.proxy = proxy;
            this.service = service;
            this.id = id;
            this.slots = slots;
            this.handler = handler;
            socket = new ServerSocket();
            socket.setReuseAddress(true);
            socket.bind(new InetSocketAddress(mesh.proxy(proxy), 9000), 200);
        }

        /** Takes requests and sends heartbeats from now on. */
        Server begin() {
            thread(this::accept);
            thread(this::beat);
            return this;
        }

        private void accept() {
            while (!ended) {
                try {
                    Socket client = socket.accept();
                    if (resetsNew) {
                        client.setSoLinger(true, 0);
                        client.close();
                        continue;
                    }
                    client.setTcpNoDelay(true);
                    synchronized (open) {
                        open.add(client);
                    }
                    thread(() -> serve(client));
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void serve(Socket client) {
            try (client) {
                InputStream in = new BufferedInputStream(client.getInputStream(), 65_536);
                while (!ended) {
                    ServerRequest request = new ServerRequest();
                    String[] first = readLine(in).split(" ");
                    request.method = first[0];
                    request.path = first[1];
                    readHeaders(in, request.headers);
                    request.body = readBody(in, request.headers);
                    answer(client, request);
                }
            } catch (Exception e) {
                // The connection has ended.
            }
        }

        private void answer(Socket client, ServerRequest request) throws Exception {
            String target = request.headers.get("cypressweir-target-instance");
            int status = 200;
            byte[] body;
            String more = "";
            if (target != null && !target.equals(id)) {
                status = 421;
                body = "another server".getBytes(StandardCharsets.UTF_8);
                more = "Cypressweir-Not-Executed: 1\r\n";
                log("server " + id + " answers 421 to " + request.id() + " for " + target);
            } else {
                log(id + " runs " + request.id());
                body = handler.run(request);
                if (body == null) {
                    status = 500;
                    body = "failed".getBytes(StandardCharsets.UTF_8);
                }
                more = "Cypressweir-Server-Seal: " + id + "." + request.id() + "\r\n";
            }
            String head = "HTTP/1.1 " + status + " S\r\nCypressweir-Attempt-Id: " + request.id() + "\r\n" + more
                    + "Content-Length: " + body.length + "\r\n\r\n";
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            all.write(head.getBytes(StandardCharsets.ISO_8859_1));
            all.write(body);
            client.getOutputStream().write(all.toByteArray());
            client.getOutputStream().flush();
        }

        String beatBody(long callSequence, String operState) {
            return "{\"address\":\"" + mesh.proxy(proxy) + ":9000\",\"nodeInfo\":{\"service\":\"" + service
                    + "\",\"configVersion\":\"" + version + "\",\"zone\":\"" + Mesh.zone(proxy) + "\",\"capacitySlots\":" + slots
                    + "},\"operStatus\":{\"operState\":\"" + operState + "\",\"callSequence\":" + callSequence
                    + ",\"warmupLeft\":\"0ms\"}}";
        }

        /** One heartbeat; returns whether it was acknowledged within a second. */
        boolean sendBeat(long callSequence, String operState) {
            return post("/heartbeat", beatBody(callSequence, operState));
        }

        boolean deregister() {
            boolean ok = post("/deregister", "");
            log("server " + id + " deregister acknowledged=" + ok);
            return ok;
        }

        private boolean post(String call, String body) {
            try {
                return Kit.call(mesh.proxy(proxy), 7500, "POST", "/cypressweir/instances/" + id + call,
                                        List.of("Content-Type: application/json"),
                                        body.getBytes(StandardCharsets.UTF_8), 1_000)
                                .status
                        == 200;
            } catch (IOException e) {
                return false;
            }
        }

        private void beat() {
            try {
                while (!ended) {
                    if (beating) {
                        sendBeat(sequence.incrementAndGet(), state);
                    }
                    sleep(beating && sequence.get() < 20 ? 500 : 1_500);
                }
            } catch (InterruptedException e) {
                // The end.
            }
        }

        void end() {
            ended = true;
            try {
                socket.close();
                synchronized (open) {
                    for (Socket each : open) {
                        each.close();
                    }
                }
            } catch (IOException e) {
                // It is closed.
            }
        }
    }

    static Thread thread(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static void await(Thread thread, long millis) throws InterruptedException {
        thread.join(TimeUnit.MILLISECONDS.toMillis(millis));
    }
}
