package larkbank.quay;

import java.util.List;
import java.util.Map;

/** What became of a request; each request has exactly one. */
public sealed interface Outcome {

    /** Certain: the server did not run it. */
    record NotRun(Reason reason, long retryAfterMicros) implements Outcome {}

    /** The server's own whole answer, with the headers as they came; a chunked body is put together. */
    record Answered(int status, List<Map.Entry<String, String>> headers, byte[] body) implements Outcome {}

    /** It was handed over at least in part, and nothing certain is known. */
    record MayHaveRun(String why) implements Outcome {}
}
