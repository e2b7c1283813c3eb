package org.cypressweir.testkit;

import java.util.ArrayList;
import java.util.List;
import org.cypressweir.common.util.Hashes;
import org.cypressweir.common.util.Ids;
import org.cypressweir.loadbalancing.LoadBalancer.Effect;
import org.cypressweir.loadbalancing.LoadBalancer.ListKind;
import org.cypressweir.sidecar.cell.CellRouter;
import org.cypressweir.sidecar.cell.CellRouter.Ticket;
import org.cypressweir.sidecar.cell.CellsConfiguration;

/** Drives the assignment of requests to cells in simulated time, and records the requests that it releases. */
public final class CellsFixture implements CellRouter.Actions {

    public static final int REQUESTS = 1_000;

    public final List<String> log = new ArrayList<>();
    public final List<Ticket> released = new ArrayList<>();
    public final CellRouter cells;
    public long now;
    private long timerAt;
    private int requestCount;

    public CellsFixture(CellsConfiguration plan, long now, int servers) {
        this.now = now;
        cells = new CellRouter("p", plan, REQUESTS, now, this);
        cells.listed(now, ListKind.COMPLETE, CellConfigurations.servers(servers, 2));
    }

    /** Advances the time, and runs timers as they become due. */
    public void advanceTo(long later) {
        while (timerAt != 0 && timerAt <= later) {
            now = Math.max(now, timerAt);
            timerAt = 0;
            cells.timer(now);
        }
        now = later;
    }

    public Ticket ask(String unit, Effect effect) {
        return ask(unit, effect, ++requestCount);
    }

    /** Submits a request; the number identifies both the request and its idempotency key. */
    public Ticket ask(String unit, Effect effect, long number) {
        return ask(unit, effect, number, 3_000_000);
    }

    public Ticket ask(String unit, Effect effect, long number, long timeoutMicros) {
        return cells.route(now, Ids.of(unit), effect, number, Hashes.mix(number, 5), now + timeoutMicros);
    }

    public void done(Ticket ticket, boolean inTime) {
        cells.answered(now, ticket, inTime);
        cells.ended(now, ticket);
    }

    /**
     * Submits this number of requests of a unit, spread over one second.
     *
     * @param inTime whether they are answered in time; each ends at once
     */
    public void runSecond(String unit, Effect effect, int requests, boolean inTime) {
        long end = now + 1_000_000;
        for (int i = 0; i < requests; i++) {
            advanceTo(now + 1_000_000 / requests);
            done(ask(unit, effect), inTime);
        }
        advanceTo(end);
    }

    public boolean logged(String part) {
        return log.stream().anyMatch(l -> l.contains(part));
    }

    @Override
    public void release(Ticket ticket) {
        released.add(ticket);
    }

    @Override
    public void timer(long atMicros) {
        timerAt = timerAt == 0 ? atMicros : Math.min(timerAt, atMicros);
    }

    @Override
    public void log(String line) {
        log.add(line);
    }
}
