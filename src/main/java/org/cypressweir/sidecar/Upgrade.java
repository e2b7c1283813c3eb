package org.cypressweir.sidecar;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import org.cypressweir.loadbalancing.LoadBalancer.Rules;
import org.cypressweir.sidecar.route.PoolConfiguration;

/**
 * A request to upgrade its connection to another protocol. It is handled like any other request until a server agrees;
 * from then on both connections belong to the tunnel that results.
 */
interface Upgrade {

    /**
     * An upgraded connection with the bytes received early; its HTTP handlers are removed, and nothing is read from it.
     */
    record UpgradedChannel(Channel channel, ByteBuf earlyBytes) {}

    /** The servers of a pool. */
    interface ServerGroup {
        /** The number of servers in service, where a server in slow start counts as its share of a warm one. */
        double warmServers();

        /** The limits on tunnels: in total, per server, and new ones per second. */
        PoolConfiguration.TunnelLimits tunnels();

        /** The rules that determine the share of a cold server. */
        Rules rules();
    }

    /** The server of an upgraded connection. */
    interface UpgradeServer {
        ServerGroup group();

        /** Start time in microseconds; 0 if the server was started long ago. */
        long startMicros();

        /**
         * Sets the load of its tunnels, expressed in requests in flight, and whether it accepts no more tunnels for
         * now.
         */
        void setTunnelLoad(double requests, boolean full);

        /** When the server last reported its load; 0 if never. */
        long loadReportedAt();

        double reportedLoad();

        double requests();
    }

    /** The joined client and server connections after a server has agreed. */
    interface UpgradedExchange {
        /** The server is draining since that time; the tunnel is closed in order. */
        void serverDraining(long toldAt);

        /** The drain was cancelled and the server stays. */
        void serverReinstated();
    }

    /** The request was admitted as this client request. */
    void accepted(ClientRequest call);

    /**
     * Admits one more tunnel if the limits allow.
     *
     * @return -1 if admitted, otherwise the microseconds after which the client should retry
     */
    long admit(ServerGroup fleet);

    /** Adds the handshake to the headers sent to a server. */
    void addHandshakeHeaders(HttpHeaders headers);

    /** An attempt is being sent to this server. */
    void attempted(UpgradeServer host);

    /** The fault of a server's 101 response; null if the server has agreed to what was asked for. */
    String fault(FullHttpResponse answer);

    /** The client receives this status instead of 101. */
    void declined(HttpResponseStatus status);

    /** The client left before it had a response. */
    void clientLeft();

    /** Joins the two connections; takes ownership of them and of the bytes received early. */
    UpgradedExchange join(FullHttpResponse answer, UpgradedChannel client, UpgradedChannel server, UpgradeServer host);
}
