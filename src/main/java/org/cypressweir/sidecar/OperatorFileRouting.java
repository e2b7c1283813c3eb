package org.cypressweir.sidecar;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.cypressweir.loadbalancing.LoadBalancer.RequestClass;
import org.cypressweir.sidecar.plugin.RequestView;
import org.cypressweir.sidecar.route.HostName;
import org.cypressweir.sidecar.route.InvalidTargetException;
import org.cypressweir.sidecar.route.RequestTarget;
import org.cypressweir.sidecar.route.Routable;
import org.cypressweir.sidecar.route.Route;
import org.cypressweir.sidecar.route.Router;
import org.cypressweir.sidecar.route.Target;
import org.cypressweir.sidecar.websocket.Handshake;

/** Routes requests by the routes of an operators' file. What is forwarded is the normalized target that was matched. */
final class OperatorFileRouting {

    private final Router<Target> router;
    private final Map<String, Cluster> pools;
    /** Null where no route has WebSockets. */
    private final WebSocketUpgrades upgrades;

    OperatorFileRouting(Router<Target> router, Map<String, Cluster> pools, WebSocketUpgrades upgrades) {
        this.upgrades = upgrades;
        this.router = router;
        this.pools = pools;
    }

    RouteDecision route(FullHttpRequest http) throws RequestReader.BadRequest {
        try {
            RequestTarget target = RequestTarget.parse(http.uri());
            Route<Target> route = router.find(
                    new MatchedRequest(http.method().name(), host(http, target), target.path(), http.headers()));
            if (route == null) {
                throw new RequestReader.BadRequest(HttpResponseStatus.NOT_FOUND, "no route");
            }
            Target to = route.target();
            boolean isUpgrade =
                    upgrades != null && to.webSocket() != null && Handshake.isUpgradeRequest(http.headers());
            return new RouteDecision(
                    pools.get(to.pool()),
                    to.requestClass(),
                    target.text(),
                    target.host(),
                    to.timeoutMicros(),
                    isUpgrade ? to.terms().forLongLived() : to.terms(),
                    isUpgrade ? upgrades.readUpgrade(http, to.webSocket()) : null);
        } catch (InvalidTargetException e) {
            throw new RequestReader.BadRequest(e.getMessage());
        }
    }

    /** The part of a request that plug-ins see, with the class of the route that the unchanged request would take. */
    RequestView view(FullHttpRequest http, List<RequestClass> classes) throws RequestReader.BadRequest {
        try {
            RequestTarget target = RequestTarget.parse(http.uri());
            MatchedRequest asked =
                    new MatchedRequest(http.method().name(), host(http, target), target.path(), http.headers());
            Route<Target> route = router.find(asked);
            Map<String, String> headers = new HashMap<>();
            for (String name : http.headers().names()) {
                headers.put(name.toLowerCase(Locale.ROOT), asked.header(name));
            }
            return new RequestView(
                    asked.method(),
                    asked.path(),
                    headers,
                    route == null
                            ? ""
                            : classes.get(route.target().requestClass()).name());
        } catch (InvalidTargetException e) {
            throw new RequestReader.BadRequest(e.getMessage());
        }
    }

    private static String host(FullHttpRequest http, RequestTarget target) throws InvalidTargetException {
        String host = HostName.of(
                http.headers().getAll(HttpHeaderNames.HOST),
                http.protocolVersion().equals(HttpVersion.HTTP_1_1));
        return target.host() == null ? host : target.host();
    }

    private record MatchedRequest(String method, String host, String path, HttpHeaders headers) implements Routable {
        @Override
        public String header(String name) {
            List<String> values = headers.getAll(name);
            return values.isEmpty() ? null : values.size() == 1 ? values.get(0) : String.join(", ", values);
        }
    }
}
