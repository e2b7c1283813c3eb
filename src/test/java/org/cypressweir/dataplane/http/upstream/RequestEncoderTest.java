package org.cypressweir.dataplane.http.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** The header with which an attempt tells the application instance the remaining time. */
class RequestEncoderTest {

    private static final long NOW = 5_000_000_000L;

    private static List<String> encodedTimes(long remainingMicros, String clientHeader) {
        UpstreamRequest request = new UpstreamRequest(
                "id-1",
                "GET",
                "/x",
                List.of(Map.entry("host", "a"), Map.entry(clientHeader, "999999"), Map.entry("x-other", "7")),
                null,
                true,
                1,
                false,
                NOW + remainingMicros,
                NOW + remainingMicros,
                "i1");
        return RequestEncoder.encode(request, NOW)
                .toString(StandardCharsets.ISO_8859_1)
                .lines()
                .filter(line -> line.toLowerCase(Locale.ROOT).startsWith("cypressweir-time-remaining:"))
                .toList();
    }

    /** Each attempt has the header once, with the time left when it is sent, also if the client has sent the header. */
    @Test
    void remainingTimeIsWhatIsLeftWhenTheAttemptIsSent() {
        for (String name : List.of("Cypressweir-Time-Remaining", "cypressweir-time-remaining")) {
            List<String> times = encodedTimes(1_500_000, name);
            assertThat(times).hasSize(1);
            long millis = Long.parseLong(times.get(0).replaceAll("\\D+", ""));
            assertThat(millis).isBetween(1_450L, 1_500L);
        }
    }

    @Test
    void remainingTimeIsNeverBelowAMillisecond() {
        assertThat(encodedTimes(-20_000, "x")).containsExactly("Cypressweir-Time-Remaining: 1");
    }
}
