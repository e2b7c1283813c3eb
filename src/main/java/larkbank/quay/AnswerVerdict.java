package larkbank.quay;

import java.util.List;

/** What a whole answer says of the request in flight. */
record AnswerVerdict(Kind kind, Outcome outcome) {

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

    static AnswerVerdict of(ServerAnswer answer, Shipment shipment, long now, long retryAfter) {
        List<String> ids = answer.all(RequestBytes.ATTEMPT_ID);
        if (ids.size() != 1) {
            return broken("an answer without an attempt id");
        }
        if (!ids.get(0).strip().equals(shipment.attemptId)) {
            return new AnswerVerdict(Kind.FOREIGN, null);
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
            return notRun(status, now + Stevedore.MARGIN_MICROS >= shipment.deadline, retryAfter);
        }
        if (status >= 200 && status < 300 && !answer.has(SEAL)) {
            return broken("an answer without the server's seal");
        }
        return new AnswerVerdict(Kind.ANSWERED, new Outcome.Answered(status, answer.headers(), answer.body()));
    }

    private static AnswerVerdict notRun(int status, boolean late, long retryAfter) {
        return switch (status) {
            case 421 -> new AnswerVerdict(Kind.NOT_RUN, new Outcome.NotRun(Reason.MISDIRECTED, 0));
            case 429 -> new AnswerVerdict(Kind.FULL, new Outcome.NotRun(Reason.FULL, retryAfter));
            case 503 -> late
                    ? new AnswerVerdict(Kind.NOT_RUN, new Outcome.NotRun(Reason.LATE, 0))
                    : new AnswerVerdict(Kind.FULL, new Outcome.NotRun(Reason.FULL, retryAfter));
            default -> new AnswerVerdict(Kind.NOT_RUN, new Outcome.NotRun(Reason.REFUSED, 0));
        };
    }

    private static AnswerVerdict broken(String why) {
        return new AnswerVerdict(Kind.BROKEN, new Outcome.MayHaveRun(why));
    }
}
