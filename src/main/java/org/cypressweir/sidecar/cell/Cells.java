package org.cypressweir.sidecar.cell;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.stream.IntStream;
import org.cypressweir.common.util.Hashes;
import org.cypressweir.loadbalancing.LoadBalancer.Effect;
import org.cypressweir.loadbalancing.LoadBalancer.ListKind;
import org.cypressweir.loadbalancing.LoadBalancer.Server;

/**
 * Decides which cell a request goes to, and nothing about what happens there: each cell has a module of its
 * own. It keeps units at home, moves them as operators order, lets a bounded number of safe requests of sick
 * cells be guests elsewhere, and sets units apart that flood their cell. No I/O, no clock, no threads; driven
 * by one thread, with times that never go back.
 */
public final class Cells {

    /** What it may do. Nothing of it may come back as an event before the call that caused it is over. */
    public interface Actions {
        /** A request that was held goes to the cell that its ticket names by now. */
        void release(Ticket ticket);

        /** Asks for {@link Cells#timer} at that time; at most one is outstanding. */
        void timer(long atMicros);

        /** A line for operators. */
        void log(String line);
    }

    /** A request from when it asks until nothing of it is out any more. */
    public static final class Ticket {
        private final long unit;
        private final Effect effect;
        private final long token;
        private final long takenAt;
        private int cell = -1;
        private boolean guest;
        private long retryAfter;
        /** The move that counts it as a write at the old cell. */
        private UnitMigration counted;

        private UnitMigration heldBy;

        private Ticket(long unit, Effect effect, long token, long takenAt) {
            this.unit = unit;
            this.effect = effect;
            this.token = token;
            this.takenAt = takenAt;
        }

        /** Place of the cell that it goes to; -1 while it is held. */
        public int cell() {
            return cell;
        }

        /** Microseconds after which to come back, where it is refused: it goes nowhere; else 0. */
        public long retryAfterMicros() {
            return retryAfter;
        }

        /** When it asked. */
        public long takenAt() {
            return takenAt;
        }

        /** Whether the cell is not the one that its unit belongs to. */
        public boolean guest() {
            return guest;
        }
    }

    /** Writes that one move may hold; what comes beyond goes to the old cell at once. */
    static final int MAX_HELD_PER_MIGRATION = 256;
    /** Keyed requests that are remembered while units move. */
    static final int MAX_REMEMBERED_KEYS = 1 << 16;
    /**
     * Part of its cell from which a unit that has surged is no guest: it would bring what made the cell
     * sick.
     */
    static final double FLOODING_PART = 1.0 / 8;
    /** Part of the guests of a sick cell that stay at home, so that it shows when it is well. */
    static final double TRIAL_PART = 1.0 / 16;

    private static final long TRIAL_SALT = 0x7E;
    private static final long TICK_MICROS = 1_000_000;

    private final String pool;
    private final Actions actions;
    private final IdempotencyKeys idempotencyKeys = new IdempotencyKeys(MAX_REMEMBERED_KEYS);
    /** By unit: the order or the quarantine that holds for it. */
    private final Map<Long, UnitMigration> migrations = new LinkedHashMap<>();

    private final Map<UnitMigration, Set<Ticket>> heldTickets = new HashMap<>();
    private final FloodIsolation floods;
    private CellsConfiguration plan;
    private int requests;
    private CellState[] cellStates = {};
    /** Places of the sick cells. */
    private final BitSet sick = new BitSet();

    private CellAssignment assignment;
    private Placement placement;
    /** Homes before they last changed, for keyed requests that may be repeated; null once that is over. */
    private Placement previousPlacement;

    private Map<Long, Integer> previousHomes = Map.of();
    private long placementChangedAt;
    private int inFlight;
    private long wakeAt;

    /**
     * @param pool its name, for the log
     * @param requests that the pool may have in flight; guests have a part of each cell's part
     */
    public Cells(String pool, CellsConfiguration plan, int requests, long now, Actions actions) {
        this.pool = pool;
        this.actions = actions;
        floods = new FloodIsolation(this);
        idempotencyKeys.begin(now);
        this.plan = plan;
        this.requests = requests;
        grow();
        assignment = new CellAssignment(plan.cells(), plan.spread(), plan.keepMicros());
        placement = new Placement(plan.cells(), plan.assigned(), assignment.open());
        order(now);
    }

