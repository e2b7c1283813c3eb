package org.cypressweir.sidecar;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.SplittableRandom;
import org.cypressweir.sidecar.route.Resume;
import org.cypressweir.sidecar.route.WebSocketLimits;
import org.cypressweir.sidecar.websocket.Handshake;
import org.cypressweir.sidecar.websocket.Tunnel;
import org.cypressweir.sidecar.websocket.TunnelAdmission;
import org.cypressweir.sidecar.websocket.Tunnels;
import org.cypressweir.sidecar.websocket.UpgradeAccount;
import org.cypressweir.sidecar.websocket.UpgradeAccount.Event;

/** Upgrades to WebSocket and the resulting tunnels. */
final class WebSocketUpgrades {

    /** At shutdown, open tunnels are closed over this interval. */
    private static final long SHUTDOWN_SPREAD_MICROS = 1_000_000;

    private final SidecarClock clock;
    private final SplittableRandom random;
    private final int maxTunnels;
    private final Tunnels tunnels;
    private long moveCount;
    private long movedTunnels;
    private final UpgradeAccount.Counters counters = new UpgradeAccount.Counters();

    /** Limits the total number of tunnels to the given maximum. */
    WebSocketUpgrades(EventLoop loop, SidecarClock clock, long seed, int maxTunnels) {
        this.clock = clock;
        this.maxTunnels = maxTunnels;
        random = new SplittableRandom(seed);
        tunnels = new Tunnels(loop, clock::micros, random.split());
    }

    UpgradeAccount.Counters counters() {
        return counters;
    }

    /** Number of tunnels that were moved to another server. */
    long movedTunnels() {
        return movedTunnels;
    }

    /** Reads an upgrade request. */
    Upgrade readUpgrade(FullHttpRequest http, WebSocketLimits limits) throws RequestReader.BadRequest {
        try {
            Handshake handshake = Handshake.read(http);
            boolean resumable =
                    limits.resume() != null && handshake.offers(limits.resume().subprotocols());
            return new RequestedUpgrade(resumable ? handshake.withoutExtensions() : handshake, limits);
        } catch (Handshake.InvalidHandshakeException e) {
            HttpHeaders headers = new DefaultHttpHeaders();
            if (e.status().equals(HttpResponseStatus.UPGRADE_REQUIRED)) {
                headers.set(HttpHeaderNames.SEC_WEBSOCKET_VERSION, Handshake.VERSION)
                        .set(HttpHeaderNames.UPGRADE, "websocket");
            }
            throw new RequestReader.BadRequest(e.status(), e.getMessage(), headers);
        }
    }

    void stopping() {
        tunnels.goAway(SHUTDOWN_SPREAD_MICROS);
    }

    /** Adapts a pool's servers; equal for all servers of one pool. */
    private record Servers(Upgrade.ServerGroup fleet) implements Tunnels.Pool {
        @Override
        public double warmServers() {
            return fleet.warmServers();
        }

        @Override
        public int maxTunnels() {
            return fleet.tunnels().maxOpen();
        }

        @Override
        public TunnelAdmission.Rule rule() {
            return new TunnelAdmission.Rule(
                    fleet.tunnels().newPerSecond(),
                    fleet.rules(),
                    fleet.tunnels().maxOpenPerServer());
        }
    }

    /** Adapts a server; equal for all tunnels of one server. */
    private record Server(Servers pool, Upgrade.UpgradeServer host) implements Tunnels.Host {
        static Server of(Upgrade.UpgradeServer host) {
            return new Server(new Servers(host.group()), host);
        }

        @Override
        public long startMicros() {
            return host.startMicros();
        }

        @Override
        public void setTunnelLoad(double weight, boolean full) {
            host.setTunnelLoad(weight, full);
        }

        @Override
        public long loadReportedAt() {
            return host.loadReportedAt();
        }

        @Override
        public double utilization() {
            return host.reportedLoad();
        }

        @Override
        public double requestsInFlight() {
            return host.requests();
        }
    }

    /** Passes changes of a server's state to its tunnel. */
    private final class TunnelServerLink implements Upgrade.UpgradedExchange {
        private final Tunnel tunnel;
        private final Server server;

        private TunnelServerLink(Tunnel tunnel, Server server) {
            this.tunnel = tunnel;
            this.server = server;
        }

        @Override
        public void serverDraining(long toldAt) {
            tunnels.serverDraining(tunnel, server, toldAt);
        }

        @Override
        public void serverReinstated() {
            tunnels.drainCancelled(tunnel, server);
        }
    }

    private final class RequestedUpgrade implements Upgrade {
        private final Handshake handshake;
        private final WebSocketLimits limits;
        private UpgradeAccount account;
        private ClientRequest call;
        private Tunnels.Permit ticket;

        RequestedUpgrade(Handshake handshake, WebSocketLimits limits) {
            this.handshake = handshake;
            this.limits = limits;
        }

        @Override
        public void accepted(ClientRequest clientRequest) {
            call = clientRequest;
            account = new UpgradeAccount(counters);
        }

        @Override
        public long admit(ServerGroup fleet) {
            ticket = tunnels.requestAdmission(new Servers(fleet), call.request.tenant(), limits, maxTunnels);
            return ticket.isAdmitted() ? -1 : ticket.retryMicros();
        }

