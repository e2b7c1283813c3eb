package org.cypressweir.sidecar.cell;

import java.util.Arrays;
import java.util.BitSet;
import java.util.List;
import java.util.Map;
import org.cypressweir.common.util.Hashes;
import org.cypressweir.common.util.Ids;

/**
 * Which cell is a unit's home: the one it is assigned to, or that of its slot. Slots are dealt to the cells
 * by weighted rendezvous hashing (Schindelhauer and Schomaker, 2005; the logarithm method): a cell more or
 * less moves only the slots that it takes or leaves. The same at every sidecar and after every restart.
 */
public final class Placement {

    /** Units of one slot have one home; many more slots than cells keep the parts of the cells even. */
    static final int SLOTS = 4096;

    private static final long SLOT_SALT = 0x51;
    private static final long CELL_SALT = 0x9F;
    private static final byte UNKNOWN = -1;
    private static final BitSet NONE = new BitSet();

    private final double[] shares;
    private final long[] seeds;
    private final Map<Long, Integer> assigned;
    /** Cells that have servers to their name; the others are nobody's home. */
    private final BitSet open;
    /** By slot, filled in when it is first asked for. */
    private final byte[] homes = new byte[SLOTS];

    /** @param open places of the cells with servers; with none of those that are not reserved, all count */
    public Placement(List<Cell> cells, Map<Long, Integer> assigned, BitSet open) {
        this.assigned = assigned;
        this.open = open;
        shares = cells.stream().mapToDouble(c -> c.reserved() ? 0 : c.share()).toArray();
        seeds = cells.stream().mapToLong(c -> Ids.of(c.name())).toArray();
        Arrays.fill(homes, UNKNOWN);
    }

    /** The home of a unit. */
    public int home(long unit) {
        Integer given = assigned.get(unit);
        if (given != null && (open.get(given) || open.isEmpty())) {
            return given;
        }
        int slot = slot(unit);
        if (homes[slot] == UNKNOWN) {
            homes[slot] = (byte) best(slot);
        }
        return homes[slot];
    }

    /** The home that a unit would have if these cells were not there; -1 where there is no other. */
    public int next(long unit, BitSet but) {
        return rank(slot(unit), but, true);
    }

    /** Whether a cell has servers to its name. */
    public boolean isOpen(int cell) {
        return open.get(cell);
    }

    /** Whether it was made for just these open cells. */
    boolean isFor(BitSet cells) {
        return open.equals(cells);
    }

    private static int slot(long unit) {
        return (int) (Hashes.mix(unit, SLOT_SALT) >>> 52);
    }

    private int best(int slot) {
        int best = rank(slot, NONE, true);
        return best >= 0 ? best : Math.max(0, rank(slot, NONE, false));
    }

    private int rank(int slot, BitSet but, boolean onlyOpen) {
        int best = -1;
        double most = 0;
        for (int c = 0; c < shares.length; c++) {
            if (shares[c] <= 0 || but.get(c) || onlyOpen && !open.get(c)) {
                continue;
            }
            double u = Hashes.uniform(Hashes.mix(slot, CELL_SALT), seeds[c]);
            double score = -shares[c] / Math.log(u + 0x1.0p-54);
            if (best < 0 || score > most) {
                best = c;
                most = score;
            }
        }
        return best;
    }
}
