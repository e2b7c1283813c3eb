package org.cypressweir.meshctl.command;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;

/** Sends a call to a controller, which may redirect it to another controller. Stateless. */
final class OperatorCall {

    private static final Duration TIMEOUT = Duration.ofSeconds(5);
    private static final int STATUS_OK = 200;

    private OperatorCall() {}

    /** A controller's response. */
    record Response(int status, String text) {
        boolean isOk() {
            return status == STATUS_OK;
        }
    }

    static Response post(String controller, String path, byte[] body) throws IOException, InterruptedException {
        return send(request(controller, path).POST(HttpRequest.BodyPublishers.ofByteArray(body)));
    }

    static Response get(String controller, String path) throws IOException, InterruptedException {
        return send(request(controller, path).GET());
    }

    private static HttpRequest.Builder request(String controller, String path) {
        return HttpRequest.newBuilder(URI.create("http://" + controller + path)).timeout(TIMEOUT);
    }

    private static Response send(HttpRequest.Builder request) throws IOException, InterruptedException {
        HttpClient client = HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .followRedirects(HttpClient.Redirect.NORMAL)
                .connectTimeout(TIMEOUT)
                .build();
        HttpResponse<byte[]> response = client.send(request.build(), HttpResponse.BodyHandlers.ofByteArray());
        return new Response(response.statusCode(), new String(response.body(), StandardCharsets.UTF_8).strip());
    }
}