    /** A state for each cell of the plan; those that there are stay. */
    private void grow() {
        int known = cellStates.length;
        cellStates = Arrays.copyOf(cellStates, plan.cells().size());
        for (int i = known; i < cellStates.length; i++) {
            cellStates[i] = new CellState();
        }
    }

    /** The plan that holds. */
    public CellsConfiguration plan() {
        return plan;
    }

    /** The cell of a server on the list; -1 for any other. */
    public int cellOf(long server) {
        return assignment.cellOf(server);
    }

    /** Whether a cell is sick. */
    public boolean sick(int cell) {
        return cellStates[cell].health.sick();
    }

    // ---- Servers and orders

    /** Takes over a list; the servers that stay and whose cell has changed. */
    public List<CellAssignment.Moved> listed(long now, ListKind kind, List<Server> lines) {
        List<CellAssignment.Moved> moved = assignment.listed(now, kind, lines);
        reopen(now);
        scheduleTimer(now);
        return moved;
    }

    /** Gives up places that were kept for too long; the servers whose cell has changed by that. */
    public List<CellAssignment.Moved> sweep(long now) {
        List<CellAssignment.Moved> moved = assignment.sweep(now);
        reopen(now);
        return moved;
    }

    /** Cells that have servers for the first time, or none any more, change homes. */
    private void reopen(long now) {
        BitSet open = assignment.open();
        if (!placement.isFor(open)) {
            Placement next = new Placement(plan.cells(), plan.assigned(), open);
            // Before the first list nothing was anywhere, so there is nothing to keep.
            rehome(now, next, !placement.isFor(new BitSet()));
        }
    }

    private void rehome(long now, Placement next, boolean wasInUse) {
        if (wasInUse && plan.windowMicros() > 0) {
            Map<Long, Integer> frozen = new HashMap<>();
            migrations.forEach((unit, migration) -> frozen.put(unit, migration.home()));
            previousPlacement = placement;
            previousHomes = frozen;
            placementChangedAt = now;
        }
        placement = next;
    }

    /**
     * Other orders hold. Moves that stay the same go on; a unit whose home changes without one goes over at
     * once, its keyed requests once no repeat of earlier ones can come.
     *
     * @param next one that {@link #fits}
     * @param bound on requests of the pool
     * @return servers whose cell has changed
     */
    public List<CellAssignment.Moved> plan(long now, CellsConfiguration next, int bound) {
        requests = bound;
        CellsConfiguration before = plan;
        plan = next;
        grow();
        List<CellAssignment.Moved> moved = List.of();
        if (!before.cells().equals(next.cells())
                || before.spread() != next.spread()
                || before.keepMicros() != next.keepMicros()) {
            CellAssignment old = assignment;
            assignment = new CellAssignment(next.cells(), next.spread(), next.keepMicros());
            moved = assignment.instead(now, old);
        }
        Map<Long, Integer> homes = new HashMap<>();
        migrations.forEach((unit, migration) -> homes.put(unit, migration.home()));
        rehome(now, new Placement(next.cells(), next.assigned(), assignment.open()), true);
        for (UnitMigration migration : List.copyOf(migrations.values())) {
            boolean stays = migration.automatic
                    ? next.quarantine() != null
                            && next.quarantine().equals(before.quarantine())
                            && !next.assigned().containsKey(migration.plan.unit())
                    : next.moves().contains(migration.plan);
            if (!stays) {
                releaseHeld(now, migration);
                migrations.remove(migration.plan.unit());
                floods.forget(migration.plan.unit());
            }
        }
        for (MoveConfiguration order : next.moves()) {
            UnitMigration migration = migrations.get(order.unit());
            if (migration == null || migration.automatic) {
                if (migration != null) {
                    releaseHeld(now, migration);
                    floods.forget(order.unit());
                }
                begin(now, order, homes.getOrDefault(order.unit(), placement.home(order.unit())), false);
            }
        }
        scheduleTimer(now);
        return moved;
    }

