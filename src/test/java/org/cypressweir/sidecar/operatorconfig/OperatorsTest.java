package org.cypressweir.sidecar.operatorconfig;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cypressweir.loadbalancing.LoadBalancer.RequestPolicy;
import org.cypressweir.loadbalancing.LoadBalancer.Result;
import org.cypressweir.sidecar.route.InvalidTargetException;
import org.cypressweir.sidecar.route.PoolConfiguration;
import org.cypressweir.sidecar.route.Routable;
import org.cypressweir.testkit.Installations;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Valid files and the configuration that they result in. */
class OperatorsTest {

    private static final String POOL = "version = 1\n[pools.p]\nsource = \"discovery\"\n";

    private static Operators load(String text) throws InvalidFileException {
        return Operators.load("f.toml", text, Installations.facts());
    }

    private static String route(String name, String requestClass, String more) {
        return "[routes." + name + "]\npath = \"/" + name + "/*\"\nclass = \"" + requestClass + "\"\npool = \"p\"\n"
                + more;
    }

    private static RequestPolicy terms(Operators operators, String path) throws Exception {
        return operators
                .configuration()
                .router()
                .find(new TestRequest("GET", "h", path))
                .target()
                .terms();
    }

    private record TestRequest(String method, String host, String path) implements Routable {
        @Override
        public String header(String name) {
            return null;
        }
    }

    @Test
    void unsetLimitsComeFromTheSettings() throws Exception {
        Operators operators = load(POOL + route("s", "search", "") + route("b", "book", ""));
        RequestPolicy safe = terms(operators, "/s/1");
        assertEquals(6, safe.maxAttempts());
        assertEquals(0, safe.attemptTimeoutMicros());
        assertEquals(0, safe.maxHedges());
        assertTrue(safe.retryOn().containsAll(Set.of(Result.ERROR, Result.TIMED_OUT, Result.FULL)));
        assertEquals(
                Set.of(Result.FULL, Result.NO_CONNECTION, Result.NOT_SENT),
                terms(operators, "/b/1").retryOn());
        PoolConfiguration pool = operators.configuration().pools().get(0);
        assertEquals(444, pool.maxConnections());
        assertEquals(300, pool.maxRequests());
        assertEquals(
                8443, operators.configuration().listeners().get(0).address().getPort());
    }

    @Test
    void routeOverridesClassWithinThePoolsBounds() throws Exception {
        Operators operators = load(POOL + "attempts = 3\nattempt_timeout = \"400ms\"\n"
                + "[classes.search]\nattempts = 5\ntimeout = \"1400ms\"\nretry_on = [\"error\"]\n"
                + route("s", "search", "") + route("t", "search", "attempts = 2\nretry_on = []\n"));
        assertEquals(3, terms(operators, "/s/1").maxAttempts());
        assertEquals(400_000, terms(operators, "/s/1").attemptTimeoutMicros());
        assertEquals(Set.of(Result.ERROR), terms(operators, "/s/1").retryOn());
        assertEquals(2, terms(operators, "/t/1").maxAttempts());
        assertEquals(Set.of(), terms(operators, "/t/1").retryOn());
    }

    @Test
    void poolsWithoutLimitsShareTheRemainder() throws Exception {
        Operators operators = load("version = 1\n"
                + "[pools.p]\nsource = \"discovery\"\nmax_connections = 144\n"
                + "[pools.q]\nsource = \"discovery\"\n[pools.r]\nsource = \"discovery\"\nmax_requests = 100\n"
                + route("s", "search", "") + route("t", "search", "").replace("\"p\"", "\"q\"")
                + route("u", "search", "").replace("\"p\"", "\"r\""));
        assertEquals(
                List.of(144, 150, 150),
                operators.configuration().pools().stream()
                        .map(PoolConfiguration::maxConnections)
                        .toList());
        assertEquals(
                List.of(100, 100, 100),
                operators.configuration().pools().stream()
                        .map(PoolConfiguration::maxRequests)
                        .toList());
    }

    @Test
    void explainSaysWhereEachValueComesFrom() throws Exception {
        Operators operators = load(POOL + "[classes.search]\nattempts = 2\n"
                + route("s", "search", "timeout = \"900ms\"\nheaders = { X-Tier = \"gold\" }\n"));
        String all = Explain.all(operators);
        assertTrue(all.lines().anyMatch(l -> l.matches("  timeout +900ms +# \\[routes.s\\], line 10")), all);
        assertTrue(all.lines().anyMatch(l -> l.matches("  attempts +2 +# \\[classes.search\\], line 5")), all);
        assertTrue(all.lines().anyMatch(l -> l.matches("  hedges +0 +# default")), all);
        String one =
                Explain.request(operators, "GET", "http://API.example.org:80/s/../s//%41", Map.of("x-tier", "gold"));
        assertTrue(one.contains("host 'api.example.org', path '/s/A'"), one);
        assertTrue(one.contains("takes route 's'"), one);
        assertFalse(Explain.request(operators, "GET", "/s/1", Map.of()).contains("takes route"));
        assertThrows(InvalidTargetException.class, () -> Explain.request(operators, "GET", "/s/%2F", Map.of()));
    }

    /** The page for operators lists each key, and the example is a valid file. */
    @Test
    void operatorsPageAndExampleAreUpToDate() throws Exception {
        String page = Files.readString(Path.of("docs/operators.md"));
        for (LimitKey key : LimitKey.values()) {
            assertTrue(page.contains("| `" + key.key() + "` |"), key.key());
            assertTrue(page.contains(key.range()), key.key() + ": " + key.range());
        }
        for (String key : List.of(
                "version",
                "address",
                "source",
                "servers",
                "id",
                "endpoint",
                "zone",
                "model",
                "cell",
                "weight",
                "host",
                "path",
                "methods",
                "headers",
                "priority",
                "class",
                "pool",
                "client_gives_up",
                "max_message",
                "max_frame",
                "idle_timeout",
                "ping_interval",
                "ping_timeout",
                "max_life",
                "drain_time",
                "reconnect_rate",
                "max_tunnels",
                "max_tunnels_per_tenant",
                "evict_after",
                "resumable",
                "resume_header",
                "resume_first_message",
                "drain_code",
                "drain_reason")) {
            assertTrue(page.contains("| `" + key + "` |"), key);
        }
        String example = Files.readString(Path.of("deploy/operators.example.toml"));
        Operators.load("operators.example.toml", example, Installations.stationFinder());
    }

    @Test
    void unreadableFileIsOneProblem(@TempDir Path folder) throws Exception {
        Path binary = folder.resolve("b.toml");
        Files.write(binary, new byte[] {(byte) 0xff, (byte) 0xfe});
        for (Path file : List.of(folder.resolve("none.toml"), folder, binary)) {
            InvalidFileException refused =
                    assertThrows(InvalidFileException.class, () -> Operators.load(file, Installations.facts()));
            assertEquals(1, refused.problems().size());
            assertTrue(refused.getMessage().startsWith(file + ":1: "), refused.getMessage());
        }
    }
}
