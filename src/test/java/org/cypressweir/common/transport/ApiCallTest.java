package org.cypressweir.common.transport;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Each call is found by its path, and nothing else is a call. */
class ApiCallTest {

    @Test
    void callsAreFoundByTheirPaths() {
        assertThat(ApiCall.of("/cypressweir/readiness")).contains(ApiCall.READINESS);
        assertThat(ApiCall.of("/cypressweir/config/modify")).contains(ApiCall.MODIFY);
        assertThat(ApiCall.of("/cypressweir/config/read")).contains(ApiCall.READ);
        assertThat(ApiCall.of("/cypressweir/instances/a-1.b/heartbeat")).contains(ApiCall.HEARTBEAT);
        assertThat(ApiCall.of("/cypressweir/instances/heartbeat/deregister")).contains(ApiCall.DEREGISTER);
        assertThat(ApiCall.HEARTBEAT.name("/cypressweir/instances/a-1.b/heartbeat"))
                .contains("a-1.b");
        assertThat(ApiCall.READ.name("/cypressweir/config/read")).contains("");
        assertThat(ApiCall.READ.name("/cypressweir/config/modify")).isEmpty();
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
        assertThat(ApiCall.of(path)).isEmpty();
    }
}
