package larkbank.pilot;

import larkbank.gangway.Answer;
import larkbank.lading.Fault;

/** Answers of the mesh's own, each by its fault. */
final class Answers {

    private static final long LEAST = 1_000;

    private Answers() {}

    /** @param againMicros when to come back, where the fault says so */
    static Answer of(Fault fault, long againMicros) {
        Answer answer = Answer.text(fault.status(), fault.words());
        return fault.saysWhen() ? answer.withHeader("Retry-After", seconds(againMicros)) : answer;
    }

    static Answer of(Fault fault) {
        return of(fault, 0);
    }

    private static String seconds(long micros) {
        long millis = Math.max(LEAST, micros) / 1000;
        String rest = Long.toString(1000 + millis % 1000).substring(1);
        return millis / 1000 + "." + rest;
    }
}
