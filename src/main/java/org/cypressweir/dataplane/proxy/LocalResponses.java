package org.cypressweir.dataplane.proxy;

import org.cypressweir.common.transport.ErrorKind;
import org.cypressweir.dataplane.http.server.ServerResponse;

/** Answers of the mesh's own, each by its fault. */
final class LocalResponses {

    private static final long LEAST = 1_000;

    private LocalResponses() {}

    /** @param againMicros when to come back, where the fault says so */
    static ServerResponse of(ErrorKind fault, long againMicros) {
        ServerResponse answer = ServerResponse.text(fault.status(), fault.description());
        return fault.hasRetryAfter() ? answer.withHeader("Retry-After", seconds(againMicros)) : answer;
    }

    static ServerResponse of(ErrorKind fault) {
        return of(fault, 0);
    }

    private static String seconds(long micros) {
        long millis = Math.max(LEAST, micros) / 1000;
        String rest = Long.toString(1000 + millis % 1000).substring(1);
        return millis / 1000 + "." + rest;
    }
}
