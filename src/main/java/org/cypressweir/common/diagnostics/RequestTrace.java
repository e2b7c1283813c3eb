package org.cypressweir.common.diagnostics;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;
import org.cypressweir.common.transport.ErrorKind;
import org.cypressweir.common.transport.JsonCodec;

/**
 * Traces of the last requests: route, attempts and response of each, without bodies and without headers other than
 * the id.
 *
 * <p>A ring buffer of fixed capacity with one array for each field, so that tracing a request costs a few writes
 * and allocates nothing; the newest request overwrites the oldest. All setters apply to the request that was
 * added last. All times are those of the clock given, in microseconds. Not thread-safe.
 */
public final class RequestTrace {

    /** The number of requests that a proxy keeps. */
    public static final int DEFAULT_CAPACITY = 2_000;

    /** The attempts recorded of one request; further ones are only counted. */
    private static final int MAX_ATTEMPTS = 4;
    /** Longer texts from clients are left out. */
    private static final int MAX_TEXT_LENGTH = 200;

    // Field names and texts of the API that are fixed.
    private static final String INSTANCE_FIELD = "server";
    private static final String PROXY_FIELD = "pilot";
    private static final String ERROR_FIELD = "fault";
    private static final String UNRECORDED_ATTEMPTS_FIELD = "more";
    private static final String IN_FLIGHT = "still out";
    private static final String NO_RESPONSE = "none yet";
    private static final String CLIENT_DISCONNECTED = "the client left";

    private final LongSupplier clockMicros;
    private final int capacity;
    private final String[] ids;
    private final String[] hosts;
    private final String[] paths;
    private final String[] routes;
    private final String[] services;
    private final String[] tenants;
    private final long[] arrivedMicros;
    private final long[] respondedMicros;
    private final int[] statuses;
    private final ErrorKind[] errors;
    private final int[] attemptCounts;
    private final String[] attemptInstances;
    private final String[] attemptProxies;
    private final long[] attemptSentMicros;
    private final long[] attemptEndedMicros;
    private final String[] attemptOutcomes;
    private long requestCount;

    public RequestTrace(LongSupplier clockMicros, int capacity) {
        this.clockMicros = clockMicros;
        this.capacity = capacity;
        ids = new String[capacity];
        hosts = new String[capacity];
        paths = new String[capacity];
        routes = new String[capacity];
        services = new String[capacity];
        tenants = new String[capacity];
        arrivedMicros = new long[capacity];
        respondedMicros = new long[capacity];
        statuses = new int[capacity];
        errors = new ErrorKind[capacity];
        attemptCounts = new int[capacity];
        attemptInstances = new String[capacity * MAX_ATTEMPTS];
        attemptProxies = new String[capacity * MAX_ATTEMPTS];
        attemptSentMicros = new long[capacity * MAX_ATTEMPTS];
        attemptEndedMicros = new long[capacity * MAX_ATTEMPTS];
        attemptOutcomes = new String[capacity * MAX_ATTEMPTS];
    }

    /** The current time of the clock of these traces. */
    public long nowMicros() {
        return clockMicros.getAsLong();
    }

    /** Adds a request; the oldest one is overwritten when the capacity is reached. */
    public void addRequest(String id, String host, String path, long arrivalMicros) {
        int slot = (int) (requestCount++ % capacity);
        ids[slot] = textOrNull(id);
        hosts[slot] = textOrNull(host);
        paths[slot] = textOrNull(path);
        routes[slot] = null;
        services[slot] = null;
        tenants[slot] = null;
        arrivedMicros[slot] = arrivalMicros;
        respondedMicros[slot] = 0;
        statuses[slot] = 0;
        errors[slot] = null;
        attemptCounts[slot] = 0;
    }

    private static String textOrNull(String text) {
        return text == null || text.length() > MAX_TEXT_LENGTH ? null : text;
    }

    private int lastSlot() {
        return (int) ((requestCount - 1) % capacity);
    }

