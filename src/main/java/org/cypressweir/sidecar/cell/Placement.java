package org.cypressweir.sidecar.cell;

import java.util.Arrays;
import java.util.BitSet;
import java.util.List;
import java.util.Map;
import org.cypressweir.common.util.Hashes;
import org.cypressweir.common.util.Ids;

/**
 * The home cells of units: the cell that a unit is assigned to by the configuration, or that of its slot. Slots are
 * distributed over the cells by weighted rendezvous hashing (Schindelhauer and Schomaker, 2005; the logarithm method),
 * so that adding or removing a cell moves only the slots that the cell gains or loses. The result is the same at every
 * sidecar and after every restart.
 */
public final class Placement {

    /** All units of a slot have the same home cell; with far more slots than cells, shares are met closely. */
    static final int SLOTS = 4096;

    private static final long SLOT_SALT = 0x51;
    private static final long CELL_SALT = 0x9F;
    private static final byte UNKNOWN = -1;
    private static final BitSet NO_CELLS = new BitSet();

    private final double[] shares;
    private final long[] seeds;
    private final Map<Long, Integer> assigned;
    /** Cells that have servers; no other cell is a home cell. */
    private final BitSet open;
    /** Home cells by slot, computed when first needed. */
    private final byte[] homes = new byte[SLOTS];

    /** @param open indexes of the cells with servers; if all of these are reserved, cells without servers count too */
    public Placement(List<Cell> cells, Map<Long, Integer> assigned, BitSet open) {
        this.assigned = assigned;
        this.open = open;
        shares = cells.stream().mapToDouble(c -> c.reserved() ? 0 : c.share()).toArray();
        seeds = cells.stream().mapToLong(c -> Ids.of(c.name())).toArray();
        Arrays.fill(homes, UNKNOWN);
    }

    /** The index of a unit's home cell. */
    public int home(long unit) {
        Integer assignedCell = assigned.get(unit);
        if (assignedCell != null && (open.get(assignedCell) || open.isEmpty())) {
            return assignedCell;
        }
        int slot = slot(unit);
        if (homes[slot] == UNKNOWN) {
            homes[slot] = (byte) computeHome(slot);
        }
        return homes[slot];
    }

    /** The home cell that a unit would have if these cells did not exist; -1 if there is no other with servers. */
    public int next(long unit, BitSet excluded) {
        return highestRanked(slot(unit), excluded, true);
    }

    /** Whether a cell has servers. */
    public boolean isOpen(int cell) {
        return open.get(cell);
    }

    /** Whether this placement was computed for exactly these cells with servers. */
    boolean isFor(BitSet cells) {
        return open.equals(cells);
    }

    private static int slot(long unit) {
        return (int) (Hashes.mix(unit, SLOT_SALT) >>> 52);
    }

    private int computeHome(int slot) {
        int best = highestRanked(slot, NO_CELLS, true);
        return best >= 0 ? best : Math.max(0, highestRanked(slot, NO_CELLS, false));
    }

    private int highestRanked(int slot, BitSet excluded, boolean onlyOpen) {
        int best = -1;
        double bestScore = 0;
        for (int c = 0; c < shares.length; c++) {
            if (shares[c] <= 0 || excluded.get(c) || onlyOpen && !open.get(c)) {
                continue;
            }
            double uniform = Hashes.uniform(Hashes.mix(slot, CELL_SALT), seeds[c]);
            double score = -shares[c] / Math.log(uniform + 0x1.0p-54);
            if (best < 0 || score > bestScore) {
                best = c;
                bestScore = score;
            }
        }
        return best;
    }
}
