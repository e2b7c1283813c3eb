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
 * The routes that have host and path in common, in order of precedence. Where they are many, they are parted
 * by the value of the header that most of them test for equality, so that one of a thousand tenants' routes
 * is found without looking at the others.
 */
final class Candidates<T> {

    /** From so many on a hash is cheaper than looking at each. */
    private static final int MANY = 8;

    private final List<Route<T>> routes;
    /** The header that parts them; null where they are looked at one by one. */
    private final String header;

    private final Map<String, Candidates<T>> byValue;
    private final Candidates<T> others;

    private Candidates(List<Route<T>> routes, String header, Map<String, Candidates<T>> byValue, Candidates<T> others) {
        this.routes = routes;
        this.header = header;
        this.byValue = byValue;
        this.others = others;
    }

    static <T> Candidates<T> none() {
        return new Candidates<>(List.of(), null, Map.of(), null);
    }

    static <T> Candidates<T> of(List<Route<T>> routes) {
        List<Route<T>> ordered = new ArrayList<>(routes);
        ordered.sort(Comparator.comparing((Route<T> r) -> r.match(), Match.WITHIN_PATH)
                .thenComparing(Route::name));
        return parted(List.copyOf(ordered), Set.of());
    }

    private static <T> Candidates<T> parted(List<Route<T>> ordered, Set<String> done) {
        String header = ordered.size() < MANY ? null : mostTested(ordered, done);
        if (header == null) {
            return new Candidates<>(ordered, null, Map.of(), null);
        }
        Map<String, List<Route<T>>> lists = new HashMap<>();
        for (Route<T> route : ordered) {
            String value = wanted(route, header);
            if (value != null) {
                lists.computeIfAbsent(value, v -> new ArrayList<>());
            }
        }
        List<Route<T>> rest = new ArrayList<>();
        for (Route<T> route : ordered) {
            String value = wanted(route, header);
            if (value != null) {
                lists.get(value).add(route);
            } else {
                // Whatever the header's value: it stands in each part, at its place.
                lists.values().forEach(list -> list.add(route));
                rest.add(route);
            }
        }
        Set<String> next = new HashSet<>(done);
        next.add(header);
        Map<String, Candidates<T>> byValue = new HashMap<>();
        lists.forEach((value, list) -> byValue.put(value, parted(List.copyOf(list), next)));
        return new Candidates<>(ordered, header, byValue, parted(List.copyOf(rest), next));
    }

    /** The header that the most of these want to equal something, if that is more than half of them. */
    private static <T> String mostTested(List<Route<T>> routes, Set<String> done) {
        Map<String, Integer> counts = new TreeMap<>();
        for (Route<T> route : routes) {
            for (HeaderTest test : route.match().headers()) {
                if (test.kind() == HeaderTest.Kind.EQUAL && !done.contains(test.name())) {
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

    private static <T> String wanted(Route<T> route, String header) {
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
            return (value == null ? others : byValue.getOrDefault(value, others)).find(request);
        }
        for (Route<T> route : routes) {
            if (passes(route.match(), request)) {
                return route;
            }
        }
        return null;
    }

    private static boolean passes(Match match, Routable request) {
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
