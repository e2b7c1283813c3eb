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
 * Decides to which cell each request of a pool goes; within a cell, the cell's own load balancer decides. Requests go
 * to the home cell of their unit (a tenant, a key or a header value). Configured moves migrate units to other cells, a
 * bounded number of safe requests of unhealthy cells spills over to healthy ones, and units that flood their cell are
 * quarantined.
 *
 * <p>No I/O, no clock, no threads: called by one thread, with times in microseconds that never go back.
 */
public final class CellRouter {

    /**
     * Callbacks to the host. The host must not call back into {@link CellRouter} from within one of them, but only
     * after the call that caused it has returned.
     */
    public interface Actions {
        /** Sends a request that was held to the cell that its ticket now names. */
        void release(Ticket ticket);

        /** Schedules a call of {@link CellRouter#timer} at this time; an earlier schedule need not be cancelled. */
        void timer(long atMicros);

        /** Writes a line to the operators' log. */
        void log(String line);
    }

    /** The routing of one request, from {@link #route} until its last attempt has ended. */
    public static final class Ticket {
        private final long unit;
        private final Effect effect;
        private final long token;
        private final long takenAt;
        private int cell = -1;
        private boolean spillover;
        private long retryAfter;
        /** The migration that counts this request as a write in flight at the old cell; null for none. */
        private UnitMigration countedBy;

        /** The migration that holds this request; null for none. */
        private UnitMigration heldBy;

        private Ticket(long unit, Effect effect, long token, long takenAt) {
            this.unit = unit;
            this.effect = effect;
            this.token = token;
            this.takenAt = takenAt;
        }

        /** Index of the cell that the request goes to; -1 while it is held and if it is rejected. */
        public int cell() {
            return cell;
        }

        /** Microseconds after which to retry, if the request is rejected and sent nowhere; else 0. */
        public long retryAfterMicros() {
            return retryAfter;
        }

        /** When the request arrived. */
        public long takenAt() {
            return takenAt;
        }

        /** Whether the request spilled over from its unit's home cell to another one. */
        public boolean isSpillover() {
            return spillover;
        }
    }

    /** How many writes one migration may hold; further ones go to the old cell at once. */
    static final int MAX_HELD_PER_MIGRATION = 256;
    /** Keyed requests that are remembered while units move. */
    static final int MAX_REMEMBERED_KEYS = 1 << 16;
    /**
     * A unit whose load has surged and takes at least this fraction of its cell does not spill over: it would carry the
     * overload that made its cell unhealthy to the next one.
     */
    static final double FLOODING_FRACTION = 1.0 / 8;
    /** Fraction of the requests that could spill over but stay in the unhealthy cell, to detect its recovery. */
    static final double TRIAL_FRACTION = 1.0 / 16;

    private static final long TRIAL_SALT = 0x7E;
    private static final long TICK_MICROS = 1_000_000;

    private final String poolName;
    private final Actions actions;
    private final IdempotencyKeys idempotencyKeys = new IdempotencyKeys(MAX_REMEMBERED_KEYS);
    /** By unit: its configured move, or the migration to or from quarantine. */
    private final Map<Long, UnitMigration> migrations = new LinkedHashMap<>();

    private final Map<UnitMigration, Set<Ticket>> heldTickets = new HashMap<>();
    private final FloodIsolation floodIsolation;
    private CellsConfiguration configuration;
    private int maxInFlight;
    private CellState[] cellStates = {};
    /** Indexes of the unhealthy cells. */
    private final BitSet unhealthyCells = new BitSet();

    private CellAssignment assignment;
    private Placement placement;
    /** The placement before the last change, for retries of keyed requests; null once no retry can come. */
    private Placement previousPlacement;

    /** Home cells of the units with a migration, as they were when the placement changed. */
    private Map<Long, Integer> previousHomes = Map.of();

    private long placementChangedAt;
    private int inFlight;
    private long timerScheduledAt;

    /**
     * @param poolName the pool's name, for the log
     * @param maxInFlight how many requests the pool may have in flight; the limit on spillover into a cell is a
     *     fraction of that cell's share
     */
    public CellRouter(String poolName, CellsConfiguration configuration, int maxInFlight, long now, Actions actions) {
        this.poolName = poolName;
        this.actions = actions;
        floodIsolation = new FloodIsolation(this);
        idempotencyKeys.startRecording(now);
        this.configuration = configuration;
        this.maxInFlight = maxInFlight;
        addCellStates();
        assignment =
                new CellAssignment(configuration.cells(), configuration.spread(), configuration.reservationMicros());
        placement = new Placement(configuration.cells(), configuration.assigned(), assignment.openCells());
        beginConfiguredMoves(now);
    }

