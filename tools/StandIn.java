import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A stand-in for an application server: java tools/StandIn.java ADDRESS PROXY ID SERVICE. It responds to every
 * request on ADDRESS with its ID, prints a line for each, and sends heartbeats to the proxy's controlPlane address
 * PROXY until it is stopped.
 */
public final class StandIn {

    private static final int HEARTBEAT_INTERVAL_MILLIS = 1_000;
    private static final Duration HEARTBEAT_TIMEOUT = Duration.ofSeconds(2);
    private static final int BACKLOG = 64;
    private static final int THREADS = 4;

    private StandIn() { }

    public static void main(String[] args) throws IOException {
        if (args.length != 4) {
            System.err.println("usage: java tools/StandIn.java ADDRESS PROXY ID SERVICE");
            System.exit(2);
        }
        String address = args[0];
        String proxy = args[1];
        String id = args[2];
        String service = args[3];
        serve(address, id);
        HttpClient client = HttpClient.newHttpClient();
        AtomicLong sequence = new AtomicLong();
        Executors.newSingleThreadScheduledExecutor().scheduleAtFixedRate(
                () -> sendHeartbeat(client, address, proxy, id, service, sequence.incrementAndGet()),
                0, HEARTBEAT_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    private static void serve(String address, String id) throws IOException {
        int colon = address.lastIndexOf(':');
        String host = address.substring(0, colon);
        int port = Integer.parseInt(address.substring(colon + 1));
        HttpServer server = HttpServer.create(new InetSocketAddress(host, port), BACKLOG);
        server.setExecutor(Executors.newFixedThreadPool(THREADS));
        server.createContext("/", exchange -> respond(exchange, id));
        server.start();
    }

    private static void respond(HttpExchange exchange, String id) throws IOException {
        exchange.getRequestBody().readAllBytes();
        String request = exchange.getRequestMethod() + " " + exchange.getRequestURI();
        System.out.println("served " + request);
        byte[] body = (id + " has served " + request + "\n").getBytes(StandardCharsets.UTF_8);
        // A response repeats the id of its request and has a seal header, which proves that this server made it:
        // proxies reject any other.
        String attemptId = exchange.getRequestHeaders().getFirst("Cypressweir-Attempt-Id");
        if (attemptId != null) {
            exchange.getResponseHeaders().set("Cypressweir-Attempt-Id", attemptId);
            exchange.getResponseHeaders().set("Cypressweir-Server-Seal", "stand-in-" + attemptId);
        }
        exchange.sendResponseHeaders(200, body.length);
        exchange.getResponseBody().write(body);
        exchange.close();
    }

    private static void sendHeartbeat(HttpClient client, String address, String proxy, String id, String service,
            long sequence) {
        String heartbeat = "{\"nodeInfo\": {\"service\": \"" + service + "\", \"capacitySlots\": 4}, \"address\": \""
                + address + "\", \"operStatus\": {\"callSequence\": " + sequence
                + ", \"operState\": \"running\"}}";
        URI uri = URI.create("http://" + proxy + "/cypressweir/instances/" + id + "/heartbeat");
        try {
            client.send(HttpRequest.newBuilder(uri)
                    .timeout(HEARTBEAT_TIMEOUT)
                    .POST(HttpRequest.BodyPublishers.ofString(heartbeat))
                    .build(), HttpResponse.BodyHandlers.discarding());
        } catch (IOException e) {
            // The proxy is not running: the next heartbeat may reach it.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
