package org.cypressweir.controlplane.consensus;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.cypressweir.controlplane.configuration.Item;

/** Puts together what comes in several messages for one ballot. Of each sender only the newest is kept. */
final class ChunkAssembler {

    private static final int MOST_PARTS = 100_000;

    private static final class Parts {
        final ProposalNumber stamp;
        final ProposalNumber base;
        final List<List<Item>> got = new ArrayList<>();
        int missing;

        Parts(ProposalNumber stamp, ProposalNumber base, int count) {
            this.stamp = stamp;
            this.base = base;
            missing = count;
            for (int i = 0; i < count; i++) {
                got.add(null);
            }
        }
    }

    private final Map<String, Parts> open = new HashMap<>();

    /** All items once the last part is here, else null. The base is null where they are the whole. */
    List<Item> take(String from, ProposalNumber stamp, ProposalNumber base, long part, long parts, List<Item> items) {
        if (parts < 1 || parts > MOST_PARTS || part < 0 || part >= parts) {
            throw new IllegalArgumentException("part");
        }
        if (parts == 1) {
            return items;
        }
        Parts of = open.get(from);
        if (of == null || stamp.above(of.stamp) || of.stamp.equals(stamp) && !Objects.equals(of.base, base)) {
            of = new Parts(stamp, base, (int) parts);
            open.put(from, of);
        }
        if (!of.stamp.equals(stamp) || of.got.size() != parts || of.got.get((int) part) != null) {
            return null;
        }
        of.got.set((int) part, items);
        if (--of.missing > 0) {
            return null;
        }
        open.remove(from);
        List<Item> all = new ArrayList<>();
        of.got.forEach(all::addAll);
        return all;
    }

    void prune(Collection<String> live) {
        open.keySet().retainAll(live);
    }
}
