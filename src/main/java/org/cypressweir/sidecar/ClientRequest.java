package org.cypressweir.sidecar;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.concurrent.Future;
import java.util.ArrayList;
import java.util.List;
import org.cypressweir.loadbalancing.LoadBalancer.Request;
import org.cypressweir.loadbalancing.LoadBalancer.Result;
import org.cypressweir.sidecar.cell.CellRouter;

/** A client's request, from its complete arrival until it has its response and its attempts have ended. */
final class ClientRequest {

    /** The client side that waits for the response. */
    interface Client {
        /** Sends a complete response; takes ownership of the content. */
        void respond(HttpResponseStatus status, HttpHeaders headers, ByteBuf content);

        /**
         * Starts a streamed response; null if the client is gone.
         *
         * @param length the content length, negative if unknown
         * @param resume run when more may be written after writing was paused
         */
        default StreamedResponse startStream(HttpHeaders headers, long length, Runnable resume) {
            return null;
        }

        /** Rejects an invalid request and ends the connection. */
        default void reject(RequestReader.BadRequest why) {}

        /** The request asks for an upgrade, so the bytes after it may belong to another protocol. */
        default void expectUpgrade() {}

        /** Whether no bytes have arrived after the request. */
        default boolean hasNoEarlyBytes() {
            return true;
        }

        /** Passes a server's 101 response on and gives up the connection; null if it is gone. */
        default Upgrade.UpgradedChannel switchProtocols(FullHttpResponse answer) {
            return null;
        }
    }

    final Request request;
    /** The name of the request class in the metrics. */
    final String className;
    /** The cluster that the route led to when the request arrived. */
    final Cluster cluster;
    /** The pool that handles the request, even if its route leads elsewhere by now; null before a pool takes it. */
    Pool pool;
    /** Notified when the request completes; null for none. */
    CompletionListener completionListener;
    /** The ticket of its admission to a cell; null if there are no cells. */
    CellRouter.Ticket ticket;
    /** The client has a server's response, or the upgrade was agreed. */
    boolean served;
    /** The requested upgrade; null for a plain request. */
    final Upgrade upgrade;

    final HttpMethod method;
    final String uri;
    /** The maximum duration, whatever time-out the client asks for. */
    final long timeoutMicros;

    final HttpHeaders headers;
    /** Retained until the request is removed. */
    final ByteBuf body;

    final Client client;
    final List<Attempt> attempts = new ArrayList<>(2);
    /** Number of attempts that have not ended. */
    int outstandingAttempts;
    /** No response is due any more: it was sent, or the client has left. */
    boolean finished;
    /** The request is finished, its attempts have ended, and it was removed. */
    boolean forgotten;
    /** The last response to an upgrade request other than 101, from a server that may have processed it. */
    DeclinedUpgrade declined;

    Future<?> expiry;
    /** The attempt whose response is streamed to the client; null if there is none. */
    Attempt streamedAttempt;

    StreamedResponse stream;

    ClientRequest(
            Request request,
            RouteDecision route,
            String className,
            HttpMethod method,
            HttpHeaders headers,
            ByteBuf body,
            Client client) {
        this.request = request;
        this.className = className;
        cluster = route.cluster();
        upgrade = route.upgrade();
        uri = route.uri();
        timeoutMicros = route.timeoutMicros();
        this.method = method;
        this.headers = headers;
        this.body = body;
        this.client = client;
    }

    /** Listens for the completion of requests. */
    interface CompletionListener {
        /** The client has its response or has left. */
        void answered(ClientRequest call);

        /** All attempts have ended. */
        void ended(ClientRequest call);
    }

    /** A server's own response that declines an upgrade. */
    record DeclinedUpgrade(HttpResponseStatus status, HttpHeaders headers, byte[] content) {}

    /** A server connection that switches to another protocol. */
    interface SwitchedConnection {
        /** Detaches the connection from the pool and returns its channel. */
        Upgrade.UpgradedChannel detach();

        /** The server of the connection. */
        Upgrade.UpgradeServer upgradeServer();

        /** The client and server connections have been joined. */
        void joined(Upgrade.UpgradedExchange joined);

        /** Closes the connection because it is not needed. */
        void close();
    }

    /** One attempt: the request as sent to one server. */
    static final class Attempt {
        final ClientRequest call;
        final int number;
        final long server;
        final long sentAt;
        final long giveUpAt;
        /** When streaming of the response began; 0 if it has not. */
        long streamedSince;
        /** The last byte of the request has been sent, so the server may have processed it. */
        boolean written;

        Result result;
        Future<?> timeout;
        /** The server's connection after it agreed to the upgrade. */
        SwitchedConnection switched;

        Attempt(ClientRequest call, long server, long sentAt, long giveUpAt) {
            this.call = call;
            this.server = server;
            this.sentAt = sentAt;
            this.giveUpAt = giveUpAt;
            number = call.attempts.size();
        }
    }
}