    /** @param tenant null for none */
    public void setRoute(String route, String service, String tenant) {
        int slot = lastSlot();
        routes[slot] = route;
        services[slot] = service;
        tenants[slot] = tenant;
    }

    /**
     * Records the response.
     *
     * @param status 0 where the client disconnected before the response
     * @param error null where it is the response of an application instance
     */
    public void setResponse(long timeMicros, int status, ErrorKind error) {
        int slot = lastSlot();
        respondedMicros[slot] = timeMicros;
        statuses[slot] = status;
        errors[slot] = error;
    }

    /**
     * Adds an attempt; attempts are added in the order in which they were sent.
     *
     * @param outcome null while the attempt is in flight
     */
    public void addAttempt(String instance, String proxy, long sentMicros, long endedMicros, String outcome) {
        int slot = lastSlot();
        int attempt = attemptCounts[slot]++;
        if (attempt < MAX_ATTEMPTS) {
            int attemptSlot = slot * MAX_ATTEMPTS + attempt;
            attemptInstances[attemptSlot] = instance;
            attemptProxies[attemptSlot] = proxy;
            attemptSentMicros[attemptSlot] = sentMicros;
            attemptEndedMicros[attemptSlot] = endedMicros;
            attemptOutcomes[attemptSlot] = outcome;
        }
    }

    /** The traces of all requests with that id, oldest first, as objects that can be encoded as JSON. */
    public List<Object> findById(String id) {
        List<Object> traces = new ArrayList<>();
        for (long i = Math.max(0, requestCount - capacity); i < requestCount; i++) {
            int slot = (int) (i % capacity);
            if (id.equals(ids[slot])) {
                traces.add(trace(slot));
            }
        }
        return traces;
    }

    private Map<String, Object> trace(int slot) {
        long ageMillis = (clockMicros.getAsLong() - arrivedMicros[slot]) / 1000;
        return JsonCodec.map(
                "id",
                ids[slot],
                "arrived",
                Instant.ofEpochMilli(System.currentTimeMillis() - ageMillis).toString(),
                "ageMs",
                ageMillis,
                "host",
                hosts[slot],
                "path",
                paths[slot],
                "route",
                routes[slot],
                "service",
                services[slot],
                "tenant",
                tenants[slot],
                "answer",
                responseText(slot),
                ERROR_FIELD,
                errors[slot] == null ? null : errors[slot].description(),
                "answeredMs",
                respondedMicros[slot] == 0 ? null : millis(respondedMicros[slot] - arrivedMicros[slot]),
                "attempts",
                attempts(slot),
                UNRECORDED_ATTEMPTS_FIELD,
                Math.max(0, attemptCounts[slot] - MAX_ATTEMPTS));
    }

    private String responseText(int slot) {
        if (respondedMicros[slot] == 0) {
            return NO_RESPONSE;
        }
        return statuses[slot] == 0 ? CLIENT_DISCONNECTED : Integer.toString(statuses[slot]);
    }

    private List<Object> attempts(int slot) {
        List<Object> attempts = new ArrayList<>();
        for (int i = 0; i < Math.min(MAX_ATTEMPTS, attemptCounts[slot]); i++) {
            attempts.add(attempt(slot * MAX_ATTEMPTS + i, arrivedMicros[slot]));
        }
        return attempts;
    }

    private Map<String, Object> attempt(int attemptSlot, long requestArrivedMicros) {
        String outcome = attemptOutcomes[attemptSlot];
        long sent = attemptSentMicros[attemptSlot];
        return JsonCodec.map(
                INSTANCE_FIELD,
                attemptInstances[attemptSlot],
                PROXY_FIELD,
                attemptProxies[attemptSlot],
                "sentMs",
                millis(sent - requestArrivedMicros),
                "tookMs",
                outcome == null ? null : millis(attemptEndedMicros[attemptSlot] - sent),
                "outcome",
                outcome == null ? IN_FLIGHT : outcome);
    }

    /** Milliseconds with one decimal, rounded down. */
    private static double millis(long micros) {
        return micros / 100 / 10.0;
    }
}
