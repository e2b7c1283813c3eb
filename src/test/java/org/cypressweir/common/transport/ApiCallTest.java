package org.cypressweir.common.transport;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Which API call a path belongs to, and what its parameter is. */
class ApiCallTest {

    @Test
    void pathsMapToCalls() {
        assertThat(ApiCall.of("/cypressweir/readiness")).contains(ApiCall.READINESS);
        assertThat(ApiCall.of("/cypressweir/config/modify")).contains(ApiCall.MODIFY);
        assertThat(ApiCall.of("/cypressweir/config/read")).contains(ApiCall.READ);
        assertThat(ApiCall.of("/cypressweir/instances/a-1.b/heartbeat")).contains(ApiCall.HEARTBEAT);
        assertThat(ApiCall.of("/cypressweir/instances/heartbeat/deregister")).contains(ApiCall.DEREGISTER);
        assertThat(ApiCall.HEARTBEAT.pathParameter("/cypressweir/instances/a-1.b/heartbeat"))
                .contains("a-1.b");
        assertThat(ApiCall.READ.pathParameter("/cypressweir/config/read")).contains("");
        assertThat(ApiCall.READ.pathParameter("/cypressweir/config/modify")).isEmpty();
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
    void otherPathsAreNoCalls(String path) {
        assertThat(ApiCall.of(path)).isEmpty();
    }
}
