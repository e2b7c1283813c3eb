package org.cypressweir.dataplane.http.server;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Map;

/** Converts responses to Netty's messages and sets their framing, RFC 9112 section 6. Stateless. */
final class ResponseEncoder {

    private ResponseEncoder() {}

    /** Omits the body of a response to HEAD; a response that can't be sent becomes a 500. */
    static FullHttpResponse encode(ServerResponse response, boolean headRequest) {
        try {
            return convert(response, headRequest);
        } catch (IllegalArgumentException e) {
            return convert(ServerResponse.text(500, "the answer is no HTTP"), headRequest);
        }
    }

    private static FullHttpResponse convert(ServerResponse response, boolean headRequest) {
        int status = response.status();
        if (status < 200 || status > 999) {
            throw new IllegalArgumentException("status");
        }
        boolean bodiless = status == 204 || status == 304;
        ByteBuf content = headRequest || bodiless ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(response.body());
        FullHttpResponse converted =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), content);
        String givenLength = copyHeaders(response, converted);
        // RFC 9110 section 8.6: only the handler may know the length of a body that is not sent; 204 has no length.
        boolean lengthIsGiven = (headRequest || status == 304) && response.body().length == 0;
        String length = lengthIsGiven ? givenLength : Integer.toString(response.body().length);
        if (status != 204 && length != null) {
            converted.headers().set(HttpHeaderNames.CONTENT_LENGTH, length);
        }
        return converted;
    }

    /** Copies all headers except those of framing and of the connection; returns the Content-Length, or null. */
    private static String copyHeaders(ServerResponse response, FullHttpResponse converted) {
        String givenLength = null;
        for (Map.Entry<String, String> header : response.headers()) {
            String name = header.getKey();
            if (name.equalsIgnoreCase("Content-Length")) {
                givenLength = header.getValue();
            } else if (!name.equalsIgnoreCase("Transfer-Encoding")
                    && !name.equalsIgnoreCase("Connection")
                    && !name.equalsIgnoreCase("Keep-Alive")) {
                converted.headers().add(name, header.getValue());
            }
        }
        return givenLength;
    }
}
