package org.cypressweir.modelcheck;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;
import org.cypressweir.common.util.Hashes;
import org.cypressweir.common.util.Ids;
import org.cypressweir.fleet.lease.LeaseMessage;
import org.cypressweir.fleet.lease.LeaseOptions;
import org.cypressweir.fleet.lease.Leases;
import org.cypressweir.fleet.lease.StateText;

/**
 * Model checker for leases: explores all states of a small model of grantors and clients of one lease, with the real
 * classes. Clients take turns, a fifth of a term from one turn of each to its next. In a turn each grantor either does
 * not receive the requests, or its responses are lost, or all messages arrive at once, or the responses arrive at the
 * client's next turn. A turn may be left out, as by a paused client, and a grantor may restart, as often as the model
 * allows. Clocks of grantors are fast and those of clients slow, each by the bound. A client that may act by its own
 * clock acts, at its turn and right before the next one, also while it is paused, since it may go on at any moment.
 * Messages among grantors arrive at once.
 *
 * <p>States that differ by the order of grantors only, or by the size of tokens, are one. Nothing is random: all
 * jitter is 0, and turns that are left out bring about what jitter would.
 */
public final class LeaseWalk {

    private static final long TERM = 1_000_000;
    private static final long TURN = TERM / 10;
    private static final int DRIFT = 5;
    /** Fates for any number of grantors. */
    private static final int ALL_AT_ONCE = 0x2AAA;

    private static final int MAX_TURNS = 200;
    private static final String LEASE = "l";

    /**
     * The model, and what may happen in it.
     *
     * @param lateResponses whether responses may arrive at the next turn
     * @param pauses turns that may be left out in total
     * @param restarts of grantors in total
     * @param together whether all grantors restart at once, where tokens depend on more than grantors
     */
    public record Shape(int grantors, int clients, boolean lateResponses, int pauses, int restarts, boolean together) {}

    /** How far a walk came: states, steps between them, and the first violation's history or null. */
    public record Result(long states, long steps, boolean whole, long held, String violation) {}

    private record LateMessage(int grantor, LeaseMessage message) {}

    /** A step, and the one before. */
    private record Step(String what, Step before) {
        String history() {
            return (before == null ? "" : before.history() + "\n") + what;
        }
    }

    private record Sent(InetSocketAddress to, LeaseMessage message) {}

    /** Collects the messages that one process sends within a call. */
    private static final class MessageCollector implements Leases.Actions {
        final ArrayDeque<Sent> sent = new ArrayDeque<>();

        @Override
        public void send(InetSocketAddress to, LeaseMessage message) {
            sent.add(new Sent(to, message));
        }

        @Override
        public void acquired(String lease, long token) {}

        @Override
        public void ended(String lease, long token, String reason) {}
    }

