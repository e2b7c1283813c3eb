package org.cypressweir.meshctl.command;

import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpTimeoutException;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.cypressweir.meshctl.state.NodeStateDecoder;

/** Sends a GET request to many processes at once, with the same time-out for each. Thread-safe. */
final class FanOutClient {

    private static final int STATUS_OK = 200;

    private final HttpClient client;
    private final Duration timeout;

    FanOutClient(long timeoutMillis) {
        timeout = Duration.ofMillis(timeoutMillis);
        client = HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .connectTimeout(timeout)
                .build();
    }

    /** Returns one response for each address, in the same order. Blocks until all have responded or timed out. */
    List<NodeResponse> get(List<String> addresses, String path) {
        List<CompletableFuture<NodeResponse>> pending =
                addresses.stream().map(address -> get(address, path)).toList();
        return pending.stream().map(CompletableFuture::join).toList();
    }

    private CompletableFuture<NodeResponse> get(String address, String path) {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + address + path))
                .timeout(timeout)
                .GET()
                .build();
        return client.sendAsync(request, HttpResponse.BodyHandlers.ofByteArray())
                .orTimeout(timeout.toMillis(), TimeUnit.MILLISECONDS)
                .thenApply(response -> parse(address, response))
                .exceptionally(error -> NodeResponse.failure(address, "", describe(error)));
    }

    private static NodeResponse parse(String address, HttpResponse<byte[]> response) {
        if (response.statusCode() != STATUS_OK) {
            return NodeResponse.failure(address, "", "responded with status " + response.statusCode());
        }
        try {
            return NodeResponse.success(address, NodeStateDecoder.decode(response.body()));
        } catch (IOException e) {
            return NodeResponse.failure(address, "", "response is not JSON");
        }
    }

    private String describe(Throwable error) {
        Throwable cause = error instanceof CompletionException && error.getCause() != null ? error.getCause() : error;
        if (cause instanceof HttpTimeoutException || cause instanceof TimeoutException) {
            return "no response within " + timeout.toMillis() + " ms";
        }
        if (cause instanceof ConnectException) {
            return "cannot connect";
        }
        String message = cause.getMessage() == null ? cause.getClass().getSimpleName() : cause.getMessage();
        return "no response: " + message;
    }
}
