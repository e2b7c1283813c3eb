package larkbank.sidecar;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.function.IntSupplier;

/**
 * A request to go over to another protocol on its connection. It is a request like any other until a server
 * has
 * agreed; from then on the two connections belong to what comes of it.
 */
interface Upgrade {

    /** A connection that has gone over; its HTTP handlers are gone, and nothing is read from it. */
    record End(Channel channel, ByteBuf early) { }

    /** The server of a connection that has gone over, and its pool. */
    interface Host {
        /** How many servers of its pool are in service; the same object for all of them. */
        IntSupplier readyServers();

        /** What the server carries beside requests changes by so much, in requests in flight. */
        void weighs(double change);
    }

    /** Both connections after a server has agreed. */
    interface Joined {
        /** The server leaves, and was told to then; it ends in order. */
        void leaves(long toldAt);

        /** The server stays after all. */
        void stays();
    }

    /** It has been taken. */
    void taken();

    /** Turns the headers that go on to a server into those of the handshake. */
    void ask(HttpHeaders headers);

    /** An attempt goes out. */
    void tried();

    /** What is wrong with a server's 101; null where the server has agreed to what was asked for. */
    String fault(FullHttpResponse answer);

    /** The client is told this in place of 101. */
    void answered(HttpResponseStatus status);

    /** The client left before it was told anything. */
    void left();

    /** Joins the two connections; it owns them and what came early from now on. */
    Joined join(FullHttpResponse answer, End client, End server, Host host);
}
