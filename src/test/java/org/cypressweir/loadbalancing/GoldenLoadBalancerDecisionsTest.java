package org.cypressweir.loadbalancing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.cypressweir.golden.Golden;
import org.cypressweir.loadbalancing.LoadBalancer.Effect;
import org.cypressweir.loadbalancing.LoadBalancer.Group;
import org.cypressweir.loadbalancing.LoadBalancer.Limits;
import org.cypressweir.loadbalancing.LoadBalancer.ReportSource;
import org.cypressweir.loadbalancing.LoadBalancer.RequestClass;
import org.cypressweir.loadbalancing.LoadBalancer.Rules;
import org.cypressweir.loadbalancing.LoadBalancer.Settings;
import org.cypressweir.loadbalancing.LoadBalancer.Tenant;
import org.junit.jupiter.api.Test;

/**
 * All decisions of the balancer in simulated worlds, compared with those of an earlier build by their digests:
 * what changes the code and not the decisions leaves the file as it is. The digests are of one processor
 * architecture, since the last bit of {@link Math#exp} may differ on another.
 */
class GoldenLoadBalancerDecisionsTest {

    private static final String FILE = "loadbalancing/decisions.txt";
    private static final int[] SERVERS = {4, 60, 1_000};
    private static final int SEEDS = 3;
    private static final int REQUESTS = 4_000;

    /** What a scenario varies beside its servers and its seed. */
    private record Variant(
            String name,
            int instancesPerServer,
            int tenants,
            ReportSource reports,
            boolean warmKeys,
            boolean discoveryOnAsk,
            boolean retryBudget,
            long gapMicros) {}

    private static final List<Variant> VARIANTS = List.of(
            new Variant("plain", 0, 2, ReportSource.NONE, false, false, false, 2_500),
            new Variant("reports", 0, 3, ReportSource.ANSWERS, false, true, true, 1_500),
            new Variant("probes", 0, 2, ReportSource.PROBES, false, false, true, 2_000),
            new Variant("keys", 0, 3, ReportSource.NONE, true, false, false, 1_500),
            new Variant("overload", 0, 3, ReportSource.NONE, false, false, true, 500),
            new Variant("many instances", 10, 2, ReportSource.NONE, false, true, false, 2_500),
            new Variant("many instances, keys", 10, 3, ReportSource.NONE, true, false, true, 2_500),
            new Variant("many instances, reports", 10, 1, ReportSource.ANSWERS, false, false, false, 2_500),
            new Variant("no tenants", 0, 0, ReportSource.ANSWERS, false, false, false, 2_500));

    @Test
    void decisionsAreTheSame() {
        List<String> lines = new ArrayList<>();
        for (Variant variant : VARIANTS) {
            for (int servers : SERVERS) {
                for (int seed = 0; seed < SEEDS; seed++) {
                    lines.add(variant.name + ", " + servers + " servers, seed " + seed + ": "
                            + played(variant, servers, seed).summary());
                }
            }
        }
        Golden.assertSame(FILE, lines);
    }

    /** The digests prove little if a kind of decision does not occur. */
    @Test
    void eachKindOfDecisionOccursOften() {
        Map<String, Integer> counts = new TreeMap<>();
        for (Variant variant : VARIANTS) {
            played(variant, SERVERS[0], 0).counts().forEach((kind, count) -> counts.merge(kind, count, Integer::sum));
        }
        assertThat(counts)
                .containsKeys("send", "resend", "refuse", "fail", "cancel", "timer", "probe", "closeIdle", "subscribe")
                .containsKeys(
                        "log server # ejected", "log server # re-admitted", "log holding", "log discovery failed");
        assertThat(counts.get("resend")).isGreaterThan(1_000);
        assertThat(counts.get("refuse")).isGreaterThan(1_000);
        assertThat(counts.get("log server # ejected")).isGreaterThan(20);
    }

    private static LoadBalancerScenario played(Variant variant, int servers, int seed) {
        LoadBalancerScenario scenario =
                new LoadBalancerScenario(settings(variant, servers, seed), 100 + seed, servers, variant.gapMicros);
        scenario.run(REQUESTS);
        return scenario;
    }

    private static Settings settings(Variant variant, int servers, int seed) {
        List<RequestClass> classes = List.of(
                new RequestClass("read", Effect.SAFE, Group.ALL, 0, 100_000, 0.5, 600_000, 1, 0.3, false),
                new RequestClass("write", Effect.KEYED, Group.ZONE, 400_000, 150_000, 0, 900_000, 3, 0, false),
                new RequestClass("move", Effect.KEYED, Group.CELL, 400_000, 150_000, 0, 900_000, 2, 0.2, false),
                new RequestClass("append", Effect.KEYED, Group.ALL, 200_000, 80_000, 0, 500_000, 2, 0, false),
                new RequestClass("watch", Effect.SAFE, Group.ALL, 0, 0, 0, 400_000, 0.5, 0.5, true),
                new RequestClass("order", Effect.UNSAFE, Group.ALL, 0, 120_000, 0, 700_000, 5, 0.1, false));
        List<Tenant> tenants = List.of(new Tenant("a", 0.6), new Tenant("b", 0.3), new Tenant("c", 0.1))
                .subList(0, variant.tenants);
        boolean probing = variant.reports == ReportSource.PROBES;
        Rules rules = new Rules(
                0.2,
                2_000_000,
                500_000,
                1_000_000,
                variant.retryBudget ? 5 : 0,
                variant.retryBudget ? 0.2 : 0,
                variant.retryBudget ? 1_000_000 : 0);
        return new Settings(
                seed,
                seed,
                variant.instancesPerServer == 0 ? 3 : variant.instancesPerServer * servers,
                seed % 2,
                List.of("x", "y"),
                classes,
                tenants,
                0.2,
                probing ? 0.01 : 0,
                new Limits(4, seed != 2, probing, seed != 1, 200_000, 1_000_000, 120, 60, true, 100),
                rules,
                variant.reports,
                variant.discoveryOnAsk,
                variant.warmKeys,
                1_000);
    }
}