    /** Adds a state for each new cell of the configuration; known cells keep theirs. */
    private void addCellStates() {
        int knownCells = cellStates.length;
        cellStates = Arrays.copyOf(cellStates, configuration.cells().size());
        for (int i = knownCells; i < cellStates.length; i++) {
            cellStates[i] = new CellState();
        }
    }

    /** The configuration in force. */
    public CellsConfiguration configuration() {
        return configuration;
    }

    /** The index of a listed server's cell; -1 for any other server. */
    public int cellOf(long server) {
        return assignment.cellOf(server);
    }

    /** Whether a cell is unhealthy. */
    public boolean isUnhealthy(int cell) {
        return cellStates[cell].health.isUnhealthy();
    }

    // ---- Servers and configuration

    /** Applies a server list; returns the servers that stay listed and whose cell has changed. */
    public List<CellAssignment.MovedServer> listed(long now, ListKind kind, List<Server> lines) {
        List<CellAssignment.MovedServer> moved = assignment.listed(now, kind, lines);
        updateHomeCells(now);
        scheduleTimer(now);
        return moved;
    }

    /** Gives up expired reservations of departed servers; returns the servers whose cell has changed by that. */
    public List<CellAssignment.MovedServer> sweep(long now) {
        List<CellAssignment.MovedServer> moved = assignment.expireReservations(now);
        updateHomeCells(now);
        return moved;
    }

    /** Recomputes home cells if a cell has got its first server or lost its last one. */
    private void updateHomeCells(long now) {
        BitSet open = assignment.openCells();
        if (!placement.isFor(open)) {
            Placement next = new Placement(configuration.cells(), configuration.assigned(), open);
            // Before the first list no request was in any cell, so no retry can depend on the old placement.
            replacePlacement(now, next, !placement.isFor(new BitSet()));
        }
    }

    private void replacePlacement(long now, Placement next, boolean wasInUse) {
        if (wasInUse && configuration.deduplicationWindowMicros() > 0) {
            Map<Long, Integer> homes = new HashMap<>();
            migrations.forEach((unit, migration) -> homes.put(unit, migration.home()));
            previousPlacement = placement;
            previousHomes = homes;
            placementChangedAt = now;
        }
        placement = next;
    }

    /**
     * Applies another configuration. Moves that stay the same go on. A unit whose home cell changes without a move
     * switches at once, except for its keyed requests: these follow once no retry of an earlier one can come.
     *
     * @param next a configuration for which {@link #canApply} is true
     * @param nextMaxInFlight how many requests the pool may have in flight
     * @return servers whose cell has changed
     */
    public List<CellAssignment.MovedServer> reconfigure(long now, CellsConfiguration next, int nextMaxInFlight) {
        maxInFlight = nextMaxInFlight;
        CellsConfiguration before = configuration;
        configuration = next;
        addCellStates();
        List<CellAssignment.MovedServer> moved = List.of();
        if (!before.cells().equals(next.cells())
                || before.spread() != next.spread()
                || before.reservationMicros() != next.reservationMicros()) {
            CellAssignment old = assignment;
            assignment = new CellAssignment(next.cells(), next.spread(), next.reservationMicros());
            moved = assignment.replace(now, old);
        }
        Map<Long, Integer> homes = new HashMap<>();
        migrations.forEach((unit, migration) -> homes.put(unit, migration.home()));
        replacePlacement(now, new Placement(next.cells(), next.assigned(), assignment.openCells()), true);
        for (UnitMigration migration : List.copyOf(migrations.values())) {
            boolean continues = migration.automatic
                    ? next.quarantine() != null
                            && next.quarantine().equals(before.quarantine())
                            && !next.assigned().containsKey(migration.move.unit())
                    : next.moves().contains(migration.move);
            if (!continues) {
                releaseHeld(now, migration);
                migrations.remove(migration.move.unit());
                floodIsolation.forget(migration.move.unit());
            }
        }
        for (MoveConfiguration move : next.moves()) {
            UnitMigration migration = migrations.get(move.unit());
            if (migration == null || migration.automatic) {
                if (migration != null) {
                    releaseHeld(now, migration);
                    floodIsolation.forget(move.unit());
                }
                beginMigration(now, move, homes.getOrDefault(move.unit(), placement.home(move.unit())), false);
            }
        }
        scheduleTimer(now);
        return moved;
    }

