package org.cypressweir.common.metrics;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import org.cypressweir.dataplane.http.server.Headers;
import org.cypressweir.dataplane.http.server.ServerResponse;
import org.cypressweir.testkit.RecordedServerRequest;
import org.junit.jupiter.api.Test;

/** The page of metrics, and the responses to requests for it. */
class MetricsEndpointTest {

    private static void collect(MetricsPage page) {
        page.counter("cypressweir_requests", "Requests.", 3, "service", "till", "status", "2xx");
        page.counter("cypressweir_requests", "Requests.", 1, "service", "a\"b\\c", "status", "5xx");
        page.gauge("cypressweir_voters", "Voters.", 3);
        page.flag("cypressweir_quorum_contact", "Contact.", true);
        LatencyHistogram durations = new LatencyHistogram();
        for (int i = 1; i <= 100; i++) {
            durations.record(i * 10_000L);
        }
        page.durations("cypressweir_commit_duration_seconds", "Commits.", durations);
        page.durations("cypressweir_write_duration_seconds", "Writes.", new LatencyHistogram());
    }

    private static ServerResponse call(String method, String uri) {
        RecordedServerRequest call = new RecordedServerRequest(method, uri);
        new MetricsEndpoint(MetricsEndpointTest::collect).handle(call);
        return call.responses.get(0);
    }

    @Test
    void pageIsInThePrometheusTextFormat() {
        ServerResponse response = call("GET", "/metrics?x");
        assertThat(response.status()).isEqualTo(200);
        assertThat(Headers.first(response.headers(), "Content-Type")).startsWith("text/plain; version=0.0.4");
        assertThat(new String(response.body(), StandardCharsets.UTF_8).lines())
                .contains(
                        "# TYPE cypressweir_requests_total counter",
                        "cypressweir_requests_total{service=\"till\",status=\"2xx\"} 3.0",
                        "cypressweir_requests_total{service=\"a\\\"b\\\\c\",status=\"5xx\"} 1.0",
                        "# HELP cypressweir_voters Voters.",
                        "cypressweir_voters 3.0",
                        "cypressweir_quorum_contact 1.0",
                        "# TYPE cypressweir_commit_duration_seconds summary",
                        "cypressweir_commit_duration_seconds_count 100",
                        "cypressweir_commit_duration_seconds_sum 50.5",
                        "cypressweir_write_duration_seconds_count 0");
    }

    /** With two significant digits a quantile differs by at most 1 % from the recorded durations. */
    @Test
    void quantilesAreThoseOfTheDurations() {
        LatencyHistogram durations = new LatencyHistogram();
        assertThat(durations.quantileMicros(0.99)).isZero();
        for (int i = 1; i <= 1_000; i++) {
            durations.record(i * 1_000L);
        }
        durations.record(-5);
        assertThat(durations.count()).isEqualTo(1_001);
        assertThat(durations.quantileMicros(0.5)).isBetween(495_000L, 506_000L);
        assertThat(durations.quantileMicros(0.99)).isBetween(980_000L, 1_000_000L);
    }

    @Test
    void otherCallsAreRejected() {
        assertThat(call("GET", "/").status()).isEqualTo(404);
        ServerResponse post = call("POST", "/metrics");
        assertThat(post.status()).isEqualTo(405);
        assertThat(Headers.first(post.headers(), "Allow")).isEqualTo("GET");
    }
}
