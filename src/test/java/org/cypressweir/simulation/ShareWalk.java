package org.cypressweir.simulation;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.cypressweir.common.util.Hashes;
import org.cypressweir.common.util.Ids;
import org.cypressweir.fleet.membership.ShareRequest;
import org.cypressweir.fleet.membership.ShareVoter;
import org.cypressweir.fleet.membership.ShareVoter.Grant;

/**
 * Walks through everything that may happen in a small world of processes that claim parts and their voters.
 * Processes take turns in a fixed order, half a hold from one turn of a process to its next. In a turn a
 * process asks all voters, and of each pair the question may be lost, the answer may be lost, come at once,
 * or come at the process's next turn. A voter may start anew, and a process may be replaced by another
 * life, as often as the world allows. After each turn, and right before the next, all parts are added up.
 * Worlds that differ by the order of voters only are one.
 */
public final class ShareWalk {

    /** Ticks of the walk; the release is 2.2 holds. */
    private static final long HOLD = 120;

    private static final long TURN = HOLD / 2;

    /** What there is, and what may happen. */
    record Shape(int processes, int voters, boolean late, int restarts) {}

    /** How far a walk came: states, steps between them, and the first breach's history or null. */
    record Result(long states, long steps, boolean whole, double most, String breach) {}

    private record Answer(int voter, long asked, Grant grant) {}

    private static final class World {
        final Shape shape;
        long now;
        int turn;
        int restarts;
        final int[] lives;
        final ShareRequest[] requests;
        final ShareVoter[] voters;
        final List<List<Answer>> late = new ArrayList<>();
        World before;
        String step = "start";

        World(Shape shape) {
            this.shape = shape;
            restarts = shape.restarts;
            lives = new int[shape.processes];
            requests = new ShareRequest[shape.processes];
            voters = new ShareVoter[shape.voters];
            for (int p = 0; p < requests.length; p++) {
                requests[p] = newRequest();
                late.add(List.of());
            }
            for (int e = 0; e < voters.length; e++) {
                voters[e] = newVoter(0);
            }
        }

        World(World other) {
            shape = other.shape;
            now = other.now;
            turn = other.turn;
            restarts = other.restarts;
            lives = other.lives.clone();
            requests = Arrays.stream(other.requests).map(ShareRequest::copy).toArray(ShareRequest[]::new);
            voters = Arrays.stream(other.voters).map(ShareVoter::copy).toArray(ShareVoter[]::new);
            late.addAll(other.late);
            before = other;
        }

        ShareRequest newRequest() {
            return new ShareRequest(shape.voters, HOLD, 0, 10);
        }

        static ShareVoter newVoter(long now) {
            return new ShareVoter(now, ShareRequest.releaseMicros(HOLD, 0), 100);
        }

        /** What comes of one turn: a fate for each voter in base four, and who starts anew, or -1. */
        World next(int fates, int restart) {
            World next = new World(this);
            next.step = "p" + turn + " " + Integer.toString(fates, 4) + (restart < 0 ? "" : " anew " + restart);
            next.play(fates, restart);
            return next;
        }

        private void play(int fates, int restart) {
            if (restart >= 0) {
                restarts--;
                if (restart < voters.length) {
                    voters[restart] = newVoter(now);
                } else {
                    int p = restart - voters.length;
                    lives[p]++;
                    requests[p] = newRequest();
                    late.set(p, List.of());
                }
            }
            ShareRequest request = requests[turn];
            for (Answer a : late.get(turn)) {
                request.receiveGrant(now, a.voter, a.asked, a.grant);
            }
            List<Answer> later = new ArrayList<>();
            for (int e = 0; e < voters.length; e++, fates /= 4) {
                // 0 lost, 1 the answer is lost, 2 at once, 3 late
                Grant grant = fates % 4 == 0 ? null : voters[e].count(now, "p" + turn + "/" + lives[turn]);
                if (grant != null && fates % 4 == 2) {
                    request.receiveGrant(now, e, now, grant);
                } else if (grant != null && fates % 4 == 3) {
                    later.add(new Answer(e, now, grant));
                }
            }
            late.set(turn, later);
            turn = (turn + 1) % requests.length;
        }

