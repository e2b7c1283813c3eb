package org.cypressweir.fleet.lease;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * The state of a world of leases as one text, the same for worlds that go on alike: times count from now,
 * tokens by their order and by whether they are next to each other, keepers by what is known of them.
 */
public final class StateText {

    private final StringBuilder common = new StringBuilder();
    private final Map<InetSocketAddress, StringBuilder> keepers = new HashMap<>();
    private final List<Long> tokens = new ArrayList<>();
    private final Map<InetSocketAddress, List<Long>> tokensOf = new HashMap<>();

    /** A time to come, from now; 0 for one that has come. */
    public long after(long now, long at) {
        return Math.max(0, at - now);
    }

    public void add(String what, long... numbers) {
        common.append(what);
        for (long n : numbers) {
            common.append(' ').append(n);
        }
        common.append(';');
    }

    public void name(String name) {
        common.append(name).append(';');
    }

    public void token(long token) {
        tokens.add(token);
    }

    /** Something about one keeper. */
    public void of(InetSocketAddress keeper, String what) {
        keepers.computeIfAbsent(keeper, k -> new StringBuilder()).append(what).append(';');
    }

    public void tokenOf(InetSocketAddress keeper, long token) {
        tokensOf.computeIfAbsent(keeper, k -> new ArrayList<>()).add(token);
    }

    /** Tokens as small numbers that keep their order, and who is next to whom. */
    private Map<Long, Integer> small() {
        TreeSet<Long> all = new TreeSet<>(tokens);
        tokensOf.values().forEach(all::addAll);
        Map<Long, Integer> small = new TreeMap<>();
        long before = 0;
        int number = 0;
        for (long token : all) {
            // That none was ever given is told from any number.
            number += (int) Math.min(2, token - before);
            small.put(token, number);
            before = token;
        }
        return small;
    }

    @Override
    public String toString() {
        Map<Long, Integer> small = small();
        StringBuilder text = new StringBuilder(common);
        tokens.forEach(t -> text.append(small.get(t)).append(','));
        List<String> each = new ArrayList<>();
        for (InetSocketAddress keeper : keepers.keySet()) {
            StringBuilder its = new StringBuilder(keepers.get(keeper));
            tokensOf.getOrDefault(keeper, List.of())
                    .forEach(t -> its.append(small.get(t)).append(','));
            each.add(its.toString());
        }
        each.sort(null);
        return text.append(each).toString();
    }
}
