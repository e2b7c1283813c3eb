package larkbank.sidecar;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.concurrent.Future;
import java.util.ArrayList;
import java.util.List;
import larkbank.LoadBalancer.Request;
import larkbank.LoadBalancer.Result;

/** A client's request, from its last byte until it is answered and its attempts have ended. */
final class Call {

    /** The connection that waits for the answer. */
    interface Client {
        /** Takes the content over. */
        void answer(HttpResponseStatus status, HttpHeaders headers, ByteBuf content);
    }

    final Request request;
    /** The one that it was given to, also where its route leads elsewhere by now. */
    final Pool pool;
    final HttpMethod method;
    final String uri;
    final HttpHeaders headers;
    final byte[] body;
    final Client client;
    final List<Attempt> attempts = new ArrayList<>(2);
    /** Attempts that have not ended. */
    int out;
    /** Nothing is owed any more: it has its one answer, or the client has left. */
    boolean over;
    /** Nothing of it is left: it is over and its attempts have ended. */
    boolean forgotten;
    Future<?> expiry;

    Call(Request request, Pool pool, HttpMethod method, String uri, HttpHeaders headers, byte[] body,
            Client client) {
        this.request = request;
        this.pool = pool;
        this.method = method;
        this.uri = uri;
        this.headers = headers;
        this.body = body;
        this.client = client;
    }

    /** One sending of a request to a server. */
    static final class Attempt {
        final Call call;
        final int number;
        final long server;
        final long sentAt;
        final long giveUpAt;
        /** The last byte of the request has left, so from here on it may have run. */
        boolean written;
        Result result;
        Future<?> timeout;

        Attempt(Call call, long server, long sentAt, long giveUpAt) {
            this.call = call;
            this.server = server;
            this.sentAt = sentAt;
            this.giveUpAt = giveUpAt;
            number = call.attempts.size();
        }
    }
}
