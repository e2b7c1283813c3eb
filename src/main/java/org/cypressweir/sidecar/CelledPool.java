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
import org.cypressweir.sidecar.cell.CellAssignment.Moved;
import org.cypressweir.sidecar.cell.Cells;
import org.cypressweir.sidecar.cell.Cells.Ticket;
import org.cypressweir.sidecar.cell.CellsConfiguration;
import org.cypressweir.sidecar.route.PoolConfiguration;

/** Cells with a pool each. Which of them a request or a server belongs to is for {@link Cells} to say. */
final class CelledPool implements Cluster, Cells.Actions, ClientRequest.Watch {

    private record Known(ServerList.Entry entry, int cell) {}

    private final Pool.Shared shared;
    private List<RequestClass> classes;
    private Limits limits;
    private Shares shares;
    private final Function<PoolConfiguration, Pool> maker;
    private final List<Pool> pools = new ArrayList<>();
    private final Cells cells;
    private final Map<Long, Known> known = new HashMap<>();
    /** By ticket, until a pool has them. */
    private final Map<Ticket, ClientRequest> held = new IdentityHashMap<>();

    /** @param maker makes the pool of one cell */
    CelledPool(Pool.Shared shared, Settings settings, PoolConfiguration plan, Function<PoolConfiguration, Pool> maker) {
        this.shared = shared;
        classes = settings.classes();
        limits = settings.limits();
        this.maker = maker;
        for (int c = 0; c < plan.cells().cells().size(); c++) {
            pools.add(maker.apply(plan.ofCell(c)));
        }
        cells = new Cells(
                plan.name(), plan.cells(), plan.requests(), shared.clock().micros(), this);
    }

    @Override
    public boolean ready() {
        return pools.stream().anyMatch(Pool::ready);
    }

    @Override
    public int knownServers() {
        return known.size();
    }

    @Override
    public void retune(Settings next) {
        classes = next.classes();
        limits = next.limits();
        pools.forEach(p -> p.retune(next));
    }

    @Override
    public void trim() {
        pools.forEach(Pool::trim);
    }

    @Override
    public void among(int instances) {
        pools.forEach(p -> p.among(instances));
    }

    @Override
    public int listed() {
        return known.size();
    }

    @Override
    public int avoided() {
        return pools.stream().mapToInt(Pool::avoided).sum();
    }

    @Override
    public long waitingBytes() {
        return pools.stream().mapToLong(Pool::waitingBytes).sum();
    }

    @Override
    public ServerList list() {
        return new ServerList(0, true, known.values().stream().map(Known::entry).toList());
    }

    // ---- Requests

    @Override
    public void take(ClientRequest call) {
        long now = shared.clock().micros();
        Effect effect = classes.get(call.request.requestClass()).effect();
        String key = effect == Effect.KEYED ? call.headers.get(Headers.IDEMPOTENCY_KEY) : null;
        Ticket ticket = cells.ask(
                now,
                unit(call),
                effect,
                key == null ? 0 : Ids.of(key),
                Hashes.mix(Ids.of(call.request.id()), 0),
                call.request.deadlineMicros());
        if (ticket.retryAfterMicros() > 0) {
            refuse(call, ticket.retryAfterMicros());
            return;
        }
        call.watch = this;
        call.ticket = ticket;
        if (ticket.cell() < 0) {
            held.put(ticket, call);
        } else {
            pools.get(ticket.cell()).take(call);
        }
    }

    /** At once: it has been nowhere, so to come back does no harm. */
    private void refuse(ClientRequest call, long retryAfterMicros) {
        long advice = limits.retryAdvice() ? RetryAfter.limit(limits.maxRetryAdviceMicros(), retryAfterMicros) : 0;
        forget(call, Ending.REFUSED);
        if (call.upgrade != null) {
            call.upgrade.answered(HttpResponseStatus.SERVICE_UNAVAILABLE);
        }
        call.client.answer(HttpResponseStatus.SERVICE_UNAVAILABLE, RetryAfter.headers(advice), Unpooled.EMPTY_BUFFER);
    }

    private void forget(ClientRequest call, Ending ending) {
        call.over = true;
        call.forgotten = true;
        shared.inFlight().over(call, ending);
        shared.inFlight().remove(call);
    }

    /** What stays together; requests that have none of it are one unit. */
    private long unit(ClientRequest call) {
        CellsConfiguration plan = cells.plan();
        return switch (plan.unit()) {
            case KEY -> call.request.key();
            case TENANT -> text(call.headers, Headers.TENANT);
            case HEADER -> text(call.headers, plan.header());
        };
    }

    private static long text(HttpHeaders headers, String name) {
        String value = headers.get(name);
        return Ids.of(value == null ? "" : value.trim());
    }

