package org.cypressweir.dataplane.http.upstream;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.cypressweir.dataplane.http.upstream.RequestScheduler.Completion;

/**
 * Assigns the requests that the scheduler dispatches to connections, enforces their deadlines, and derives the outcome
 * of each from what happens on its connection. No request is sent on a connection before the socket read that contained
 * the previous response is finished. For the event loop only.
 */
final class UpstreamConnectionManager implements UpstreamConnection.Listener {
    /** The idle time-out that is assumed for a server that does not announce one. */
    private static final long DEFAULT_IDLE_TIMEOUT_SECONDS = 8;
    /** The part of the server's idle time-out for which a connection is reused. */
    private static final double IDLE_TIMEOUT_SHARE = 0.6;

    private static final long MICROS_PER_SECOND = 1_000_000;
    // Other proxies and request traces receive these reasons: their texts are fixed.
    private static final RequestOutcome.MayHaveRun DEADLINE_EXCEEDED = new RequestOutcome.MayHaveRun("deadline");
    private static final RequestOutcome.NotRun LATE = new RequestOutcome.NotRun(RejectionReason.LATE, 0);
    private static final RequestOutcome.NotRun GONE = new RequestOutcome.NotRun(RejectionReason.GONE, 0);
    private static final RequestOutcome.NotRun NO_CONNECTION =
            new RequestOutcome.NotRun(RejectionReason.NO_CONNECTION, 0);

    final RequestScheduler<InFlightRequest> scheduler;
    final UpstreamConnections connections;
    private final IdleConnectionAge idleConnectionAge = new IdleConnectionAge();
    private final EventLoop loop;
    private final LongSupplier clockMicros;
    private final UpstreamOptions options;
    private final Consumer<String> log;
    private final DeadlineTimer timer;
    /** Connections whose response was reported, but whose socket read is not finished. */
    private int unfinishedReads;

    private boolean dispatching;
    private boolean dispatchScheduled;

    UpstreamConnectionManager(
            EventLoop loop,
            InetSocketAddress application,
            LongSupplier clockMicros,
            UpstreamOptions options,
            Consumer<String> log) {
        this.loop = loop;
        this.clockMicros = clockMicros;
        this.options = options;
        this.log = log;
        scheduler = new RequestScheduler<>(options);
        connections = new UpstreamConnections(loop, application, options, this);
        timer = new DeadlineTimer(loop, clockMicros, this::tick);
    }

    /** Queues a request, and sends it at once if possible. */
    void enqueue(InFlightRequest request) {
        reject(scheduler.enqueue(clockMicros.getAsLong(), request));
        if (unfinishedReads > 0) {
            scheduleDispatch();
        } else {
            dispatchReady();
        }
    }

    /** Handles what is due: idle connections, deadlines, queued requests. */
    void tick() {
        long now = clockMicros.getAsLong();
        connections.closeExpired(now);
        for (UpstreamConnection connection : connections.busy()) {
            checkDeadline(connection, connection.request(), now);
        }
        dispatchReady();
    }

    // ---- Deadlines

    private void checkDeadline(UpstreamConnection connection, InFlightRequest request, long now) {
        if (request == null) {
            // It ended because of another request's outcome, earlier in the same loop.
            return;
        }
        if (request.isCompleted()) {
            if (now >= request.deadline + options.lingerMicros()) {
                abandon(connection, Completion.DEADLINE_EXCEEDED, null);
            }
        } else if (now >= sendDeadline(connection, request)
                && !tryUnsend(connection, LATE)
                && now >= request.deadline) {
            onDeadlineExceeded(connection, request);
        }
    }

    /** A request that is not idempotent keeps its connection for a while, as it occupies the server. */
    private void onDeadlineExceeded(UpstreamConnection connection, InFlightRequest request) {
        if (request.idempotent) {
            abandon(connection, Completion.DEADLINE_EXCEEDED, DEADLINE_EXCEEDED);
        } else {
            complete(request, DEADLINE_EXCEEDED);
        }
    }

    private static long sendDeadline(UpstreamConnection connection, InFlightRequest request) {
        return connection.isConnecting()
                ? request.deadline - RequestScheduler.DEADLINE_MARGIN_MICROS + 1
                : request.deadline;
    }