    /** Whether another plan can be taken over: its cells are those that there are, and perhaps more. */
    public boolean fits(CellsConfiguration next) {
        return next.unit() == plan.unit()
                && Objects.equals(next.header(), plan.header())
                && next.cells().size() >= plan.cells().size()
                && IntStream.range(0, plan.cells().size()).allMatch(c -> next.cells()
                        .get(c)
                        .name()
                        .equals(plan.cells().get(c).name()));
    }

    /** Ends: nothing is held from now on. */
    public void closing(long now) {
        List.copyOf(migrations.values()).forEach(migration -> releaseHeld(now, migration));
        migrations.clear();
        floods.clear();
    }

    private void order(long now) {
        plan.moves().forEach(order -> begin(now, order, placement.home(order.unit()), false));
        scheduleTimer(now);
    }

    void begin(long now, MoveConfiguration order, int from, boolean automatic) {
        // What this process has not seen from its start on may be repeated, or still run.
        UnitMigration migration =
                new UnitMigration(order, from, automatic, now, plan.windowMicros(), plan.patienceMicros());
        migrations.put(order.unit(), migration);
        step(now, migration);
    }

    /** What a move holds goes where its unit is at home. */
    private void releaseHeld(long now, UnitMigration migration) {
        Set<Ticket> waiting = heldTickets.remove(migration);
        for (Ticket ticket : waiting == null ? Set.<Ticket>of() : waiting) {
            ticket.heldBy = null;
            send(now, ticket, migration.home(), migration);
            actions.release(ticket);
        }
    }

    // ---- Requests

    /**
     * A request asks where to go.
     *
     * @param unit {@link org.cypressweir.common.util.Ids} of its tenant, key or header value
     * @param token of its idempotency key; only looked at for keyed ones
     * @param hash of the request, from which its place in a move's growing part follows
     * @param deadlineMicros when it must have its answer
     */
    public Ticket ask(long now, long unit, Effect effect, long token, long hash, long deadlineMicros) {
        Ticket ticket = new Ticket(unit, effect, token, now);
        inFlight++;
        UnitMigration migration = migrations.get(unit);
        if (migration != null) {
            step(now, migration);
            boolean fresh = effect != Effect.SAFE && known(now, ticket) < 0;
            if (fresh) {
                ticket.retryAfter = migration.refuses(now);
            }
            if (fresh
                    && ticket.retryAfter == 0
                    && effect == Effect.KEYED
                    && migration.plan.freezeMicros() > 0
                    && migration.switched()) {
                // What this process has not seen may have been at the old cell before the freeze.
                ticket.retryAfter =
                        Math.max(0, migration.knownSince(idempotencyKeys.completeSince()) + plan.windowMicros() - now);
            }
            if (ticket.retryAfter > 0) {
                inFlight--;
                return ticket;
            }
            if (fresh
                    && migration.holds(now)
                    && heldBy(migration) < MAX_HELD_PER_MIGRATION
                    && deadlineMicros - now > 2 * migration.plan.fenceMicros()) {
                ticket.heldBy = migration;
                heldTickets
                        .computeIfAbsent(migration, x -> new LinkedHashSet<>())
                        .add(ticket);
                scheduleTimer(now);
                return ticket;
            }
        }
        if (effect == Effect.SAFE) {
            int cell = migration == null ? placement.home(unit) : migration.ofSafe(now, hash);
            guest(ticket, open(unit, cell), hash);
            enter(ticket);
        } else if (effect == Effect.UNSAFE && plan.guestWrites() && (migration == null || migration.over())) {
            guest(ticket, open(unit, migration == null ? placement.home(unit) : migration.home()), hash);
            enter(ticket);
        } else {
            send(now, ticket, migration == null ? placement.home(unit) : migration.home(), migration);
        }
        scheduleTimer(now);
        return ticket;
    }

    private int heldBy(UnitMigration migration) {
        Set<Ticket> waiting = heldTickets.get(migration);
        return waiting == null ? 0 : waiting.size();
    }

