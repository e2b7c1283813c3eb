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
 * Walks through everything that may happen in a small world of keepers and claimants of one lease, with the
 * product's own decisions. Claimants take turns, a fifth of a term from one turn of each to its next. In a
 * turn, of what goes between a claimant and one keeper the questions may be lost, the answers may be lost,
 * all comes at once, or the answers come at the claimant's next turn. A turn may be left out, as by a
 * claimant that stands still, and a keeper may start anew, as often as the world allows. Clocks of keepers
 * are fast and those of claimants slow, each by the bound. Whoever may act by its own clock acts, at the turn
 * and right before the next, also where it stands still: it may go on at any moment. Keepers hear each other
 * at once.
 *
 * <p>Worlds that differ by the order of keepers only, or by how large tokens are, are one. Nothing is drawn:
 * all jitter is 0, and what jitter would bring about is what turns that are left out bring about.
 */
public final class LeaseWalk {

    private static final long TERM = 1_000_000;
    private static final long TURN = TERM / 10;
    private static final int DRIFT = 5;
    /** Fates for any number of keepers. */
    private static final int ALL_AT_ONCE = 0x2AAA;

    private static final int MOST_TURNS = 200;
    private static final String LEASE = "l";

    /**
     * What there is, and what may happen.
     *
     * @param late whether answers may come at the next turn
     * @param pauses turns that may be left out in all
     * @param restarts of keepers in all
     * @param together whether all keepers start anew at once, where tokens rest on more than keepers
     */
    public record Shape(int keepers, int claimants, boolean late, int pauses, int restarts, boolean together) {}

    /** How far a walk came: states, steps between them, and the first breach's history or null. */
    public record Result(long states, long steps, boolean whole, long held, String breach) {}

    private record Late(int keeper, LeaseMessage word) {}

    /** What was done, and before that. */
    private record Step(String what, Step before) {
        String history() {
            return (before == null ? "" : before.history() + "\n") + what;
        }
    }

    private record Sent(InetSocketAddress to, LeaseMessage word) {}

    /** Collects what one process says within a call. */
    private static final class Mouth implements Leases.Actions {
        final ArrayDeque<Sent> said = new ArrayDeque<>();

        @Override
        public void send(InetSocketAddress to, LeaseMessage word) {
            said.add(new Sent(to, word));
        }

        @Override
        public void began(String lease, long token) {}

        @Override
        public void ended(String lease, long token, String why) {}
    }

