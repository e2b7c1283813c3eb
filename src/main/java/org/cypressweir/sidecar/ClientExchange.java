package org.cypressweir.sidecar;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * One request of a client and its response; only the first response counts.
 *
 * <p>Confined to the event loop. The exchange is over once its connection has another exchange or none; calls after
 * that have no effect.
 */
final class ClientExchange implements ClientRequest.Client {

    private static final String CLOSE = "close";

    private final ClientConnection connection;
    private final Channel channel;
    private final boolean isKeepAlive;
    private final HttpVersion version;
    private boolean isUpgrading;
    /** The response being streamed; null before and after. */
    private Stream stream;

    ClientExchange(ClientConnection connection, Channel channel, boolean isKeepAlive, HttpVersion version) {
        this.connection = connection;
        this.channel = channel;
        this.isKeepAlive = isKeepAlive;
        this.version = version;
    }

    boolean isUpgrading() {
        return isUpgrading;
    }

    boolean isStreaming() {
        return stream != null;
    }

    /** The client has read enough of the streamed response to be sent more. */
    void resumeStream() {
        stream.resume.run();
    }

    private boolean isOver() {
        return !connection.isCurrent(this);
    }

    /** Whether the connection ends after the response, as far as this exchange knows now. */
    private boolean isLast() {
        return !isKeepAlive || isUpgrading || connection.endsAfterResponse();
    }

    @Override
    public StreamedResponse startStream(HttpHeaders headers, long length, Runnable resume) {
        if (isOver() || !channel.isActive() || stream != null) {
            return null;
        }
        boolean isChunked = length < 0 && version.equals(HttpVersion.HTTP_1_1);
        boolean isLast = isLast() || length < 0 && !isChunked;
        HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK, headers);
        if (length >= 0) {
            HttpUtil.setContentLength(head, length);
        }
        HttpUtil.setTransferEncodingChunked(head, isChunked);
        if (isLast) {
            headers.set(HttpHeaderNames.CONNECTION, CLOSE);
        }
        connection.progressed();
        stream = new Stream(resume, isLast);
        channel.writeAndFlush(head);
        return stream;
    }

    @Override
    public void reject(RequestReader.BadRequest why) {
        if (!isOver()) {
            connection.reject(why);
        }
    }

    @Override
    public void respond(HttpResponseStatus status, HttpHeaders headers, ByteBuf content) {
        if (isOver()) {
            content.release();
            return;
        }
        if (stream != null) {
            content.release();
            stream.abort();
            return;
        }
        boolean isLast = isLast();
        FullHttpResponse response =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, content, headers, new DefaultHttpHeaders());
        HttpUtil.setContentLength(response, content.readableBytes());
        if (isLast) {
            response.headers().set(HttpHeaderNames.CONNECTION, CLOSE);
        }
        connection.respondingAtOnce(isLast);
        channel.writeAndFlush(response).addListener(f -> connection.written(f.isSuccess()));
    }

    @Override
    public void expectUpgrade() {
        isUpgrading = true;
    }

    @Override
    public boolean hasNoEarlyBytes() {
        return !connection.hasEarlyBytes();
    }

    @Override
    public Upgrade.UpgradedChannel switchProtocols(FullHttpResponse answer) {
        if (isOver() || !channel.isActive()) {
            return null;
        }
        return connection.switchProtocols(answer);
    }

    /**
     * A response that is passed on as it arrives. If it is cut off the connection is reset, so that no client mistakes
     * that for the end of the response.
     */
    private final class Stream implements StreamedResponse {
        private final Runnable resume;
        private final boolean isLast;

        Stream(Runnable resume, boolean isLast) {
            this.resume = resume;
            this.isLast = isLast;
        }

        @Override
        public boolean write(ByteBuf part) {
            channel.writeAndFlush(new DefaultHttpContent(part.retain())).addListener(f -> connection.progressed());
            return channel.isWritable();
        }

        @Override
        public void end() {
            if (!isOver()) {
                // Only if the response told the client that the connection closes: otherwise the client may have sent
                // another request by now.
                connection.responding(isLast);
                channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)
                        .addListener(f -> connection.written(f.isSuccess()));
            }
        }

        @Override
        public void abort() {
            if (!isOver()) {
                connection.endExchange();
                channel.config().setOption(ChannelOption.SO_LINGER, 0);
                channel.close();
            }
        }
    }
}
