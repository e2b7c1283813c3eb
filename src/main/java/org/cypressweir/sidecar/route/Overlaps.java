package org.cypressweir.sidecar.route;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Pairs of routes that can't stand together: two that match the same request with no order between them, and
 * one that another hides. Host and path always give an order, and what is more specific in them can't hide
 * what is less; so only routes of the same host and path are compared.
 */
public final class Overlaps {

    /** Two routes of one file, by name. */
    public record Pair(String route, String other, boolean hidden) {}

    private Overlaps() {}

    /** All pairs at fault, a route once at most as the first of a pair. */
    public static <T> List<Pair> of(List<Route<T>> routes) {
        Map<String, List<Route<T>>> buckets = new LinkedHashMap<>();
        for (Route<T> route : routes) {
            String place = route.match().host() + " " + route.match().path();
            buckets.computeIfAbsent(place, p -> new ArrayList<>()).add(route);
        }
        List<Pair> pairs = new ArrayList<>();
        buckets.values().forEach(bucket -> compare(bucket, pairs));
        return pairs;
    }

    private static <T> void compare(List<Route<T>> bucket, List<Pair> pairs) {
        List<Route<T>> ordered = new ArrayList<>(bucket);
        ordered.sort(Comparator.comparing((Route<T> r) -> r.match(), Match.WITHIN_PATH)
                .thenComparing(Route::name));
        Seen<T> seen = new Seen<>();
        for (Route<T> route : ordered) {
            Pair worst = null;
            for (Route<T> earlier : seen.near(route)) {
                Match a = earlier.match();
                Match b = route.match();
                boolean hidden = a.conditionsCover(b);
                boolean unordered = Match.WITHIN_PATH.compare(a, b) == 0 && a.conditionsOverlap(b);
                if (unordered || hidden) {
                    boolean hides = hidden && Match.WITHIN_PATH.compare(a, b) != 0;
                    if (worst == null || hides) {
                        worst = new Pair(route.name(), earlier.name(), hides);
                    }
                }
            }
            if (worst != null) {
                pairs.add(worst);
            }
            seen.add(route);
        }
    }

    /**
     * Routes so far, found by a header that they want to equal something: two that want other values of it
     * have nothing in common, so that a thousand routes of one path need not be compared with one another.
     */
    private static final class Seen<T> {
        private final Map<String, Map<String, List<Route<T>>>> byValue = new TreeMap<>();
        private final Map<String, Set<Route<T>>> without = new HashMap<>();
        private final List<Route<T>> all = new ArrayList<>();

        void add(Route<T> route) {
            for (HeaderTest test : route.match().headers()) {
                if (test.kind() == HeaderTest.Kind.EQUAL) {
                    without.computeIfAbsent(test.name(), n -> new HashSet<>(all));
                    byValue.computeIfAbsent(test.name(), n -> new HashMap<>())
                            .computeIfAbsent(test.value(), v -> new ArrayList<>())
                            .add(route);
                }
            }
            without.forEach((name, routes) -> {
                if (route.match().headers().stream()
                        .noneMatch(t ->
                                t.kind() == HeaderTest.Kind.EQUAL && t.name().equals(name))) {
                    routes.add(route);
                }
            });
            all.add(route);
        }

        /** Those that may match a request of this route. */
        List<Route<T>> near(Route<T> route) {
            List<Route<T>> fewest = all;
            for (HeaderTest test : route.match().headers()) {
                if (test.kind() == HeaderTest.Kind.EQUAL && byValue.containsKey(test.name())) {
                    List<Route<T>> few = new ArrayList<>(without.get(test.name()));
                    few.addAll(byValue.get(test.name()).getOrDefault(test.value(), List.of()));
                    few.sort(Comparator.comparing(Route::name));
                    fewest = few.size() < fewest.size() ? few : fewest;
                }
            }
            return fewest;
        }
    }
}
