package org.cypressweir.sidecar.operatorconfig;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.cypressweir.loadbalancing.LoadBalancer.Settings;
import org.cypressweir.loadbalancing.SubsetLoadBalancer;
import org.cypressweir.sidecar.route.PoolConfiguration;
import org.cypressweir.sidecar.route.Routable;
import org.cypressweir.sidecar.route.Target;
import org.cypressweir.testkit.Installations;
import org.cypressweir.testkit.LoadBalancerFixture;
import org.junit.jupiter.api.Test;

/**
 * Generates random files and, for each that passes the checks, random requests with random outcomes. Under any valid
 * file no rule of the load balancer is broken, and attempts and time-outs stay within their limits.
 */
class LimitsPropertyTest {

    private static final List<String> CLASSES = List.of("search", "hold", "book", "pay");

    private static void appendWithChance(SplittableRandom random, int chance, StringBuilder text, String line) {
        if (random.nextInt(100) < chance) {
            text.append(line).append('\n');
        }
    }

    private static String time(SplittableRandom random, int maxMillis) {
        return "\"" + (1 + random.nextInt(maxMillis)) + "ms\"";
    }

    private static String outcomes(SplittableRandom random) {
        List<String> words = new ArrayList<>();
        for (String word : Retryable.words()) {
            if (random.nextInt(3) > 0) {
                words.add("\"" + word + "\"");
            }
        }
        return "[" + String.join(", ", words) + "]";
    }

    private static void limits(SplittableRandom random, StringBuilder text) {
        appendWithChance(random, 40, text, "timeout = " + time(random, 3_000));
        appendWithChance(random, 40, text, "attempt_timeout = " + time(random, 800));
        appendWithChance(random, 50, text, "attempts = " + (1 + random.nextInt(6)));
        appendWithChance(random, 30, text, "retry_on = " + outcomes(random));
        appendWithChance(random, 30, text, "max_requests = " + (1 + random.nextInt(40)));
        appendWithChance(random, 30, text, "max_queue = " + random.nextInt(10));
        if (random.nextInt(3) == 0) {
            text.append("hedges = ")
                    .append(1 + random.nextInt(2))
                    .append("\nhedge_after = ")
                    .append(time(random, 200))
                    .append('\n');
        }
    }

    private static String file(SplittableRandom random) {
        StringBuilder text = new StringBuilder("version = 1\n[pools.p]\nsource = \"discovery\"\n");
        appendWithChance(random, 50, text, "max_requests = " + (1 + random.nextInt(60)));
        appendWithChance(random, 50, text, "max_queue = " + random.nextInt(20));
        appendWithChance(random, 20, text, "attempts = " + (1 + random.nextInt(6)));
        for (String name : CLASSES) {
            if (random.nextInt(4) == 0) {
                text.append("[classes.").append(name).append("]\n");
                limits(random, text);
            }
            text.append("[routes.")
                    .append(name)
                    .append("]\npath = \"/")
                    .append(name)
                    .append("/*\"\nclass = \"")
                    .append(name)
                    .append("\"\npool = \"p\"\n");
            limits(random, text);
        }
        return text.toString();
    }

    @Test
    void validFilesBreakNoRule() {
        long seed = 3141;
        int valid = 0;
        int retries = 0;
        int hedges = 0;
        long answered = 0;
        for (long i = 0; valid < 150; i++) {
            SplittableRandom random = new SplittableRandom(seed + i);
            String text = file(random);
            Operators operators;
            try {
                operators = Operators.load("random.toml", text, Installations.facts());
            } catch (InvalidFileException e) {
                continue;
            }
            valid++;
            PoolConfiguration pool = operators.configuration().pools().get(0);
            Settings base = Installations.settings(seed + i);
            Settings settings =
                    base.with(base.limits().with(pool.maxRequests(), pool.maxQueued(), pool.maxConnections()), false);
            LoadBalancerFixture fixture = new LoadBalancerFixture(
                    "seed " + (seed + i) + "\n" + text,
                    settings,
                    seed + i,
                    2 + random.nextInt(8),
                    SubsetLoadBalancer::new);
            for (int n = 0; n < 400; n++) {
                String name = CLASSES.get(random.nextInt(CLASSES.size()));
                Target target = operators
                        .configuration()
                        .router()
                        .find(new TestRequest("/" + name + "/1"))
                        .target();
                fixture.submit(
                        random.nextLong(3_000_000),
                        "q" + n,
                        target.requestClass(),
                        Math.min(target.timeoutMicros(), 50_000 + random.nextLong(2_000_000)),
                        target.terms());
            }
            if (random.nextInt(4) == 0) {
                fixture.schedule(2_000_000, () -> fixture.module().shutDown(fixture.now()));
            }
            fixture.run();
            retries += fixture.retries();
            hedges += fixture.copies();
            answered += fixture.countWithOutcome("served");
        }
        assertTrue(
                retries > 1_000 && hedges > 200 && answered > 10_000,
                "too few cases: " + retries + " retries, " + hedges + " hedged requests, " + answered + " served");
    }

    private record TestRequest(String path) implements Routable {
        @Override
        public String method() {
            return "GET";
        }

        @Override
        public String host() {
            return "h";
        }

        @Override
        public String header(String name) {
            return null;
        }
    }
}
