package org.cypressweir.dataplane.http.upstream;

import java.util.List;
import java.util.Map;

/** What became of a request; each request has exactly one. */
public sealed interface RequestOutcome {

    /** Certain: the server did not run it. */
    record NotRun(RejectionReason reason, long retryAfterMicros) implements RequestOutcome {}

    /** The server's own whole answer, with the headers as they came; a chunked body is put together. */
    record Answered(int status, List<Map.Entry<String, String>> headers, byte[] body) implements RequestOutcome {}

    /** It was handed over at least in part, and nothing certain is known. */
    record MayHaveRun(String why) implements RequestOutcome {}
}