        double sum(long at) {
            double sum = 0;
            for (ShareRequest c : requests) {
                sum += c.copy().part(at);
            }
            return sum;
        }

        void pass() {
            now += TURN / requests.length;
        }

        /** The same for worlds that go on alike; by voter, and those sorted. */
        long key() {
            String[] parts = new String[voters.length];
            for (int e = 0; e < voters.length; e++) {
                StringBuilder part = new StringBuilder(voters[e].describeState(now)).append('|');
                for (int p = 0; p < requests.length; p++) {
                    part.append(requests[p].describeState(now).split(" ", -1)[e])
                            .append(';');
                    for (Answer a : late.get(p)) {
                        if (a.voter == e) {
                            part.append(now - a.asked).append(a.grant);
                        }
                    }
                }
                parts[e] = part.toString();
            }
            Arrays.sort(parts);
            StringBuilder all = new StringBuilder()
                    .append(turn)
                    .append(restarts)
                    .append(Arrays.toString(lives))
                    .append(Arrays.toString(parts));
            for (ShareRequest c : requests) {
                String state = c.describeState(now);
                all.append(state, state.lastIndexOf(' '), state.length());
            }
            return Hashes.mix(Ids.of(all.toString()), 1);
        }

        String history() {
            return (before == null ? "" : before.history() + "\n") + now + " " + step;
        }
    }

    private ShareWalk() {}

    /** Walks breadth first, so that the first breach is a shortest one; at most so many states. */
    static Result walk(Shape shape, long most) {
        Set<Long> known = new HashSet<>();
        ArrayDeque<World> open = new ArrayDeque<>();
        open.add(new World(shape));
        long steps = 0;
        double worst = 0;
        int fates = 1 << 2 * shape.voters;
        while (!open.isEmpty() && known.size() < most) {
            World world = open.poll();
            int restarts = world.restarts > 0 ? shape.voters + shape.processes : 0;
            for (int restart = -1; restart < restarts; restart++) {
                for (int f = 0; f < fates; f++) {
                    if (!shape.late && (f & f >> 1 & 0x55555555) != 0) {
                        continue;
                    }
                    World next = world.next(f, restart);
                    steps++;
                    double sum = next.sum(next.now);
                    next.pass();
                    sum = Math.max(sum, next.sum(next.now - 1));
                    worst = Math.max(worst, sum);
                    if (sum > 1 + 1e-9) {
                        return new Result(known.size(), steps, false, sum, next.history());
                    }
                    if (known.add(next.key())) {
                        open.add(next);
                    }
                }
            }
        }
        return new Result(known.size(), steps, open.isEmpty(), worst, null);
    }

    /** How a small walk is broken, or null. */
    public static String broken(long most) {
        return walk(new Shape(2, 1, true, 1), most).breach;
    }

    /** Arguments by colon: processes, voters, whether answers may be late, restarts, states at most. */
    public static void main(String[] args) {
        for (String world : args[0].split(",")) {
            String[] parts = world.split(":");
            long begun = System.nanoTime();
            Result r = walk(
                    new Shape(
                            Integer.parseInt(parts[0]),
                            Integer.parseInt(parts[1]),
                            Boolean.parseBoolean(parts[2]),
                            Integer.parseInt(parts[3])),
                    Long.parseLong(parts[4]));
            System.out.println(world + ": " + r.states + " states, " + r.steps + " steps, "
                    + (r.whole ? "all" : "cut off") + ", at most " + r.most + " in use, "
                    + (System.nanoTime() - begun) / 1_000_000 + " ms"
                    + (r.breach == null ? "" : "\n" + r.breach));
        }
    }
}
