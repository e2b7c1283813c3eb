package org.cypressweir.dataplane.proxy;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicBoolean;
import org.cypressweir.dataplane.http.server.Headers;
import org.cypressweir.dataplane.http.server.ServerResponse;
import org.cypressweir.dataplane.http.upstream.RejectionReason;
import org.cypressweir.dataplane.http.upstream.RequestHandle;
import org.cypressweir.dataplane.http.upstream.RequestOutcome;
import org.cypressweir.dataplane.http.upstream.SimulatedUpstream;

/**
 * Drawn histories in made-up time: clients, the choice, the helm and the account, a hop that loses its line,
 * the order beside the server, and servers that do all that servers may. What really ran is known here, and
 * each answer is held against it.
 */
public final class RequestHistories {

    private static final String SEAL = "Cypressweir-Server-Seal";
    private static final String NOT_RUN = "Cypressweir-Not-Executed";
    private static final int SERVERS = 3;
    private static final int SLOTS = 3;

    /** A client, what it asked, and what really became of that. */
    private static final class Voyager extends ProxyFixture.Client {
        private final String id;
        private final boolean repeatable;
        private final byte[] body;
        private final List<String> answered = new ArrayList<>();
        private int runs;
        private boolean gone;

        private Voyager(String id, boolean repeatable) {
            this.id = id;
            this.repeatable = repeatable;
            body = ("body of " + id).getBytes(StandardCharsets.ISO_8859_1);
        }

        @Override
        public String uri() {
            return "/x/" + id + "?q=" + id + "&e=%20";
        }

        @Override
        public byte[] body() {
            return body;
        }
    }

    private final SplittableRandom random;
    private final ProxyFixture hull = new ProxyFixture(SERVERS);
    private final List<SimulatedUpstream> quays = new ArrayList<>();
    private final Map<String, Voyager> voyagers = new HashMap<>();
    private String breach;
    private String lastId = "none";

    private RequestHistories(long seed) {
        random = new SplittableRandom(seed);
        hull.strict = false;
        hull.server = this::hop;
        for (int i = 0; i < SERVERS; i++) {
            quays.add(new SimulatedUpstream(() -> hull.now, hull::later, SLOTS, new SimulatedUpstream.Server() {
                @Override
                public boolean accepts() {
                    return random.nextInt(30) > 0;
                }

                @Override
                public void onRequest(SimulatedUpstream.Execution visit) {
                    serve(visit);
                }
            }));
        }
    }

    private void broken(String rule, String what) {
        breach = breach == null ? rule + ": " + what : breach;
    }

    /** The way to the pilot beside the server, and back. */
    private void hop(ProxyFixture.Sent sent) {
        SimulatedUpstream quay = quays.get((int) (sent.target.number() - 100));
        AtomicBoolean lost = new AtomicBoolean();
        RequestHandle[] ticket = {null};
        int fate = random.nextInt(40);
        if (fate == 0) {
            hull.later(
                    random.nextInt(2_000),
                    () -> sent.ends(new RequestOutcome.NotRun(RejectionReason.NO_CONNECTION, 0)));
            return;
        }
        hull.later(
                random.nextInt(2_000),
                () -> ticket[0] = quay.submit(
                        sent.freight,
                        outcome -> hull.later(random.nextInt(2_000), () -> {
                            if (!lost.get()) {
                                sent.ends(outcome);
                            }
                        })));
        sent.whenCancelled = () -> hull.later(2_000, () -> quay.cancel(ticket[0]));
        if (fate == 1) {
            hull.later(2_000 + random.nextInt(60_000), () -> {
                if (sent.outcome == null) {
                    lost.set(true);
                    quay.cancel(ticket[0]);
                    sent.ends(new RequestOutcome.MayHaveRun("line"));
                }
            });
        }
    }

    /** What the server does: before each answer stands what it really did. */
    private void serve(SimulatedUpstream.Execution visit) {
        String id = header(visit.head, "Cypressweir-Attempt-Id: ");
        Voyager asked = voyagers.get(id);
        if (asked == null
                || !visit.head.startsWith(asked.method() + " " + asked.uri() + " HTTP/1.1\r\n")
                || !visit.body.equals(new String(asked.body, StandardCharsets.ISO_8859_1))) {
            broken("UNASKED", visit.head + visit.body);
            return;
        }
        int fate = random.nextInt(100);
        int micros = 1_000 + random.nextInt(random.nextInt(8) == 0 ? 400_000 : 40_000);
        if (fate < 12) {
            hull.later(fate < 4 ? micros : 1_000, () -> refuse(visit, id, fate));
            return;
        }
        if (fate == 12) {
            hull.later(micros, visit::disconnect);
            return;
        }
        asked.runs++;
        if (asked.runs > 1 && !asked.repeatable) {
            broken("TWICE", id);
        }
        String foreign = lastId.equals(id) ? "none" : lastId;
        lastId = id;
        hull.later(micros, () -> answer(visit, asked, fate, foreign));
    }