    /** The cell that may know a keyed request already; -1 where none can. */
    private int known(long now, Ticket ticket) {
        return ticket.effect == Effect.KEYED ? idempotencyKeys.cellOf(now, plan.windowMicros(), ticket.token) : -1;
    }

    private void send(long now, Ticket ticket, int home, UnitMigration migration) {
        int cell = home;
        boolean moving = migration != null && !migration.over();
        if (ticket.effect == Effect.KEYED && plan.windowMicros() > 0) {
            boolean settling = previousPlacement != null && now - placementChangedAt < plan.windowMicros();
            int known = known(now, ticket);
            if (known >= 0) {
                cell = known;
            } else if (settling) {
                Integer frozen = previousHomes.get(ticket.unit);
                cell = migration != null && migration.switched()
                        ? home
                        : frozen != null ? frozen : previousPlacement.home(ticket.unit);
            }
            if (settling || known >= 0 || moving && !migration.switched()) {
                idempotencyKeys.used(now, plan.windowMicros(), ticket.token, cell);
            }
        }
        cell = open(ticket.unit, cell);
        if (moving && !migration.switched() && cell == migration.from) {
            ticket.counted = migration;
            migration.writeSent();
        }
        ticket.cell = cell;
        enter(ticket);
    }

    private void enter(Ticket ticket) {
        cellStates[ticket.cell].inFlight++;
    }

    /** A cell without any server to its name is nobody's. */
    private int open(long unit, int cell) {
        return placement.isOpen(cell) ? cell : placement.home(unit);
    }

    /** A request of a sick cell may be a guest of the next, within what that gives to guests. */
    private void guest(Ticket ticket, int home, long hash) {
        ticket.cell = home;
        if (plan.guests() <= 0
                || !cellStates[home].health.sick()
                || cellStates[home].floods(ticket.unit, FLOODING_PART)
                || Hashes.uniform(hash, TRIAL_SALT) < TRIAL_PART) {
            return;
        }
        int next = placement.next(ticket.unit, sick);
        if (next >= 0 && cellStates[next].guests < plan.guests() * plan.part(next, requests)) {
            ticket.cell = next;
            ticket.guest = true;
            cellStates[next].guests++;
        }
    }

    /** A request that was held has left, or is given up by its host: it has been nowhere. */
    public void left(long now, Ticket ticket) {
        if (ticket.heldBy != null) {
            heldTickets.getOrDefault(ticket.heldBy, Set.of()).remove(ticket);
            ticket.heldBy = null;
            inFlight--;
        }
    }

    /** Its client has its answer, or has left; in time means served within the aim of its class. */
    public void answered(long now, Ticket ticket, boolean inTime) {
        // How guests fare says something of the cell they are at, but not of their own.
        cellStates[ticket.cell].health.told(now, inTime);
        if (!ticket.guest) {
            double micros = Math.max(1, now - ticket.takenAt);
            cellStates[ticket.cell].lately.add(now, ticket.unit, micros);
            cellStates[ticket.cell].filling.add(now, ticket.unit, micros);
        }
    }

    /** Nothing of it is out any more. */
    public void ended(long now, Ticket ticket) {
        inFlight--;
        cellStates[ticket.cell].inFlight--;
        if (ticket.guest) {
            cellStates[ticket.cell].guests--;
        }
        if (ticket.counted != null) {
            UnitMigration migration = ticket.counted;
            ticket.counted = null;
            migration.writeEnded();
            if (migration.state() == UnitMigration.State.SWITCHING && migration.writesOut() == 0) {
                step(now, migration);
            }
        }
    }

    /** requests in flight at a cell, guests among them. */
    public int inFlight(int cell) {
        return cellStates[cell].inFlight;
    }

    /** Guests among them. */
    public int guests(int cell) {
        return cellStates[cell].guests;
    }

    /** Requests that are held by a fence. */
    public int held() {
        return heldTickets.values().stream().mapToInt(Set::size).sum();
    }

    // ---- Time

