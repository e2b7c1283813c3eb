package org.cypressweir.sidecar;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cypressweir.common.util.Ids;
import org.cypressweir.loadbalancing.LoadBalancer.Effect;
import org.cypressweir.loadbalancing.LoadBalancer.Request;
import org.cypressweir.loadbalancing.LoadBalancer.RequestClass;
import org.cypressweir.loadbalancing.LoadBalancer.RequestPolicy;
import org.cypressweir.loadbalancing.LoadBalancer.Settings;

/** Converts a client's HTTP message to a request, or rejects it with the reason. */
final class RequestReader {

    /** A message that violates the protocol; the exception's text is the body of the 4xx response. */
    static final class BadRequest extends Exception {
        private static final long serialVersionUID = 1L;

        private final transient HttpResponseStatus status;
        private final transient HttpHeaders headers;

        BadRequest(String message) {
            this(HttpResponseStatus.BAD_REQUEST, message);
        }

        BadRequest(HttpResponseStatus status, String message) {
            this(status, message, new DefaultHttpHeaders());
        }

        BadRequest(HttpResponseStatus status, String message, HttpHeaders headers) {
            super(message);
            this.status = status;
            this.headers = headers;
        }

        HttpHeaders headers() {
            return headers;
        }

        HttpResponseStatus status() {
            return status;
        }
    }

    /**
     * The client's time-out runs from when it sent the request; at most this much is reserved for the network in both
     * directions.
     */
    private static final long MAX_MARGIN_MICROS = 20_000;

    private static final int MARGIN_DIVISOR = 10;
    private static final int MAX_ID_LENGTH = 128;
    private static final long MAX_NUMBER = 1_000_000_000;

    private Settings settings;
    private final Map<String, Integer> classes = new HashMap<>();
    private final Map<String, Integer> tenants = new HashMap<>();

    RequestReader(Settings settings) {
        reconfigure(settings);
        for (int i = 0; i < settings.tenants().size(); i++) {
            tenants.put(settings.tenants().get(i).name(), i);
        }
    }

    /** Applies new request classes. */
    void reconfigure(Settings next) {
        settings = next;
        classes.clear();
        for (int i = 0; i < next.classes().size(); i++) {
            if (next.classes().get(i) != RequestClass.REMOVED) {
                classes.put(next.classes().get(i).name(), i);
            }
        }
    }

    /** The route of a request to the only pool; the first segment of its path names its class. */
    RouteDecision route(FullHttpRequest http, Pool pool) throws BadRequest {
        String path = path(http.uri());
        int slash = path.indexOf('/');
        Integer requestClass = classes.get(slash < 0 ? path : path.substring(0, slash));
        if (requestClass == null) {
            throw new BadRequest("no such class");
        }
        return new RouteDecision(pool, requestClass, http.uri(), null, Long.MAX_VALUE, RequestPolicy.NONE, null);
    }

    /** Rejects messages that are not HTTP or whose framing is ambiguous. */
    static void check(FullHttpRequest http) throws BadRequest {
        if (http.decoderResult().isFailure()) {
            throw new BadRequest("not HTTP");
        }
        checkFraming(http);
    }

    /** Reads a request whose route is known; the request retains the body. */
    ClientRequest read(long now, FullHttpRequest http, RouteDecision route, ClientRequest.Client client)
            throws BadRequest {
        HttpHeaders headers = http.headers();
        String path = path(route.uri());
        int slash = path.indexOf('/');
        int requestClass = route.requestClass();
        boolean write = settings.classes().get(requestClass).effect() != Effect.SAFE;
        checkMethod(http, settings.classes().get(requestClass).effect(), route.upgrade() != null);
        String id = Headers.single(headers, Headers.REQUEST_ID);
        if (id == null || id.isEmpty() || id.length() > MAX_ID_LENGTH) {
            throw new BadRequest("no " + Headers.REQUEST_ID);
        }
        long timeout = number(headers, Headers.TIMEOUT, 1) * 1000;
        long deadline =
                now + Math.min(route.timeoutMicros(), timeout - Math.min(MAX_MARGIN_MICROS, timeout / MARGIN_DIVISOR));
        long hint = headers.contains(Headers.HINT) ? number(headers, Headers.HINT, 0) : 0;
        long key = slash < 0 || slash == path.length() - 1 ? -1 : Ids.of(path.substring(path.lastIndexOf('/') + 1));
        boolean repeat = headers.contains(Headers.RETRY, "1", false);
        Request request =
                new Request(id, requestClass, tenant(headers), repeat, key, deadline, hint, write, route.terms());
        if (route.host() != null) {
            headers.set(HttpHeaderNames.HOST, route.host());
        }
        return new ClientRequest(
                request,
                route,
                settings.classes().get(requestClass).name(),
                http.method(),
                headers,
                http.content().retain(),
                client);
    }

    /**
     * The decoder rejects lengths that are malformed, repeated or combined with a transfer coding; it accepts other
     * transfer codings, which are rejected here.
     */
    private static void checkFraming(FullHttpRequest http) throws BadRequest {
        List<String> codings = http.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        boolean chunked = codings.size() == 1 && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.get(0));
        if (!codings.isEmpty() && !chunked) {
            throw new BadRequest("unknown " + HttpHeaderNames.TRANSFER_ENCODING);
        }
        if (!http.protocolVersion().equals(HttpVersion.HTTP_1_1)
                && !http.protocolVersion().equals(HttpVersion.HTTP_1_0)) {
            throw new BadRequest("unknown version");
        }
    }

    private static String path(String uri) {
        int query = uri.indexOf('?');
        String path = query < 0 ? uri : uri.substring(0, query);
        return path.startsWith("/") ? path.substring(1) : "";
    }

    /**
     * The method and the idempotency key state which effect the client expects of the class; they must match the
     * settings.
     */
    private static void checkMethod(FullHttpRequest http, Effect effect, boolean upgrade) throws BadRequest {
        List<String> keys = http.headers().getAll(Headers.IDEMPOTENCY_KEY);
        HttpMethod wanted = effect == Effect.SAFE || upgrade ? HttpMethod.GET : HttpMethod.POST;
        if (!http.method().equals(wanted)) {
            throw new BadRequest("this class wants " + wanted);
        }
        if (effect == Effect.SAFE && http.content().isReadable()) {
            throw new BadRequest("this class has no body");
        }
        if (keys.size() != (effect == Effect.KEYED ? 1 : 0)) {
            throw new BadRequest(Headers.IDEMPOTENCY_KEY + " goes with keyed classes");
        }
    }

    private int tenant(HttpHeaders headers) throws BadRequest {
        if (tenants.isEmpty()) {
            return 0;
        }
        Integer tenant = tenants.get(Headers.single(headers, Headers.TENANT));
        if (tenant == null) {
            throw new BadRequest("no such tenant");
        }
        return tenant;
    }

    private static long number(HttpHeaders headers, String name, long min) throws BadRequest {
        String text = Headers.single(headers, name);
        long value = -1;
        try {
            value = text == null ? -1 : Long.parseLong(text);
        } catch (NumberFormatException e) {
            value = -1;
        }
        if (value < min || value > MAX_NUMBER) {
            throw new BadRequest("bad " + name);
        }
        return value;
    }
}
