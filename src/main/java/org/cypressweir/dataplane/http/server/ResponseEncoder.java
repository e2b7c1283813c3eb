package org.cypressweir.dataplane.http.server;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Map;

/** Turns answers into messages of the library, and sees to their framing. */
final class ResponseEncoder {

    private ResponseEncoder() {}

    /** Without bytes of a body where the request was HEAD (bare); an answer that can't be sent is a 500. */
    static FullHttpResponse of(ServerResponse answer, boolean bare) {
        try {
            return build(answer, bare);
        } catch (IllegalArgumentException e) {
            return build(ServerResponse.text(500, "the answer is no HTTP"), bare);
        }
    }

    private static FullHttpResponse build(ServerResponse answer, boolean bare) {
        int status = answer.status();
        if (status < 200 || status > 999) {
            throw new IllegalArgumentException("status");
        }
        boolean empty = status == 204 || status == 304;
        ByteBuf content = bare || empty ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(answer.body());
        FullHttpResponse response =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), content);
        String told = null;
        for (Map.Entry<String, String> header : answer.headers()) {
            String name = header.getKey();
            if (name.equalsIgnoreCase("Content-Length")) {
                told = header.getValue();
            } else if (!name.equalsIgnoreCase("Transfer-Encoding")
                    && !name.equalsIgnoreCase("Connection")
                    && !name.equalsIgnoreCase("Keep-Alive")) {
                response.headers().add(name, header.getValue());
            }
        }
        // Of a body that is not sent the host may know the length alone.
        String length =
                (bare || status == 304) && answer.body().length == 0 ? told : Integer.toString(answer.body().length);
        if (status != 204 && length != null) {
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, length);
        }
        return response;
    }
}