    private void refuse(SimulatedUpstream.Execution visit, String id, int fate) {
        Map<String, String> marked = Map.of(NOT_RUN, "true");
        switch (fate % 4) {
            case 0 -> visit.respond(429, id, "", marked);
            case 1 -> visit.respond(421, id, "", Map.of());
            case 2 -> visit.respond(400, id, "", marked);
            default -> visit.respond(503, id, "", marked);
        }
    }

    private void answer(SimulatedUpstream.Execution visit, Voyager asked, int fate, String foreign) {
        String seal = "seal " + asked.id + " " + asked.runs;
        String text = "ran " + asked.id;
        switch (fate) {
            case 13, 14, 15 -> visit.disconnect();
            case 16, 17 -> {}
            case 18 -> visit.respond(200, asked.id, text, Map.of());
            case 19 -> visit.respond(200, asked.id, text, Map.of(SEAL, seal, NOT_RUN, "true"));
            case 20 -> visit.respond(200, asked.id, "packed", Map.of(SEAL, seal, "Content-Encoding", "gzip"));
            case 21, 22 -> visit.respond(503, asked.id, "", Map.of());
            case 23 -> visit.respond(429, asked.id, "", Map.of());
            case 24, 25 -> visit.respond(500, asked.id, "", Map.of());
            case 26, 27 -> {
                visit.respond(200, foreign, "late", Map.of(SEAL, "late"));
                good(visit, asked, seal, text);
            }
            default -> good(visit, asked, seal, text);
        }
    }

    private void good(SimulatedUpstream.Execution visit, Voyager asked, String seal, String text) {
        asked.answered.add(seal + " " + text);
        visit.respond(200, asked.id, text, Map.of(SEAL, seal));
    }

    private static String header(String head, String name) {
        int at = head.indexOf(name) + name.length();
        return head.substring(at, head.indexOf("\r\n", at));
    }

    private String run(int requests) {
        for (int i = 1; i <= requests && breach == null; i++) {
            Voyager voyager = new Voyager("id" + i, random.nextInt(2) == 0);
            voyagers.put(voyager.id, voyager);
            hull.ask(voyager.repeatable, voyager);
            if (random.nextInt(30) == 0) {
                hull.later(random.nextInt(100_000), () -> {
                    voyager.gone = voyager.answers.isEmpty();
                    if (voyager.gone) {
                        voyager.leaves();
                    }
                });
            }
            hull.advance(random.nextInt(random.nextInt(10) == 0 ? 60_000 : 6_000));
            if (i % 100 == 0) {
                hull.servers(1 + random.nextInt(SERVERS));
            }
        }
        hull.advance(3 * ProxyFixture.LEFT);
        voyagers.values().forEach(this::judge);
        if (hull.helm().open() > 0) {
            broken("LOST", hull.helm().open() + " requests are kept for ever");
        }
        return breach;
    }

    private void judge(Voyager v) {
        if (v.gone) {
            return;
        }
        if (v.answers.isEmpty()) {
            broken("LOST", v.id);
            return;
        }
        ServerResponse answer = v.answers.get(0);
        String text =
                Headers.first(answer.headers(), SEAL) + " " + new String(answer.body(), StandardCharsets.ISO_8859_1);
        if (v.answers.size() > 1 || answer.status() / 100 == 2 && !v.answered.contains(text)) {
            broken("MIXED", v.id + " got " + v.answers);
        }
        boolean promised = List.of(408, 421, 429, 503).contains(answer.status());
        if (promised && !v.repeatable && v.runs > 0) {
            broken("REFUSED", v.id + " got " + answer.status() + " and has run");
        }
    }

    /** The first rule that is broken in so many histories, null for none. */
    public static String broken(int histories, int requests) {
        String breach = null;
        for (int seed = 1; seed <= histories && breach == null; seed++) {
            breach = new RequestHistories(seed).run(requests);
            breach = breach == null ? null : "history " + seed + ": " + breach;
        }
        return breach;
    }
}
