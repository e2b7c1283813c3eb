package org.cypressweir.dataplane.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.cypressweir.common.transport.PeerConnection;
import org.cypressweir.common.transport.SimulatedPeerConnection;
import org.cypressweir.dataplane.http.upstream.RequestOutcome;
import org.cypressweir.dataplane.http.upstream.UpstreamRequest;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Whether a request that nothing is heard of is given up, or waited for until its line is lost. */
class PeerTimeoutTest {

    private static final long SECOND = 1_000_000;

    private long now = SECOND;

    @ParameterizedTest
    @CsvSource({"true, false, true", "true, true, false", "false, false, false", "false, true, false"})
    void whoLeavesBreaksNothingOff(boolean repeatable, boolean leaving, boolean givenUp) {
        PeerConnection line =
                SimulatedPeerConnection.on(new EmbeddedChannel(), () -> now, new PeerConnection.Listener() {
                    @Override
                    public void opened(PeerConnection its) {}

                    @Override
                    public void received(PeerConnection its, Map<String, Object> head, byte[] body) {}

                    @Override
                    public void closed(PeerConnection its) {}
                });
        PeerForwarder hops = new PeerForwarder(() -> now, "own", 1, null, to -> line);
        List<RequestOutcome> ends = new ArrayList<>();
        UpstreamRequest freight = new UpstreamRequest(
                "id", "GET", "/", List.of(), new byte[0], repeatable, 1, false, now + SECOND, now + 6 * SECOND, "i");
        hops.send(new Endpoint(1, "p1", 1, "far", "i", "z"), freight, reply -> ends.add(reply.outcome()));
        if (leaving) {
            hops.leave();
        }
        now += SECOND;
        hops.tick();
        assertThat(ends).hasSize(givenUp ? 1 : 0);
        hops.lost(line);
        assertThat(ends).singleElement().isInstanceOf(RequestOutcome.MayHaveRun.class);
    }
}
