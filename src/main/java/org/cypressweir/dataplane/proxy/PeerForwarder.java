package org.cypressweir.dataplane.proxy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongSupplier;
import org.cypressweir.common.transport.PeerConnection;
import org.cypressweir.dataplane.http.upstream.RejectionReason;
import org.cypressweir.dataplane.http.upstream.RequestDispatcher;
import org.cypressweir.dataplane.http.upstream.RequestHandle;
import org.cypressweir.dataplane.http.upstream.RequestOutcome;
import org.cypressweir.dataplane.http.upstream.UpstreamRequest;

/**
 * Forwards attempts to the proxy beside the selected application instance, or hands them to the local dispatcher if
 * that proxy is this one. A request that was not completely written to the operating system has not run; one that was
 * written, and whose connection is lost, may have run.
 *
 * <p>Request numbers start at this process's incarnation and increase across all connections, so that one number
 * identifies both the incarnation and the request. The requests of each connection have greater numbers than its hello
 * message. The peer's incarnation is kept as the attachment of the connection.
 *
 * <p>Not thread-safe: used on the event loop alone. All times are in microseconds.
 */
final class PeerForwarder implements AttemptTransport {

    private static final long MAX_QUEUED_BYTES = 4 * 1024 * 1024;
    private static final long RESPONSE_TIMEOUT_MICROS = 700_000;
    private static final long PING_INTERVAL_MICROS = 250_000;
    /** Shown to operators as the outcome of an attempt; this text and the next are fixed. */
    private static final String CONNECTION_LOST = "the line was lost";

    private static final String TIMED_OUT = "nothing is heard";
    private static final Handle NOTHING_TO_CANCEL = () -> {};

    /** An attempt whose response is awaited. */
    private static final class InFlightAttempt {
        private final long number;
        private final PeerConnection connection;
        private final boolean idempotent;
        private final long sentAt;
        private final Consumer<AttemptResult> callback;

        private InFlightAttempt(
                long number,
                PeerConnection connection,
                boolean idempotent,
                long sentAt,
                Consumer<AttemptResult> callback) {
            this.number = number;
            this.connection = connection;
            this.idempotent = idempotent;
            this.sentAt = sentAt;
            this.callback = callback;
        }
    }

    private final LongSupplier clock;
    private final String ownAddress;
    private final RequestDispatcher localDispatcher;
    private final Function<String, PeerConnection> connections;
    private final StaleMessageFilter staleMessages;
    private final Map<Long, InFlightAttempt> inFlight = new HashMap<>();
    private final long incarnation;
    private long lastNumber;
    private long lastPingAt;
    private boolean isShuttingDown;

    /**
     * @param incarnation when this process started, in microseconds: greater than any request number of an earlier
     *     incarnation
     * @param connections gives the connection to use now for an address; null for none
     */
    PeerForwarder(
            LongSupplier clock,
            String ownAddress,
            long incarnation,
            RequestDispatcher localDispatcher,
            Function<String, PeerConnection> connections) {
        this.clock = clock;
        this.ownAddress = ownAddress;
        this.localDispatcher = localDispatcher;
        this.connections = connections;
        this.incarnation = incarnation;
        lastNumber = incarnation;
        staleMessages = new StaleMessageFilter(clock);
    }

    /** The first message of a new connection; each call uses up a request number. */
    Map<String, Object> hello(String name) {
        return PeerMessageCodec.encode(new PeerMessage.Hello(name, incarnation, ++lastNumber));
    }

    @Override
    public Handle send(Endpoint endpoint, UpstreamRequest request, Consumer<AttemptResult> callback) {
        if (endpoint.address().equals(ownAddress)) {
            return dispatchLocally(request, callback);
        }
        PeerConnection connection = connections.apply(endpoint.address());
        RejectionReason rejection = rejection(connection, endpoint);
        if (rejection != null) {
            callback.accept(notRun(rejection));
            return NOTHING_TO_CANCEL;
        }
        long now = clock.getAsLong();
        long number = ++lastNumber;
        inFlight.put(number, new InFlightAttempt(number, connection, request.idempotent(), now, callback));
        Map<String, Object> head = PeerMessageCodec.encodeRequest(number, endpoint.incarnation(), request, now);
        connection.send(head, request.body(), isComplete -> {
            if (!isComplete) {
                complete(number, notRun(RejectionReason.NO_CONNECTION));
            }
        });
        return () -> {
            if (inFlight.containsKey(number)) {
                connection.send(PeerMessageCodec.encode(new PeerMessage.Cancellation(number)));
            }
        };
    }

    private Handle dispatchLocally(UpstreamRequest request, Consumer<AttemptResult> callback) {
        RequestHandle handle = localDispatcher.submit(
                request, outcome -> callback.accept(new AttemptResult(outcome, localDispatcher.load())));
        return () -> localDispatcher.cancel(handle);
    }

