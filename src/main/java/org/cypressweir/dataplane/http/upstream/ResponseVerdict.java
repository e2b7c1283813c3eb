package org.cypressweir.dataplane.http.upstream;

import java.util.List;

/** What a whole answer says of the request in flight. */
record ResponseVerdict(Kind kind, RequestOutcome outcome) {

    /** Not run comes with whether the server was full; a broken answer is not the server's. */
    enum Kind {
        ANSWERED,
        FULL,
        NOT_RUN,
        FOREIGN,
        BROKEN
    }

    private static final String NOT_EXECUTED = "Cypressweir-Not-Executed";
    private static final String SEAL = "Cypressweir-Server-Seal";

    static ResponseVerdict of(UpstreamResponse answer, InFlightRequest shipment, long now, long retryAfter) {
        List<String> ids = answer.all(RequestEncoder.ATTEMPT_ID);
        if (ids.size() != 1) {
            return broken("an answer without an attempt id");
        }
        if (!ids.get(0).strip().equals(shipment.attemptId)) {
            return new ResponseVerdict(Kind.FOREIGN, null);
        }
        if (answer.has("Content-Encoding")) {
            return broken("an answer with a content encoding");
        }
        int status = answer.status();
        boolean notExecuted = answer.has(NOT_EXECUTED);
        if (notExecuted && status < 400) {
            return broken("an answer that contradicts itself");
        }
        if (notExecuted || status == 421) {
            return notRun(status, now + RequestScheduler.MARGIN_MICROS >= shipment.deadline, retryAfter);
        }
        if (status >= 200 && status < 300 && !answer.has(SEAL)) {
            return broken("an answer without the server's seal");
        }
        return new ResponseVerdict(Kind.ANSWERED, new RequestOutcome.Answered(status, answer.headers(), answer.body()));
    }

    private static ResponseVerdict notRun(int status, boolean late, long retryAfter) {
        return switch (status) {
            case 421 -> new ResponseVerdict(Kind.NOT_RUN, new RequestOutcome.NotRun(RejectionReason.MISDIRECTED, 0));
            case 429 -> new ResponseVerdict(Kind.FULL, new RequestOutcome.NotRun(RejectionReason.FULL, retryAfter));
            case 503 -> late
                    ? new ResponseVerdict(Kind.NOT_RUN, new RequestOutcome.NotRun(RejectionReason.LATE, 0))
                    : new ResponseVerdict(Kind.FULL, new RequestOutcome.NotRun(RejectionReason.FULL, retryAfter));
            default -> new ResponseVerdict(Kind.NOT_RUN, new RequestOutcome.NotRun(RejectionReason.REFUSED, 0));
        };
    }

    private static ResponseVerdict broken(String why) {
        return new ResponseVerdict(Kind.BROKEN, new RequestOutcome.MayHaveRun(why));
    }
}
