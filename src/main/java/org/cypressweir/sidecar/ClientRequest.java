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
import org.cypressweir.sidecar.cell.Cells;

/** A client's request, from its last byte until it is answered and its attempts have ended. */
final class ClientRequest {

    /** The connection that waits for the answer. */
    interface Client {
        /** Takes the content over. */
        void answer(HttpResponseStatus status, HttpHeaders headers, ByteBuf content);

        /**
         * Passes an answer on as it comes; null where the client is gone. The length is below 0 where it is
         * not known. The task is run once more may be passed after there was too much.
         */
        default StreamedResponse pass(HttpHeaders headers, long length, Runnable resume) {
            return null;
        }

        /** Answers what is no request and ends the connection. */
        default void reject(RequestReader.BadRequest why) {}

        /** What comes behind the request belongs to what it asks to go over to. */
        default void upgrading() {}

        /** Whether nothing has come behind the request. */
        default boolean isAlone() {
            return true;
        }

        /** Passes a server's 101 on and gives the connection away; null where it is gone. */
        default Upgrade.End goOver(FullHttpResponse answer) {
            return null;
        }
    }

    final Request request;
    /** As the operators' figures name it. */
    final String className;
    /** What its route led to when it came. */
    final Cluster cluster;
    /** The one that has it, also where its route leads elsewhere by now; null until one does. */
    Pool pool;
    /** Null where nobody wants to know how it ends. */
    Watch watch;
    /** What it was let into a cell with; null elsewhere. */
    Cells.Ticket ticket;
    /** Its client has a server's answer, or its upgrade was agreed to. */
    boolean served;
    /** What it asks to go over to; null for a plain request. */
    final Upgrade upgrade;

    final HttpMethod method;
    final String uri;
    /** The longest that it may take, whatever its client says. */
    final long timeoutMicros;

    final HttpHeaders headers;
    /** Kept until the request is forgotten. */
    final ByteBuf body;

    final Client client;
    final List<Attempt> attempts = new ArrayList<>(2);
    /** Attempts that have not ended. */
    int out;
    /** Nothing is owed any more: it has its one answer, or the client has left. */
    boolean over;
    /** Nothing of it is left: it is over and its attempts have ended. */
    boolean forgotten;
    /** The last answer to an upgrade that was no 101, of a server that may have run it. */
    Declined declined;

    Future<?> expiry;
    /** The attempt whose answer is passed on as it comes, and where to; null while there is none. */
    Attempt passed;

    StreamedResponse passing;

    ClientRequest(
            Request request,
            RouteDecision way,
            String className,
            HttpMethod method,
            HttpHeaders headers,
            ByteBuf body,
            Client client) {
        this.request = request;
        this.className = className;
        cluster = way.cluster();
        upgrade = way.upgrade();
        uri = way.uri();
        timeoutMicros = way.timeoutMicros();
        this.method = method;
        this.headers = headers;
        this.body = body;
        this.client = client;
    }

    /** Wants to know how requests end. */
    interface Watch {
        /** Its client has its answer, or has left. */
        void answered(ClientRequest call);

        /** Nothing of it is out any more. */
        void ended(ClientRequest call);
    }

    /** A server's own word on an upgrade. */
    record Declined(HttpResponseStatus status, HttpHeaders headers, byte[] content) {}

    /** A server's connection that is to go over to another protocol. */
    interface Switched {
        /** Gives the connection away. */
        Upgrade.End goOver();

        /** Its server. */
        Upgrade.Host host();

        /** What it has become part of. */
        void joined(Upgrade.Joined joined);

        /** Nobody wants it any more. */
        void close();
    }

    /** One sending of a request to a server. */
    static final class Attempt {
        final ClientRequest call;
        final int number;
        final long server;
        final long sentAt;
        final long giveUpAt;
        /** When its answer began to be passed on; 0 for never. */
        long begunAt;
        /** The last byte of the request has left, so from here on it may have run. */
        boolean written;

        Result result;
        Future<?> timeout;
        /** The server's connection once it has agreed to go over. */
        Switched switched;

        Attempt(ClientRequest call, long server, long sentAt, long giveUpAt) {
            this.call = call;
            this.server = server;
            this.sentAt = sentAt;
            this.giveUpAt = giveUpAt;
            number = call.attempts.size();
        }
    }
}
