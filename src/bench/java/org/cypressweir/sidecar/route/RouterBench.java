package org.cypressweir.sidecar.route;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.cypressweir.sidecar.route.HeaderTest.Kind;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** Cost of a look-up by number of routes, compared with a scan, and cost of compiling and checking the routes. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(1)
public class RouterBench {

    private static final int REQUESTS = 1024;

    @Param({"10", "1000", "10000"})
    private int count;

    private List<Route<String>> routes;
    private Router<String> router;
    private Routable[] requests;
    private int next;

    private record Request(String method, String host, String path, String tenant) implements Routable {
        @Override
        public String header(String name) {
            return name.equals("tenant") ? tenant : null;
        }
    }

    /** A quarter of the routes each differ by host, by path with wildcards, by path prefix, and by one header. */
    @Setup
    public void setUp() {
        routes = new ArrayList<>();
        requests = new Routable[REQUESTS];
        SplittableRandom random = new SplittableRandom(11);
        for (int i = 0; i < count; i++) {
            HostPattern host = i % 4 == 0 ? HostPattern.parse("*.h" + i + ".example.org") : HostPattern.ANY;
            PathPattern path = PathPattern.parse(
                    switch (i % 4) {
                        case 1 -> "/v1/{region}/a" + i + "/{id}";
                        case 2 -> "/v2/b" + i + "/*";
                        case 3 -> "/v3/shared/*";
                        default -> "/search/*";
                    });
            List<HeaderTest> headers = i % 4 == 3 ? List.of(new HeaderTest("tenant", Kind.EQUAL, "t" + i)) : List.of();
            routes.add(new Route<>("r" + i, new Match(host, path, Set.of(), headers, 0), "r" + i));
        }
        router = new Router<>(routes);
        for (int i = 0; i < REQUESTS; i++) {
            int of = random.nextInt(count);
            requests[i] = switch (of % 4) {
                case 1 -> new Request("GET", "api.example.org", "/v1/east/a" + of + "/77", "x");
                case 2 -> new Request("GET", "api.example.org", "/v2/b" + of + "/c/d", "x");
                case 3 -> new Request("GET", "api.example.org", "/v3/shared/77", "t" + of);
                default -> new Request("GET", "api.h" + of + ".example.org", "/search/77", "x");
            };
        }
    }

    @Benchmark
    public Route<String> lookup() {
        return router.find(requests[next++ % REQUESTS]);
    }

    /** Scans the same routes until one matches by host, path and headers. */
    @Benchmark
    public Route<String> scan() {
        Routable request = requests[next++ % REQUESTS];
        String[] segments = PathPattern.segments(request.path());
        for (Route<String> route : routes) {
            Match m = route.match();
            boolean host = m.host().name() == null
                    || request.host().endsWith("." + m.host().name());
            if (host
                    && matches(m.path(), segments)
                    && m.headers().stream().allMatch(t -> t.matches(request.header(t.name())))) {
                return route;
            }
        }
        return null;
    }

    private static boolean matches(PathPattern path, String[] segments) {
        List<String> wanted = path.segments();
        if (segments.length < wanted.size() || !path.prefix() && segments.length > wanted.size()) {
            return false;
        }
        for (int i = 0; i < wanted.size(); i++) {
            if (wanted.get(i) != null && !wanted.get(i).equals(segments[i])) {
                return false;
            }
        }
        return true;
    }

    @Benchmark
    public Router<String> compile() {
        return new Router<>(routes);
    }

    @Benchmark
    public List<Overlaps.Pair> check() {
        return Overlaps.of(routes);
    }
}
