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

/**
 * Assembles a complete request from what the decoder emits. Rejects a request that is too large before all of it is
 * received. For the event loop only.
 */
final class RequestAssembler {

    private final HttpListener listener;
    private final Channel channel;
    private HttpRequest request;
    private RequestHeadScanner head;
    private RequestBody body;

    RequestAssembler(HttpListener listener, Channel channel) {
        this.listener = listener;
        this.channel = channel;
    }

    /** Adds a part of the request that this head belongs to; returns whether the request is complete now. */
    boolean add(HttpObject part, RequestHeadScanner scannedHead, RequestLimits limits) throws BadRequestException {
        checkDecoded(part);
        if (part instanceof HttpRequest received) {
            request = received;
            head = scannedHead;
            begin(limits);
        }
        if (body != null && part instanceof HttpContent content) {
            addContent(content, limits);
            return content instanceof LastHttpContent;
        }
        return false;
    }

    private static void checkDecoded(HttpObject part) throws BadRequestException {
        Throwable cause = part.decoderResult().cause();
        if (cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException) {
            throw new BadRequestException(431, "the head is too large");
        } else if (cause != null) {
            throw new BadRequestException(400, "not HTTP");
        }
    }

    private void addContent(HttpContent content, RequestLimits limits) throws BadRequestException {
        if (body.size() + (long) content.content().readableBytes() > limits.maxBodyBytes()) {
            throw tooLarge();
        }
        if (!body.add(content.content())) {
            throw noCapacity();
        }
    }

    /** Checks the announced length and handles the header Expect, RFC 9110 section 10.1.1. */
    private void begin(RequestLimits limits) throws BadRequestException {
        boolean expectsContinue = "100-continue".equalsIgnoreCase(head.expectation());
        if (head.expectation() != null && !expectsContinue) {
            throw new BadRequestException(417, "unknown expectation");
        } else if (head.contentLength() > limits.maxBodyBytes()) {
            throw tooLarge();
        } else if (!listener.canBuffer(head.contentLength())) {
            throw noCapacity();
        }
        body = new RequestBody(listener, head.contentLength());
        if (expectsContinue && head.hasBody()) {
            channel.writeAndFlush(new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
        }
    }

    private static BadRequestException tooLarge() {
        return new BadRequestException(413, "the body is too large");
    }

    private static BadRequestException noCapacity() {
        return new BadRequestException(503, "no room for the body");
    }

    /** Whether the request received so far is a HEAD request, whose response must have no body. */
    boolean isHeadRequest() {
        return request != null && request.method().name().equals("HEAD");
    }

    /** Returns the complete request; its body stays reserved until it is freed. */
    Exchange complete(HttpConnection connection, long now) {
        Exchange exchange = new Exchange(connection, request, head, body, now);
        reset();
        return exchange;
    }

    /** Discards the part of a request that was received. */
    void discard() {
        if (body != null) {
            body.free();
        }
        reset();
    }

    private void reset() {
        request = null;
        head = null;
        body = null;
    }
}