    private static InetSocketAddress address(int place) {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), 1_000 + place);
    }

    private static final class World {
        final Shape shape;
        final LeaseOptions plan;
        long now;
        int turn;
        int pauses;
        int restarts;
        final Leases[] all;
        final Mouth[] mouths;
        final List<List<Late>> late = new ArrayList<>();
        String lastHolder = "";
        long lastToken;
        Step step;

        World(Shape shape) {
            this.shape = shape;
            pauses = shape.pauses;
            restarts = shape.restarts;
            plan = new LeaseOptions(
                    IntStream.range(0, shape.keepers)
                            .mapToObj(LeaseWalk::address)
                            .toList(),
                    null,
                    TERM,
                    DRIFT / 100.0,
                    false,
                    Map.of(LEASE, TERM));
            all = new Leases[shape.keepers + shape.claimants];
            mouths = new Mouth[all.length];
            Map<String, InetSocketAddress> members = new LinkedHashMap<>();
            for (int i = shape.keepers; i < all.length; i++) {
                members.put("c" + i, address(i));
                late.add(List.of());
            }
            for (int i = 0; i < all.length; i++) {
                start(i);
                if (i >= shape.keepers) {
                    all[i].members(members);
                }
            }
        }

        World(World other) {
            shape = other.shape;
            plan = other.plan;
            now = other.now;
            turn = other.turn;
            pauses = other.pauses;
            restarts = other.restarts;
            all = new Leases[other.all.length];
            mouths = new Mouth[all.length];
            for (int i = 0; i < all.length; i++) {
                mouths[i] = new Mouth();
                all[i] = other.all[i].copy(mouths[i]);
            }
            late.addAll(other.late);
            lastHolder = other.lastHolder;
            lastToken = other.lastToken;
        }

        private void start(int i) {
            mouths[i] = new Mouth();
            all[i] = new Leases(
                    clock(i, now),
                    plan,
                    address(i),
                    (i < shape.keepers ? "k" : "c") + i,
                    "1",
                    0,
                    bound -> 0,
                    mouths[i]);
            if (i < shape.keepers) {
                all[i].leave(clock(i, now), "it only keeps");
            }
        }

        long clock(int i, long at) {
            return at / 100 * (i < shape.keepers ? 100 + DRIFT : 100 - DRIFT);
        }

        /** One turn: a fate for each keeper in base four; a restart of one, of all, or -1. */
        void play(int fates, boolean skipped, int restart) {
            if (restart >= 0) {
                restarts--;
                for (int k = 0; k < shape.keepers; k++) {
                    if (shape.together || k == restart) {
                        start(k);
                    }
                }
            }
            keepersTalk();
            int c = shape.keepers + turn;
            if (skipped) {
                pauses--;
            } else {
                List<Late> come = late.get(turn);
                List<Late> later = new ArrayList<>();
                for (Late l : come) {
                    all[c].receive(clock(c, now), address(l.keeper), l.word);
                }
                all[c].tick(clock(c, now));
                for (Sent s; (s = mouths[c].said.poll()) != null; ) {
                    int to = s.to.getPort() - 1_000;
                    if (to >= shape.keepers) {
                        all[to].receive(clock(to, now), address(c), s.word);
                    } else {
                        toKeeper(c, to, s.word, fates >> 2 * to & 3, later);
                    }
                }
                late.set(turn, later);
            }
            turn = (turn + 1) % shape.claimants;
        }

        private void toKeeper(int c, int keeper, LeaseMessage word, int fate, List<Late> later) {
            // 0 lost, 1 the answers are lost, 2 at once, 3 late
            if (fate == 0) {
                return;
            }
            all[keeper].receive(clock(keeper, now), address(c), word);
            for (Sent answer; (answer = mouths[keeper].said.poll()) != null; ) {
                if (fate == 2) {
                    all[c].receive(clock(c, now), address(keeper), answer.word);
                } else if (fate == 3) {
                    later.add(new Late(keeper, answer.word));
                }
            }
        }

        private void keepersTalk() {
            for (int k = 0; k < shape.keepers; k++) {
                all[k].tick(clock(k, now));
            }
            for (boolean more = true; more; ) {
                more = false;
                for (int k = 0; k < shape.keepers; k++) {
                    for (Sent s; (s = mouths[k].said.poll()) != null; ) {
                        int to = s.to.getPort() - 1_000;
                        if (to < shape.keepers) {
                            all[to].receive(clock(to, now), address(k), s.word);
                            more = true;
                        }
                    }
                }
            }
        }

        /** What is wrong at that moment, or null. */
        String wrong(long at) {
            String acts = null;
            for (int c = shape.keepers; c < all.length; c++) {
                Leases.Verdict v = all[c].acting(clock(c, at), LEASE, 0);
                if (!v.acting()) {
                    continue;
                }
                String name = "c" + c;
                if (acts != null) {
                    return acts + " and " + name + " act at " + at;
                }
                acts = name;
                boolean rises = name.equals(lastHolder) ? v.token() >= lastToken : v.token() > lastToken;
                if (!shape.together && !rises) {
                    return name + " has token " + v.token() + " at " + at + " after " + lastToken + " of " + lastHolder;
                }
                lastHolder = name;
                lastToken = v.token();
            }
            return null;
        }

        boolean held() {
            return IntStream.range(shape.keepers, all.length)
                    .anyMatch(c -> all[c].acting(clock(c, now), LEASE, 0).acting());
        }

        long key() {
            StateText text = new StateText();
            text.add("world", turn, pauses, restarts);
            text.name(lastHolder);
            text.token(lastToken);
            for (int i = 0; i < all.length; i++) {
                all[i].state(clock(i, now), text);
            }
            for (int c = 0; c < late.size(); c++) {
                for (Late l : late.get(c)) {
                    int claimant = shape.keepers + c;
                    text.of(address(l.keeper), "late " + c + l.word.kind() + l.word.holder() + l.word.micros());
                    text.tokenOf(address(l.keeper), l.word.token());
                    all[claimant].state(clock(claimant, now), LEASE, l.word.number(), text);
                }
            }
            return Hashes.mix(Ids.of(text.toString()), 1);
        }
    }

    /** How a world begins: just started, and with a holder that others have not met. */
    private static List<World> beginnings(Shape shape) {
        World held = new World(shape);
        for (int i = 0; i < MOST_TURNS && !held.held(); i++) {
            boolean first = held.turn == 0;
            held.pauses += first ? 0 : 1;
            held.play(ALL_AT_ONCE, !first, -1);
            held.wrong(held.now);
            held.now += TURN;
        }
        return List.of(new World(shape), held);
    }

    private LeaseWalk() {}

    /** Walks breadth first, so that the first breach is a shortest one; at most so many states. */
    public static Result walk(Shape shape, long most) {
        Set<Long> known = new HashSet<>();
        ArrayDeque<World> open = new ArrayDeque<>();
        open.addAll(beginnings(shape));
        long steps = 0;
        long held = 0;
        while (!open.isEmpty() && known.size() < most) {
            World world = open.poll();
            int restarts = world.restarts == 0 ? 0 : shape.together ? 1 : shape.keepers;
            for (int restart = -1; restart < restarts; restart++) {
                for (int f = world.pauses > 0 ? -1 : 0; f < 1 << 2 * shape.keepers; f++) {
                    if (f > 0 && !shape.late && (f & f >> 1 & 0x55555555) != 0) {
                        continue;
                    }
                    World next = new World(world);
                    next.play(Math.max(0, f), f < 0, restart);
                    steps++;
                    next.step = new Step(
                            next.now + " c" + (shape.keepers + world.turn)
                                    + (f < 0 ? " stands still" : " " + Integer.toString(f, 4))
                                    + (restart < 0 ? "" : " anew " + restart),
                            world.step);
                    String wrong = next.wrong(next.now);
                    next.now += TURN;
                    wrong = wrong != null ? wrong : next.wrong(next.now - 100);
                    if (wrong != null) {
                        return new Result(known.size(), steps, false, held, next.step.history() + "\n" + wrong);
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
    public static String broken(int pauses, int restarts, boolean together, long most) {
        return walk(new Shape(3, 2, false, pauses, restarts, together), most).breach;
    }

    /** Worlds by comma: keepers, claimants, late answers, pauses, restarts, all at once, states at most. */
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
                    + (r.breach == null ? "" : "\n" + r.breach));
        }
    }
}
