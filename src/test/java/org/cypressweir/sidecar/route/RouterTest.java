package org.cypressweir.sidecar.route;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import org.cypressweir.sidecar.route.HeaderTest.Kind;
import org.junit.jupiter.api.Test;

/** Compares the compiled router with a scan of all routes in the documented precedence. */
class RouterTest {

    private record Request(String method, String host, String path, Map<String, String> headers) implements Routable {
        @Override
        public String header(String name) {
            return headers.get(name);
        }
    }

    private static Route<String> route(String name, String host, String path) {
        return new Route<>(
                name, new Match(HostPattern.parse(host), PathPattern.parse(path), Set.of(), List.of(), 0), name);
    }

    private static String find(Router<String> router, String host, String path) {
        Route<String> found = router.find(new Request("GET", host, path, Map.of()));
        return found == null ? null : found.name();
    }

    @Test
    void mostSpecificRouteWins() {
        Router<String> router = new Router<>(List.of(
                route("all", "*", "/*"),
                route("host", "a.org", "/x/*"),
                route("below", "*.a.org", "/x/y"),
                route("deep", "*.b.a.org", "/x/y"),
                route("exact", "*", "/x/y"),
                route("open", "*", "/x/{id}"),
                route("long", "*", "/x/y/*"),
                route("mixed", "*", "/{v}/y")));
        assertEquals("host", find(router, "a.org", "/x/y"));
        assertEquals("all", find(router, "a.org", "/z"));
        assertEquals("below", find(router, "q.a.org", "/x/y"));
        assertEquals("deep", find(router, "q.b.a.org", "/x/y"));
        assertEquals("exact", find(router, "c.org", "/x/y"));
        assertEquals("open", find(router, "c.org", "/x/q"));
        assertEquals("long", find(router, "c.org", "/x/y/z"));
        assertEquals("mixed", find(router, "c.org", "/q/y"));
        assertEquals("all", find(router, "", "/x/"));
    }

    @Test
    void aPrefixEndsAtASegment() {
        Router<String> router = new Router<>(List.of(route("a", "*", "/pay/*")));
        assertEquals("a", find(router, "h", "/pay"));
        assertEquals("a", find(router, "h", "/pay/"));
        assertEquals("a", find(router, "h", "/pay/7/x"));
        assertNull(find(router, "h", "/payment"));
    }

    private static final List<String> HOSTS = List.of("*", "a.org", "*.a.org", "*.x.a.org", "x.a.org", "b.org");
    private static final List<String> NAMES = List.of("a.org", "x.a.org", "y.x.a.org", "b.org", "");
    private static final List<String> SEGMENTS = List.of("a", "b", "{i}");
    private static final List<String> HEADERS = List.of("h1", "h2");

    private static Match randomMatch(SplittableRandom random) {
        StringBuilder path = new StringBuilder();
        for (int n = random.nextInt(4); n > 0; n--) {
            path.append('/').append(SEGMENTS.get(random.nextInt(SEGMENTS.size())));
        }
        if (path.length() == 0 || random.nextInt(3) == 0) {
            path.append("/*");
        }
        Set<String> methods = new TreeSet<>();
        for (int n = random.nextInt(3); n > 0; n--) {
            methods.add(random.nextBoolean() ? "GET" : "POST");
        }
        List<HeaderTest> tests = new ArrayList<>();
        for (String header : HEADERS) {
            switch (random.nextInt(6)) {
                case 0 -> tests.add(new HeaderTest(header, Kind.PRESENT, null));
                case 1 -> tests.add(new HeaderTest(header, Kind.ABSENT, null));
                case 2, 3 -> tests.add(new HeaderTest(header, Kind.EQUAL, "v" + random.nextInt(4)));
                default -> {}
            }
        }
        return new Match(
                HostPattern.parse(HOSTS.get(random.nextInt(HOSTS.size()))),
                PathPattern.parse(path.toString()),
                methods,
                tests,
                random.nextInt(3));
    }

    private static Request randomRequest(SplittableRandom random) {
        StringBuilder path = new StringBuilder();
        for (int n = 1 + random.nextInt(4); n > 0; n--) {
            path.append('/').append(List.of("a", "b", "c", "").get(random.nextInt(4)));
        }
        Map<String, String> headers = new HashMap<>();
        for (String header : HEADERS) {
            if (random.nextBoolean()) {
                headers.put(header, "v" + random.nextInt(5));
            }
        }
        return new Request(
                random.nextBoolean() ? "GET" : "POST",
                NAMES.get(random.nextInt(NAMES.size())),
                path.toString(),
                headers);
    }

