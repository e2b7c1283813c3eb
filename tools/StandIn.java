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

/**
 * A stand-in for an application server: java tools/StandIn.java ADDRESS PILOT ID SERVICE. It answers every
 * request on ADDRESS with its ID, prints a line for each, and beats to the pilot's controlPlane address PILOT
 * until it is ended.
 */
public final class StandIn {

    private static final int BEAT_MILLIS = 1_000;

    private StandIn() { }

    public static void main(String[] args) throws IOException {
        if (args.length != 4) {
            System.err.println("usage: java tools/StandIn.java ADDRESS PILOT ID SERVICE");
            System.exit(2);
        }
        int colon = args[0].lastIndexOf(':');
        HttpServer server = HttpServer.create(new InetSocketAddress(args[0].substring(0, colon),
                Integer.parseInt(args[0].substring(colon + 1))), 64);
        server.setExecutor(Executors.newFixedThreadPool(4));
        server.createContext("/", exchange -> {
            exchange.getRequestBody().readAllBytes();
            System.out.println("served " + exchange.getRequestMethod() + " " + exchange.getRequestURI());
            byte[] body = (args[2] + " has served " + exchange.getRequestMethod() + " "
                    + exchange.getRequestURI() + "\n").getBytes(StandardCharsets.UTF_8);
            // An answer repeats the id of its request, and a good one has a seal: else it may be another's.
            String id = exchange.getRequestHeaders().getFirst("Cypressweir-Attempt-Id");
            if (id != null) {
                exchange.getResponseHeaders().set("Cypressweir-Attempt-Id", id);
                exchange.getResponseHeaders().set("Cypressweir-Server-Seal", "stand-in-" + id);
            }
            exchange.sendResponseHeaders(200, body.length);
            exchange.getResponseBody().write(body);
            exchange.close();
        });
        server.start();
        HttpClient client = HttpClient.newHttpClient();
        long[] sequence = {0};
        Executors.newSingleThreadScheduledExecutor().scheduleAtFixedRate(() -> beat(client, args,
                ++sequence[0]), 0, BEAT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private static void beat(HttpClient client, String[] args, long sequence) {
        String beat = "{\"nodeInfo\": {\"service\": \"" + args[3] + "\", \"capacitySlots\": 4}, \"address\": \""
                + args[0] + "\", \"operStatus\": {\"callSequence\": " + sequence
                + ", \"operState\": \"running\"}}";
        try {
            client.send(HttpRequest.newBuilder(URI.create("http://" + args[1] + "/cypressweir/instances/"
                    + args[2] + "/heartbeat")).timeout(Duration.ofSeconds(2))
                    .POST(HttpRequest.BodyPublishers.ofString(beat)).build(),
                    HttpResponse.BodyHandlers.discarding());
        } catch (IOException e) {
            // The pilot is not there yet, or not any more: the next beat may reach it.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
