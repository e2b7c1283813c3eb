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
 * Answers the readiness call. A proxy becomes ready once its configuration is confirmed or the wait for a confirmation
 * has timed out; it stays ready until it shuts down, as long as any service has endpoints.
 *
 * <p>Not thread-safe: used on the event loop alone. Lives as long as the proxy.
 */
final class ReadinessEndpoint implements RequestHandler {

    /** Logs under the name of the process: operators find the process's own log lines by it. */
    private static final Logger LOG = Logger.getLogger(Proxy.class);
    /** How long a starting proxy waits for its configuration to be confirmed. */
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

    /** Whether the proxy has started: its configuration was confirmed, or the wait for that has timed out. */
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

    /** Makes the proxy report that it is not ready from now on. */
    void startShutdown() {
        isShuttingDown = true;
    }
}
