package org.cypressweir.sidecar.cell;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.cypressweir.sidecar.cell.CellsConfiguration.Quarantine;

/** Quarantines units that flood an unhealthy cell, and returns them to their home cell later. */
final class FloodIsolation {

    /** How long a cell must be unhealthy before a unit of it is quarantined. */
    static final long MIN_UNHEALTHY_MICROS = 3_000_000;

    /** How many units may be in quarantine at once. */
    static final int MAX_QUARANTINED = 4;
    /** A repeated quarantine lasts twice as long as the one before, up to this number of doublings. */
    private static final int MAX_DOUBLINGS = 3;

    private static final class QuarantineHistory {
        private int count;
        private long endsAt;
        private boolean inQuarantine;
    }

    private final CellRouter cells;
    private final Map<Long, QuarantineHistory> historyByUnit = new HashMap<>();

    FloodIsolation(CellRouter cells) {
        this.cells = cells;
    }

    /** Whether any unit is in quarantine, or was not long ago. */
    boolean hasHistory() {
        return !historyByUnit.isEmpty();
    }

    /** The configuration of a unit has changed, so that its quarantine no longer applies. */
    void forget(long unit) {
        historyByUnit.remove(unit);
    }

    void clear() {
        historyByUnit.clear();
    }

    /** Starts and ends quarantines; to be called once a second. */
    void update(long now, Quarantine settings) {
        List.copyOf(historyByUnit.entrySet())
                .forEach(entry -> endQuarantine(now, settings, entry.getKey(), entry.getValue()));
        for (int cell = 0; cell < cells.configuration().cells().size(); cell++) {
            CellHealth health = cells.cellState(cell).health;
            if (health.isUnhealthy()
                    && now - health.unhealthySince() >= MIN_UNHEALTHY_MICROS
                    && cell != settings.cell()
                    && historyByUnit.values().stream()
                                    .filter(history -> history.inQuarantine)
                                    .count()
                            < MAX_QUARANTINED) {
                quarantineHeaviestUnit(now, settings, cell);
            }
        }
    }

    private void quarantineHeaviestUnit(long now, Quarantine settings, int cell) {
        CellState state = cells.cellState(cell);
        long unit = state.recentLoad.heaviest();
        if (unit < 0
                || !state.isFloodedBy(unit, settings.share())
                || cells.migrationOf(unit) != null
                || cells.home(unit) != cell
                || cells.configuration().assigned().containsKey(unit)
                || !cells.isOpen(settings.cell())) {
            return;
        }
        QuarantineHistory history = historyByUnit.computeIfAbsent(unit, u -> new QuarantineHistory());
        history.inQuarantine = true;
        history.endsAt = now + (settings.durationMicros() << Math.min(history.count++, MAX_DOUBLINGS));
        String label =
                String.format(Locale.ROOT, "unit %x, %.0f%% of its cell", unit, 100 * state.recentLoad.share(unit));
        cells.beginMigration(
                now, new MoveConfiguration("quarantine", unit, label, settings.cell(), now, 0, 0, 0), cell, true);
    }

    private void endQuarantine(long now, Quarantine settings, long unit, QuarantineHistory history) {
        UnitMigration migration = cells.migrationOf(unit);
        if (migration == null || !migration.automatic) {
            // The unit's history is forgotten once as much time has passed as the longest quarantine lasts.
            if (now - history.endsAt > settings.durationMicros() << MAX_DOUBLINGS) {
                historyByUnit.remove(unit);
            }
        } else if (history.inQuarantine && now >= history.endsAt && migration.isOver()) {
            history.inQuarantine = false;
            cells.beginMigration(
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
                    migration.home(),
                    true);
        } else if (!history.inQuarantine && migration.isOver()) {
            cells.forgetMigration(unit);
        }
    }
}
