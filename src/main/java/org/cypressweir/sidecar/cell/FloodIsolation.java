package org.cypressweir.sidecar.cell;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.cypressweir.sidecar.cell.CellsConfiguration.Quarantine;

/** Sets units apart that flood a sick cell, and takes them back. */
final class FloodIsolation {

    /** For how long a cell must be sick before a unit is set apart; units that may be so at once. */
    static final long PATIENCE = 3_000_000;

    static final int MOST = 4;
    /** Stays that double the time of the next. */
    private static final int DOUBLINGS = 3;

    private static final class Apart {
        private int times;
        private long until;
        private boolean away;
    }

    private final Cells cells;
    private final Map<Long, Apart> apart = new HashMap<>();

    FloodIsolation(Cells cells) {
        this.cells = cells;
    }

    /** Whether any unit is apart, or was not long ago. */
    boolean any() {
        return !apart.isEmpty();
    }

    /** Other orders hold for a unit. */
    void forget(long unit) {
        apart.remove(unit);
    }

    void clear() {
        apart.clear();
    }

    /** To be called once a second. */
    void look(long now, Quarantine q) {
        List.copyOf(apart.entrySet()).forEach(e -> comeBack(now, q, e.getKey(), e.getValue()));
        for (int c = 0; c < cells.plan().cells().size(); c++) {
            CellHealth health = cells.state(c).health;
            if (health.sick()
                    && now - health.sickAt() >= PATIENCE
                    && c != q.cell()
                    && apart.values().stream().filter(a -> a.away).count() < MOST) {
                setApart(now, q, c);
            }
        }
    }

    private void setApart(long now, Quarantine q, int cell) {
        CellState state = cells.state(cell);
        long unit = state.lately.heaviest();
        if (unit < 0
                || !state.floods(unit, q.share())
                || cells.move(unit) != null
                || cells.home(unit) != cell
                || cells.plan().assigned().containsKey(unit)
                || !cells.isOpen(q.cell())) {
            return;
        }
        Apart a = apart.computeIfAbsent(unit, u -> new Apart());
        a.away = true;
        a.until = now + (q.forMicros() << Math.min(a.times++, DOUBLINGS));
        String label = String.format(Locale.ROOT, "unit %x, %.0f%% of its cell", unit, 100 * state.lately.share(unit));
        cells.begin(now, new MoveConfiguration("quarantine", unit, label, q.cell(), now, 0, 0, 0), cell, true);
    }

    private void comeBack(long now, Quarantine q, long unit, Apart a) {
        UnitMigration m = cells.move(unit);
        if (m == null || !m.automatic) {
            // Forgiven once it has been quiet for as long as the longest stay.
            if (now - a.until > q.forMicros() << DOUBLINGS) {
                apart.remove(unit);
            }
        } else if (a.away && now >= a.until && m.over()) {
            a.away = false;
            cells.begin(
                    now,
                    new MoveConfiguration(
                            "return",
                            unit,
                            String.format(Locale.ROOT, "unit %x", unit),
                            cells.home(unit),
                            now,
                            0,
                            0,
                            0),
                    m.home(),
                    true);
        } else if (!a.away && m.over()) {
            cells.settle(unit);
        }
    }
}
