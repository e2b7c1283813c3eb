package org.cypressweir.sidecar;

import io.netty.handler.codec.http.FullHttpRequest;
import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.cypressweir.loadbalancing.LoadBalancer.ListKind;

/** Without an operators' file: one address, one pool, and classes by the first part of the path. */
final class PlainLayout implements Layout {

    private final Parts parts;
    private final Pool pool;

    PlainLayout(Parts parts) {
        this.parts = parts;
        SidecarConfiguration config = parts.config();
        pool = new Pool(parts.shared(), config, config.settings(), config.serverConnections(), null, parts.modules());
    }

    @Override
    public void open() {
        pool.listed(ListKind.CACHED, parts.config().known());
    }

    @Override
    public CompletableFuture<InetSocketAddress> listen() {
        return parts.clients().listen(parts.config().listen()).thenApply(ClientListener.ListeningSocket::address);
    }

    @Override
    public RouteDecision way(FullHttpRequest http) throws RequestReader.BadRequest {
        return parts.reader().way(http, pool);
    }

    @Override
    public boolean ready() {
        return pool.ready();
    }

    @Override
    public long waitingBytes() {
        return pool.waitingBytes();
    }

    @Override
    public Collection<Cluster> discovered() {
        return List.of(pool);
    }

    @Override
    public Change reread(SidecarConfiguration next) {
        return () -> {
            pool.retune(next.settings());
            return CompletableFuture.completedFuture(null);
        };
    }

    @Override
    public void widen(SidecarConfiguration wider) {
        pool.setLimits(wider.settings().limits());
    }

    @Override
    public void stopping() {
        pool.stopping();
    }

    @Override
    public void close() {
        pool.close();
    }
}
