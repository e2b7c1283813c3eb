package org.cypressweir.sidecar.route;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * The routes with the same host and path, in order of precedence. If there are many, they are split by the value of the
 * header that most of them test for equality, so that one of a thousand tenants' routes is found without looking at the
 * others.
 */
final class Candidates<T> {

    /** From this number of routes on, a hash look-up is cheaper than a scan. */
    private static final int HASH_THRESHOLD = 8;

    private final List<Route<T>> routes;
    /** The header whose value selects a subset; null if the routes are scanned. */
    private final String header;

    private final Map<String, Candidates<T>> byValue;
    private final Candidates<T> withoutValue;

    private Candidates(
            List<Route<T>> routes, String header, Map<String, Candidates<T>> byValue, Candidates<T> withoutValue) {
        this.routes = routes;
        this.header = header;
        this.byValue = byValue;
        this.withoutValue = withoutValue;
    }

    static <T> Candidates<T> none() {
        return new Candidates<>(List.of(), null, Map.of(), null);
    }

    static <T> Candidates<T> of(List<Route<T>> routes) {
        List<Route<T>> ordered = new ArrayList<>(routes);
        ordered.sort(Comparator.comparing((Route<T> r) -> r.match(), Match.PRECEDENCE_WITHIN_PATH)
                .thenComparing(Route::name));
        return split(List.copyOf(ordered), Set.of());
    }

    private static <T> Candidates<T> split(List<Route<T>> ordered, Set<String> usedHeaders) {
        String header = ordered.size() < HASH_THRESHOLD ? null : mostTestedHeader(ordered, usedHeaders);
        if (header == null) {
            return new Candidates<>(ordered, null, Map.of(), null);
        }
        Map<String, List<Route<T>>> lists = new HashMap<>();
        for (Route<T> route : ordered) {
            String value = requiredValue(route, header);
            if (value != null) {
                lists.computeIfAbsent(value, v -> new ArrayList<>());
            }
        }
        List<Route<T>> unrestricted = new ArrayList<>();
        for (Route<T> route : ordered) {
            String value = requiredValue(route, header);
            if (value != null) {
                lists.get(value).add(route);
            } else {
                // It matches any value of the header, so each subset contains it, in order of precedence.
                lists.values().forEach(list -> list.add(route));
                unrestricted.add(route);
            }
        }
        Set<String> nextUsedHeaders = new HashSet<>(usedHeaders);
        nextUsedHeaders.add(header);
        Map<String, Candidates<T>> byValue = new HashMap<>();
        lists.forEach((value, list) -> byValue.put(value, split(List.copyOf(list), nextUsedHeaders)));
        return new Candidates<>(ordered, header, byValue, split(List.copyOf(unrestricted), nextUsedHeaders));
    }

    /** The header that most of these routes test for equality, if more than half of them do; otherwise null. */
    private static <T> String mostTestedHeader(List<Route<T>> routes, Set<String> usedHeaders) {
        Map<String, Integer> counts = new TreeMap<>();
        for (Route<T> route : routes) {
            for (HeaderTest test : route.match().headers()) {
                if (test.kind() == HeaderTest.Kind.EQUAL && !usedHeaders.contains(test.name())) {
                    counts.merge(test.name(), 1, Integer::sum);
                }
            }
        }
        return counts.entrySet().stream()
                .filter(e -> 2 * e.getValue() > routes.size())
                .max(Map.Entry.comparingByValue())
                .map(Map.Entry::getKey)
                .orElse(null);
    }

    private static <T> String requiredValue(Route<T> route, String header) {
        for (HeaderTest test : route.match().headers()) {
            if (test.kind() == HeaderTest.Kind.EQUAL && test.name().equals(header)) {
                return test.value();
            }
        }
        return null;
    }

    Route<T> find(Routable request) {
        if (header != null) {
            String value = request.header(header);
            return (value == null ? withoutValue : byValue.getOrDefault(value, withoutValue)).find(request);
        }
        for (Route<T> route : routes) {
            if (conditionsHold(route.match(), request)) {
                return route;
            }
        }
        return null;
    }

    private static boolean conditionsHold(Match match, Routable request) {
        if (!match.methods().isEmpty() && !match.methods().contains(request.method())) {
            return false;
        }
        for (HeaderTest test : match.headers()) {
            if (!test.matches(request.header(test.name()))) {
                return false;
            }
        }
        return true;
    }
}
