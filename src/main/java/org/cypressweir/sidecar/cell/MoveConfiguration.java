package org.cypressweir.sidecar.cell;

/**
 * A configured move of a unit to another cell.
 *
 * @param name of the move, unique in its pool
 * @param unit {@link org.cypressweir.common.util.Ids} of the tenant, key or header value
 * @param label the unit as written in the configuration
 * @param to index of the target cell in the configuration
 * @param startMicros Unix time; the same at every sidecar, so that all of them move the unit at the same time
 * @param rampMicros duration of the ramp, in which a growing fraction of the unit's safe requests goes to the new
 *     cell; 0 for all at once
 * @param fenceMicros how long writes may be held until those in flight at the old cell have ended; 0 for no fence:
 *     writes go to the new cell while earlier ones may still run at the old one
 * @param freezeMicros how long, from the end of the ramp on, all sidecars reject the unit's writes, so that writes
 *     never run at both cells at once, whichever sidecars sent them; 0 for no freeze
 */
public record MoveConfiguration(
        String name,
        long unit,
        String label,
        int to,
        long startMicros,
        long rampMicros,
        long fenceMicros,
        long freezeMicros) {

    /** When a freeze begins, in Unix time. */
    long freezeAt() {
        return startMicros + rampMicros;
    }
}