    /** Whether a configuration can be applied: same unit, same header, and no cells removed, renamed or reordered. */
    public boolean canApply(CellsConfiguration next) {
        return next.unit() == configuration.unit()
                && Objects.equals(next.header(), configuration.header())
                && next.cells().size() >= configuration.cells().size()
                && IntStream.range(0, configuration.cells().size()).allMatch(c -> next.cells()
                        .get(c)
                        .name()
                        .equals(configuration.cells().get(c).name()));
    }

    /** Ends all migrations and releases the requests that they hold. */
    public void close(long now) {
        List.copyOf(migrations.values()).forEach(migration -> releaseHeld(now, migration));
        migrations.clear();
        floodIsolation.clear();
    }

    private void beginConfiguredMoves(long now) {
        configuration.moves().forEach(move -> beginMigration(now, move, placement.home(move.unit()), false));
        scheduleTimer(now);
    }

    void beginMigration(long now, MoveConfiguration move, int from, boolean automatic) {
        // Writes sent before this moment are unknown to the migration: they may still run or be retried.
        UnitMigration migration = new UnitMigration(
                move,
                from,
                automatic,
                now,
                configuration.deduplicationWindowMicros(),
                configuration.maxRequestMicros());
        migrations.put(move.unit(), migration);
        step(now, migration);
    }

    /** Sends the requests that a migration holds to its unit's home cell. */
    private void releaseHeld(long now, UnitMigration migration) {
        Set<Ticket> held = heldTickets.remove(migration);
        for (Ticket ticket : held == null ? Set.<Ticket>of() : held) {
            ticket.heldBy = null;
            sendWrite(now, ticket, migration.home(), migration);
            actions.release(ticket);
        }
    }

    // ---- Requests

    /**
     * Decides where a request goes: to a cell at once, held for now, or rejected.
     *
     * @param unit {@link org.cypressweir.common.util.Ids} of its tenant, key or header value
     * @param token of its idempotency key; only used for keyed requests
     * @param hash of the request; decides whether a safe request already goes to the new cell during a ramp
     * @param deadlineMicros when the client must have the response
     */
    public Ticket route(long now, long unit, Effect effect, long token, long hash, long deadlineMicros) {
        Ticket ticket = new Ticket(unit, effect, token, now);
        inFlight++;
        UnitMigration migration = migrations.get(unit);
        if (migration != null) {
            step(now, migration);
            boolean isUnseenWrite = effect != Effect.SAFE && cellOfKey(now, ticket) < 0;
            if (isUnseenWrite) {
                ticket.retryAfter = migration.rejectsForMicros(now);
            }
            if (isUnseenWrite
                    && ticket.retryAfter == 0
                    && effect == Effect.KEYED
                    && migration.move.freezeMicros() > 0
                    && migration.hasSwitched()) {
                // It may be a retry of a request that the old cell got before the freeze, unseen by this process.
                ticket.retryAfter = Math.max(
                        0,
                        migration.keysKnownSince(idempotencyKeys.completeSince())
                                + configuration.deduplicationWindowMicros()
                                - now);
            }
            if (ticket.retryAfter > 0) {
                inFlight--;
                return ticket;
            }
            if (isUnseenWrite
                    && migration.holdsWrites(now)
                    && heldCount(migration) < MAX_HELD_PER_MIGRATION
                    && deadlineMicros - now > 2 * migration.move.fenceMicros()) {
                ticket.heldBy = migration;
                heldTickets
                        .computeIfAbsent(migration, x -> new LinkedHashSet<>())
                        .add(ticket);
                scheduleTimer(now);
                return ticket;
            }
        }
        if (effect == Effect.SAFE) {
            int cell = migration == null ? placement.home(unit) : migration.cellOfSafeRequest(now, hash);
            trySpillover(ticket, cellWithServers(unit, cell), hash);
            countInFlight(ticket);
        } else if (effect == Effect.UNSAFE
                && configuration.spilloverWrites()
                && (migration == null || migration.isOver())) {
            trySpillover(
                    ticket, cellWithServers(unit, migration == null ? placement.home(unit) : migration.home()), hash);
            countInFlight(ticket);
        } else {
            sendWrite(now, ticket, migration == null ? placement.home(unit) : migration.home(), migration);
        }
        scheduleTimer(now);
        return ticket;
    }

    private int heldCount(UnitMigration migration) {
        Set<Ticket> held = heldTickets.get(migration);
        return held == null ? 0 : held.size();
    }

    /** The cell that may have executed a keyed request already; -1 if none may have. */
    private int cellOfKey(long now, Ticket ticket) {
        return ticket.effect == Effect.KEYED
                ? idempotencyKeys.cellOf(now, configuration.deduplicationWindowMicros(), ticket.token)
                : -1;
    }