        @Override
        public void addHandshakeHeaders(HttpHeaders headers) {
            handshake.writeTo(headers);
        }

        @Override
        public void attempted(UpgradeServer host) {
            account.apply(Event.TRY);
            tunnels.handshakeSent(Server.of(host));
        }

        @Override
        public String fault(FullHttpResponse answer) {
            return handshake.findResponseFault(answer);
        }

        @Override
        public void declined(HttpResponseStatus status) {
            boolean refusal = status.code() == 503 || status.code() == 429;
            account.apply(refusal ? Event.REFUSE : Event.FAIL);
            leave();
        }

        @Override
        public void clientLeft() {
            account.apply(Event.LEAVE);
            leave();
        }

        private void leave() {
            if (ticket != null) {
                ticket.release();
            }
        }

        @Override
        public UpgradedExchange join(
                FullHttpResponse answer, UpgradedChannel client, UpgradedChannel server, UpgradeServer host) {
            account.apply(Event.OPEN);
            Tunnel tunnel = new Tunnel(
                    limits,
                    Handshake.isCompressed(answer),
                    client.channel(),
                    server.channel(),
                    clock::micros,
                    random,
                    account,
                    tunnels::remove);
            Server targetServer = Server.of(host);
            String protocol = Handshake.protocol(answer);
            boolean resumable = limits.resume() != null
                    && protocol != null
                    && limits.resume().subprotocols().contains(protocol);
            tunnels.add(
                    tunnel,
                    limits,
                    ticket,
                    targetServer,
                    resumable ? new Resumer(tunnel, call, handshake, protocol, limits.resume())::move : null);
            // Releases the request: the reference would otherwise live as long as the tunnel.
            call = null;
            tunnel.begin(client.earlyBytes(), server.earlyBytes());
            return new TunnelServerLink(tunnel, targetServer);
        }
    }

    /** Requests other servers for one tunnel. */
    private final class Resumer {
        private final Tunnel tunnel;
        private final ClientRequest originalRequest;
        private final Handshake handshake;
        private final String protocol;
        private final Resume resume;

        private Resumer(
                Tunnel tunnel, ClientRequest originalRequest, Handshake handshake, String protocol, Resume resume) {
            this.tunnel = tunnel;
            this.originalRequest = originalRequest;
            this.handshake = handshake;
            this.protocol = protocol;
            this.resume = resume;
        }

        private void move() {
            byte[] key = new byte[Handshake.KEY_BYTES];
            random.nextBytes(key);
            String id = originalRequest.request.id() + "-m" + ++moveCount;
            HttpHeaders headers = new DefaultHttpHeaders().set(originalRequest.headers);
            headers.set(Headers.REQUEST_ID, id);
            if (resume.header() != null) {
                headers.set(resume.header(), resume.value());
            }
            TunnelMove tunnelMove = new TunnelMove(tunnel, handshake.forAnotherServer(protocol, key), protocol);
            originalRequest.pool.repeatHandshake(originalRequest, id, tunnelMove, headers, tunnelMove);
        }
    }

    /** The handshake that moves a tunnel to another server; the client does not notice it. */
    private final class TunnelMove implements Upgrade, ClientRequest.Client {
        private final Tunnel tunnel;
        private final Handshake handshake;
        private final String protocol;

        private TunnelMove(Tunnel tunnel, Handshake handshake, String protocol) {
            this.tunnel = tunnel;
            this.handshake = handshake;
            this.protocol = protocol;
        }

        @Override
        public void accepted(ClientRequest call) {}

        /** The tunnel is already counted; the other server must still have capacity for one more. */
        @Override
        public long admit(ServerGroup fleet) {
            return tunnels.mayMove(new Servers(fleet)) ? -1 : 0;
        }

        @Override
        public void addHandshakeHeaders(HttpHeaders headers) {
            handshake.writeTo(headers);
        }

        @Override
        public void attempted(UpgradeServer host) {
            tunnels.handshakeSent(Server.of(host));
        }

        @Override
        public String fault(FullHttpResponse answer) {
            String fault = handshake.findResponseFault(answer);
            return fault != null ? fault : protocol.equals(Handshake.protocol(answer)) ? null : "another subprotocol";
        }

        @Override
        public void declined(HttpResponseStatus status) {}

        @Override
        public void clientLeft() {
            tunnels.moveRefused(tunnel);
        }

        @Override
        public void respond(HttpResponseStatus status, HttpHeaders headers, ByteBuf content) {
            content.release();
            tunnels.moveRefused(tunnel);
        }

        @Override
        public Upgrade.UpgradedChannel switchProtocols(FullHttpResponse answer) {
            return new Upgrade.UpgradedChannel(null, Unpooled.EMPTY_BUFFER);
        }

        @Override
        public UpgradedExchange join(
                FullHttpResponse answer, UpgradedChannel client, UpgradedChannel server, UpgradeServer host) {
            Server targetServer = Server.of(host);
            tunnels.moveTo(
                    tunnel, targetServer, server.channel(), server.earlyBytes(), done -> movedTunnels += done ? 1 : 0);
            return new TunnelServerLink(tunnel, targetServer);
        }
    }
}
