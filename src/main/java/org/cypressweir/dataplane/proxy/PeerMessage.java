package org.cypressweir.dataplane.proxy;

import org.cypressweir.controlplane.registry.ProxyRegistration;
import org.cypressweir.dataplane.http.upstream.UpstreamRequest;

/**
 * A message between two proxies. The proxy that opens the connection sends {@link Hello}, {@link
 * ForwardedRequest} and {@link Cancellation}; the other one answers with {@link RegistrationUpdate} and {@link
 * ForwardedResponse}. {@link PeerMessageCodec} defines the encoding of each.
 *
 * <p>Immutable.
 */
sealed interface PeerMessage {

    /**
     * The first message on a connection.
     *
     * @param incarnation when the sending process started; a later incarnation has a greater one
     * @param firstNumber a request number: the requests on this connection have greater ones
     */
    record Hello(String senderName, long incarnation, long firstNumber) implements PeerMessage {}

    /**
     * One attempt at a request, for the application instance beside the receiver.
     *
     * @param receiverIncarnation the incarnation of the receiving proxy that may run the request
     */
    record ForwardedRequest(long number, long receiverIncarnation, UpstreamRequest request) implements PeerMessage {}

    /** The sender no longer waits for the response to the request of this number. */
    record Cancellation(long number) implements PeerMessage {}

    /**
     * The outcome of a forwarded request.
     *
     * @param incarnation the incarnation of the responding proxy, or {@link #UNSPECIFIED_INCARNATION}
     */
    record ForwardedResponse(long number, long incarnation, AttemptResult result) implements PeerMessage {

        static final long UNSPECIFIED_INCARNATION = Long.MIN_VALUE;
    }

    /** The registration of the proxy that receives requests: sent on connection, and whenever it changes. */
    record RegistrationUpdate(ProxyRegistration registration) implements PeerMessage {}
}
