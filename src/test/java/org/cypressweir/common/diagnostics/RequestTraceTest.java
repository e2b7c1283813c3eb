package org.cypressweir.common.diagnostics;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.cypressweir.common.transport.ErrorKind;
import org.junit.jupiter.api.Test;

/** What is recorded of the last requests, and what is left out. */
class RequestTraceTest {

    private static final int CAPACITY = 3;

    private long nowMicros = 1_000_000;
    private final RequestTrace trace = new RequestTrace(() -> nowMicros, CAPACITY);

    private Map<?, ?> only(String id) {
        List<Object> traces = trace.findById(id);
        assertThat(traces).hasSize(1);
        return (Map<?, ?>) traces.get(0);
    }

    @Test
    void newestRequestOverwritesTheOldest() {
        for (int i = 0; i <= CAPACITY; i++) {
            trace.addRequest("id" + i, "host", "/path", nowMicros);
        }
        assertThat(trace.findById("id0")).isEmpty();
        for (int i = 1; i <= CAPACITY; i++) {
            assertThat(only("id" + i).get("path")).isEqualTo("/path");
        }
    }

    @Test
    void nothingOfAnOverwrittenRequestRemains() {
        trace.addRequest("old", "host", "/path", nowMicros);
        trace.setRoute("route", "service", "tenant");
        trace.addAttempt("instance", "proxy", nowMicros, nowMicros, "answered");
        trace.setResponse(nowMicros, 502, ErrorKind.BROKEN);
        for (int i = 0; i < CAPACITY; i++) {
            trace.addRequest("new", null, null, nowMicros);
        }
        assertThat(trace.findById("old")).isEmpty();
        for (Object each : trace.findById("new")) {
            assertThat(((Map<?, ?>) each).get("answer")).isEqualTo("none yet");
            assertThat(((Map<?, ?>) each).get("attempts")).isEqualTo(List.of());
            assertThat(((Map<?, ?>) each).keySet().toString())
                    .isEqualTo("[id, arrived, ageMs, answer, attempts, more]");
        }
    }

    @Test
    void attemptsBeyondTheFourthAreOnlyCounted() {
        trace.addRequest("id", "host", "/path", nowMicros);
        for (int i = 0; i < 6; i++) {
            trace.addAttempt("instance" + i, "proxy", nowMicros + 1_500, nowMicros + 4_250, "lost");
        }
        assertThat(only("id").get("more")).isEqualTo(2);
        assertThat((List<?>) only("id").get("attempts"))
                .hasSize(4)
                .last()
                .asString()
                .isEqualTo("{server=instance3, pilot=proxy, sentMs=1.5, tookMs=2.7, outcome=lost}");
    }

    @Test
    void attemptInFlightHasNoDuration() {
        trace.addRequest("id", "host", "/path", nowMicros);
        trace.addAttempt("instance", "proxy", nowMicros, 0, null);
        assertThat(only("id").get("attempts").toString())
                .isEqualTo("[{server=instance, pilot=proxy, sentMs=0.0, outcome=still out}]");
    }

    @Test
    void responseIsAStatusOrADisconnectedClient() {
        trace.addRequest("answered", "host", "/path", nowMicros);
        trace.setResponse(nowMicros + 2_000, 429, ErrorKind.OVER_QUOTA);
        trace.addRequest("disconnected", "host", "/path", nowMicros);
        trace.setResponse(nowMicros + 2_000, 0, null);
        nowMicros += 7_000;
        assertThat(only("answered").toString()).contains("ageMs=7", "answer=429", "fault=over quota", "answeredMs=2.0");
        assertThat(only("disconnected").toString())
                .contains("answer=the client left")
                .doesNotContain("fault");
    }

    @Test
    void longTextsAreLeftOut() {
        trace.addRequest("id", "h".repeat(200), "/" + "p".repeat(200), nowMicros);
        assertThat(only("id").get("host")).isEqualTo("h".repeat(200));
        assertThat(only("id").containsKey("path")).isFalse();
        trace.addRequest("i".repeat(201), "host", "/path", nowMicros);
        assertThat(trace.findById("i".repeat(201))).isEmpty();
    }
}
