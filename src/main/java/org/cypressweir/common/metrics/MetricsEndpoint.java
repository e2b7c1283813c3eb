package org.cypressweir.common.metrics;

import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.cypressweir.dataplane.http.server.HttpListener;
import org.cypressweir.dataplane.http.server.RequestHandler;
import org.cypressweir.dataplane.http.server.RequestLimits;
import org.cypressweir.dataplane.http.server.ServerRequest;
import org.cypressweir.dataplane.http.server.ServerResponse;
import org.jboss.logging.Logger;

/**
 * Serves a program's metrics at {@code /metrics} on a port of its own, where the system property
 * {@value #PORT_PROPERTY} names one. The page is built on the event loop for each request.
 */
public final class MetricsEndpoint implements RequestHandler {

    /** The system property with the port; without it no metrics are served. */
    public static final String PORT_PROPERTY = "cypressweir.metricsPort";

    static final String PATH = "/metrics";

    private static final Logger LOG = Logger.getLogger(MetricsEndpoint.class);
    private static final RequestLimits LIMITS = new RequestLimits(8_192, 0, 5_000, 15_000);
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int METHOD_NOT_ALLOWED = 405;

    private final Consumer<MetricsPage> source;

    /** @param source adds all metrics to a page; called on the event loop */
    MetricsEndpoint(Consumer<MetricsPage> source) {
        this.source = source;
    }

    /** Starts listening if a port is set. If it can't be bound, that is logged and the program runs without metrics. */
    public static void open(EventLoopGroup group, String ip, LongSupplier clockMicros, Consumer<MetricsPage> source) {
        Integer port = Integer.getInteger(PORT_PROPERTY);
        if (port == null) {
            return;
        }
        try {
            InetSocketAddress address = new InetSocketAddress(ip, port);
            HttpListener.open(group, address, () -> LIMITS, clockMicros, new MetricsEndpoint(source));
        } catch (IOException | IllegalArgumentException e) {
            LOG.warn("metrics are not served reason=\"" + e.getMessage() + "\"");
        }
    }

    @Override
    public void handle(ServerRequest request) {
        request.answer(response(request));
    }

    private ServerResponse response(ServerRequest request) {
        if (!request.path().equals(PATH)) {
            return ServerResponse.text(NOT_FOUND, "metrics are at " + PATH);
        }
        if (!request.method().equals("GET")) {
            return ServerResponse.text(METHOD_NOT_ALLOWED, "metrics are read with GET")
                    .withHeader("Allow", "GET");
        }
        MetricsPage page = new MetricsPage();
        source.accept(page);
        return new ServerResponse(OK, List.of(Map.entry("Content-Type", MetricsPage.CONTENT_TYPE)), page.toText());
    }
}