    private static InetSocketAddress address(int place) {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), 1_000 + place);
    }

    private static final class World {
        final Shape shape;
        final LeaseOptions options;
        long now;
        int turn;
        int pauses;
        int restarts;
        final Leases[] all;
        final MessageCollector[] collectors;
        final List<List<LateMessage>> lateMessages = new ArrayList<>();
        String lastHolder = "";
        long lastToken;
        Step step;

        World(Shape shape) {
            this.shape = shape;
            pauses = shape.pauses;
            restarts = shape.restarts;
            options = new LeaseOptions(
                    IntStream.range(0, shape.grantors)
                            .mapToObj(LeaseWalk::address)
                            .toList(),
                    null,
                    TERM,
                    DRIFT / 100.0,
                    false,
                    Map.of(LEASE, TERM));
            all = new Leases[shape.grantors + shape.clients];
            collectors = new MessageCollector[all.length];
            Map<String, InetSocketAddress> members = new LinkedHashMap<>();
            for (int i = shape.grantors; i < all.length; i++) {
                members.put("c" + i, address(i));
                lateMessages.add(List.of());
            }
            for (int i = 0; i < all.length; i++) {
                start(i);
                if (i >= shape.grantors) {
                    all[i].updateMembers(members);
                }
            }
        }

        World(World other) {
            shape = other.shape;
            options = other.options;
            now = other.now;
            turn = other.turn;
            pauses = other.pauses;
            restarts = other.restarts;
            all = new Leases[other.all.length];
            collectors = new MessageCollector[all.length];
            for (int i = 0; i < all.length; i++) {
                collectors[i] = new MessageCollector();
                all[i] = other.all[i].copy(collectors[i]);
            }
            lateMessages.addAll(other.lateMessages);
            lastHolder = other.lastHolder;
            lastToken = other.lastToken;
        }

        private void start(int i) {
            collectors[i] = new MessageCollector();
            all[i] = new Leases(
                    clock(i, now),
                    options,
                    address(i),
                    (i < shape.grantors ? "k" : "c") + i,
                    "1",
                    0,
                    bound -> 0,
                    collectors[i]);
            if (i < shape.grantors) {
                all[i].leave(clock(i, now), "it only grants");
            }
        }

        long clock(int i, long at) {
            return at / 100 * (i < shape.grantors ? 100 + DRIFT : 100 - DRIFT);
        }

        /** One turn: a fate for each grantor in base four; a restart of one, of all, or -1. */
        void runTurn(int fates, boolean skipped, int restart) {
            if (restart >= 0) {
                restarts--;
                for (int k = 0; k < shape.grantors; k++) {
                    if (shape.together || k == restart) {
                        start(k);
                    }
                }
            }
            exchangeAmongGrantors();
            int c = shape.grantors + turn;
            if (skipped) {
                pauses--;
            } else {
                List<LateMessage> arriving = lateMessages.get(turn);
                List<LateMessage> nextLate = new ArrayList<>();
                for (LateMessage l : arriving) {
                    all[c].receive(clock(c, now), address(l.grantor), l.message);
                }
                all[c].tick(clock(c, now));
                for (Sent s; (s = collectors[c].sent.poll()) != null; ) {
                    int to = s.to.getPort() - 1_000;
                    if (to >= shape.grantors) {
                        all[to].receive(clock(to, now), address(c), s.message);
                    } else {
                        sendToGrantor(c, to, s.message, fates >> 2 * to & 3, nextLate);
                    }
                }
                lateMessages.set(turn, nextLate);
            }
            turn = (turn + 1) % shape.clients;
        }

        private void sendToGrantor(int c, int grantor, LeaseMessage message, int fate, List<LateMessage> nextLate) {
            // 0 lost, 1 the answers are lost, 2 at once, 3 late
            if (fate == 0) {
                return;
            }
            all[grantor].receive(clock(grantor, now), address(c), message);
            for (Sent answer; (answer = collectors[grantor].sent.poll()) != null; ) {
                if (fate == 2) {
                    all[c].receive(clock(c, now), address(grantor), answer.message);
                } else if (fate == 3) {
                    nextLate.add(new LateMessage(grantor, answer.message));
                }
            }
        }

        private void exchangeAmongGrantors() {
            for (int k = 0; k < shape.grantors; k++) {
                all[k].tick(clock(k, now));
            }
            for (boolean more = true; more; ) {
                more = false;
                for (int k = 0; k < shape.grantors; k++) {
                    for (Sent s; (s = collectors[k].sent.poll()) != null; ) {
                        int to = s.to.getPort() - 1_000;
                        if (to < shape.grantors) {
                            all[to].receive(clock(to, now), address(k), s.message);
                            more = true;
                        }
                    }
                }
            }
        }

        /** The rule that is violated at that moment, or null. */
        String findViolation(long at) {
            String acts = null;
            for (int c = shape.grantors; c < all.length; c++) {
                Leases.Permission permission = all[c].checkHolding(clock(c, at), LEASE, 0);
                if (!permission.mayAct()) {
                    continue;
                }
                String name = "c" + c;
                if (acts != null) {
                    return acts + " and " + name + " act at " + at;
                }
                acts = name;
                boolean rises =
                        name.equals(lastHolder) ? permission.token() >= lastToken : permission.token() > lastToken;
                if (!shape.together && !rises) {
                    return name + " has token " + permission.token() + " at " + at + " after " + lastToken + " of "
                            + lastHolder;
                }
                lastHolder = name;
                lastToken = permission.token();
            }
            return null;
        }

        boolean held() {
            return IntStream.range(shape.grantors, all.length)
                    .anyMatch(c -> all[c].checkHolding(clock(c, now), LEASE, 0).mayAct());
        }

        long key() {
            StateText text = new StateText();
            text.add("world", turn, pauses, restarts);
            text.addName(lastHolder);
            text.addToken(lastToken);
            for (int i = 0; i < all.length; i++) {
                all[i].describeState(clock(i, now), text);
            }
            for (int c = 0; c < lateMessages.size(); c++) {
                for (LateMessage l : lateMessages.get(c)) {
                    int client = shape.grantors + c;
                    text.addOf(
                            address(l.grantor),
                            "late " + c + l.message.kind() + l.message.holder() + l.message.micros());
                    text.addTokenOf(address(l.grantor), l.message.token());
                    all[client].describeRequest(clock(client, now), LEASE, l.message.requestNumber(), text);
                }
            }
            return Hashes.mix(Ids.of(text.toString()), 1);
        }
    }

    /** How a world begins: just started, and with a holder that others have not met. */
    private static List<World> initialWorlds(Shape shape) {
        World held = new World(shape);
        for (int i = 0; i < MAX_TURNS && !held.held(); i++) {
            boolean first = held.turn == 0;
            held.pauses += first ? 0 : 1;
            held.runTurn(ALL_AT_ONCE, !first, -1);
            held.findViolation(held.now);
            held.now += TURN;
        }
        return List.of(new World(shape), held);
    }

    private LeaseWalk() {}

    /** Walks breadth first, so that the first violation is a shortest one; at most so many states. */
    public static Result walk(Shape shape, long maxStates) {
        Set<Long> known = new HashSet<>();
        ArrayDeque<World> open = new ArrayDeque<>();
        open.addAll(initialWorlds(shape));
        long steps = 0;
        long held = 0;
        while (!open.isEmpty() && known.size() < maxStates) {
            World world = open.poll();
            int restarts = world.restarts == 0 ? 0 : shape.together ? 1 : shape.grantors;
            for (int restart = -1; restart < restarts; restart++) {
                for (int f = world.pauses > 0 ? -1 : 0; f < 1 << 2 * shape.grantors; f++) {
                    if (f > 0 && !shape.lateResponses && (f & f >> 1 & 0x55555555) != 0) {
                        continue;
                    }
                    World next = new World(world);
                    next.runTurn(Math.max(0, f), f < 0, restart);
                    steps++;
                    next.step = new Step(
                            next.now + " c" + (shape.grantors + world.turn)
                                    + (f < 0 ? " stands still" : " " + Integer.toString(f, 4))
                                    + (restart < 0 ? "" : " anew " + restart),
                            world.step);
                    String violation = next.findViolation(next.now);
                    next.now += TURN;
                    violation = violation != null ? violation : next.findViolation(next.now - 100);
                    if (violation != null) {
                        return new Result(known.size(), steps, false, held, next.step.history() + "\n" + violation);
                    }
                    if (known.add(next.key())) {
                        held += next.held() ? 1 : 0;
                        open.add(next);
                    }
                }
            }
        }
        return new Result(known.size(), steps, open.isEmpty(), held, null);
    }

    /** How a small world is broken, or null. */
    public static String broken(int pauses, int restarts, boolean together, long maxStates) {
        return walk(new Shape(3, 2, false, pauses, restarts, together), maxStates).violation;
    }

    /** Models by comma: grantors, clients, late responses, pauses, restarts, all at once, states at most. */
    public static void main(String[] args) {
        for (String world : args[0].split(",")) {
            String[] p = world.split(":");
            long begun = System.nanoTime();
            Result r = walk(
                    new Shape(
                            Integer.parseInt(p[0]),
                            Integer.parseInt(p[1]),
                            Boolean.parseBoolean(p[2]),
                            Integer.parseInt(p[3]),
                            Integer.parseInt(p[4]),
                            Boolean.parseBoolean(p[5])),
                    Long.parseLong(p[6]));
            System.out.println(world + ": " + r.states + " states, " + r.steps + " steps, "
                    + (r.whole ? "all" : "cut off") + ", the lease is held in " + r.held + ", "
                    + (System.nanoTime() - begun) / 1_000_000 + " ms"
                    + (r.violation == null ? "" : "\n" + r.violation));
        }
    }
}
