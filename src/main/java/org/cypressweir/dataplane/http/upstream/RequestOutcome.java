package org.cypressweir.dataplane.http.upstream;

import java.util.List;
import java.util.Map;

/** What became of a request; each request has exactly one outcome. */
public sealed interface RequestOutcome {

    /**
     * Certain: the server did not execute it.
     *
     * @param retryAfterMicros after how long a retry may succeed, zero if unknown
     */
    record NotRun(RejectionReason reason, long retryAfterMicros) implements RequestOutcome {}

    /** The server's own complete response, with the headers as received; a chunked body is assembled. */
    record Responded(int status, List<Map.Entry<String, String>> headers, byte[] body) implements RequestOutcome {}

    /**
     * It was sent at least in part, and whether it was executed is unknown.
     *
     * @param why the reason, as readable text
     */
    record MayHaveRun(String why) implements RequestOutcome {}
}