    /** Why the endpoint can't be sent to on this connection; null if it can. */
    private static RejectionReason rejection(PeerConnection connection, Endpoint endpoint) {
        if (connection == null) {
            return RejectionReason.NO_CONNECTION;
        }
        if (connection.pendingWriteBytes() > MAX_QUEUED_BYTES) {
            return RejectionReason.FULL;
        }
        // The connection may be to another incarnation of the proxy than the selected one.
        boolean isOtherIncarnation =
                connection.attachment() instanceof Long incarnation && incarnation != endpoint.incarnation();
        return isOtherIncarnation ? RejectionReason.GONE : null;
    }

    private static AttemptResult notRun(RejectionReason reason) {
        return new AttemptResult(new RequestOutcome.NotRun(reason, 0), null);
    }

    private static AttemptResult mayHaveRun(String why) {
        return new AttemptResult(new RequestOutcome.MayHaveRun(why), null);
    }

    /** Records the incarnation that the peer announces; closes a connection on which it announces two. */
    void incarnationReceived(PeerConnection connection, long peerIncarnation) {
        if (connection.attachment() == null) {
            connection.attach(peerIncarnation);
        } else if (!connection.attachment().equals(peerIncarnation)) {
            staleMessages.dropped("registration", peerIncarnation, "other incarnation");
            connection.close();
        }
    }

    /** Completes the attempt if the response came on the attempt's own connection; drops the response otherwise. */
    void responseReceived(PeerConnection connection, PeerMessage.ForwardedResponse response) {
        long number = response.number();
        InFlightAttempt attempt = inFlight.get(number);
        if (attempt == null || attempt.connection != connection) {
            // A response may still arrive for an attempt that timed out or lost its connection.
            staleMessages.dropped(
                    "response",
                    number,
                    attempt != null
                            ? "other connection"
                            : number <= incarnation ? "other incarnation" : "already complete");
            return;
        }
        if (response.incarnation() != PeerMessage.ForwardedResponse.UNSPECIFIED_INCARNATION
                && !Long.valueOf(response.incarnation()).equals(connection.attachment())) {
            staleMessages.dropped("response", number, "sent by another incarnation");
            return;
        }
        complete(number, response.result());
    }

    private void complete(long number, AttemptResult result) {
        InFlightAttempt attempt = inFlight.remove(number);
        if (attempt != null) {
            attempt.callback.accept(result);
        }
    }

    /** Completes all attempts on a lost connection: they may have run. */
    void connectionLost(PeerConnection connection) {
        for (InFlightAttempt attempt : List.copyOf(inFlight.values())) {
            if (attempt.connection == connection) {
                complete(attempt.number, mayHaveRun(CONNECTION_LOST));
            }
        }
    }

    /** Stops attempts from timing out: the shutdown waits for all that are in flight. */
    void startShutdown() {
        isShuttingDown = true;
    }

    /**
     * To be called several times a second: times out idempotent attempts, and pings connections on which a response
     * is awaited and nothing is received.
     */
    void tick() {
        long now = clock.getAsLong();
        boolean isPingDue = now - lastPingAt > PING_INTERVAL_MICROS;
        List<PeerConnection> pinged = new ArrayList<>();
        for (InFlightAttempt attempt : List.copyOf(inFlight.values())) {
            if (silentMicros(attempt, now) > RESPONSE_TIMEOUT_MICROS && attempt.idempotent && !isShuttingDown) {
                complete(attempt.number, mayHaveRun(TIMED_OUT));
            } else if (isPingDue
                    && silentMicros(attempt, now) > PING_INTERVAL_MICROS
                    && !pinged.contains(attempt.connection)) {
                pinged.add(attempt.connection);
                attempt.connection.ping();
            }
        }
        if (!pinged.isEmpty()) {
            lastPingAt = now;
        }
    }

    /** The time since the attempt was sent or anything was received on its connection, whichever was later. */
    private static long silentMicros(InFlightAttempt attempt, long now) {
        return now - Math.max(attempt.connection.lastReceivedMicros(), attempt.sentAt);
    }

    /** Whether there is no connection to the address, or an attempt there has waited in silence for too long. */
    boolean isSilent(String address) {
        PeerConnection connection = connections.apply(address);
        if (connection == null) {
            return true;
        }
        long now = clock.getAsLong();
        for (InFlightAttempt attempt : inFlight.values()) {
            if (attempt.connection == connection && silentMicros(attempt, now) > RESPONSE_TIMEOUT_MICROS) {
                return true;
            }
        }
        return false;
    }

    /** How many attempts are in flight at other proxies. */
    int inFlightCount() {
        return inFlight.size();
    }
}
