package org.cypressweir.fleet.lease;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * The state of a lease model in a canonical text form, for model checkers. States with the same further behaviour have
 * the same text: times are relative to the current time, tokens are replaced by small numbers that keep their order and
 * adjacency, and grantors are distinguished by their state only, not by their addresses.
 */
public final class StateText {

    private final StringBuilder common = new StringBuilder();
    private final Map<InetSocketAddress, StringBuilder> textByGrantor = new HashMap<>();
    private final List<Long> tokens = new ArrayList<>();
    private final Map<InetSocketAddress, List<Long>> tokensByGrantor = new HashMap<>();

    /** Time remaining until then; 0 for a time in the past. */
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

    /** Appends a text about one grantor. */
    public void addGrantorText(InetSocketAddress grantor, String text) {
        textByGrantor
                .computeIfAbsent(grantor, address -> new StringBuilder())
                .append(text)
                .append(';');
    }

    public void addGrantorToken(InetSocketAddress grantor, long token) {
        tokensByGrantor.computeIfAbsent(grantor, address -> new ArrayList<>()).add(token);
    }

    /** Maps tokens to small numbers that keep their order and whether two are consecutive. */
    private Map<Long, Integer> normalizedTokens() {
        TreeSet<Long> sorted = new TreeSet<>(tokens);
        tokensByGrantor.values().forEach(sorted::addAll);
        Map<Long, Integer> normalized = new TreeMap<>();
        long previous = 0;
        int number = 0;
        for (long token : sorted) {
            // Token 0, for no token, maps to 0; every other token maps to a higher number.
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
        List<String> grantorTexts = new ArrayList<>();
        for (InetSocketAddress grantor : textByGrantor.keySet()) {
            StringBuilder grantorText = new StringBuilder(textByGrantor.get(grantor));
            tokensByGrantor
                    .getOrDefault(grantor, List.of())
                    .forEach(token -> grantorText.append(normalized.get(token)).append(','));
            grantorTexts.add(grantorText.toString());
        }
        grantorTexts.sort(null);
        return text.append(grantorTexts).toString();
    }
}
