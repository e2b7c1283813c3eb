package larkbank.pilot;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import larkbank.lading.DryLine;
import larkbank.lading.Line;
import larkbank.quay.Freight;
import larkbank.quay.Outcome;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Whether a request that nothing is heard of is given up, or waited for until its line is lost. */
class SilenceTest {

    private static final long SECOND = 1_000_000;

    private long now = SECOND;

    @ParameterizedTest
    @CsvSource({"true, false, true", "true, true, false", "false, false, false", "false, true, false"})
    void whoLeavesBreaksNothingOff(boolean repeatable, boolean leaving, boolean givenUp) {
        Line line = DryLine.on(new EmbeddedChannel(), () -> now, new Line.Ear() {
            @Override
            public void opened(Line its) {}

            @Override
            public void heard(Line its, Map<String, Object> head, byte[] body) {}

            @Override
            public void closed(Line its) {}
        });
        Hops hops = new Hops(() -> now, "own", 1, null, to -> line);
        List<Outcome> ends = new ArrayList<>();
        Freight freight = new Freight(
                "id", "GET", "/", List.of(), new byte[0], repeatable, 1, false, now + SECOND, now + 6 * SECOND, "i");
        hops.send(new Target(1, "p1", 1, "far", "i", "z"), freight, reply -> ends.add(reply.outcome()));
        if (leaving) {
            hops.leave();
        }
        now += SECOND;
        hops.tick();
        assertThat(ends).hasSize(givenUp ? 1 : 0);
        hops.lost(line);
        assertThat(ends).singleElement().isInstanceOf(Outcome.MayHaveRun.class);
    }
}
