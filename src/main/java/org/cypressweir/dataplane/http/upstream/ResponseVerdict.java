package org.cypressweir.dataplane.http.upstream;

import java.util.List;

/** What a complete response means for the request in flight: the kind of response, and the outcome that follows. */
record ResponseVerdict(Kind kind, RequestOutcome outcome) {

    /** How the response relates to the request in flight. */
    enum Kind {
        /** The server's own response to it. */
        RESPONSE,
        /** The server states that it did not run the request because of overload. */
        OVERLOADED,
        /** The server states that it did not run the request for another reason. */
        NOT_RUN,
        /** It belongs to another request. */
        OTHER_REQUEST,
        /** It cannot be the server's own response. */
        INVALID
    }

    private static final String NOT_EXECUTED = "Cypressweir-Not-Executed";
    private static final String SERVER_SEAL = "Cypressweir-Server-Seal";

    static ResponseVerdict of(UpstreamResponse response, InFlightRequest request, long now, long retryAfterMicros) {
        List<String> ids = response.all(RequestEncoder.ATTEMPT_ID);
        if (ids.size() != 1) {
            return invalid("an answer without an attempt id");
        }
        if (!ids.get(0).strip().equals(request.attemptId)) {
            return new ResponseVerdict(Kind.OTHER_REQUEST, null);
        }
        if (response.has("Content-Encoding")) {
            return invalid("an answer with a content encoding");
        }
        int status = response.status();
        boolean notExecuted = response.has(NOT_EXECUTED);
        if (notExecuted && status < 400) {
            return invalid("an answer that contradicts itself");
        }
        if (notExecuted || status == 421) {
            boolean late = now + RequestScheduler.DEADLINE_MARGIN_MICROS >= request.deadline;
            return notRun(status, late, retryAfterMicros);
        }
        if (status >= 200 && status < 300 && !response.has(SERVER_SEAL)) {
            return invalid("an answer without the server's seal");
        }
        return new ResponseVerdict(
                Kind.RESPONSE, new RequestOutcome.Responded(status, response.headers(), response.body()));
    }

    private static ResponseVerdict notRun(int status, boolean late, long retryAfterMicros) {
        return switch (status) {
            case 421 -> notRun(Kind.NOT_RUN, RejectionReason.MISDIRECTED, 0);
            case 429 -> notRun(Kind.OVERLOADED, RejectionReason.FULL, retryAfterMicros);
            case 503 -> late
                    ? notRun(Kind.NOT_RUN, RejectionReason.LATE, 0)
                    : notRun(Kind.OVERLOADED, RejectionReason.FULL, retryAfterMicros);
            default -> notRun(Kind.NOT_RUN, RejectionReason.REFUSED, 0);
        };
    }

    private static ResponseVerdict notRun(Kind kind, RejectionReason reason, long retryAfterMicros) {
        return new ResponseVerdict(kind, new RequestOutcome.NotRun(reason, retryAfterMicros));
    }

    private static ResponseVerdict invalid(String why) {
        return new ResponseVerdict(Kind.INVALID, new RequestOutcome.MayHaveRun(why));
    }
}
