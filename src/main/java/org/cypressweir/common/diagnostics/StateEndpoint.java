package org.cypressweir.common.diagnostics;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cypressweir.common.transport.ApiCall;
import org.cypressweir.common.transport.JsonCodec;
import org.cypressweir.dataplane.http.server.RequestHandler;
import org.cypressweir.dataplane.http.server.ServerRequest;
import org.cypressweir.dataplane.http.server.ServerResponse;

/**
 * Handles the two read-only diagnostic calls of the API, the state of the program and the traces of a request, and
 * passes all other calls to the next handler. Used on the event loop that serves the API.
 */
public final class StateEndpoint implements RequestHandler {

    /** The state of a program, built on each call. */
    public interface StateSource {
        /**
         * The state as an object that can be encoded as JSON.
         *
         * @param includeItems whether the items of the configuration are listed
         */
        Map<String, Object> state(boolean includeItems);

        /** The traces of the last requests with that id; empty in a program that serves no requests. */
        default List<Object> requestTraces(String id) {
            return List.of();
        }
    }

    private static final String INCLUDE_ITEMS_QUERY = "?items";
    private static final int STATUS_OK = 200;

    private final RequestHandler next;
    private final StateSource source;

    /** @param next handles all other calls */
    public StateEndpoint(RequestHandler next, StateSource source) {
        this.next = next;
        this.source = source;
    }

    @Override
    public void handle(ServerRequest request) {
        ApiCall call = ApiCall.of(request.path())
                .filter(known -> known.method().equals(request.method()))
                .orElse(null);
        if (call == ApiCall.STATE) {
            respond(request, source.state(includesItems(request)));
        } else if (call == ApiCall.REQUEST_TRACES) {
            respond(request, requestTraces(request));
        } else {
            next.handle(request);
        }
    }

    private static boolean includesItems(ServerRequest request) {
        return request.uri().startsWith(INCLUDE_ITEMS_QUERY, request.path().length());
    }

    private Map<String, Object> requestTraces(ServerRequest request) {
        String id = ApiCall.REQUEST_TRACES
                .pathParameter(request.path())
                .flatMap(StateEndpoint::urlDecoded)
                .orElse("");
        Map<String, Object> state = source.state(false);
        return JsonCodec.map(
                "kind", state.get("kind"), "name", state.get("name"), "requests", source.requestTraces(id));
    }

    private static void respond(ServerRequest request, Map<String, Object> body) {
        request.answer(ServerResponse.json(STATUS_OK, JsonCodec.bytes(body)));
    }

    /** The decoded id; empty where the encoding is invalid. Clients choose the ids, so any text is possible. */
    private static Optional<String> urlDecoded(String id) {
        try {
            return Optional.of(URLDecoder.decode(id, StandardCharsets.UTF_8));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }
}
