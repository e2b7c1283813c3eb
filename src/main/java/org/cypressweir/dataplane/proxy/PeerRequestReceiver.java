package org.cypressweir.dataplane.proxy;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.cypressweir.common.transport.PeerConnection;
import org.cypressweir.controlplane.registry.ProxyRegistration;
import org.cypressweir.dataplane.http.upstream.RequestDispatcher;
import org.cypressweir.dataplane.http.upstream.RequestHandle;
import org.cypressweir.dataplane.http.upstream.RequestOutcome;

/**
 * Receives the requests that other proxies forward, hands them to the dispatcher of the application instance
 * beside this proxy, and sends each outcome back on the connection on which the request came.
 *
 * <p>A request runs at most once, even if its message is received again: each connection accepts only increasing
 * request numbers, greater than the number in its hello message and less than the first number of the sender's next
 * connection or incarnation.
 *
 * <p>Not thread-safe: used on the event loop alone.
 */
final class PeerRequestReceiver implements PeerConnection.Listener {

    private static final byte[] EMPTY_BODY = {};
    private static final int MAX_INCARNATIONS_PER_SENDER = 8;
    private static final int MAX_SENDERS = 8_192;

    private final LongSupplier clock;
    private final RequestDispatcher dispatcher;
    private final Supplier<ProxyRegistration> registration;
    private final StaleMessageFilter staleMessages;
    private final Map<PeerConnection, Session> sessions = new LinkedHashMap<>();
    private final Map<String, SenderHistory> senders = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, SenderHistory> eldest) {
            return size() > MAX_SENDERS;
        }
    };

    /** The known incarnations of one sender, each with the first number of its latest connection. */
    private static final class SenderHistory {
        private final TreeMap<Long, Long> firstNumbers = new TreeMap<>();

        /** Records the session if it is the latest of its incarnation; returns whether it is. */
        private boolean record(Session session) {
            Long before = firstNumbers.get(session.incarnation);
            if (before != null && session.firstNumber <= before) {
                return false;
            }
            Long next = firstNumbers.higherKey(session.incarnation);
            session.endNumber = next == null ? Long.MAX_VALUE : next;
            firstNumbers.put(session.incarnation, session.firstNumber);
            if (firstNumbers.size() > MAX_INCARNATIONS_PER_SENDER) {
                firstNumbers.pollFirstEntry();
            }
            return true;
        }
    }

    /** A connection after its hello message: its sender, and which of its requests are in flight here. */
    private static final class Session {
        private final String senderName;
        private final long incarnation;
        private final long firstNumber;
        /** The last number that was accepted. */
        private long lastNumber;
        /** The number at which a later connection or incarnation of the sender starts; exclusive. */
        private long endNumber;

        private final Map<Long, RequestHandle> inFlight = new HashMap<>();

        private Session(PeerMessage.Hello hello) {
            senderName = hello.senderName();
            incarnation = hello.incarnation();
            firstNumber = hello.firstNumber();
            lastNumber = firstNumber;
        }
    }

    /** @param registration gives the current registration of this proxy */
    PeerRequestReceiver(LongSupplier clock, RequestDispatcher dispatcher, Supplier<ProxyRegistration> registration) {
        this.clock = clock;
        this.dispatcher = dispatcher;
        this.registration = registration;
        staleMessages = new StaleMessageFilter(clock);
    }

    /** Sends this proxy's registration to all peers that are connected here. */
    void publishRegistration() {
        sessions.keySet().forEach(this::sendRegistration);
    }

    private void sendRegistration(PeerConnection connection) {
        PeerMessage.RegistrationUpdate update = new PeerMessage.RegistrationUpdate(registration.get());
        connection.send(PeerMessageCodec.encode(update, clock.getAsLong()));
    }

    @Override
    public void opened(PeerConnection connection) {}

    @Override
    public void received(PeerConnection connection, Map<String, Object> head, byte[] body) {
        PeerMessage message = PeerMessageCodec.decode(head, body, clock.getAsLong());
        if (message instanceof PeerMessage.ForwardedRequest request) {
            receiveRequest(connection, request);
        } else if (message instanceof PeerMessage.Hello hello) {
            receiveHello(connection, hello);
        } else if (message instanceof PeerMessage.Cancellation cancellation) {
            receiveCancellation(connection, cancellation);
        }
    }

    private void receiveCancellation(PeerConnection connection, PeerMessage.Cancellation cancellation) {
        Session session = sessions.get(connection);
        RequestHandle handle = session == null ? null : session.inFlight.get(cancellation.number());
        if (handle != null) {
            dispatcher.cancel(handle);
        }
    }

    /** A newer connection limits the numbers of the sender's older ones; an older one that comes late is closed. */
    private void receiveHello(PeerConnection connection, PeerMessage.Hello hello) {
        Session session = new Session(hello);
        Session before = sessions.get(connection);
        if (before != null) {
            staleMessages.dropped("hello", session.firstNumber, "second on its connection");
            if (session.firstNumber != before.firstNumber) {
                // One of the two was not sent for this connection.
                connection.close();
            }
            return;
        }
        if (!senders.computeIfAbsent(session.senderName, name -> new SenderHistory())
                .record(session)) {
            staleMessages.dropped("hello", session.firstNumber, "earlier connection of " + session.senderName);
            connection.close();
            return;
        }
        for (Session other : sessions.values()) {
            if (other.senderName.equals(session.senderName) && other.firstNumber < session.firstNumber) {
                other.endNumber = Math.min(other.endNumber, session.firstNumber);
            }
        }
        sessions.put(connection, session);
        sendRegistration(connection);
    }

    private void receiveRequest(PeerConnection connection, PeerMessage.ForwardedRequest request) {
        Session session = sessions.get(connection);
        long number = request.number();
        long ownIncarnation = registration.get().incarnation();
        if (session != null && request.receiverIncarnation() != ownIncarnation) {
            // It can't run at this incarnation, on whichever connection it is received again.
            connection.send(PeerMessageCodec.encodeWrongIncarnation(number, ownIncarnation));
            return;
        }
        if (session == null || number <= session.lastNumber || session.endNumber <= number) {
            // No response: the original of this duplicate may still run.
            staleMessages.dropped("request", number, staleReason(session, number));
            if (session != null && number >= session.endNumber) {
                // A sender that still uses this connection must not wait for what is dropped.
                connection.close();
            }
            return;
        }
        session.lastNumber = number;
        dispatch(connection, session, request);
    }

    private void dispatch(PeerConnection connection, Session session, PeerMessage.ForwardedRequest request) {
        long number = request.number();
        boolean[] isComplete = {false};
        RequestHandle handle = dispatcher.submit(request.request(), outcome -> {
            isComplete[0] = true;
            session.inFlight.remove(number);
            respond(connection, number, outcome);
        });
        if (!isComplete[0]) {
            session.inFlight.put(number, handle);
        }
    }

    private static String staleReason(Session session, long number) {
        if (session == null) {
            return "before hello";
        }
        if (number <= session.firstNumber) {
            return "earlier connection";
        }
        return number <= session.lastNumber ? "duplicate" : "later connection";
    }

    private void respond(PeerConnection connection, long number, RequestOutcome outcome) {
        if (!connection.isOpen()) {
            return;
        }
        byte[] body = outcome instanceof RequestOutcome.Responded responded ? responded.body() : EMPTY_BODY;
        connection.send(PeerMessageCodec.encodeResponse(number, outcome, dispatcher.load()), body, null);
    }

    /** Cancels the requests of a closed connection; those that are not idempotent still run to their end. */
    @Override
    public void closed(PeerConnection connection) {
        Session session = sessions.remove(connection);
        if (session != null) {
            List.copyOf(session.inFlight.values()).forEach(dispatcher::cancel);
        }
    }
}
