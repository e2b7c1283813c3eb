package org.cypressweir.testkit;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.cypressweir.controlplane.configuration.Configuration;
import org.cypressweir.controlplane.configuration.ConfigurationChange;
import org.cypressweir.controlplane.configuration.Item;
import org.cypressweir.controlplane.configuration.ItemKey;
import org.cypressweir.controlplane.consensus.Effect;
import org.cypressweir.controlplane.consensus.ProposalNumber;
import org.cypressweir.controlplane.consensus.ProposalResult;

/**
 * Checks the guarantees of the consensus protocol from the outside, by what was submitted to replicas, what they
 * answered and what they published: nothing acknowledged or read is lost, each version of an item has one content, each
 * proposal number has one state, and the proposal numbers that a replica publishes increase. Not thread-safe.
 */
public final class ConsensusChecks {

    private record Call(ConfigurationChange change, Map<ItemKey, Item> requiredItems) {}

    private final Map<Long, Call> pendingCalls = new HashMap<>();
    /** The items that a read which begins now must return, in these versions or newer ones. */
    private Map<ItemKey, Item> requiredItems = Map.of();

    private final Map<ItemKey, Map<Long, Object>> contentsByVersion = new HashMap<>();
    private final Map<ProposalNumber, Effect.Publish> publishedStates = new HashMap<>();
    private final Map<String, ProposalNumber> lastPublished = new HashMap<>();
    private final List<String> violations = new ArrayList<>();
    /** The required items by the time since which they have been required. */
    private final TreeMap<Long, Map<ItemKey, Item>> requiredItemsByTime = new TreeMap<>();

    private int accepted;
    private int read;
    private int confirmed;

    public int accepted() {
        return accepted;
    }

    public int read() {
        return read;
    }

    /** How often a replica has confirmed that its published state was current as of some moment. */
    public int confirmed() {
        return confirmed;
    }

    /** Records the items that are required at this time. */
    public void timePassed(long now) {
        requiredItemsByTime.put(now, requiredItems);
    }

    /** Checks a state that a replica confirms to be current as of a moment: all that was answered before is in it. */
    public void confirmed(String replica, long asOf, Configuration shown) {
        confirmed++;
        Map.Entry<Long, Map<ItemKey, Item>> before = requiredItemsByTime.lowerEntry(asOf);
        if (before != null) {
            requireAtLeast(before.getValue(), shown, replica + ", confirmed as of " + asOf + ",");
        }
    }

    /** The first violation, or null. */
    public String violation() {
        return violations.isEmpty() ? null : violations.get(0);
    }

    public Map<ItemKey, Item> requiredItems() {
        return requiredItems;
    }

    /** Whether two voter sets, one committed right after the other, differ by more than one member. */
    public boolean hasLargeVoterChange() {
        List<String> before = null;
        for (Effect.Publish show : new TreeMap<>(publishedStates).values()) {
            Set<String> changed = new HashSet<>(show.voters());
            if (before != null) {
                Set<String> stayed = new HashSet<>(before);
                stayed.retainAll(changed);
                changed.addAll(before);
                changed.removeAll(stayed);
                if (changed.size() > 1) {
                    return true;
                }
            }
            before = show.voters();
        }
        return false;
    }

    public void started(String replica) {
        lastPublished.remove(replica);
    }

    public void submitted(long proposalId, ConfigurationChange change) {
        pendingCalls.put(proposalId, new Call(change, requiredItems));
    }

    public void answered(long proposalId, ProposalResult result) {
        Call call = pendingCalls.remove(proposalId);
        if (result instanceof ProposalResult.Committed) {
            accepted++;
            requireFromNowOn(call.change.items());
        } else if (result instanceof ProposalResult.Read answer) {
            read++;
            requireAtLeast(call.requiredItems, answer.configuration(), "read");
            requireFromNowOn(answer.configuration().items());
        }
    }

    private void requireFromNowOn(Collection<Item> items) {
        Map<ItemKey, Item> raised = new HashMap<>(requiredItems);
        for (Item item : items) {
            requireOneContent(item);
            raised.merge(item.key(), item, (a, b) -> a.version() >= b.version() ? a : b);
        }
        requiredItems = raised;
    }

    /** Checks that a configuration contains these items, in the same versions or newer ones. */
    public void requireAtLeast(Map<ItemKey, Item> least, Configuration configuration, String what) {
        least.forEach((key, item) -> {
            Item found = configuration.get(key);
            if (found == null || found.version() < item.version()) {
                violations.add(what + " has " + found + " in place of " + item);
            }
        });
    }

    private void requireOneContent(Item item) {
        Object content = item.withdrawn() ? "-" : item.content();
        Object before = contentsByVersion
                .computeIfAbsent(item.key(), k -> new HashMap<>())
                .putIfAbsent(item.version(), content);
        if (before != null && !before.equals(content)) {
            violations.add(item.key() + " r" + item.version() + " is " + before + " and " + content);
        }
    }

    public void published(String replica, Effect.Publish show) {
        ProposalNumber before = lastPublished.put(replica, show.number());
        if (before != null && before.compareTo(show.number()) >= 0) {
            violations.add(replica + " shows " + show.number() + " after " + before);
        }
        Effect.Publish other = publishedStates.putIfAbsent(show.number(), show);
        if (other != null && !other.equals(show)) {
            violations.add(show + " and " + other);
        }
        show.configuration().items().forEach(this::requireOneContent);
    }
}
