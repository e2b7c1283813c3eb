package org.cypressweir.common.diagnostics;

import io.vavr.control.Try;
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

/** Answers the calls that tell and change nothing, state and why, and hands all other calls on. */
public final class StateEndpoint implements RequestHandler {

    /** What a program tells of itself; built when it is asked for. */
    public interface Teller {
        Map<String, Object> state(boolean items);

        /** What is known of the last requests with that id; nothing where none come by. */
        default List<Object> why(String id) {
            return List.of();
        }
    }

    private static final String ITEMS = "?items";

    private final RequestHandler others;
    private final Teller teller;

    /** @param others who answers all else */
    public StateEndpoint(RequestHandler others, Teller teller) {
        this.others = others;
        this.teller = teller;
    }

    @Override
    public void handle(ServerRequest call) {
        ApiCall asked = ApiCall.of(call.path())
                .filter(one -> one.method().equals(call.method()))
                .orElse(null);
        if (asked == ApiCall.STATE) {
            boolean items = call.uri().startsWith(ITEMS, call.path().length());
            call.answer(ServerResponse.json(200, JsonCodec.bytes(teller.state(items))));
        } else if (asked == ApiCall.WHY) {
            why(call);
        } else {
            others.handle(call);
        }
    }

    private void why(ServerRequest call) {
        String id =
                ApiCall.WHY.name(call.path()).flatMap(StateEndpoint::decoded).orElse("");
        Map<String, Object> told = teller.state(false);
        call.answer(ServerResponse.json(
                200,
                JsonCodec.bytes(JsonCodec.map(
                        "kind", told.get("kind"), "name", told.get("name"), "requests", teller.why(id)))));
    }

    /** Ids are clients' own texts: in a path they are encoded. */
    private static Optional<String> decoded(String id) {
        return Try.of(() -> URLDecoder.decode(id, StandardCharsets.UTF_8)).toJavaOptional();
    }
}
