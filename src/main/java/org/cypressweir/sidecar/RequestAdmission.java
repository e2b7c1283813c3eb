package org.cypressweir.sidecar;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import org.cypressweir.loadbalancing.LoadBalancer.RequestClass;
import org.cypressweir.sidecar.admin.SidecarLifecycle;
import org.cypressweir.sidecar.plugin.RequestView;
import org.cypressweir.sidecar.websocket.Handshake;

/**
 * Admits client requests: each is checked, shown to the plug-ins if there are any, routed, and handed to the cluster of
 * its route.
 *
 * <p>Confined to the event loop. Created before the layout, which needs the listener whose requests come here; {@link
 * #setLayout} completes the construction before the first request can arrive.
 */
final class RequestAdmission implements ClientListener.Service {

    private static final String RETRY_AFTER_SECONDS = "1";
    private static final int MICROS_PER_MILLI = 1_000;

    private final SidecarClock clock;
    private final AtomicReference<SidecarConfiguration> configuration;
    private final SidecarLifecycle lifecycle;
    private final InFlightRequests inFlight;
    private final RequestReader reader;
    private final Consumer<String> log;
    private final Map<ClientRequest.Client, FullHttpRequest> awaitingPlugins = new HashMap<>();
    private Layout layout;

    RequestAdmission(
            SidecarClock clock,
            AtomicReference<SidecarConfiguration> configuration,
            SidecarLifecycle lifecycle,
            InFlightRequests inFlight,
            RequestReader reader,
            Consumer<String> log) {
        this.clock = clock;
        this.configuration = configuration;
        this.lifecycle = lifecycle;
        this.inFlight = inFlight;
        this.reader = reader;
        this.log = log;
    }

    void setLayout(Layout layout) {
        this.layout = layout;
    }

    @Override
    public void clientCount(int count) {
        lifecycle.handle(count == 0 ? SidecarLifecycle.Event.EMPTY : SidecarLifecycle.Event.CLIENT);
    }

    @Override
    public boolean allowsUpgrades() {
        return layout.supportsUpgrades();
    }

    @Override
    public boolean ready() {
        return lifecycle.acceptsClients() && layout.ready();
    }

    @Override
    public void take(FullHttpRequest http, ClientRequest.Client client) throws RequestReader.BadRequest {
        RequestReader.check(http);
        PluginChain plugins = layout.plugins();
        if (plugins == null) {
            admit(clock.micros(), http, client, layout.route(http));
            return;
        }
        if (layout.supportsUpgrades() && Handshake.isUpgradeRequest(http.headers())) {
            // If the upgrade is agreed, the bytes after the request are not HTTP.
            client.expectUpgrade();
        }
        long receivedMicros = clock.micros();
        RequestView view = layout.view(http);
        awaitingPlugins.put(client, http.retain());
        plugins.evaluate(view, result -> resume(receivedMicros, plugins, result, http, client));
    }

    /** Resumes a request after the plug-ins have answered; its time-out runs from its receipt, not from now. */
    private void resume(
            long receivedMicros,
            PluginChain plugins,
            PluginChain.Result result,
            FullHttpRequest http,
            ClientRequest.Client client) {
        if (!awaitingPlugins.remove(client, http)) {
            // The client has disconnected; its request was released then.
            return;
        }
        try {
            if (result.refusal() != null) {
                reject(result, client);
                return;
            }
            setHeaders(result, http);
            admit(receivedMicros, http, client, withRequestedClass(plugins, result, layout.route(http)));
        } catch (RequestReader.BadRequest e) {
            client.reject(e);
        } finally {
            http.release();
        }
    }

    private void reject(PluginChain.Result result, ClientRequest.Client client) {
        SidecarConfiguration current = configuration.get();
        long retryAfterMicros = current.settings().limits().retryAdvice()
                ? Math.min(
                        result.retryAfterMillis() * MICROS_PER_MILLI,
                        current.settings().limits().maxRetryAdviceMicros())
                : 0;
        client.respond(
                HttpResponseStatus.SERVICE_UNAVAILABLE, RetryAfter.headers(retryAfterMicros), Unpooled.EMPTY_BUFFER);
    }

    /** An empty value removes a header. */
    private static void setHeaders(PluginChain.Result result, FullHttpRequest http) {
        result.headers().forEach((name, value) -> {
            http.headers().remove(name);
            if (!value.isEmpty()) {
                http.headers().set(name, value);
            }
        });
    }

    /** A stricter class is always allowed, a less strict one only where the grant names this pair of classes. */
    private RouteDecision withRequestedClass(PluginChain plugins, PluginChain.Result result, RouteDecision route) {
        if (result.requestClass() == null) {
            return route;
        }
        List<RequestClass> classes = configuration.get().settings().classes();
        RequestClass routed = classes.get(route.requestClass());
        int requested = IntStream.range(0, classes.size())
                .filter(i -> classes.get(i).name().equals(result.requestClass()))
                .findFirst()
                .orElse(-1);
        if (requested < 0) {
            log.accept(
                    "plug-in " + result.classFrom() + " names class " + result.requestClass() + ", which was dropped");
            return route;
        }
        boolean isWeaker =
                classes.get(requested).effect().ordinal() < routed.effect().ordinal();
        String pair = routed.name() + ">" + result.requestClass();
        if (isWeaker && !plugins.plan(result.classFrom()).grant().weaken().contains(pair)) {
            log.accept("plug-in " + result.classFrom() + " may not make class " + routed.name() + " "
                    + result.requestClass() + ": it is less strict");
            return route;
        }
        return route.ofClass(requested);
    }

    private void admit(long receivedMicros, FullHttpRequest http, ClientRequest.Client client, RouteDecision route)
            throws RequestReader.BadRequest {
        if (route.upgrade() != null && !lifecycle.acceptsClients()) {
            client.respond(
                    HttpResponseStatus.SERVICE_UNAVAILABLE,
                    new DefaultHttpHeaders().set(HttpHeaderNames.RETRY_AFTER, RETRY_AFTER_SECONDS),
                    Unpooled.EMPTY_BUFFER);
            return;
        }
        ClientRequest request = reader.read(receivedMicros, http, route, client);
        if (request.upgrade == null && !client.hasNoEarlyBytes()) {
            request.body.release();
            throw new RequestReader.BadRequest("more than one request");
        }
        if (!inFlight.add(request)) {
            request.body.release();
            throw new RequestReader.BadRequest("this " + Headers.REQUEST_ID + " is in hand");
        }
        if (request.upgrade != null) {
            client.expectUpgrade();
            request.upgrade.accepted(request);
        }
        request.cluster.accept(request);
    }

    @Override
    public void clientLeft(ClientRequest.Client client) {
        FullHttpRequest pending = awaitingPlugins.remove(client);
        if (pending != null) {
            pending.release();
            return;
        }
        ClientRequest request = inFlight.of(client);
        if (request != null) {
            request.cluster.clientDisconnected(request);
        }
    }
}
