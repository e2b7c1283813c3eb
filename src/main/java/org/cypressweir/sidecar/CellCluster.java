package org.cypressweir.sidecar;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.cypressweir.common.util.Hashes;
import org.cypressweir.common.util.Ids;
import org.cypressweir.loadbalancing.LoadBalancer.Effect;
import org.cypressweir.loadbalancing.LoadBalancer.Limits;
import org.cypressweir.loadbalancing.LoadBalancer.ListKind;
import org.cypressweir.loadbalancing.LoadBalancer.RequestClass;
import org.cypressweir.loadbalancing.LoadBalancer.Settings;
import org.cypressweir.sidecar.admin.SidecarMetrics.Ending;
import org.cypressweir.sidecar.cell.CellAssignment.MovedServer;
import org.cypressweir.sidecar.cell.CellRouter;
import org.cypressweir.sidecar.cell.CellRouter.Ticket;
import org.cypressweir.sidecar.cell.CellsConfiguration;
import org.cypressweir.sidecar.route.PoolConfiguration;

/**
 * A cluster divided into cells with a pool each. {@link CellRouter} decides which cell a request or a server belongs
 * to.
 */
final class CellCluster implements Cluster, CellRouter.Actions, ClientRequest.CompletionListener {

    private record KnownServer(ServerList.Entry entry, int cell) {}

    private final Pool.Shared shared;
    private List<RequestClass> classes;
    private Limits limits;
    private FleetShare share;
    private final Function<PoolConfiguration, Pool> poolFactory;
    private final List<Pool> pools = new ArrayList<>();
    private final CellRouter cells;
    private final Map<Long, KnownServer> serversById = new HashMap<>();
    /** Requests that wait for their cell, by ticket, until a pool accepts them. */
    private final Map<Ticket, ClientRequest> heldRequests = new IdentityHashMap<>();

    /** @param poolFactory creates the pool of one cell */
    CellCluster(
            Pool.Shared shared,
            Settings settings,
            PoolConfiguration configuration,
            Function<PoolConfiguration, Pool> poolFactory) {
        this.shared = shared;
        classes = settings.classes();
        limits = settings.limits();
        this.poolFactory = poolFactory;
        for (int c = 0; c < configuration.cells().cells().size(); c++) {
            pools.add(poolFactory.apply(configuration.forCell(c)));
        }
        cells = new CellRouter(
                configuration.name(),
                configuration.cells(),
                configuration.maxRequests(),
                shared.clock().micros(),
                this);
    }

    @Override
    public boolean ready() {
        return pools.stream().anyMatch(Pool::ready);
    }

    @Override
    public int knownServers() {
        return serversById.size();
    }

    @Override
    public void updateSettings(Settings next) {
        classes = next.classes();
        limits = next.limits();
        pools.forEach(p -> p.updateSettings(next));
    }

    @Override
    public void closeSurplusIdle() {
        pools.forEach(Pool::closeSurplusIdle);
    }

    @Override
    public void setInstanceCount(int instances) {
        pools.forEach(p -> p.setInstanceCount(instances));
    }

    @Override
    public int listedServers() {
        return serversById.size();
    }

    @Override
    public int avoidedServers() {
        return pools.stream().mapToInt(Pool::avoidedServers).sum();
    }

    @Override
    public long waitingBytes() {
        return pools.stream().mapToLong(Pool::waitingBytes).sum();
    }

    @Override
    public ServerList serverList() {
        return new ServerList(
                0, true, serversById.values().stream().map(KnownServer::entry).toList());
    }

    // ---- Requests