    private long nextDeadline(UpstreamConnection connection) {
        InFlightRequest request = connection.request();
        return request.isCompleted() ? request.deadline + options.lingerMicros() : sendDeadline(connection, request);
    }

    // ---- Dispatch

    /** Sends what the scheduler allows to be sent now. */
    private void dispatchReady() {
        if (dispatching) {
            return;
        }
        dispatching = true;
        try {
            long now = clockMicros.getAsLong();
            reject(scheduler.expire(now));
            replaceConnecting(now);
            while (scheduler.isReady(now) && dispatchNext(now)) {
                now = clockMicros.getAsLong();
            }
        } finally {
            dispatching = false;
        }
        scheduleTimer();
    }

    /** Sends requests that wait for a new connection on connections that have become idle. */
    private void replaceConnecting(long now) {
        for (UpstreamConnection connection : connections.busy()) {
            UpstreamConnection idle = connection.isConnecting() ? pollIdle(now, connection.request()) : null;
            if (idle != null) {
                connections.removeBusy(connection);
                connections.send(idle, connection.release(), now);
            }
        }
    }

    /** A request that is not idempotent takes no connection that was idle for long, unless new ones fail. */
    private UpstreamConnection pollIdle(long now, InFlightRequest request) {
        boolean ignoresIdleTime = request.idempotent || connections.isFailing(now);
        return connections.pollIdle(now, ignoresIdleTime ? Long.MAX_VALUE : idleConnectionAge.maxIdleTime(now));
    }

    /** Dispatches the first queued request; false if it has to wait for a connection. */
    private boolean dispatchNext(long now) {
        InFlightRequest first = scheduler.peek(now);
        UpstreamConnection idle = pollIdle(now, first);
        if (idle != null) {
            connections.send(idle, scheduler.dispatch(now, first), now);
            return true;
        }
        if (connections.isFailing(now)) {
            return dispatchWhileFailing(now, first);
        }
        if (connections.mayOpen()) {
            connections.connect(scheduler.dispatch(now, first));
            return true;
        }
        connections.closeOldestIdle();
        return false;
    }

    private boolean dispatchWhileFailing(long now, InFlightRequest first) {
        if (connections.hasEstablishedBusy()) {
            return false;
        }
        long retryAfter = connections.failingUntil() - now;
        end(
                scheduler.dispatch(now, first),
                Completion.OTHER,
                new RequestOutcome.NotRun(RejectionReason.NO_CONNECTION, retryAfter));
        return true;
    }

    /** Dispatches later on the event loop, after the current call. */
    void scheduleDispatch() {
        if (!dispatchScheduled && !loop.isShuttingDown()) {
            dispatchScheduled = true;
            loop.execute(() -> {
                dispatchScheduled = false;
                dispatchReady();
            });
        }
    }

    private void scheduleTimer() {
        long next = Math.min(scheduler.nextTime(), connections.nextExpiry());
        for (UpstreamConnection connection : connections.busy()) {
            next = Math.min(next, nextDeadline(connection));
        }
        if (!scheduler.queue().isEmpty() && connections.isFailing(clockMicros.getAsLong())) {
            next = Math.min(next, connections.failingUntil());
        }
        timer.schedule(next);
    }

    // ---- Ends of requests

    /** Ends a request that was sent, and its connection. */
    void abandon(UpstreamConnection connection, Completion completion, RequestOutcome outcome) {
        connections.removeBusy(connection);
        end(connection.abandon(), completion, outcome);
    }

    /** Ends a request of which no byte was sent; false if it may have run. */
    boolean tryUnsend(UpstreamConnection connection, RequestOutcome.NotRun outcome) {
        if (connection.request() == null || !connection.isConnecting() && connection.isRequestSent()) {
            return false;
        }
        connections.removeBusy(connection);
        InFlightRequest unsent = connection.isConnecting() ? connection.release() : connection.abandon();
        end(unsent, Completion.OTHER, outcome);
        return true;
    }

    private void reject(List<RequestScheduler.Rejection<InFlightRequest>> rejections) {
        for (RequestScheduler.Rejection<InFlightRequest> rejection : rejections) {
            complete(rejection.request(), new RequestOutcome.NotRun(rejection.reason(), rejection.retryAfterMicros()));
        }
    }