    /** What was asked for with {@link Actions#timer}; a later or an additional call does no harm. */
    public void timer(long now) {
        wakeAt = 0;
        for (int c = 0; c < cellStates.length; c++) {
            if (cellStates[c].health.look(now)) {
                sick.set(c, cellStates[c].health.sick());
                actions.log("cell " + plan.cells().get(c).name() + " of pool " + pool
                        + (cellStates[c].health.sick()
                                ? " is sick: most of its answers are late or none"
                                : " is well again"));
            }
            cellStates[c].turn(now);
        }
        List.copyOf(migrations.values()).forEach(migration -> step(now, migration));
        if (plan.quarantine() != null) {
            floods.look(now, plan.quarantine());
        }
        if (previousPlacement != null && now - placementChangedAt >= plan.windowMicros()) {
            previousPlacement = null;
            previousHomes = Map.of();
        }
        scheduleTimer(now);
    }

    private void step(long now, UnitMigration migration) {
        int to = migration.plan.to();
        boolean isTargetSick = cellStates[to].health.sick() || !placement.isOpen(to);
        for (int i = 0;
                i < 3 && migration.step(now, isTargetSick, migration.knownSince(idempotencyKeys.completeSince()));
                i++) {
            logStep(migration);
            if (migration.state() != UnitMigration.State.SWITCHING) {
                releaseHeld(now, migration);
            }
        }
    }

    private void logStep(UnitMigration migration) {
        String what =
                switch (migration.state()) {
                    case WAITING -> "goes back: cell " + name(migration.plan.to()) + " is sick (" + migration.tries()
                            + ")";
                    case RAMPING -> migration.tries() == 0
                            ? "begins"
                            : "goes on after " + migration.tries() + " set-backs";
                    case SWITCHING -> "holds writes until " + migration.writesOut() + " at cell " + name(migration.from)
                            + " have ended";
                    case FROZEN -> "refuses writes: they must have ended at cell " + name(migration.from);
                    case SETTLING -> "writes go to cell " + name(migration.plan.to()) + " from now on";
                    case DONE -> "is done";
                    case GIVEN_UP -> "is given up after " + migration.tries() + " tries: the unit stays at cell "
                            + name(migration.from);
                };
        actions.log("move " + migration.plan.name() + " of pool " + pool + " (" + migration.plan.label() + ", "
                + name(migration.from) + " to " + name(migration.plan.to()) + ") " + what);
    }

    private String name(int cell) {
        return plan.cells().get(cell).name();
    }

    // ---- For what sets units apart

    /** The order or quarantine that holds for a unit; null for none. */
    UnitMigration move(long unit) {
        return migrations.get(unit);
    }

    /** What was ordered for a unit, or its quarantine, is over and forgotten. */
    void settle(long unit) {
        migrations.remove(unit);
    }

    /** Where a unit is at home without any move. */
    int home(long unit) {
        return placement.home(unit);
    }

    boolean isOpen(int cell) {
        return placement.isOpen(cell);
    }

    CellState state(int cell) {
        return cellStates[cell];
    }

    private void scheduleTimer(long now) {
        if (wakeAt != 0 && migrations.isEmpty()) {
            return;
        }
        boolean busy = inFlight > 0 || assignment.keeps() || previousPlacement != null || floods.any();
        long at = Long.MAX_VALUE;
        for (UnitMigration migration : migrations.values()) {
            if (!migration.over()) {
                at = Math.min(
                        at, Math.max(now + 1_000, migration.wakeAt() == 0 ? now + TICK_MICROS : migration.wakeAt()));
            }
        }
        for (CellState state : cellStates) {
            busy |= state.health.sick();
        }
        at = busy ? Math.min(at, now + TICK_MICROS) : at;
        if (at != Long.MAX_VALUE && (wakeAt == 0 || at < wakeAt)) {
            wakeAt = at;
            actions.timer(at);
        }
    }

    /** Where each unit with an order or in quarantine is by now, for the log and for tests. */
    public List<String> moves(long now) {
        List<String> all = new ArrayList<>();
        migrations
                .values()
                .forEach(migration -> all.add(migration.plan.name() + " " + migration.state() + " "
                        + name(migration.home()) + " " + Math.round(100 * migration.part(now)) + "%"));
        return all;
    }
}