    @Override
    public void accept(ClientRequest request) {
        long now = shared.clock().micros();
        Effect effect = classes.get(request.request.requestClass()).effect();
        String key = effect == Effect.KEYED ? request.headers.get(Headers.IDEMPOTENCY_KEY) : null;
        Ticket ticket = cells.route(
                now,
                unitHash(request),
                effect,
                key == null ? 0 : Ids.of(key),
                Hashes.mix(Ids.of(request.request.id()), 0),
                request.request.deadlineMicros());
        if (ticket.retryAfterMicros() > 0) {
            refuse(request, ticket.retryAfterMicros());
            return;
        }
        request.completionListener = this;
        request.ticket = ticket;
        if (ticket.cell() < 0) {
            heldRequests.put(ticket, request);
        } else {
            pools.get(ticket.cell()).accept(request);
        }
    }

    /** Refuses a request at once. No server has received it, so the client can safely send it again. */
    private void refuse(ClientRequest request, long retryAfterMicros) {
        long advice = limits.retryAdvice() ? RetryAfter.limit(limits.maxRetryAdviceMicros(), retryAfterMicros) : 0;
        forget(request, Ending.REFUSED);
        if (request.upgrade != null) {
            request.upgrade.declined(HttpResponseStatus.SERVICE_UNAVAILABLE);
        }
        request.client.respond(
                HttpResponseStatus.SERVICE_UNAVAILABLE, RetryAfter.headers(advice), Unpooled.EMPTY_BUFFER);
    }

    private void forget(ClientRequest request, Ending ending) {
        request.finished = true;
        request.forgotten = true;
        shared.inFlight().finished(request, ending);
        shared.inFlight().remove(request);
    }

    /**
     * The request's unit as a hash. All requests of a unit go to the same cell; requests without the key, tenant or
     * header that names it form one unit together.
     */
    private long unitHash(ClientRequest request) {
        CellsConfiguration configuration = cells.configuration();
        return switch (configuration.unit()) {
            case KEY -> request.request.key();
            case TENANT -> headerHash(request.headers, Headers.TENANT);
            case HEADER -> headerHash(request.headers, configuration.header());
        };
    }

    private static long headerHash(HttpHeaders headers, String name) {
        String value = headers.get(name);
        return Ids.of(value == null ? "" : value.trim());
    }

    @Override
    public void clientDisconnected(ClientRequest request) {
        if (request.pool != null) {
            request.pool.clientDisconnected(request);
            return;
        }
        heldRequests.remove(request.ticket);
        if (request.upgrade != null) {
            request.upgrade.clientLeft();
        }
        forget(request, null);
        long now = shared.clock().micros();
        if (request.ticket.cell() < 0) {
            cells.cancelHeld(now, request.ticket);
        } else {
            cells.ended(now, request.ticket);
        }
    }

    /** Runs as a task of its own, because it is called while some pool is handling an event. */
    @Override
    public void release(Ticket ticket) {
        shared.loop().execute(() -> {
            ClientRequest request = heldRequests.remove(ticket);
            if (request != null) {
                pools.get(ticket.cell()).accept(request);
            }
        });
    }

    @Override
    public void answered(ClientRequest request) {
        long now = shared.clock().micros();
        RequestClass requestClass = classes.get(request.request.requestClass());
        cells.answered(
                now, request.ticket, request.served && now - request.ticket.takenAt() <= requestClass.targetMicros());
    }

    @Override
    public void ended(ClientRequest request) {
        cells.ended(shared.clock().micros(), request.ticket);
    }

    @Override
    public void timer(long atMicros) {
        shared.loop()
                .schedule(
                        () -> {
                            long now = shared.clock().micros();
                            distribute(ListKind.CHANGES, new ServerList(0, false, List.of()), cells.sweep(now));
                            cells.timer(now);
                        },
                        Math.max(0, atMicros - shared.clock().micros()),
                        TimeUnit.MICROSECONDS);
    }

    @Override
    public void log(String line) {
        shared.log().accept(line);
    }

    // ---- Servers

