package org.cypressweir.controlplane.consensus;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.cypressweir.controlplane.configuration.Item;

/**
 * States that others may fetch in pieces. One that was told or asked for stays at hand for a time, so that
 * whoever fetches it is not outrun by writes. Neighbouring states share most of what they hold.
 */
final class SnapshotCache {

    private static final int MOST = 64;
    private static final int LEAST = 8;
    private static final long KEPT_FOR = 3_000_000;

    private static final class Kept {
        final ReplicatedState state;
        List<Item> items;
        long usedAt;

        Kept(ReplicatedState state) {
            this.state = state;
        }
    }

    private final ReplicaContext desk;
    private final Map<ProposalNumber, Kept> kept = new LinkedHashMap<>(16, 0.75f, true);

    SnapshotCache(ReplicaContext desk) {
        this.desk = desk;
    }

    void keep(ReplicatedState state) {
        kept.computeIfAbsent(state.stamp(), s -> new Kept(state)).usedAt = desk.now;
        Iterator<Kept> oldest = kept.values().iterator();
        while (kept.size() > LEAST) {
            if (desk.now - oldest.next().usedAt < KEPT_FOR && kept.size() <= MOST) {
                return;
            }
            oldest.remove();
        }
    }

    void asked(String from, ProposalNumber stamp, Map<String, Object> message) {
        long part = ConsensusMessages.number(message, "part");
        Kept found = kept.get(stamp);
        if (found == null) {
            desk.send(from, ConsensusMessages.of(ConsensusMessages.GONE, "b", stamp));
            return;
        }
        found.usedAt = desk.now;
        ChangeHistory.Difference since = desk.history.since(ConsensusMessages.stamps(message, "has"), found.state);
        if (since == null && found.items == null) {
            found.items = found.state.manifest().items();
        }
        List<Item> items = since == null ? found.items : since.items();
        int size = desk.plan.pieceItems();
        int parts = parts(items.size(), size);
        if (part >= 0 && part < parts) {
            desk.send(
                    from,
                    ConsensusMessages.of(
                            ConsensusMessages.PIECE,
                            "b",
                            stamp,
                            "ask",
                            ConsensusMessages.number(message, "ask"),
                            "from",
                            since == null ? "" : since.from().toString(),
                            "sum",
                            found.state.manifest().sum(),
                            "part",
                            part,
                            "parts",
                            (long) parts,
                            "crew",
                            found.state.crew(),
                            "items",
                            ConsensusMessages.maps(piece(items, (int) part, size))));
        }
    }

    static int parts(int items, int size) {
        return Math.max(1, (items + size - 1) / size);
    }

    static List<Item> piece(List<Item> items, int part, int size) {
        return items.subList(Math.min(items.size(), part * size), Math.min(items.size(), (part + 1) * size));
    }
}
