package org.cypressweir.dataplane.proxy;

import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.cypressweir.common.settings.NodeSettings;
import org.cypressweir.common.transport.ApiCall;
import org.cypressweir.common.transport.ErrorKind;
import org.cypressweir.dataplane.http.server.RequestHandler;
import org.cypressweir.dataplane.http.server.ServerRequest;
import org.cypressweir.dataplane.http.server.ServerResponse;
import org.jboss.logging.Logger;

/**
 * Answers the readiness call: a proxy is ready from its start with a configuration that is confirmed, or that nobody
 * has confirmed in time, while any service has endpoints, until it shuts down.
 *
 * <p>Not thread-safe: used on the event loop alone. Lives as long as the proxy.
 */
final class ReadinessEndpoint implements RequestHandler {

    /** The name is that of the process: operators find the process's own log lines by it. */
    private static final Logger LOG = Logger.getLogger(Proxy.class);
    /** How long a proxy that starts waits for its configuration to be confirmed. */
    private static final long DEFAULT_CONFIRMATION_TIMEOUT_MICROS = 3_000_000;

    private static final long NOT_READY_RETRY_AFTER_MICROS = 500_000;

    private final LongSupplier clock;
    private final Supplier<NodeSettings> settings;
    private final ReadinessGate gate;
    private final RoutingTableLoader routingTables;
    private final ServiceHandlers handlers;
    private boolean hasStarted;
    private boolean isShuttingDown;

    ReadinessEndpoint(
            LongSupplier clock,
            Supplier<NodeSettings> settings,
            ReadinessGate gate,
            RoutingTableLoader routingTables,
            ServiceHandlers handlers) {
        this.clock = clock;
        this.settings = settings;
        this.gate = gate;
        this.routingTables = routingTables;
        this.handlers = handlers;
    }

    @Override
    public void handle(ServerRequest call) {
        call.answer(response(call));
    }

    private ServerResponse response(ServerRequest call) {
        if (ApiCall.READINESS.pathParameter(call.uri()).isEmpty()) {
            return LocalResponses.of(ErrorKind.NO_CALL);
        }
        return isReady()
                ? ServerResponse.of(200)
                : LocalResponses.of(ErrorKind.NOT_READY, NOT_READY_RETRY_AFTER_MICROS);
    }

    private boolean isReady() {
        return !isShuttingDown && !routingTables.current().isEmpty() && checkStart() && handlers.hasEndpoints();
    }

    /** Whether the configuration is confirmed to be new enough to start with, or nobody has confirmed one. */
    boolean checkStart() {
        if (!hasStarted) {
            long timeout = settings.get().durationMicros("contact", DEFAULT_CONFIRMATION_TIMEOUT_MICROS);
            hasStarted =
                    gate.mayStart(clock.getAsLong(), routingTables.current().version(), timeout);
            if (hasStarted && !gate.isConfirmed()) {
                LOG.warn("Starting with an unconfirmed configuration: version="
                        + routingTables.current().version());
            }
        }
        return hasStarted;
    }

    /** From now on the proxy is not ready. */
    void startShutdown() {
        isShuttingDown = true;
    }
}
