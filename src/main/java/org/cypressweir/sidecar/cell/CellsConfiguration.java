package org.cypressweir.sidecar.cell;

import java.util.List;
import java.util.Map;

/**
 * Configuration of a pool that is divided into cells.
 *
 * @param unit which requests stay together in one cell
 * @param header name of the header whose value is the unit, in lower case; null for other units
 * @param spread what is assigned to cells: single servers, or whole groups that deduplicate requests together
 * @param reservationMicros how long the place of a server that has left stays reserved for its return
 * @param assigned cells of units by {@link org.cypressweir.common.util.Ids}; take precedence over the hash
 * @param deduplicationWindowMicros longest time for which servers deduplicate keyed requests; 0 if no class has keyed
 *     requests
 * @param maxRequestMicros longest time for which a request may be in flight
 * @param maxSpilloverFraction fraction of a cell's limit on requests in flight that may spill over from unhealthy
 *     cells; 0 for no spillover
 * @param spilloverWrites whether requests that must never run twice may spill over too
 * @param quarantine null if heavy units are not quarantined
 */
public record CellsConfiguration(
        Unit unit,
        String header,
        List<Cell> cells,
        Spread spread,
        long reservationMicros,
        Map<Long, Integer> assigned,
        List<MoveConfiguration> moves,
        long deduplicationWindowMicros,
        long maxRequestMicros,
        double maxSpilloverFraction,
        boolean spilloverWrites,
        Quarantine quarantine) {

    /** Which requests stay together in one cell: those of the same tenant, key or header value. */
    public enum Unit {
        TENANT,
        KEY,
        HEADER
    }

    /** What is assigned to the cells as a whole. */
    public enum Spread {
        SERVER,
        GROUP
    }

    /**
     * When a unit that floods an unhealthy cell is automatically moved to a quarantine cell.
     *
     * @param cell index of the quarantine cell, which is reserved
     * @param share fraction of its cell's total request time from which a unit counts as heavy; above 0, at most 1
     * @param durationMicros how long the first quarantine lasts; doubled for each repetition, up to eight times as long
     */
    public record Quarantine(int cell, double share, long durationMicros) {}

    /** A copy with the times that follow from the request classes of the pool's routes. */
    public CellsConfiguration withRequestTimes(long deduplicationWindow, long maxRequestTime) {
        return new CellsConfiguration(
                unit,
                header,
                cells,
                spread,
                reservationMicros,
                assigned,
                moves,
                deduplicationWindow,
                maxRequestTime,
                maxSpilloverFraction,
                spilloverWrites,
                quarantine);
    }

    /** A cell's share of a limit of the whole pool; at least 1. */
    public int shareOf(int cell, int total) {
        double shareSum = cells.stream().mapToDouble(Cell::share).sum();
        return total == Integer.MAX_VALUE
                ? total
                : Math.max(1, (int) (total * cells.get(cell).share() / shareSum));
    }

    /** The index of a cell; -1 if there is none of that name. */
    public int indexOf(String name) {
        for (int i = 0; i < cells.size(); i++) {
            if (cells.get(i).name().equals(name)) {
                return i;
            }
        }
        return -1;
    }
}