    private void sendWrite(long now, Ticket ticket, int home, UnitMigration migration) {
        int cell = home;
        boolean isMigrating = migration != null && !migration.isOver();
        if (ticket.effect == Effect.KEYED && configuration.deduplicationWindowMicros() > 0) {
            boolean mayBeRetry =
                    previousPlacement != null && now - placementChangedAt < configuration.deduplicationWindowMicros();
            int keyCell = cellOfKey(now, ticket);
            if (keyCell >= 0) {
                cell = keyCell;
            } else if (mayBeRetry) {
                Integer previousHome = previousHomes.get(ticket.unit);
                cell = migration != null && migration.hasSwitched()
                        ? home
                        : previousHome != null ? previousHome : previousPlacement.home(ticket.unit);
            }
            if (mayBeRetry || keyCell >= 0 || isMigrating && !migration.hasSwitched()) {
                idempotencyKeys.recordUse(now, configuration.deduplicationWindowMicros(), ticket.token, cell);
            }
        }
        cell = cellWithServers(ticket.unit, cell);
        if (isMigrating && !migration.hasSwitched() && cell == migration.fromCell) {
            ticket.countedBy = migration;
            migration.writeSent();
        }
        ticket.cell = cell;
        countInFlight(ticket);
    }

    private void countInFlight(Ticket ticket) {
        cellStates[ticket.cell].inFlight++;
    }

    /** This cell if it has servers; otherwise the unit's home cell. */
    private int cellWithServers(long unit, int cell) {
        return placement.isOpen(cell) ? cell : placement.home(unit);
    }

    /** Lets a request of an unhealthy cell spill over to the unit's next choice, within the limit of that cell. */
    private void trySpillover(Ticket ticket, int home, long hash) {
        ticket.cell = home;
        if (configuration.maxSpilloverFraction() <= 0
                || !cellStates[home].health.isUnhealthy()
                || cellStates[home].isFloodedBy(ticket.unit, FLOODING_FRACTION)
                || Hashes.uniform(hash, TRIAL_SALT) < TRIAL_FRACTION) {
            return;
        }
        int next = placement.next(ticket.unit, unhealthyCells);
        if (next >= 0
                && cellStates[next].spilloverInFlight
                        < configuration.maxSpilloverFraction() * configuration.shareOf(next, maxInFlight)) {
            ticket.cell = next;
            ticket.spillover = true;
            cellStates[next].spilloverInFlight++;
        }
    }

    /** A held request was cancelled by its client or given up by the host. It was sent to no cell. */
    public void cancelHeld(long now, Ticket ticket) {
        if (ticket.heldBy != null) {
            heldTickets.getOrDefault(ticket.heldBy, Set.of()).remove(ticket);
            ticket.heldBy = null;
            inFlight--;
        }
    }

    /** The client got its response or left; in time means served within the target latency of its class. */
    public void answered(long now, Ticket ticket, boolean inTime) {
        // A request that spilled over counts for the health of the cell that served it, not of its home cell.
        cellStates[ticket.cell].health.recordResponse(now, inTime);
        if (!ticket.spillover) {
            double micros = Math.max(1, now - ticket.takenAt);
            cellStates[ticket.cell].recentLoad.add(now, ticket.unit, micros);
            cellStates[ticket.cell].currentPeriodLoad.add(now, ticket.unit, micros);
        }
    }

    /** The last attempt of the request has ended. */
    public void ended(long now, Ticket ticket) {
        inFlight--;
        cellStates[ticket.cell].inFlight--;
        if (ticket.spillover) {
            cellStates[ticket.cell].spilloverInFlight--;
        }
        if (ticket.countedBy != null) {
            UnitMigration migration = ticket.countedBy;
            ticket.countedBy = null;
            migration.writeEnded();
            if (migration.state() == UnitMigration.State.SWITCHING && migration.writesInFlight() == 0) {
                step(now, migration);
            }
        }
    }

    /** Requests in flight at a cell, including those that spilled over to it. */
    public int inFlight(int cell) {
        return cellStates[cell].inFlight;
    }

    /** Requests in flight at a cell that spilled over to it. */
    public int spilloverInFlight(int cell) {
        return cellStates[cell].spilloverInFlight;
    }

    /** Requests that are held by migrations with a fence. */
    public int held() {
        return heldTickets.values().stream().mapToInt(Set::size).sum();
    }

    // ---- Time

