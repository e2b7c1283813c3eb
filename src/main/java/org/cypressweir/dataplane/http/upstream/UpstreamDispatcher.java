package org.cypressweir.dataplane.http.upstream;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.cypressweir.dataplane.http.upstream.RequestScheduler.Completion;

/**
 * The {@link RequestDispatcher} for the application server beside this process, over TCP. All calls are to be made
 * on its event loop, and all outcomes are reported on it, some of them from inside the call.
 *
 * <p>Without an instance, see {@link #setInstance}, it rejects all requests; after {@link #drain} it rejects new
 * ones and lets running ones finish; {@link #close} ends all of them at once.
 */
public final class UpstreamDispatcher implements RequestDispatcher {
    private static final RequestOutcome.NotRun GONE = new RequestOutcome.NotRun(RejectionReason.GONE, 0);
    private static final RequestOutcome.NotRun CANCELLED = new RequestOutcome.NotRun(RejectionReason.CANCELLED, 0);
    private static final RequestOutcome.NotRun REFUSED = new RequestOutcome.NotRun(RejectionReason.REFUSED, 0);
    // Other proxies and request traces receive these reasons: their texts are fixed.
    private static final RequestOutcome.MayHaveRun CANCELLED_IN_FLIGHT = new RequestOutcome.MayHaveRun("cancelled");
    private static final RequestOutcome.MayHaveRun CLOSED_IN_FLIGHT = new RequestOutcome.MayHaveRun("closed");

    private final EventLoop loop;
    private final Consumer<String> log;
    private final UpstreamConnectionManager connectionManager;
    private final RequestScheduler<InFlightRequest> scheduler;
    private final UpstreamConnections connections;
    private InstanceIncarnation instance;
    private boolean draining;

    /**
     * @param clockMicros the clock of all times, in microseconds
     * @param log receives lines for the operators' log
     */
    public UpstreamDispatcher(
            EventLoop loop,
            InetSocketAddress application,
            LongSupplier clockMicros,
            UpstreamOptions options,
            Consumer<String> log) {
        this.loop = loop;
        this.log = log;
        connectionManager = new UpstreamConnectionManager(loop, application, clockMicros, options, log);
        scheduler = connectionManager.scheduler;
        connections = connectionManager.connections;
    }

    /** Sets the instance that has the address now, null for none. */
    public void setInstance(InstanceIncarnation next) {
        checkEventLoop();
        boolean newInstance =
                instance == null || next == null || !next.instanceId().equals(instance.instanceId());
        instance = next;
        scheduler.instanceChanged(
                next == null ? 0 : Math.max(1, next.concurrency()),
                next == null ? Long.MIN_VALUE : next.warmUpEndsAtMicros(),
                newInstance);
        if (newInstance) {
            connectionManager.onNewInstance();
            rejectUnsent(false);
        }
        connectionManager.scheduleDispatch();
    }

    /** Sets the total number of connections that the server accepts. */
    public void maxConnections(int max) {
        checkEventLoop();
        connections.maxConnections(max);
        connectionManager.scheduleDispatch();
    }

    @Override
    public RequestHandle submit(UpstreamRequest request, Consumer<RequestOutcome> onOutcome) {
        checkEventLoop();
        InFlightRequest inFlight = new InFlightRequest(request, onOutcome);
        String invalidPart = RequestEncoder.invalidPart(request);
        if (invalidPart != null) {
            log.accept("Request cannot be encoded: request=" + request.id() + " invalid=\"" + invalidPart + "\"");
            connectionManager.complete(inFlight, REFUSED);
        } else if (draining || !isForInstance(inFlight)) {
            connectionManager.complete(inFlight, GONE);
        } else {
            connectionManager.enqueue(inFlight);
        }
        return inFlight;
    }

    @Override
    public void cancel(RequestHandle handle) {
        checkEventLoop();
        InFlightRequest request = (InFlightRequest) handle;
        if (request.isCompleted()) {
            return;
        }
        if (scheduler.cancel(request)) {
            connectionManager.complete(request, CANCELLED);
            return;
        }
        for (UpstreamConnection connection : connections.busy()) {
            if (connection.request() == request
                    && !connectionManager.tryUnsend(connection, CANCELLED)
                    && request.idempotent) {
                connectionManager.abandon(connection, Completion.OTHER, CANCELLED_IN_FLIGHT);
            }
        }
    }

    @Override
    public UpstreamLoad load() {
        return new UpstreamLoad(scheduler.running(), scheduler.queue().size(), scheduler.concurrency());
    }

    /** Begins the graceful shutdown: unsent and new requests are rejected, running ones continue. */
    public void drain() {
        checkEventLoop();
        draining = true;
        rejectUnsent(true);
    }

    /** Whether no request is running. */
    public boolean isIdle() {
        return scheduler.running() == 0;
    }

    /** Ends all requests and connections at once. */
    public void close() {
        drain();
        connections.retireAll();
        for (UpstreamConnection connection : connections.busy()) {
            if (connection.request() != null && !connectionManager.tryUnsend(connection, GONE)) {
                connectionManager.abandon(connection, Completion.OTHER, CLOSED_IN_FLIGHT);
            }
        }
        connectionManager.close();
    }

    /** The number of open connections, for tests. */
    int connectionCount() {
        return connections.openCount();
    }

    /** Handles what is due at the current time, for tests. */
    void tick() {
        connectionManager.tick();
    }

    private boolean isForInstance(InFlightRequest request) {
        String wanted = request.request().instanceId();
        return instance != null && (wanted == null || wanted.equals(instance.instanceId()));
    }

    /** Rejects requests that are not sent: all of them, or those for another instance. */
    private void rejectUnsent(boolean all) {
        for (InFlightRequest request : List.copyOf(scheduler.queue())) {
            if ((all || !isForInstance(request)) && scheduler.cancel(request)) {
                connectionManager.complete(request, GONE);
            }
        }
        for (UpstreamConnection connection : connections.busy()) {
            // It is unknown which instance the connection will reach once it is established.
            if (connection.isConnecting()) {
                connectionManager.tryUnsend(connection, GONE);
            }
        }
    }

    private void checkEventLoop() {
        if (!loop.inEventLoop()) {
            throw new IllegalStateException("not on the event loop");
        }
    }
}
