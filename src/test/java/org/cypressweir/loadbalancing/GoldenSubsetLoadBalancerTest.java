package org.cypressweir.loadbalancing;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.IntStream;
import org.cypressweir.common.util.Hashes;
import org.cypressweir.common.util.Ids;
import org.cypressweir.golden.Golden;
import org.cypressweir.loadbalancing.LoadBalancer.Effect;
import org.cypressweir.loadbalancing.LoadBalancer.Group;
import org.cypressweir.loadbalancing.LoadBalancer.Request;
import org.cypressweir.loadbalancing.LoadBalancer.Result;
import org.cypressweir.loadbalancing.LoadBalancer.Settings;
import org.junit.jupiter.api.Test;

/** Hashes that are the same in every process, and the servers that requests are sent to by them. */
class GoldenSubsetLoadBalancerTest {

    private static final List<String> TEXTS = List.of("", "a", "proxy-1", "\u00e9\u4e2d", "s-10.0.0.1:80");
    private static final long[] NUMBERS = {0, 1, -1, 77, Long.MAX_VALUE, Long.MIN_VALUE, 0x123456789ABCDEFL};
    private static final int REQUESTS = 60;
    private static final int SERVERS = 12;
    private static final int LARGE_FLEET = 400;
    private static final long TIME_LEFT = 1_000_000;

    @Test
    void hashesAreTheSame() {
        List<String> lines = new ArrayList<>();
        TEXTS.forEach(text -> lines.add("id " + text + " " + Ids.of(text)));
        for (long id : NUMBERS) {
            lines.add(
                    "mix " + id + " " + Hashes.mix(id, 0) + " " + Hashes.mix(id, -1) + " " + Hashes.mix(id, 1L << 50));
            lines.add("uniform " + id + " " + Hashes.uniform(id, 0) + " " + Hashes.uniform(id, 9));
            lines.add("ranked " + id + " "
                    + Arrays.toString(Hashes.ranked(id, IntStream.range(0, 12).toArray())));
            lines.add(
                    "jump " + id + " " + Hashes.jump(id, 1) + " " + Hashes.jump(id, 10) + " " + Hashes.jump(id, 1_000));
        }
        Golden.assertSame("hashes/functions.txt", lines);
    }

    @Test
    void chosenServersAreTheSame() {
        List<String> lines = new ArrayList<>();
        for (Effect effect : Effect.values()) {
            for (Group group : Group.values()) {
                LoadBalancerRecorder recorder = recorder(LoadBalancerRecorder.settings(effect, group), SERVERS);
                lines.add(effect.ordinal() + " " + group.ordinal() + " " + chosen(recorder));
            }
        }
        Golden.assertSame("hashes/chosen-servers.txt", lines);
    }

    /** Each of many processes keeps to a subset of its own, by its rank. */
    @Test
    void chosenServersOfALargeFleetAreTheSame() {
        List<String> lines = new ArrayList<>();
        for (int rank : new int[] {0, 1, 39}) {
            Settings one = LoadBalancerRecorder.settings(Effect.KEYED, Group.CELL);
            Settings many = new Settings(
                    one.seed(),
                    rank,
                    40,
                    0,
                    one.zones(),
                    one.classes(),
                    one.tenants(),
                    one.overShareWorth(),
                    one.probePrice(),
                    one.limits(),
                    one.rules(),
                    one.reports(),
                    one.discoveryOnAsk(),
                    true,
                    one.tickMicros());
            lines.add(rank + " " + chosen(recorder(many, LARGE_FLEET)));
        }
        Golden.assertSame("hashes/chosen-servers-large.txt", lines);
    }

    private static LoadBalancerRecorder recorder(Settings settings, int servers) {
        return new LoadBalancerRecorder(settings, servers);
    }

    private static List<Long> chosen(LoadBalancerRecorder recorder) {
        for (int i = 0; i < REQUESTS; i++) {
            recorder.choice.request(
                    recorder.now,
                    new Request("r" + i, 0, i % 2, false, Ids.of("key-" + i % 20), recorder.now + TIME_LEFT, 0, false));
            recorder.answer(0, Result.SERVED, 2_000, true);
        }
        return recorder.sent.stream().map(LoadBalancerRecorder.Sent::server).toList();
    }
}
