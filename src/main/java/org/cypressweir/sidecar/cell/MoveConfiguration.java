package org.cypressweir.sidecar.cell;

/**
 * A unit that operators want in another cell.
 *
 * @param name of the move, unique in its pool
 * @param unit {@link org.cypressweir.common.util.Ids} of the tenant, key or header value
 * @param label the unit as operators wrote it
 * @param to place of the cell among those of the plan
 * @param startMicros Unix time; the same at every sidecar, so that all go in step
 * @param overMicros for how long the part of its safe requests that go to the new cell grows; 0 for at once
 * @param fenceMicros how long its writes may be held until those in hand at the old cell have ended; 0 for no
 *        fence: they go to the new cell while older ones still run at the old one
 * @param freezeMicros for how long, from the end of the ramp on, all sidecars refuse its writes, so that
 *        none is at both cells whoever sent it; 0 for no freeze
 */
public record MoveConfiguration(
        String name,
        long unit,
        String label,
        int to,
        long startMicros,
        long overMicros,
        long fenceMicros,
        long freezeMicros) {

    /** When a freeze begins. */
    long freezeAt() {
        return startMicros + overMicros;
    }
}