    @Override
    public void left(ClientRequest call) {
        if (call.pool != null) {
            call.pool.left(call);
            return;
        }
        held.remove(call.ticket);
        if (call.upgrade != null) {
            call.upgrade.left();
        }
        forget(call, null);
        long now = shared.clock().micros();
        if (call.ticket.cell() < 0) {
            cells.left(now, call.ticket);
        } else {
            cells.ended(now, call.ticket);
        }
    }

    /** In a turn of its own, since it comes out of what some pool is just doing. */
    @Override
    public void release(Ticket ticket) {
        shared.loop().execute(() -> {
            ClientRequest call = held.remove(ticket);
            if (call != null) {
                pools.get(ticket.cell()).take(call);
            }
        });
    }

    @Override
    public void answered(ClientRequest call) {
        long now = shared.clock().micros();
        RequestClass c = classes.get(call.request.requestClass());
        cells.answered(now, call.ticket, call.served && now - call.ticket.takenAt() <= c.aimMicros());
    }

    @Override
    public void ended(ClientRequest call) {
        cells.ended(shared.clock().micros(), call.ticket);
    }

    @Override
    public void timer(long atMicros) {
        shared.loop()
                .schedule(
                        () -> {
                            long now = shared.clock().micros();
                            hand(ListKind.CHANGES, new ServerList(0, false, List.of()), cells.sweep(now));
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
    public void listed(ListKind kind, ServerList list) {
        List<Moved> moved = cells.listed(shared.clock().micros(), kind, list.servers());
        if (kind == ListKind.CHANGES) {
            hand(kind, list, moved);
            return;
        }
        known.clear();
        List<List<ServerList.Entry>> parts = parts();
        for (ServerList.Entry e : list.entries()) {
            int cell = cells.cellOf(e.server().id());
            if (cell >= 0) {
                known.put(e.server().id(), new Known(e, cell));
                parts.get(cell).add(e);
            }
        }
        for (int c = 0; c < pools.size(); c++) {
            pools.get(c).listed(kind, new ServerList(list.revision(), true, parts.get(c)));
        }
    }

    /** Changes, and servers that stay but belong to another cell: there they are new, here they are gone. */
    private void hand(ListKind kind, ServerList list, List<Moved> moved) {
        List<List<ServerList.Entry>> parts = parts();
        for (ServerList.Entry e : list.entries()) {
            long id = e.server().id();
            Known before = known.get(id);
            int cell = cells.cellOf(id);
            if (cell < 0) {
                known.remove(id);
                if (before != null) {
                    parts.get(before.cell).add(e);
                }
                continue;
            }
            if (before != null && before.cell != cell) {
                parts.get(before.cell).add(0, before.entry.gone());
            }
            parts.get(cell).add(e);
            known.put(id, new Known(e, cell));
        }
        for (Moved m : moved) {
            Known before = known.get(m.server());
            if (before != null && before.cell != m.to()) {
                parts.get(before.cell).add(0, before.entry.gone());
                parts.get(m.to()).add(before.entry);
                known.put(m.server(), new Known(before.entry, m.to()));
            }
        }
        for (int c = 0; c < pools.size(); c++) {
            // A list that came is an answer to all that asked for one; what was only moved is none.
            if (!parts.get(c).isEmpty() || list.revision() != 0) {
                pools.get(c).listed(kind, new ServerList(list.revision(), false, parts.get(c)));
            }
        }
    }

    private List<List<ServerList.Entry>> parts() {
        List<List<ServerList.Entry>> parts = new ArrayList<>();
        pools.forEach(p -> parts.add(new ArrayList<>()));
        return parts;
    }

    @Override
    public void failed() {
        pools.forEach(Pool::failed);
    }

    // ---- Other plans

    @Override
    public boolean fits(PoolConfiguration plan) {
        return plan.cells() != null && cells.fits(plan.cells());
    }

    @Override
    public void limit(PoolConfiguration plan) {
        for (int c = 0; c < plan.cells().cells().size(); c++) {
            if (c < pools.size()) {
                pools.get(c).limit(plan.ofCell(c));
            } else {
                Pool added = maker.apply(plan.ofCell(c));
                pools.add(added);
                added.share(shares);
                added.listed(ListKind.COMPLETE, new ServerList(0, true, List.of()));
            }
        }
        hand(
                ListKind.CHANGES,
                new ServerList(0, false, List.of()),
                cells.plan(shared.clock().micros(), plan.cells(), plan.requests()));
    }

    @Override
    public void share(Shares others) {
        shares = others;
        pools.forEach(p -> p.share(others));
    }

    @Override
    public void retire(Runnable ended) {
        cells.closing(shared.clock().micros());
        // What was held is with its pool before that pool can be empty.
        shared.loop().execute(() -> {
            int[] left = {pools.size()};
            pools.forEach(p -> p.retire(() -> {
                if (--left[0] == 0) {
                    ended.run();
                }
            }));
        });
    }

    @Override
    public void close() {
        pools.forEach(Pool::close);
    }
}
