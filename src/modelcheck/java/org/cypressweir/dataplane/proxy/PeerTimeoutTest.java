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

/** Whether an attempt without a response times out, or stays in flight until its connection is lost. */
class PeerTimeoutTest {

    private static final long SECOND = 1_000_000;

    private long now = SECOND;

    @ParameterizedTest
    @CsvSource({"true, false, true", "true, true, false", "false, false, false", "false, true, false"})
    void attemptsDontTimeOutDuringShutdown(boolean idempotent, boolean shuttingDown, boolean timesOut) {
        PeerConnection connection =
                SimulatedPeerConnection.on(new EmbeddedChannel(), () -> now, new PeerConnection.Listener() {
                    @Override
                    public void opened(PeerConnection connection) {}

                    @Override
                    public void received(PeerConnection connection, Map<String, Object> head, byte[] body) {}

                    @Override
                    public void closed(PeerConnection connection) {}
                });
        PeerForwarder forwarder = new PeerForwarder(() -> now, "own", 1, null, address -> connection);
        List<RequestOutcome> outcomes = new ArrayList<>();
        UpstreamRequest request = new UpstreamRequest(
                "id", "GET", "/", List.of(), new byte[0], idempotent, 1, false, now + SECOND, now + 6 * SECOND, "i");
        forwarder.send(new Endpoint(1, "p1", 1, "far", "i", "z"), request, result -> outcomes.add(result.outcome()));
        if (shuttingDown) {
            forwarder.startShutdown();
        }
        now += SECOND;
        forwarder.tick();
        assertThat(outcomes).hasSize(timesOut ? 1 : 0);
        forwarder.connectionLost(connection);
        assertThat(outcomes).singleElement().isInstanceOf(RequestOutcome.MayHaveRun.class);
    }
}
