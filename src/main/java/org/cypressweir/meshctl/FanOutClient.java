package org.cypressweir.meshctl;

import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpTimeoutException;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.cypressweir.common.transport.JsonCodec;

/** Makes a call to all addresses at once; each has the same time to answer. */
final class FanOutClient {

    private final HttpClient client;
    private final Duration patience;

    FanOutClient(long patienceMillis) {
        patience = Duration.ofMillis(patienceMillis);
        client = HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .connectTimeout(patience)
                .build();
    }

    /** One answer for each address, in their order. */
    List<NodeResponse> ask(List<String> addresses, String path) {
        List<CompletableFuture<NodeResponse>> asked =
                addresses.stream().map(at -> ask(at, path)).toList();
        return asked.stream().map(CompletableFuture::join).toList();
    }

    private CompletableFuture<NodeResponse> ask(String at, String path) {
        URI uri = URI.create("http://" + at + path);
        HttpRequest request =
                HttpRequest.newBuilder(uri).timeout(patience).GET().build();
        return client.sendAsync(request, HttpResponse.BodyHandlers.ofByteArray())
                .orTimeout(patience.toMillis(), TimeUnit.MILLISECONDS)
                .thenApply(answer -> said(at, answer))
                .exceptionally(e -> new NodeResponse(at, "", null, why(e)));
    }

    private static NodeResponse said(String at, HttpResponse<byte[]> answer) {
        if (answer.statusCode() != 200) {
            return new NodeResponse(at, "", null, "answers " + answer.statusCode());
        }
        try {
            Map<String, Object> state = JsonCodec.read(answer.body(), 0, answer.body().length);
            return new NodeResponse(at, JsonCodec.text(state, "name"), state, null);
        } catch (IOException e) {
            return new NodeResponse(at, "", null, "answers what is no JSON");
        }
    }

    private String why(Throwable e) {
        Throwable cause = e instanceof CompletionException && e.getCause() != null ? e.getCause() : e;
        if (cause instanceof HttpTimeoutException || cause instanceof TimeoutException) {
            return "no answer in " + patience.toMillis() + " ms";
        }
        if (cause instanceof ConnectException) {
            return "nobody listens";
        }
        return "no answer: " + (cause.getMessage() == null ? cause.getClass().getSimpleName() : cause.getMessage());
    }
}
