package org.cypressweir.sidecar.cell;

import java.util.List;
import java.util.Map;

/**
 * What operators say of a pool that is parted into cells.
 *
 * @param unit what stays together in one cell
 * @param header the header whose value is the unit, in small letters; null for other units
 * @param spread what is dealt out to cells: servers, or whole groups that drop repeats together
 * @param keepMicros how long the place of a server that is gone stays kept for its return
 * @param assigned cells of units by {@link org.cypressweir.common.util.Ids}, which go before the hash
 * @param windowMicros longest time for which servers drop repeats of keyed requests; 0 without any such class
 * @param patienceMicros longest that a request may be in hand
 * @param guests part of a cell's bound on requests that guests of sick cells may take; 0 for no guests
 * @param guestWrites whether requests that must never run twice may be guests too
 * @param quarantine null where heavy units stay where they are
 */
public record CellsConfiguration(
        Unit unit,
        String header,
        List<Cell> cells,
        Spread spread,
        long keepMicros,
        Map<Long, Integer> assigned,
        List<MoveConfiguration> moves,
        long windowMicros,
        long patienceMicros,
        double guests,
        boolean guestWrites,
        Quarantine quarantine) {

    /** What stays together in one cell. */
    public enum Unit {
        TENANT,
        KEY,
        HEADER
    }

    /** What is dealt out to the cells. */
    public enum Spread {
        SERVER,
        GROUP
    }

    /**
     * When a unit that floods a sick cell is moved away by itself.
     *
     * @param cell where to; reserved
     * @param share of its cell's time in hand from which a unit is heavy; above 0, at most 1
     * @param forMicros how long it stays there at first; doubled each time it comes again, up to eight times
     */
    public record Quarantine(int cell, double share, long forMicros) {}

    /** The same with what the classes of the pool's routes say. */
    public CellsConfiguration with(long window, long patience) {
        return new CellsConfiguration(
                unit,
                header,
                cells,
                spread,
                keepMicros,
                assigned,
                moves,
                window,
                patience,
                guests,
                guestWrites,
                quarantine);
    }

    /** A cell's part of what the whole pool may have; 1 at least. */
    public int part(int cell, int all) {
        double sum = cells.stream().mapToDouble(Cell::share).sum();
        return all == Integer.MAX_VALUE
                ? all
                : Math.max(1, (int) (all * cells.get(cell).share() / sum));
    }

    /** The place of a cell, or -1. */
    public int cell(String name) {
        for (int i = 0; i < cells.size(); i++) {
            if (cells.get(i).name().equals(name)) {
                return i;
            }
        }
        return -1;
    }
}