    /** Called at the time given to {@link Actions#timer}; late or additional calls do no harm. */
    public void timer(long now) {
        timerScheduledAt = 0;
        for (int c = 0; c < cellStates.length; c++) {
            if (cellStates[c].health.evaluate(now)) {
                unhealthyCells.set(c, cellStates[c].health.isUnhealthy());
                actions.log("cell " + configuration.cells().get(c).name() + " of pool " + poolName
                        + (cellStates[c].health.isUnhealthy()
                                ? " is unhealthy: most of its responses are late or missing"
                                : " is healthy again"));
            }
            cellStates[c].updateBaseline(now);
        }
        List.copyOf(migrations.values()).forEach(migration -> step(now, migration));
        if (configuration.quarantine() != null) {
            floodIsolation.update(now, configuration.quarantine());
        }
        if (previousPlacement != null && now - placementChangedAt >= configuration.deduplicationWindowMicros()) {
            previousPlacement = null;
            previousHomes = Map.of();
        }
        scheduleTimer(now);
    }

    private void step(long now, UnitMigration migration) {
        int to = migration.move.to();
        boolean isTargetUnhealthy = cellStates[to].health.isUnhealthy() || !placement.isOpen(to);
        for (int i = 0;
                i < 3
                        && migration.step(
                                now, isTargetUnhealthy, migration.keysKnownSince(idempotencyKeys.completeSince()));
                i++) {
            logStep(migration);
            if (migration.state() != UnitMigration.State.SWITCHING) {
                releaseHeld(now, migration);
            }
        }
    }

    private void logStep(UnitMigration migration) {
        String event =
                switch (migration.state()) {
                    case WAITING -> "rolls back: cell " + name(migration.move.to()) + " is unhealthy (attempt "
                            + migration.failedAttempts() + ")";
                    case RAMPING -> migration.failedAttempts() == 0
                            ? "starts"
                            : "starts again after " + migration.failedAttempts() + " failed attempts";
                    case SWITCHING -> "holds writes until " + migration.writesInFlight() + " in flight at cell "
                            + name(migration.fromCell) + " have ended";
                    case FROZEN -> "refuses writes so that those in flight can end at cell " + name(migration.fromCell);
                    case SETTLING -> "writes go to cell " + name(migration.move.to()) + " from now on";
                    case DONE -> "is done";
                    case GIVEN_UP -> "is given up after " + migration.failedAttempts()
                            + " tries: the unit stays at cell " + name(migration.fromCell);
                };
        actions.log("move " + migration.move.name() + " of pool " + poolName + " (" + migration.move.label() + ", "
                + name(migration.fromCell) + " to " + name(migration.move.to()) + ") " + event);
    }

    private String name(int cell) {
        return configuration.cells().get(cell).name();
    }

    // ---- For quarantines

    /** The migration of a unit, configured or by quarantine; null for none. */
    UnitMigration migrationOf(long unit) {
        return migrations.get(unit);
    }

    /** Forgets the migration of a unit. */
    void forgetMigration(long unit) {
        migrations.remove(unit);
    }

    /** A unit's home cell, leaving its migration aside. */
    int home(long unit) {
        return placement.home(unit);
    }

    boolean isOpen(int cell) {
        return placement.isOpen(cell);
    }

    CellState cellState(int cell) {
        return cellStates[cell];
    }

    private void scheduleTimer(long now) {
        if (timerScheduledAt != 0 && migrations.isEmpty()) {
            return;
        }
        boolean busy = inFlight > 0
                || assignment.hasReservations()
                || previousPlacement != null
                || floodIsolation.hasHistory();
        long nextAt = Long.MAX_VALUE;
        for (UnitMigration migration : migrations.values()) {
            if (!migration.isOver()) {
                nextAt = Math.min(
                        nextAt,
                        Math.max(
                                now + 1_000, migration.nextStepAt() == 0 ? now + TICK_MICROS : migration.nextStepAt()));
            }
        }
        for (CellState state : cellStates) {
            busy |= state.health.isUnhealthy();
        }
        nextAt = busy ? Math.min(nextAt, now + TICK_MICROS) : nextAt;
        if (nextAt != Long.MAX_VALUE && (timerScheduledAt == 0 || nextAt < timerScheduledAt)) {
            timerScheduledAt = nextAt;
            actions.timer(nextAt);
        }
    }

    /** Name, state, home cell and progress of each migration, for the log and for tests. */
    public List<String> describeMigrations(long now) {
        List<String> descriptions = new ArrayList<>();
        migrations
                .values()
                .forEach(migration -> descriptions.add(migration.move.name() + " " + migration.state() + " "
                        + name(migration.home()) + " " + Math.round(100 * migration.movedFraction(now)) + "%"));
        return descriptions;
    }
}