    private void end(InFlightRequest request, Completion completion, RequestOutcome outcome) {
        scheduler.onCompletion(clockMicros.getAsLong(), request, completion);
        complete(request, outcome);
        scheduleDispatch();
    }

    /** Reports an outcome; an exception of the callback does not affect other requests. */
    void complete(InFlightRequest request, RequestOutcome outcome) {
        try {
            request.complete(outcome);
        } catch (RuntimeException e) {
            log.accept("Outcome callback failed: request=" + request.request().id() + " error=" + e);
        }
    }

    // ---- Connections

    /** Discards what is known of the connections: another instance has the address now. */
    void onNewInstance() {
        idleConnectionAge.reset();
        connections.retireAll();
    }

    @Override
    public void onConnected(UpstreamConnection connection) {
        connections.onConnected();
        long now = clockMicros.getAsLong();
        InFlightRequest request = connection.request();
        boolean sendable = request != null
                && !connection.isRetired()
                && now + RequestScheduler.DEADLINE_MARGIN_MICROS <= request.deadline;
        if (sendable) {
            connections.send(connection, request, now);
            return;
        }
        InFlightRequest unsent = connection.release();
        connections.addIdle(connection, now, idleUntil(now, DEFAULT_IDLE_TIMEOUT_SECONDS));
        if (unsent != null) {
            end(unsent, Completion.OTHER, connection.isRetired() ? GONE : LATE);
        }
        scheduleDispatch();
    }

    private static long idleUntil(long now, long timeoutSeconds) {
        return now + (long) (IDLE_TIMEOUT_SHARE * MICROS_PER_SECOND * timeoutSeconds);
    }

    @Override
    public ResponseVerdict onResponse(
            UpstreamConnection connection, InFlightRequest request, UpstreamResponse response) {
        long now = clockMicros.getAsLong();
        connection.idleUntil = idleUntil(now, response.idleTimeoutSeconds(DEFAULT_IDLE_TIMEOUT_SECONDS));
        idleConnectionAge.onResponse(connection.idleBeforeRequest());
        ResponseVerdict verdict = ResponseVerdict.of(response, request, now, scheduler.retryAfterMicros(request));
        if (verdict.kind() == ResponseVerdict.Kind.OTHER_REQUEST) {
            log.accept("Response to another request ignored: expected=" + request.attemptId);
        }
        return verdict;
    }

    @Override
    public void onCompletion(UpstreamConnection connection, InFlightRequest request, ResponseVerdict verdict) {
        unfinishedReads++;
        connections.removeBusy(connection);
        Completion completion =
                switch (verdict.kind()) {
                    case RESPONSE -> Completion.RESPONDED;
                    case OVERLOADED -> Completion.OVERLOADED;
                    default -> Completion.OTHER;
                };
        end(request, completion, verdict.outcome());
    }

    @Override
    public void onRequestFailed(UpstreamConnection connection, InFlightRequest request, String why) {
        connections.removeBusy(connection);
        if (request.knowledge.afterConnectionLoss() != ExecutionKnowledge.MAY_HAVE_RUN) {
            end(request, Completion.OTHER, NO_CONNECTION);
            return;
        }
        long now = clockMicros.getAsLong();
        if (connection.isSilent() && now - request.sentAt < IdleConnectionAge.RESET_AFTER_SEND_MICROS) {
            idleConnectionAge.onReset(now, connection.idleBeforeRequest());
        }
        log.accept("Request may have run: request=" + request.attemptId + " reason=\"" + why + "\"");
        end(request, Completion.OTHER, new RequestOutcome.MayHaveRun(why));
    }

    @Override
    public void onReadFinished(UpstreamConnection connection, boolean reusable) {
        unfinishedReads--;
        if (reusable) {
            connections.addIdle(connection, clockMicros.getAsLong(), connection.idleUntil);
        }
        scheduleDispatch();
    }

    @Override
    public void onClosed(UpstreamConnection connection, boolean wasConnected) {
        long now = clockMicros.getAsLong();
        boolean wasFailing = connections.isFailing(now);
        connections.onClosed(connection, wasConnected, now);
        if (!wasFailing && connections.isFailing(now)) {
            log.accept("Server accepts no connections");
        }
        scheduleDispatch();
    }

    void close() {
        timer.cancel();
    }
}
