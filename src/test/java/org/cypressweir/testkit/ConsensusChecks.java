package org.cypressweir.testkit;

import java.util.ArrayList;
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

/** Judges by what was sent, answered and shown alone. The first breach is kept. */
public final class ConsensusChecks {

    private record Call(ConfigurationChange order, Map<ItemKey, Item> floor) {}

    private final Map<Long, Call> calls = new HashMap<>();
    /** What whoever asks from now on must find, or something newer. */
    private Map<ItemKey, Item> floor = Map.of();

    private final Map<ItemKey, Map<Long, Object>> contents = new HashMap<>();
    private final Map<ProposalNumber, Effect.Show> states = new HashMap<>();
    private final Map<String, ProposalNumber> last = new HashMap<>();
    private final List<String> breaches = new ArrayList<>();
    /** By the time from which each holds. */
    private final TreeMap<Long, Map<ItemKey, Item>> floors = new TreeMap<>();

    private int taken;
    private int read;
    private int confirmed;

    public int taken() {
        return taken;
    }

    public int read() {
        return read;
    }

    /** How often a replica has said that what it shows was the newest as of some moment. */
    public int confirmed() {
        return confirmed;
    }

    /** From now on it is this late. */
    public void at(long now) {
        floors.put(now, floor);
    }

    /** A replica says that what it shows was the newest as of a moment: all answered before is there. */
    public void confirmed(String replica, long asOf, Configuration shown) {
        confirmed++;
        Map.Entry<Long, Map<ItemKey, Item>> before = floors.lowerEntry(asOf);
        if (before != null) {
            above(before.getValue(), shown, replica + ", confirmed as of " + asOf + ",");
        }
    }

    /** What is wrong, or null. */
    public String breach() {
        return breaches.isEmpty() ? null : breaches.get(0);
    }

    public Map<ItemKey, Item> floor() {
        return floor;
    }

    /** Whether two voter sets, one shown right after the other, differ by more than one member. */
    public boolean leaps() {
        List<String> before = null;
        for (Effect.Show show : new TreeMap<>(states).values()) {
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
        last.remove(replica);
    }

    public void sent(long proposalId, ConfigurationChange order) {
        calls.put(proposalId, new Call(order, floor));
    }

    public void answered(long proposalId, ProposalResult result) {
        Call call = calls.remove(proposalId);
        if (result instanceof ProposalResult.Taken) {
            taken++;
            Map<ItemKey, Item> raised = new HashMap<>(floor);
            for (Item item : call.order.items()) {
                one(item);
                raised.merge(item.key(), item, (a, b) -> a.version() >= b.version() ? a : b);
            }
            floor = raised;
        } else if (result instanceof ProposalResult.Read answer) {
            read++;
            above(call.floor, answer.configuration(), "read");
            Map<ItemKey, Item> raised = new HashMap<>(floor);
            for (Item item : answer.configuration().items()) {
                one(item);
                raised.merge(item.key(), item, (a, b) -> a.version() >= b.version() ? a : b);
            }
            floor = raised;
        }
    }

    /** Whether a configuration has all that it must, in versions as high. */
    public void above(Map<ItemKey, Item> least, Configuration configuration, String what) {
        least.forEach((key, item) -> {
            Item found = configuration.get(key);
            if (found == null || found.version() < item.version()) {
                breaches.add(what + " has " + found + " in place of " + item);
            }
        });
    }

    private void one(Item item) {
        Object content = item.withdrawn() ? "-" : item.content();
        Object before =
                contents.computeIfAbsent(item.key(), k -> new HashMap<>()).putIfAbsent(item.version(), content);
        if (before != null && !before.equals(content)) {
            breaches.add(item.key() + " r" + item.version() + " is " + before + " and " + content);
        }
    }

    public void shown(String replica, Effect.Show show) {
        ProposalNumber before = last.put(replica, show.number());
        if (before != null && before.compareTo(show.number()) >= 0) {
            breaches.add(replica + " shows " + show.number() + " after " + before);
        }
        Effect.Show other = states.putIfAbsent(show.number(), show);
        if (other != null && !other.equals(show)) {
            breaches.add(show + " and " + other);
        }
        show.configuration().items().forEach(this::one);
    }
}
