package larkbank.sidecar;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.SplittableRandom;
import java.util.function.IntSupplier;
import larkbank.route.WebSocketLimits;
import larkbank.websocket.Handshake;
import larkbank.websocket.Tunnel;
import larkbank.websocket.Tunnels;
import larkbank.websocket.UpgradeAccount;
import larkbank.websocket.UpgradeAccount.Event;

/** Upgrades to WebSocket, and the tunnels that come of them. */
final class WebSocketUpgrades {

    /** Open tunnels end over this time where the process does. */
    private static final long SPREAD_MICROS = 1_000_000;

    private final Clock clock;
    private final SplittableRandom random;
    private final Tunnels tunnels;
    private final UpgradeAccount.Counters counters = new UpgradeAccount.Counters();

    WebSocketUpgrades(EventLoop loop, Clock clock, long seed) {
        this.clock = clock;
        random = new SplittableRandom(seed);
        tunnels = new Tunnels(loop, clock::micros);
    }

    UpgradeAccount.Counters counters() {
        return counters;
    }

    /** Reads a request that asks for one. */
    Upgrade ask(FullHttpRequest http, WebSocketLimits limits) throws RequestReader.BadRequest {
        try {
            return new Asked(Handshake.read(http), limits);
        } catch (Handshake.Refused e) {
            HttpHeaders headers = new DefaultHttpHeaders();
            if (e.status().equals(HttpResponseStatus.UPGRADE_REQUIRED)) {
                headers.set(HttpHeaderNames.SEC_WEBSOCKET_VERSION, Handshake.VERSION)
                        .set(HttpHeaderNames.UPGRADE, "websocket");
            }
            throw new RequestReader.BadRequest(e.status(), e.getMessage(), headers);
        }
    }

    void stopping() {
        tunnels.goAway(SPREAD_MICROS);
    }

    /** Equal for all servers of a pool. */
    private record Ready(IntSupplier ready) implements Tunnels.Pool {
        @Override
        public int readyServers() {
            return ready.getAsInt();
        }
    }

    private record Server(Ready pool, Upgrade.Host host) implements Tunnels.Host {
        @Override
        public void weighs(double change) {
            host.weighs(change);
        }
    }

    private final class Asked implements Upgrade {
        private final Handshake handshake;
        private final WebSocketLimits limits;
        private UpgradeAccount account;

        Asked(Handshake handshake, WebSocketLimits limits) {
            this.handshake = handshake;
            this.limits = limits;
        }

        @Override
        public void taken() {
            account = new UpgradeAccount(counters);
        }

        @Override
        public void ask(HttpHeaders headers) {
            handshake.ask(headers);
        }

        @Override
        public void tried() {
            account.on(Event.TRY);
        }

        @Override
        public String fault(FullHttpResponse answer) {
            return handshake.fault(answer);
        }

        @Override
        public void answered(HttpResponseStatus status) {
            boolean refusal = status.code() == 503 || status.code() == 429;
            account.on(refusal ? Event.REFUSE : Event.FAIL);
        }

        @Override
        public void left() {
            account.on(Event.LEAVE);
        }

        @Override
        public Joined join(FullHttpResponse answer, End client, End server, Host host) {
            account.on(Event.OPEN);
            Tunnel tunnel = new Tunnel(limits, Handshake.isCompressed(answer), client.channel(),
                    server.channel(), clock::micros, random, account, tunnels::remove);
            tunnels.add(tunnel, new Server(new Ready(host.readyServers()), host));
            tunnel.begin(client.early(), server.early());
            return new Joined() {
                @Override
                public void leaves(long toldAt) {
                    tunnels.leaves(tunnel, limits, toldAt);
                }

                @Override
                public void stays() {
                    tunnels.stays(tunnel);
                }
            };
        }
    }
}