    private static boolean matches(Match m, Request r) {
        String host = m.host().toString();
        boolean named = host.equals("*")
                || host.equals(r.host())
                || host.startsWith("*.") && r.host().endsWith(host.substring(1));
        String open = m.path().toString().replace("{}", "[^/]+");
        boolean prefix = open.endsWith("/*");
        String pattern = prefix ? open.substring(0, open.length() - 2) + "(/.*)?" : open;
        return named
                && r.path().matches(pattern)
                && (m.methods().isEmpty() || m.methods().contains(r.method()))
                && m.headers().stream().allMatch(t -> t.matches(r.header(t.name())));
    }

    /** The precedence as documented at {@link Match}, rule by rule. */
    private static final Comparator<Match> DOCUMENTED = Comparator.<Match>comparingInt(
                    m -> m.host().name() == null ? 2 : m.host().suffix() ? 1 : 0)
            .thenComparing(m -> m.host().name() == null ? 0 : -m.host().name().length())
            .thenComparing(Match::path)
            .thenComparing(m -> -m.priority())
            .thenComparing(m -> m.methods().isEmpty() ? 1 : 0)
            .thenComparing(m -> -m.headers().size());

    @Test
    void agreesWithAScanInTheDocumentedOrder() {
        long seed = 4213;
        SplittableRandom random = new SplittableRandom(seed);
        int found = 0;
        for (int round = 0; round < 300; round++) {
            List<Route<String>> routes = new ArrayList<>();
            for (int i = 0; i < 60; i++) {
                routes.add(new Route<>("r" + i, randomMatch(random), "r" + i));
            }
            Set<String> faulty = new TreeSet<>();
            Overlaps.of(routes).forEach(pair -> faulty.add(pair.route()));
            routes.removeIf(r -> faulty.contains(r.name()));
            Router<String> router = new Router<>(routes);
            for (int i = 0; i < 100; i++) {
                Request request = randomRequest(random);
                Route<String> expected = routes.stream()
                        .filter(r -> matches(r.match(), request))
                        .min(Comparator.comparing(Route::match, DOCUMENTED))
                        .orElse(null);
                Route<String> actual = router.find(request);
                found += actual == null ? 0 : 1;
                assertEquals(expected, actual, "seed " + seed + ", round " + round + ": " + request);
            }
        }
        assertTrue(found > 1_000, "too few requests matched a route: " + found);
    }

    /** Of the routes without reported overlaps, the two best matches of a request always have a precedence. */
    @Test
    void routesWithoutOverlapsHaveADefiniteOrder() {
        long seed = 77;
        SplittableRandom random = new SplittableRandom(seed);
        for (int round = 0; round < 200; round++) {
            List<Route<String>> routes = new ArrayList<>();
            for (int i = 0; i < 40; i++) {
                routes.add(new Route<>("r" + i, randomMatch(random), "r" + i));
            }
            Set<String> faulty = new TreeSet<>();
            Overlaps.of(routes).forEach(pair -> faulty.add(pair.route()));
            for (int i = 0; i < 200; i++) {
                Request request = randomRequest(random);
                List<Route<String>> first = routes.stream()
                        .filter(r -> !faulty.contains(r.name()))
                        .filter(r -> matches(r.match(), request))
                        .sorted(Comparator.comparing(Route::match, DOCUMENTED))
                        .limit(2)
                        .toList();
                if (first.size() == 2) {
                    assertFalse(
                            DOCUMENTED.compare(
                                            first.get(0).match(), first.get(1).match())
                                    == 0,
                            "seed " + seed + ": " + first + " for " + request);
                }
            }
        }
    }

    /** A look-up among a thousand routes that have the same path but differ in a header does not scan them. */
    @Test
    void headerHashFindsOneOfAThousandRoutes() {
        List<Route<String>> routes = new ArrayList<>();
        int[] headerReads = {0};
        for (int i = 0; i < 1_000; i++) {
            routes.add(new Route<>(
                    "t" + i,
                    new Match(
                            HostPattern.ANY,
                            PathPattern.parse("/a/*"),
                            Set.of(),
                            List.of(new HeaderTest("tenant", Kind.EQUAL, "t" + i)),
                            0),
                    "t" + i));
        }
        routes.add(route("rest", "*", "/a/*"));
        assertEquals(List.of(), Overlaps.of(routes));
        Router<String> router = new Router<>(routes);
        Routable request = new Routable() {
            @Override
            public String method() {
                return "GET";
            }

            @Override
            public String host() {
                return "h";
            }

            @Override
            public String path() {
                return "/a/b";
            }

            @Override
            public String header(String name) {
                headerReads[0]++;
                return "T777".toLowerCase(Locale.ROOT);
            }
        };
        assertEquals("t777", router.find(request).name());
        assertTrue(headerReads[0] < 10, "read headers " + headerReads[0] + " times");
        assertEquals("rest", find(router, "h", "/a/b"));
    }
}
