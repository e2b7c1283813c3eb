package larkbank.lading;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Each call is found by its path, and nothing else is a call. */
class CallsTest {

    @Test
    void callsAreFoundByTheirPaths() {
        assertThat(Calls.of("/cypressweir/readiness")).contains(Calls.READINESS);
        assertThat(Calls.of("/cypressweir/config/modify")).contains(Calls.MODIFY);
        assertThat(Calls.of("/cypressweir/config/read")).contains(Calls.READ);
        assertThat(Calls.of("/cypressweir/instances/a-1.b/heartbeat")).contains(Calls.HEARTBEAT);
        assertThat(Calls.of("/cypressweir/instances/heartbeat/deregister")).contains(Calls.DEREGISTER);
        assertThat(Calls.HEARTBEAT.name("/cypressweir/instances/a-1.b/heartbeat"))
                .contains("a-1.b");
        assertThat(Calls.READ.name("/cypressweir/config/read")).contains("");
        assertThat(Calls.READ.name("/cypressweir/config/modify")).isEmpty();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "/",
                "/cypressweir",
                "/cypressweir/readiness/",
                "/cypressweir/readines",
                "/cypressweir/instances//heartbeat",
                "/cypressweir/instances/heartbeat",
                "/cypressweir/instances/a/b/heartbeat",
                "/cypressweir/instances/a/heartbeats",
                "/cypressweir/instances/a",
                "/x/cypressweir/readiness"
            })
    void nothingElseIsACall(String path) {
        assertThat(Calls.of(path)).isEmpty();
    }
}
