package org.cypressweir.common.diagnostics;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;
import org.cypressweir.common.transport.ErrorKind;
import org.cypressweir.common.transport.JsonCodec;

/**
 * Which way the last requests went: a ring of fixed size in columns, so that a request costs some writes and
 * no object. It keeps no body and no header but the id. For one thread.
 */
public final class RequestTrace {

    /** Requests that a pilot keeps. */
    public static final int USUAL = 2_000;
    /** Attempts that are kept of one request; further ones are counted. */
    private static final int LEGS = 4;
    /** Longer texts of clients are not kept. */
    private static final int MOST_TEXT = 200;

    private final LongSupplier micros;
    private final int size;
    private final String[] ids;
    private final String[] hosts;
    private final String[] paths;
    private final String[] routes;
    private final String[] services;
    private final String[] tenants;
    private final long[] arrived;
    private final long[] answered;
    private final int[] statuses;
    private final ErrorKind[] faults;
    private final int[] legs;
    private final String[] servers;
    private final String[] pilots;
    private final long[] sent;
    private final long[] ended;
    private final String[] outcomes;
    private long count;

    public RequestTrace(LongSupplier micros, int size) {
        this.micros = micros;
        this.size = size;
        ids = new String[size];
        hosts = new String[size];
        paths = new String[size];
        routes = new String[size];
        services = new String[size];
        tenants = new String[size];
        arrived = new long[size];
        answered = new long[size];
        statuses = new int[size];
        faults = new ErrorKind[size];
        legs = new int[size];
        servers = new String[size * LEGS];
        pilots = new String[size * LEGS];
        sent = new long[size * LEGS];
        ended = new long[size * LEGS];
        outcomes = new String[size * LEGS];
    }

    public long now() {
        return micros.getAsLong();
    }

    /** A request; the oldest one is overwritten. What follows is told of this one. */
    public void request(String id, String host, String path, long arrivedAt) {
        int at = (int) (count++ % size);
        ids[at] = bounded(id);
        hosts[at] = bounded(host);
        paths[at] = bounded(path);
        routes[at] = null;
        services[at] = null;
        tenants[at] = null;
        arrived[at] = arrivedAt;
        answered[at] = 0;
        statuses[at] = 0;
        faults[at] = null;
        legs[at] = 0;
    }

    private static String bounded(String text) {
        return text == null || text.length() > MOST_TEXT ? null : text;
    }

    private int last() {
        return (int) ((count - 1) % size);
    }

    /** @param tenant null for none */
    public void way(String route, String service, String tenant) {
        int at = last();
        routes[at] = route;
        services[at] = service;
        tenants[at] = tenant;
    }

    /**
     * The answer that was given.
     *
     * @param status 0: the client had left
     * @param fault null where it is the server's own answer
     */
    public void answer(long at, int status, ErrorKind fault) {
        answered[last()] = at;
        statuses[last()] = status;
        faults[last()] = fault;
    }

    /** An attempt, in the order in which they were sent; with no outcome it is still out. */
    public void leg(String server, String pilot, long sentAt, long endedAt, String outcome) {
        int leg = legs[last()]++;
        if (leg < LEGS) {
            int at = last() * LEGS + leg;
            servers[at] = server;
            pilots[at] = pilot;
            sent[at] = sentAt;
            ended[at] = endedAt;
            outcomes[at] = outcome;
        }
    }

    /** All that is kept of requests with that id, the earliest first. */
    public List<Object> of(String id) {
        List<Object> all = new ArrayList<>();
        for (long i = Math.max(0, count - size); i < count; i++) {
            int at = (int) (i % size);
            if (id.equals(ids[at])) {
                all.add(line(at));
            }
        }
        return all;
    }

    private Map<String, Object> line(int at) {
        List<Object> attempts = new ArrayList<>();
        for (int i = 0; i < Math.min(LEGS, legs[at]); i++) {
            int leg = at * LEGS + i;
            attempts.add(JsonCodec.map(
                    "server",
                    servers[leg],
                    "pilot",
                    pilots[leg],
                    "sentMs",
                    millis(sent[leg] - arrived[at]),
                    "tookMs",
                    outcomes[leg] == null ? null : millis(ended[leg] - sent[leg]),
                    "outcome",
                    outcomes[leg] == null ? "still out" : outcomes[leg]));
        }
        long age = (micros.getAsLong() - arrived[at]) / 1000;
        return JsonCodec.map(
                "id",
                ids[at],
                "arrived",
                Instant.ofEpochMilli(System.currentTimeMillis() - age).toString(),
                "ageMs",
                age,
                "host",
                hosts[at],
                "path",
                paths[at],
                "route",
                routes[at],
                "service",
                services[at],
                "tenant",
                tenants[at],
                "answer",
                answered[at] == 0 ? "none yet" : statuses[at] == 0 ? "the client left" : Integer.toString(statuses[at]),
                "fault",
                faults[at] == null ? null : faults[at].description(),
                "answeredMs",
                answered[at] == 0 ? null : millis(answered[at] - arrived[at]),
                "attempts",
                attempts,
                "more",
                Math.max(0, legs[at] - LEGS));
    }

    private static double millis(long micros) {
        return micros / 100 / 10.0;
    }
}
