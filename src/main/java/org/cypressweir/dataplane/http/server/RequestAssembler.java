package org.cypressweir.dataplane.http.server;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;

/** Puts the parts of a request together; it refuses what is too large before all of it has come. */
final class RequestAssembler {

    private final HttpListener gangway;
    private final Channel channel;
    private HttpRequest request;
    private RequestHeadScanner head;
    private RequestBody body;

    RequestAssembler(HttpListener gangway, Channel channel) {
        this.gangway = gangway;
        this.channel = channel;
    }

    /** Whether the request is whole now. */
    boolean add(HttpObject part, RequestHeadScanner of, RequestLimits bounds) throws BadRequestException {
        Throwable cause = part.decoderResult().cause();
        if (cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException) {
            throw new BadRequestException(431, "the head is too large");
        } else if (cause != null) {
            throw new BadRequestException(400, "not HTTP");
        }
        if (part instanceof HttpRequest begun) {
            request = begun;
            head = of;
            begin(bounds);
        }
        if (body != null && part instanceof HttpContent content) {
            if (body.size() + (long) content.content().readableBytes() > bounds.maxBodyBytes()) {
                throw tooLarge();
            }
            if (!body.add(content.content())) {
                throw noRoom();
            }
            return content instanceof LastHttpContent;
        }
        return false;
    }

    private void begin(RequestLimits bounds) throws BadRequestException {
        boolean continues = "100-continue".equalsIgnoreCase(head.expectation());
        if (head.expectation() != null && !continues) {
            throw new BadRequestException(417, "unknown expectation");
        } else if (head.length() > bounds.maxBodyBytes()) {
            throw tooLarge();
        } else if (!gangway.hasRoom(head.length())) {
            throw noRoom();
        }
        body = new RequestBody(gangway, head.length());
        if (continues && head.hasBody()) {
            channel.writeAndFlush(new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
        }
    }

    private static BadRequestException tooLarge() {
        return new BadRequestException(413, "the body is too large");
    }

    private static BadRequestException noRoom() {
        return new BadRequestException(503, "no room for the body");
    }

    /** Whether an answer to what has come so far must be without a body. */
    boolean isBare() {
        return request != null && request.method().name().equals("HEAD");
    }

    /** Hands out what is whole; the body counts until it is freed. */
    Exchange take(HttpConnection connection, long now) {
        Exchange whole = new Exchange(connection, request, head, body, now);
        forget();
        return whole;
    }

    /** Gives up what has come of a request. */
    void drop() {
        if (body != null) {
            body.free();
        }
        forget();
    }

    private void forget() {
        request = null;
        head = null;
        body = null;
    }
}
