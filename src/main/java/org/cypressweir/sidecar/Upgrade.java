package org.cypressweir.sidecar;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import org.cypressweir.loadbalancing.LoadBalancer.Rules;
import org.cypressweir.sidecar.route.PoolConfiguration;

/**
 * A request to go over to another protocol on its connection. It is a request like any other until a server
 * has
 * agreed; from then on the two connections belong to what comes of it.
 */
interface Upgrade {

    /** A connection that has gone over; its HTTP handlers are gone, and nothing is read from it. */
    record End(Channel channel, ByteBuf early) {}

    /** The servers of a pool. */
    interface Fleet {
        /** Servers in service, each counted by the part of a warm one that it takes. */
        double warmServers();

        /** How many connections that stay it takes, in all and each server, and how many a second. */
        PoolConfiguration.Tunnelled tunnels();

        /** Those that say what a cold server takes. */
        Rules rules();
    }

    /** The server of a connection that has gone over. */
    interface Host {
        Fleet fleet();

        /** When it was started, in microseconds; 0 for long ago. */
        long startMicros();

        /** What it carries beside requests, in requests in flight, and whether it takes no more of it now. */
        void carries(double requests, boolean full);

        /** When it last told its use; 0 for never. */
        long toldAt();

        double use();

        double requests();
    }

    /** Both connections after a server has agreed. */
    interface Joined {
        /** The server leaves, and was told to then; it ends in order. */
        void leaves(long toldAt);

        /** The server stays after all. */
        void stays();
    }

    /** It has been taken, as this call. */
    void taken(ClientRequest call);

    /**
     * Whether there is room for one more connection that stays.
     *
     * @return -1 if so, else after how many microseconds the client should come back
     */
    long admit(Fleet fleet);

    /** Turns the headers that go on to a server into those of the handshake. */
    void ask(HttpHeaders headers);

    /** An attempt goes out to that server. */
    void tried(Host host);

    /** What is wrong with a server's 101; null where the server has agreed to what was asked for. */
    String fault(FullHttpResponse answer);

    /** The client is told this in place of 101. */
    void answered(HttpResponseStatus status);

    /** The client left before it was told anything. */
    void left();

    /** Joins the two connections; it owns them and what came early from now on. */
    Joined join(FullHttpResponse answer, End client, End server, Host host);
}
