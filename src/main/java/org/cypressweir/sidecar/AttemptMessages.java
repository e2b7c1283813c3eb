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

/** Creates the HTTP request of an attempt and derives the attempt's result from the response. Stateless. */
final class AttemptMessages {

    private static final int MICROS_PER_MILLI = 1000;
    /** Value of {@link Headers#NOT_STARTED} by which a server says that it has not run the request. */
    private static final String NOT_STARTED_VALUE = "1";

    private AttemptMessages() {}

    /** The request that an attempt sends, with the time that remains until it is given up. */
    static FullHttpRequest request(Attempt attempt, long nowMicros) {
        ClientRequest call = attempt.call;
        HttpHeaders headers = Headers.endToEnd(call.headers);
        headers.set(Headers.TIMEOUT, Math.max(1, (attempt.giveUpAt - nowMicros) / MICROS_PER_MILLI));
        if (call.upgrade != null) {
            call.upgrade.addHandshakeHeaders(headers);
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

    /** The result of an attempt, by the status and headers of the response alone. */
    static Result result(HttpResponse response) {
        int status = response.status().code();
        if (status == HttpResponseStatus.OK.code()) {
            return Result.SERVED;
        }
        boolean isRejected = (status == 503 || status == 504)
                && NOT_STARTED_VALUE.equals(response.headers().get(Headers.NOT_STARTED));
        return isRejected ? Result.FULL : Result.ERROR;
    }

    /**
     * The result of an attempt to upgrade. Only a 101 that matches what was asked for is a success. Any other response,
     * except one that refuses the request, is kept for the client.
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
            call.declined = new ClientRequest.DeclinedUpgrade(
                    response.status(), headers, ByteBufUtil.getBytes(response.content()));
        }
        return result == Result.SERVED ? Result.ERROR : result;
    }
}
