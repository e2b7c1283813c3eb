package org.cypressweir.sidecar.operatorconfig;

import java.util.EnumSet;
import java.util.Set;

/** The limits that the file can set: name, unit, range, default, and in which sections. */
public enum LimitKey {
    /** Time for the whole request; the client's own Request-Timeout-Ms holds where it is shorter. */
    TIMEOUT("timeout", Kind.TIME, 1_000, 3_600_000_000L, "the class's deadline_us of the settings"),
    /** Time for one attempt. */
    ATTEMPT_TIMEOUT("attempt_timeout", Kind.TIME, 1_000, 3_600_000_000L, "what the request has left"),
    /** Attempts of a request, copies among them. */
    ATTEMPTS("attempts", Kind.COUNT, 1, 100, "attempts_cap of the settings"),
    /** Outcomes after which another attempt may follow. */
    RETRY_ON("retry_on", Kind.OUTCOMES, 0, 0, "all that the class's effect allows"),
    /** Second copies that may be out beside the first attempt. */
    HEDGES("hedges", Kind.COUNT, 0, 5, "0"),
    /** How long after an attempt its copy goes out, if nothing has come back. */
    HEDGE_AFTER("hedge_after", Kind.TIME, 1_000, 3_600_000_000L, "none"),
    /** Requests in hand. */
    MAX_REQUESTS("max_requests", Kind.COUNT, 1, 65_536, "for a pool: its part of what the process may hold"),
    /** Requests in hand that wait for a server. */
    MAX_QUEUE("max_queue", Kind.COUNT, 0, 65_536, "as many as may be in hand"),
    /** Connections to servers. */
    MAX_CONNECTIONS("max_connections", Kind.COUNT, 1, 65_536, "its part of the servers' descriptors");

    /** How a value is written. */
    public enum Kind {
        TIME,
        COUNT,
        OUTCOMES
    }

    static final Set<LimitKey> OF_ROUTES = EnumSet.complementOf(EnumSet.of(MAX_CONNECTIONS));
    static final Set<LimitKey> OF_POOLS = EnumSet.complementOf(EnumSet.of(HEDGE_AFTER));

    final String key;
    final Kind kind;
    final long min;
    final long max;
    final String defaultText;

    LimitKey(String key, Kind kind, long min, long max, String defaultText) {
        this.key = key;
        this.kind = kind;
        this.min = min;
        this.max = max;
        this.defaultText = defaultText;
    }

    /** The name in the file. */
    public String key() {
        return key;
    }

    /** The range, for people. */
    public String range() {
        return switch (kind) {
            case TIME -> DurationText.format(min) + " to " + DurationText.format(max);
            case COUNT -> min + " to " + max;
            case OUTCOMES -> "of " + String.join(", ", Retryable.words());
        };
    }

    String text(Object value) {
        return kind == Kind.TIME ? DurationText.format((Long) value) : String.valueOf(value);
    }
}
