package org.cypressweir.fleet.lease;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * The state of a model of leases as one text for model checkers. States that behave alike from now on have the same
 * text: times are relative to now, tokens are replaced by their order and by whether they are consecutive, and
 * grantors are told apart by what is known of them only.
 */
public final class StateText {

    private final StringBuilder common = new StringBuilder();
    private final Map<InetSocketAddress, StringBuilder> textOfGrantors = new HashMap<>();
    private final List<Long> tokens = new ArrayList<>();
    private final Map<InetSocketAddress, List<Long>> tokensOfGrantors = new HashMap<>();

    /** Time that is left until then; 0 for a time in the past. */
    public long remaining(long now, long at) {
        return Math.max(0, at - now);
    }

    public void add(String label, long... numbers) {
        common.append(label);
        for (long number : numbers) {
            common.append(' ').append(number);
        }
        common.append(';');
    }

    public void addName(String name) {
        common.append(name).append(';');
    }

    public void addToken(long token) {
        tokens.add(token);
    }

    /** Something about one grantor. */
    public void addOf(InetSocketAddress grantor, String text) {
        textOfGrantors
                .computeIfAbsent(grantor, address -> new StringBuilder())
                .append(text)
                .append(';');
    }

    public void addTokenOf(InetSocketAddress grantor, long token) {
        tokensOfGrantors.computeIfAbsent(grantor, address -> new ArrayList<>()).add(token);
    }

    /** Small numbers for tokens that keep their order and whether two are consecutive. */
    private Map<Long, Integer> normalizedTokens() {
        TreeSet<Long> sorted = new TreeSet<>(tokens);
        tokensOfGrantors.values().forEach(sorted::addAll);
        Map<Long, Integer> normalized = new TreeMap<>();
        long previous = 0;
        int number = 0;
        for (long token : sorted) {
            // 0, for no token, differs from any token.
            number += (int) Math.min(2, token - previous);
            normalized.put(token, number);
            previous = token;
        }
        return normalized;
    }

    @Override
    public String toString() {
        Map<Long, Integer> normalized = normalizedTokens();
        StringBuilder text = new StringBuilder(common);
        tokens.forEach(token -> text.append(normalized.get(token)).append(','));
        List<String> texts = new ArrayList<>();
        for (InetSocketAddress grantor : textOfGrantors.keySet()) {
            StringBuilder ofGrantor = new StringBuilder(textOfGrantors.get(grantor));
            tokensOfGrantors
                    .getOrDefault(grantor, List.of())
                    .forEach(token -> ofGrantor.append(normalized.get(token)).append(','));
            texts.add(ofGrantor.toString());
        }
        texts.sort(null);
        return text.append(texts).toString();
    }
}
