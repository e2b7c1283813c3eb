package org.cypressweir.sidecar;

import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import org.cypressweir.loadbalancing.LoadBalancer.Result;
import org.cypressweir.sidecar.ClientRequest.Attempt;

/** The HTTP messages of an attempt: the request that is sent, and what a server's response means. No state. */
final class AttemptMessages {

    private static final int MICROS_PER_MILLI = 1000;
    /** Value of {@link Headers#NOT_STARTED} by which a server says that it has not run the request. */
    private static final String TRUE = "1";

    private AttemptMessages() {}

    /** The request that an attempt sends, with the time that is left of it. */
    static FullHttpRequest request(Attempt attempt, long nowMicros) {
        ClientRequest call = attempt.call;
        HttpHeaders headers = Headers.endToEnd(call.headers);
        headers.set(Headers.TIMEOUT, Math.max(1, (attempt.giveUpAt - nowMicros) / MICROS_PER_MILLI));
        if (call.upgrade != null) {
            call.upgrade.ask(headers);
            return new DefaultFullHttpRequest(
                    HttpVersion.HTTP_1_1,
                    call.method,
                    call.uri,
                    Unpooled.EMPTY_BUFFER,
                    headers,
                    new DefaultHttpHeaders());
        }
        headers.remove(HttpHeaderNames.CONTENT_LENGTH);
        if (call.body.isReadable() || !call.method.equals(HttpMethod.GET)) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, call.body.readableBytes());
        }
        return new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                call.method,
                call.uri,
                call.body.retainedDuplicate(),
                headers,
                new DefaultHttpHeaders());
    }

    /** What a response means for its attempt, by its status and head alone. */
    static Result result(HttpResponse response) {
        int status = response.status().code();
        if (status == HttpResponseStatus.OK.code()) {
            return Result.SERVED;
        }
        boolean isRejected = (status == 503 || status == 504)
                && TRUE.equals(response.headers().get(Headers.NOT_STARTED));
        return isRejected ? Result.FULL : Result.ERROR;
    }

    /**
     * What a response to an upgrade means. Only a 101 that answers what was asked serves; what else a server says
     * is kept for the client.
     */
    static Result upgradeResult(ClientRequest call, FullHttpResponse response) {
        if (response.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS)) {
            return call.upgrade.fault(response) == null ? Result.SERVED : Result.ERROR;
        }
        Result result = result(response);
        int status = response.status().code();
        boolean isRefusal = status == 503 || status == 429;
        if (result != Result.FULL && !isRefusal) {
            HttpHeaders headers = Headers.endToEnd(response.headers());
            headers.remove(Headers.LOAD);
            call.declined =
                    new ClientRequest.Declined(response.status(), headers, ByteBufUtil.getBytes(response.content()));
        }
        return result == Result.SERVED ? Result.ERROR : result;
    }
}
