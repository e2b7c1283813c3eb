package org.cypressweir.sidecar;

import io.netty.handler.codec.http.FullHttpRequest;
import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.cypressweir.loadbalancing.LoadBalancer.ListKind;

/** The layout without an operators' file: one address, one pool, and request classes by the first path segment. */
final class SinglePoolLayout implements Layout {

    private final Context context;
    private final Pool pool;

    SinglePoolLayout(Context context) {
        this.context = context;
        SidecarConfiguration config = context.config();
        pool = new Pool(
                context.shared(),
                config,
                config.settings(),
                config.serverConnections(),
                null,
                context.loadBalancerFactory());
    }

    @Override
    public void open() {
        pool.updateServers(ListKind.CACHED, context.config().initialServers());
    }

    @Override
    public CompletableFuture<InetSocketAddress> listen() {
        return context.clientListener()
                .listen(context.config().listen())
                .thenApply(ClientListener.ListeningSocket::address);
    }

    @Override
    public RouteDecision route(FullHttpRequest http) throws RequestReader.BadRequest {
        return context.reader().route(http, pool);
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
    public Collection<Cluster> discoveredClusters() {
        return List.of(pool);
    }

    @Override
    public Change reload(SidecarConfiguration next) {
        return () -> {
            pool.updateSettings(next.settings());
            return CompletableFuture.completedFuture(null);
        };
    }

    @Override
    public void raiseLimits(SidecarConfiguration wider) {
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
