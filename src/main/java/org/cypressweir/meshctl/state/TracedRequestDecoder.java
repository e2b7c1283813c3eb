package org.cypressweir.meshctl.state;

import java.util.List;

/** Decodes the traces of requests. The names of fields are fixed, since processes may run different builds. */
final class TracedRequestDecoder {

    private static final String STATUS = "answer";
    private static final String ERROR = "fault";
    private static final String RESPONDED_MILLIS = "answeredMs";
    private static final String ATTEMPTS = "attempts";
    private static final String ATTEMPT_PROXY = "pilot";
    private static final String ATTEMPT_DURATION_MILLIS = "tookMs";

    private TracedRequestDecoder() {}

    static List<TracedRequest> decodeAll(List<JsonObject> requests) {
        return requests.stream().map(TracedRequestDecoder::decode).toList();
    }

    private static TracedRequest decode(JsonObject request) {
        return new TracedRequest(
                request.get("arrived"),
                request.get("host"),
                request.get("path"),
                request.get("route"),
                request.get("tenant"),
                request.get("service"),
                request.get(STATUS),
                request.get(ERROR),
                request.get(RESPONDED_MILLIS),
                request.objects(ATTEMPTS).stream()
                        .map(TracedRequestDecoder::attempt)
                        .toList());
    }

    private static TracedRequest.Attempt attempt(JsonObject attempt) {
        return new TracedRequest.Attempt(
                attempt.get("server"),
                attempt.get(ATTEMPT_PROXY),
                attempt.get("sentMs"),
                attempt.get(ATTEMPT_DURATION_MILLIS),
                attempt.get("outcome"));
    }
}
