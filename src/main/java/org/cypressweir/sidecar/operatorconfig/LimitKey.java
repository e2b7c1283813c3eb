package org.cypressweir.sidecar.operatorconfig;

import java.util.EnumSet;
import java.util.Set;

/** The limits that the file can set, with name, unit, range, default and the sections that allow them. */
public enum LimitKey {
    /** Time-out of the whole request; a shorter Request-Timeout-Ms of the client takes precedence. */
    TIMEOUT("timeout", Kind.TIME, 1_000, 3_600_000_000L, "the class's deadline_us of the settings"),
    /** Time-out of one attempt. */
    ATTEMPT_TIMEOUT("attempt_timeout", Kind.TIME, 1_000, 3_600_000_000L, "what the request has left"),
    /** Attempts of a request, including hedged ones. */
    ATTEMPTS("attempts", Kind.COUNT, 1, 100, "attempts_cap of the settings"),
    /** Outcomes that may be retried. */
    RETRY_ON("retry_on", Kind.OUTCOMES, 0, 0, "all that the class's effect allows"),
    /** Hedged requests that may be in flight beside the first attempt. */
    HEDGES("hedges", Kind.COUNT, 0, 5, "0"),
    /** Delay after which a hedged request is sent if an attempt has had no response. */
    HEDGE_AFTER("hedge_after", Kind.TIME, 1_000, 3_600_000_000L, "none"),
    /** Requests in progress, including queued ones. */
    MAX_REQUESTS("max_requests", Kind.COUNT, 1, 65_536, "for a pool: its part of what the process may hold"),
    /** Requests in progress that wait for a server. */
    MAX_QUEUE("max_queue", Kind.COUNT, 0, 65_536, "as many as may be in hand"),
    /** Connections to servers. */
    MAX_CONNECTIONS("max_connections", Kind.COUNT, 1, 65_536, "its part of the servers' descriptors");

    /** The type of a limit's value. */
    public enum Kind {
        TIME,
        COUNT,
        OUTCOMES
    }

    static final Set<LimitKey> ROUTE_KEYS = EnumSet.complementOf(EnumSet.of(MAX_CONNECTIONS));
    static final Set<LimitKey> POOL_KEYS = EnumSet.complementOf(EnumSet.of(HEDGE_AFTER));

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

    /** The key in the operators' file. */
    public String key() {
        return key;
    }

    /** The allowed range, as printed for operators. */
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
