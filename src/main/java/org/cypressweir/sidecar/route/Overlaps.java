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
 * Finds pairs of conflicting routes: two that can match the same request without a precedence between them, or one that
 * is hidden by another, so that it never matches. Different hosts or paths always give a precedence, and a more
 * specific one can't hide a less specific one; so only routes with the same host and path are compared.
 */
public final class Overlaps {

    /** Two conflicting routes, by name; {@code hidden} if the other always takes precedence over the first. */
    public record Pair(String route, String other, boolean hidden) {}

    private Overlaps() {}

    /** All conflicting pairs; each route appears at most once as the first of a pair. */
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
        ordered.sort(Comparator.comparing((Route<T> r) -> r.match(), Match.PRECEDENCE_WITHIN_PATH)
                .thenComparing(Route::name));
        EarlierRoutes<T> earlierRoutes = new EarlierRoutes<>();
        for (Route<T> route : ordered) {
            Pair worst = null;
            for (Route<T> earlier : earlierRoutes.possibleOverlaps(route)) {
                Match a = earlier.match();
                Match b = route.match();
                boolean hidden = a.conditionsCover(b);
                boolean unordered = Match.PRECEDENCE_WITHIN_PATH.compare(a, b) == 0 && a.conditionsOverlap(b);
                if (unordered || hidden) {
                    boolean hides = hidden && Match.PRECEDENCE_WITHIN_PATH.compare(a, b) != 0;
                    if (worst == null || hides) {
                        worst = new Pair(route.name(), earlier.name(), hides);
                    }
                }
            }
            if (worst != null) {
                pairs.add(worst);
            }
            earlierRoutes.add(route);
        }
    }

    /**
     * The routes compared so far, indexed by the headers they test for equality. Two routes that require different
     * values of a header can't overlap, so a thousand routes of one path need not all be compared with one another.
     */
    private static final class EarlierRoutes<T> {
        private final Map<String, Map<String, List<Route<T>>>> byValue = new TreeMap<>();
        private final Map<String, Set<Route<T>>> withoutEqualTest = new HashMap<>();
        private final List<Route<T>> all = new ArrayList<>();

        void add(Route<T> route) {
            for (HeaderTest test : route.match().headers()) {
                if (test.kind() == HeaderTest.Kind.EQUAL) {
                    withoutEqualTest.computeIfAbsent(test.name(), n -> new HashSet<>(all));
                    byValue.computeIfAbsent(test.name(), n -> new HashMap<>())
                            .computeIfAbsent(test.value(), v -> new ArrayList<>())
                            .add(route);
                }
            }
            withoutEqualTest.forEach((name, routes) -> {
                if (route.match().headers().stream()
                        .noneMatch(t ->
                                t.kind() == HeaderTest.Kind.EQUAL && t.name().equals(name))) {
                    routes.add(route);
                }
            });
            all.add(route);
        }

        /** Earlier routes that may match the same request as this route. */
        List<Route<T>> possibleOverlaps(Route<T> route) {
            List<Route<T>> fewest = all;
            for (HeaderTest test : route.match().headers()) {
                if (test.kind() == HeaderTest.Kind.EQUAL && byValue.containsKey(test.name())) {
                    List<Route<T>> candidates = new ArrayList<>(withoutEqualTest.get(test.name()));
                    candidates.addAll(byValue.get(test.name()).getOrDefault(test.value(), List.of()));
                    candidates.sort(Comparator.comparing(Route::name));
                    fewest = candidates.size() < fewest.size() ? candidates : fewest;
                }
            }
            return fewest;
        }
    }
}
