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
    static final int HELD = 256;
    /** Keyed requests that are remembered while units move. */
    static final int REMEMBERED = 1 << 16;
    /**
     * Part of its cell from which a unit that has surged is no guest: it would bring what made the cell
     * sick.
     */
    static final double FLOODING = 1.0 / 8;
    /** Part of the guests of a sick cell that stay at home, so that it shows when it is well. */
    static final double TRIAL = 1.0 / 16;

    private static final long TRIAL_SALT = 0x7E;
    private static final long TICK = 1_000_000;

    private final String pool;
    private final Actions actions;
    private final IdempotencyKeys repeats = new IdempotencyKeys(REMEMBERED);
    /** By unit: the order or the quarantine that holds for it. */
    private final Map<Long, UnitMigration> moves = new LinkedHashMap<>();

    private final Map<UnitMigration, Set<Ticket>> held = new HashMap<>();
    private final FloodIsolation floods;
    private CellsConfiguration plan;
    private int requests;
    private CellState[] parts = {};
    /** Places of the sick cells. */
    private final BitSet sick = new BitSet();

    private CellAssignment parting;
    private Placement placement;
    /** Homes before they last changed, for keyed requests that may be repeated; null once that is over. */
    private Placement earlier;

    private Map<Long, Integer> earlierMoves = Map.of();
    private long changedAt;
    private int inHand;
    private long wakeAt;

    /**
     * @param pool its name, for the log
     * @param requests that the pool may have in hand; guests have a part of each cell's part
     */
    public Cells(String pool, CellsConfiguration plan, int requests, long now, Actions actions) {
        this.pool = pool;
        this.actions = actions;
        floods = new FloodIsolation(this);
        repeats.begin(now);
        this.plan = plan;
        this.requests = requests;
        grow();
        parting = new CellAssignment(plan.cells(), plan.spread(), plan.keepMicros());
        placement = new Placement(plan.cells(), plan.assigned(), parting.open());
        order(now);
    }

    /** A state for each cell of the plan; those that there are stay. */
    private void grow() {
        int known = parts.length;
        parts = Arrays.copyOf(parts, plan.cells().size());
        for (int i = known; i < parts.length; i++) {
            parts[i] = new CellState();
        }
    }

    /** The plan that holds. */
    public CellsConfiguration plan() {
        return plan;
    }

    /** The cell of a server on the list; -1 for any other. */
    public int cellOf(long server) {
        return parting.cellOf(server);
    }

    /** Whether a cell is sick. */
    public boolean sick(int cell) {
        return parts[cell].health.sick();
    }

    // ---- Servers and orders

    /** Takes over a list; the servers that stay and whose cell has changed. */
    public List<CellAssignment.Moved> listed(long now, ListKind kind, List<Server> lines) {
        List<CellAssignment.Moved> moved = parting.listed(now, kind, lines);
        reopen(now);
        arm(now);
        return moved;
    }

    /** Gives up places that were kept for too long; the servers whose cell has changed by that. */
    public List<CellAssignment.Moved> sweep(long now) {
        List<CellAssignment.Moved> moved = parting.sweep(now);
        reopen(now);
        return moved;
    }

    /** Cells that have servers for the first time, or none any more, change homes. */
    private void reopen(long now) {
        BitSet open = parting.open();
        if (!placement.isFor(open)) {
            Placement next = new Placement(plan.cells(), plan.assigned(), open);
            // Before the first list nothing was anywhere, so there is nothing to keep.
            rehome(now, next, !placement.isFor(new BitSet()));
        }
    }

    private void rehome(long now, Placement next, boolean wasInUse) {
        if (wasInUse && plan.windowMicros() > 0) {
            Map<Long, Integer> frozen = new HashMap<>();
            moves.forEach((unit, m) -> frozen.put(unit, m.home()));
            earlier = placement;
            earlierMoves = frozen;
            changedAt = now;
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
            CellAssignment old = parting;
            parting = new CellAssignment(next.cells(), next.spread(), next.keepMicros());
            moved = parting.instead(now, old);
        }
        Map<Long, Integer> homes = new HashMap<>();
        moves.forEach((unit, m) -> homes.put(unit, m.home()));
        rehome(now, new Placement(next.cells(), next.assigned(), parting.open()), true);
        for (UnitMigration m : List.copyOf(moves.values())) {
            boolean stays = m.automatic
                    ? next.quarantine() != null
                            && next.quarantine().equals(before.quarantine())
                            && !next.assigned().containsKey(m.plan.unit())
                    : next.moves().contains(m.plan);
            if (!stays) {
                free(now, m);
                moves.remove(m.plan.unit());
                floods.forget(m.plan.unit());
            }
        }
        for (MoveConfiguration order : next.moves()) {
            UnitMigration m = moves.get(order.unit());
            if (m == null || m.automatic) {
                if (m != null) {
                    free(now, m);
                    floods.forget(order.unit());
                }
                begin(now, order, homes.getOrDefault(order.unit(), placement.home(order.unit())), false);
            }
        }
        arm(now);
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
        List.copyOf(moves.values()).forEach(m -> free(now, m));
        moves.clear();
        floods.clear();
    }

    private void order(long now) {
        plan.moves().forEach(order -> begin(now, order, placement.home(order.unit()), false));
        arm(now);
    }

    void begin(long now, MoveConfiguration order, int from, boolean automatic) {
        // What this process has not seen from its start on may be repeated, or still run.
        UnitMigration m = new UnitMigration(order, from, automatic, now, plan.windowMicros(), plan.patienceMicros());
        moves.put(order.unit(), m);
        step(now, m);
    }

    /** What a move holds goes where its unit is at home. */
    private void free(long now, UnitMigration m) {
        Set<Ticket> waiting = held.remove(m);
        for (Ticket t : waiting == null ? Set.<Ticket>of() : waiting) {
            t.heldBy = null;
            send(now, t, m.home(), m);
            actions.release(t);
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
        Ticket t = new Ticket(unit, effect, token, now);
        inHand++;
        UnitMigration m = moves.get(unit);
        if (m != null) {
            step(now, m);
            boolean fresh = effect != Effect.SAFE && known(now, t) < 0;
            if (fresh) {
                t.retryAfter = m.refuses(now);
            }
            if (fresh && t.retryAfter == 0 && effect == Effect.KEYED && m.plan.freezeMicros() > 0 && m.switched()) {
                // What this process has not seen may have been at the old cell before the freeze.
                t.retryAfter = Math.max(0, m.knownSince(repeats.completeSince()) + plan.windowMicros() - now);
            }
            if (t.retryAfter > 0) {
                inHand--;
                return t;
            }
            if (fresh && m.holds(now) && heldBy(m) < HELD && deadlineMicros - now > 2 * m.plan.fenceMicros()) {
                t.heldBy = m;
                held.computeIfAbsent(m, x -> new LinkedHashSet<>()).add(t);
                arm(now);
                return t;
            }
        }
        if (effect == Effect.SAFE) {
            int cell = m == null ? placement.home(unit) : m.ofSafe(now, hash);
            guest(t, open(unit, cell), hash);
            enter(t);
        } else if (effect == Effect.UNSAFE && plan.guestWrites() && (m == null || m.over())) {
            guest(t, open(unit, m == null ? placement.home(unit) : m.home()), hash);
            enter(t);
        } else {
            send(now, t, m == null ? placement.home(unit) : m.home(), m);
        }
        arm(now);
        return t;
    }

    private int heldBy(UnitMigration m) {
        Set<Ticket> waiting = held.get(m);
        return waiting == null ? 0 : waiting.size();
    }

    /** The cell that may know a keyed request already; -1 where none can. */
    private int known(long now, Ticket t) {
        return t.effect == Effect.KEYED ? repeats.cellOf(now, plan.windowMicros(), t.token) : -1;
    }

    private void send(long now, Ticket t, int home, UnitMigration m) {
        int cell = home;
        boolean moving = m != null && !m.over();
        if (t.effect == Effect.KEYED && plan.windowMicros() > 0) {
            boolean settling = earlier != null && now - changedAt < plan.windowMicros();
            int known = known(now, t);
            if (known >= 0) {
                cell = known;
            } else if (settling) {
                Integer frozen = earlierMoves.get(t.unit);
                cell = m != null && m.switched() ? home : frozen != null ? frozen : earlier.home(t.unit);
            }
            if (settling || known >= 0 || moving && !m.switched()) {
                repeats.used(now, plan.windowMicros(), t.token, cell);
            }
        }
        cell = open(t.unit, cell);
        if (moving && !m.switched() && cell == m.from) {
            t.counted = m;
            m.writeSent();
        }
        t.cell = cell;
        enter(t);
    }

    private void enter(Ticket t) {
        parts[t.cell].inHand++;
    }

    /** A cell without any server to its name is nobody's. */
    private int open(long unit, int cell) {
        return placement.isOpen(cell) ? cell : placement.home(unit);
    }

    /** A request of a sick cell may be a guest of the next, within what that gives to guests. */
    private void guest(Ticket t, int home, long hash) {
        t.cell = home;
        if (plan.guests() <= 0
                || !parts[home].health.sick()
                || parts[home].floods(t.unit, FLOODING)
                || Hashes.uniform(hash, TRIAL_SALT) < TRIAL) {
            return;
        }
        int next = placement.next(t.unit, sick);
        if (next >= 0 && parts[next].guests < plan.guests() * plan.part(next, requests)) {
            t.cell = next;
            t.guest = true;
            parts[next].guests++;
        }
    }

    /** A request that was held has left, or is given up by its host: it has been nowhere. */
    public void left(long now, Ticket t) {
        if (t.heldBy != null) {
            held.getOrDefault(t.heldBy, Set.of()).remove(t);
            t.heldBy = null;
            inHand--;
        }
    }

    /** Its client has its answer, or has left; in time means served within the aim of its class. */
    public void answered(long now, Ticket t, boolean inTime) {
        // How guests fare says something of the cell they are at, but not of their own.
        parts[t.cell].health.told(now, inTime);
        if (!t.guest) {
            double micros = Math.max(1, now - t.takenAt);
            parts[t.cell].lately.add(now, t.unit, micros);
            parts[t.cell].filling.add(now, t.unit, micros);
        }
    }

    /** Nothing of it is out any more. */
    public void ended(long now, Ticket t) {
        inHand--;
        parts[t.cell].inHand--;
        if (t.guest) {
            parts[t.cell].guests--;
        }
        if (t.counted != null) {
            UnitMigration m = t.counted;
            t.counted = null;
            m.writeEnded();
            if (m.state() == UnitMigration.State.SWITCHING && m.writesOut() == 0) {
                step(now, m);
            }
        }
    }

    /** Requests in hand at a cell, guests among them. */
    public int inHand(int cell) {
        return parts[cell].inHand;
    }

    /** Guests among them. */
    public int guests(int cell) {
        return parts[cell].guests;
    }

    /** Requests that are held by a fence. */
    public int held() {
        return held.values().stream().mapToInt(Set::size).sum();
    }

    // ---- Time

    /** What was asked for with {@link Actions#timer}; a later or an additional call does no harm. */
    public void timer(long now) {
        wakeAt = 0;
        for (int c = 0; c < parts.length; c++) {
            if (parts[c].health.look(now)) {
                sick.set(c, parts[c].health.sick());
                actions.log("cell " + plan.cells().get(c).name() + " of pool " + pool
                        + (parts[c].health.sick()
                                ? " is sick: most of its answers are late or none"
                                : " is well again"));
            }
            parts[c].turn(now);
        }
        List.copyOf(moves.values()).forEach(m -> step(now, m));
        if (plan.quarantine() != null) {
            floods.look(now, plan.quarantine());
        }
        if (earlier != null && now - changedAt >= plan.windowMicros()) {
            earlier = null;
            earlierMoves = Map.of();
        }
        arm(now);
    }

    private void step(long now, UnitMigration m) {
        int to = m.plan.to();
        boolean toSick = parts[to].health.sick() || !placement.isOpen(to);
        for (int i = 0; i < 3 && m.step(now, toSick, m.knownSince(repeats.completeSince())); i++) {
            say(m);
            if (m.state() != UnitMigration.State.SWITCHING) {
                free(now, m);
            }
        }
    }

    private void say(UnitMigration m) {
        String what =
                switch (m.state()) {
                    case WAITING -> "goes back: cell " + name(m.plan.to()) + " is sick (" + m.tries() + ")";
                    case RAMPING -> m.tries() == 0 ? "begins" : "goes on after " + m.tries() + " set-backs";
                    case SWITCHING -> "holds writes until " + m.writesOut() + " at cell " + name(m.from)
                            + " have ended";
                    case FROZEN -> "refuses writes: they must have ended at cell " + name(m.from);
                    case SETTLING -> "writes go to cell " + name(m.plan.to()) + " from now on";
                    case DONE -> "is done";
                    case GIVEN_UP -> "is given up after " + m.tries() + " tries: the unit stays at cell "
                            + name(m.from);
                };
        actions.log("move " + m.plan.name() + " of pool " + pool + " (" + m.plan.label() + ", " + name(m.from) + " to "
                + name(m.plan.to()) + ") " + what);
    }

    private String name(int cell) {
        return plan.cells().get(cell).name();
    }

    // ---- For what sets units apart

    /** The order or quarantine that holds for a unit; null for none. */
    UnitMigration move(long unit) {
        return moves.get(unit);
    }

    /** What was ordered for a unit, or its quarantine, is over and forgotten. */
    void settle(long unit) {
        moves.remove(unit);
    }

    /** Where a unit is at home without any move. */
    int home(long unit) {
        return placement.home(unit);
    }

    boolean isOpen(int cell) {
        return placement.isOpen(cell);
    }

    CellState state(int cell) {
        return parts[cell];
    }

    private void arm(long now) {
        if (wakeAt != 0 && moves.isEmpty()) {
            return;
        }
        boolean busy = inHand > 0 || parting.keeps() || earlier != null || floods.any();
        long at = Long.MAX_VALUE;
        for (UnitMigration m : moves.values()) {
            if (!m.over()) {
                at = Math.min(at, Math.max(now + 1_000, m.wakeAt() == 0 ? now + TICK : m.wakeAt()));
            }
        }
        for (CellState p : parts) {
            busy |= p.health.sick();
        }
        at = busy ? Math.min(at, now + TICK) : at;
        if (at != Long.MAX_VALUE && (wakeAt == 0 || at < wakeAt)) {
            wakeAt = at;
            actions.timer(at);
        }
    }

    /** Where each unit with an order or in quarantine is by now, for the log and for tests. */
    public List<String> moves(long now) {
        List<String> all = new ArrayList<>();
        moves.values()
                .forEach(m -> all.add(m.plan.name() + " " + m.state() + " " + name(m.home()) + " "
                        + Math.round(100 * m.part(now)) + "%"));
        return all;
    }
}
