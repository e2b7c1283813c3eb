package org.cypressweir.dataplane.proxy;

import java.nio.charset.StandardCharsets;
import java.util.stream.Stream;
import org.cypressweir.common.transport.ErrorKind;
import org.cypressweir.dataplane.http.server.ServerResponse;
import org.cypressweir.golden.Golden;
import org.junit.jupiter.api.Test;

/** The proxy's own answer to clients for each kind of error. */
class GoldenLocalResponsesTest {

    private static final long RETRY_AFTER = 1_234_567;

    private static String line(ErrorKind fault) {
        ServerResponse answer = LocalResponses.of(fault, RETRY_AFTER);
        return answer.status() + " " + answer.headers() + " " + new String(answer.body(), StandardCharsets.UTF_8);
    }

    @Test
    void answersAreTheSame() {
        Golden.assertSame(
                "messages/proxy-error-answers.txt",
                Stream.of(ErrorKind.values())
                        .map(GoldenLocalResponsesTest::line)
                        .toList());
    }
}