    @Override
    public void updateServers(ListKind kind, ServerList list) {
        List<MovedServer> moved = cells.listed(shared.clock().micros(), kind, list.servers());
        if (kind == ListKind.CHANGES) {
            distribute(kind, list, moved);
            return;
        }
        serversById.clear();
        List<List<ServerList.Entry>> parts = emptyListPerCell();
        for (ServerList.Entry e : list.entries()) {
            int cell = cells.cellOf(e.server().id());
            if (cell >= 0) {
                serversById.put(e.server().id(), new KnownServer(e, cell));
                parts.get(cell).add(e);
            }
        }
        for (int c = 0; c < pools.size(); c++) {
            pools.get(c).updateServers(kind, new ServerList(list.revision(), true, parts.get(c)));
        }
    }

    /**
     * Distributes changes to the pools. A server that has moved to another cell is removed from the old cell's pool and
     * added to the new one's.
     */
    private void distribute(ListKind kind, ServerList list, List<MovedServer> moved) {
        List<List<ServerList.Entry>> parts = emptyListPerCell();
        for (ServerList.Entry e : list.entries()) {
            long id = e.server().id();
            KnownServer before = serversById.get(id);
            int cell = cells.cellOf(id);
            if (cell < 0) {
                serversById.remove(id);
                if (before != null) {
                    parts.get(before.cell).add(e);
                }
                continue;
            }
            if (before != null && before.cell != cell) {
                parts.get(before.cell).add(0, before.entry.asRemoved());
            }
            parts.get(cell).add(e);
            serversById.put(id, new KnownServer(e, cell));
        }
        for (MovedServer m : moved) {
            KnownServer before = serversById.get(m.server());
            if (before != null && before.cell != m.to()) {
                parts.get(before.cell).add(0, before.entry.asRemoved());
                parts.get(m.to()).add(before.entry);
                serversById.put(m.server(), new KnownServer(before.entry, m.to()));
            }
        }
        for (int c = 0; c < pools.size(); c++) {
            // Each pool may be waiting for a list from discovery, so it gets one even if it is empty. Mere moves
            // between cells have revision 0 and go only to the pools that they change.
            if (!parts.get(c).isEmpty() || list.revision() != 0) {
                pools.get(c).updateServers(kind, new ServerList(list.revision(), false, parts.get(c)));
            }
        }
    }

    private List<List<ServerList.Entry>> emptyListPerCell() {
        List<List<ServerList.Entry>> parts = new ArrayList<>();
        pools.forEach(p -> parts.add(new ArrayList<>()));
        return parts;
    }

    @Override
    public void discoveryFailed() {
        pools.forEach(Pool::discoveryFailed);
    }

    // ---- Configuration

    @Override
    public boolean isCompatibleWith(PoolConfiguration configuration) {
        return configuration.cells() != null && cells.canApply(configuration.cells());
    }

    @Override
    public void applyLimits(PoolConfiguration configuration) {
        for (int c = 0; c < configuration.cells().cells().size(); c++) {
            if (c < pools.size()) {
                pools.get(c).applyLimits(configuration.forCell(c));
            } else {
                Pool added = poolFactory.apply(configuration.forCell(c));
                pools.add(added);
                added.setFleetShare(share);
                added.updateServers(ListKind.COMPLETE, new ServerList(0, true, List.of()));
            }
        }
        distribute(
                ListKind.CHANGES,
                new ServerList(0, false, List.of()),
                cells.reconfigure(shared.clock().micros(), configuration.cells(), configuration.maxRequests()));
    }

    @Override
    public void setFleetShare(FleetShare nextShare) {
        share = nextShare;
        pools.forEach(p -> p.setFleetShare(nextShare));
    }

    @Override
    public void retire(Runnable whenRetired) {
        cells.close(shared.clock().micros());
        // In a task of its own: by then the pools have the requests that were held, so that none ends as empty before.
        shared.loop().execute(() -> {
            int[] remaining = {pools.size()};
            pools.forEach(p -> p.retire(() -> {
                if (--remaining[0] == 0) {
                    whenRetired.run();
                }
            }));
        });
    }

    @Override
    public void close() {
        pools.forEach(Pool::close);
    }
}
