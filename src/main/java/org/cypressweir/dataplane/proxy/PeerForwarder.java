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
 * Forwards attempts to the proxy beside the chosen application instance, or hands them to the local
 * dispatcher where that proxy is this one. A request that was never completely written to the operating
 * system has not run; one that was, and whose connection is lost, may have.
 *
 * <p>Request numbers start at this process's incarnation and only grow, over all connections: one number
 * names both the incarnation and the request, and the numbers of each connection start after its hello's.
 * The incarnation of the peer is kept as the owner of the connection.
 *
 * <p>Not thread-safe: used on the event loop alone. All times are in microseconds.
 */
final class PeerForwarder implements AttemptTransport {

    private static final long MAX_QUEUED_BYTES = 4 * 1024 * 1024;
    private static final long RESPONSE_TIMEOUT_MICROS = 700_000;
    private static final long PING_INTERVAL_MICROS = 250_000;
    /** Shown to operators as the outcome of an attempt; the texts are fixed. */
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
     * @param incarnation when this process started, in microseconds: greater than any number of an earlier one
     * @param connections the connection to an address that is to be used now; null for none
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

    /** The first message of a new connection; each call takes a number of its own. */
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

    /** Why nothing may be sent to the endpoint on this connection; null if it may. */
    private static RejectionReason rejection(PeerConnection connection, Endpoint endpoint) {
        if (connection == null) {
            return RejectionReason.NO_CONNECTION;
        }
        if (connection.pendingWriteBytes() > MAX_QUEUED_BYTES) {
            return RejectionReason.FULL;
        }
        // The connection may lead to another incarnation than the one that was selected.
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
            // Attempts that ended by a time-out or a lost connection may still be answered.
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

    /** Attempts that were sent on a connection that is lost may have run. */
    void connectionLost(PeerConnection connection) {
        for (InFlightAttempt attempt : List.copyOf(inFlight.values())) {
            if (attempt.connection == connection) {
                complete(attempt.number, mayHaveRun(CONNECTION_LOST));
            }
        }
    }

    /** From now on attempts don't time out: the process waits for what is in flight. */
    void startShutdown() {
        isShuttingDown = true;
    }

    /**
     * To be called several times a second: idempotent attempts time out, and connections on which responses
     * are awaited and nothing arrives are pinged.
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

    /** How long neither the attempt was sent nor anything was received on its connection. */
    private static long silentMicros(InFlightAttempt attempt, long now) {
        return now - Math.max(attempt.connection.lastReceivedMicros(), attempt.sentAt);
    }

    /** Whether there is no connection to the address, or it owes a response and nothing arrives. */
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
