package org.cypressweir.controlplane.distribution;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.cypressweir.controlplane.configuration.Configuration;
import org.cypressweir.controlplane.configuration.Item;
import org.cypressweir.controlplane.configuration.ItemKey;
import org.cypressweir.controlplane.consensus.ProposalNumber;

/**
 * The states of the configuration that a harbour has shown, the newest whole and what changed from each to
 * the next: who has one of them is told only what has changed since, any other the whole.
 */
public final class VersionLog {

    private static final int MOST = 64;

    private record Step(ProposalNumber from, Collection<Item> changed) {}

    /** What brings somebody to the newest state: the whole, or what has changed since a stamp. */
    public record News(boolean whole, List<byte[]> pieces) {}

    private ProposalNumber stamp = ProposalNumber.ZERO;
    private Configuration manifest = Configuration.EMPTY;
    private final ArrayDeque<Step> steps = new ArrayDeque<>();
    /** Made once for all who stand at the same place. */
    private final Map<ProposalNumber, News> news = new HashMap<>();

    private News whole;

    public ProposalNumber stamp() {
        return stamp;
    }

    public Configuration manifest() {
        return manifest;
    }

    /** A later state is shown. */
    public void show(ProposalNumber next, Configuration its) {
        if (next.compareTo(stamp) <= 0) {
            return;
        }
        List<Item> changed = new ArrayList<>();
        for (Item item : its.items()) {
            Item before = manifest.get(item.key());
            if (before == null || before.version() != item.version()) {
                changed.add(item);
            }
        }
        steps.addLast(new Step(stamp, changed));
        if (steps.size() > MOST) {
            steps.removeFirst();
        }
        stamp = next;
        manifest = its;
        news.clear();
        whole = null;
    }

    /** What somebody at this stamp lacks, ready to go. */
    public News newsFor(ProposalNumber at) {
        return news.computeIfAbsent(at, s -> {
            Collection<Item> changed = since(s);
            if (changed != null) {
                return new News(false, ItemChunks.pack(List.copyOf(changed)));
            }
            if (whole == null) {
                whole = new News(true, ItemChunks.pack(manifest.items()));
            }
            return whole;
        });
    }

    /** What somebody at this stamp lacks; null where that is not known and the whole has to be told. */
    public Collection<Item> since(ProposalNumber at) {
        if (at.equals(stamp)) {
            return List.of();
        }
        Map<ItemKey, Item> changed = null;
        for (Step step : steps) {
            if (step.from.equals(at)) {
                changed = new LinkedHashMap<>();
            }
            if (changed != null) {
                for (Item item : step.changed) {
                    changed.put(item.key(), item);
                }
            }
        }
        return changed == null ? null : changed.values();
    }
}
