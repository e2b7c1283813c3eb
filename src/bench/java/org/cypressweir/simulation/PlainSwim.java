package org.cypressweir.simulation;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * SWIM (Das, Gupta and Motivala, 2002) with suspicion, as the paper has it: a member a period is asked in a
 * shuffled order, by way of three others if it does not answer, and put out a fixed time after it was
 * suspected. A sleeper does not know that it slept, and one accuser is enough.
 */
final class PlainSwim implements SimulatedNetwork.Process<PlainSwim.SwimMessage> {

    /** A message: what it is, its question, whom it is about, and news as member, state and incarnation. */
    record SwimMessage(int kind, int from, long number, int target, List<int[]> news) {}

    /** Hears of verdicts. */
    interface Verdict {
        void put(int by, int member, boolean out);
    }

    private static final int PING = 0;
    private static final int ACK = 1;
    private static final int ASK = 2;
    private static final int ALIVE = 0;
    private static final int SUSPECT = 1;
    private static final int DEAD = 2;
    private static final int HELPERS = 3;
    private static final int RIDERS = 8;

    private final SimulatedNetwork<SwimMessage> net;
    private final int self;
    private final long period;
    private final long suspicion;
    private final SplittableRandom random;
    private final Verdict verdict;
    private final byte[] state;
    private final int[] incarnation;
    private final Map<Integer, Long> suspectedAt = new HashMap<>();
    private final ArrayDeque<int[]> riders = new ArrayDeque<>();
    private final Map<Long, int[]> relayed = new HashMap<>();
    private final int rides;
    private final int[] order;
    private int next;
    private long probeAt;
    private int probing = -1;
    private long probeNumber;
    private long askedAt;
    private boolean helped;
    private boolean answered;
    private long numbers;
    private long bytes;

    PlainSwim(
            SimulatedNetwork<SwimMessage> net,
            int self,
            int members,
            long period,
            long suspicion,
            long seed,
            Verdict verdict) {
        this.net = net;
        this.self = self;
        this.period = period;
        this.suspicion = suspicion;
        this.verdict = verdict;
        random = new SplittableRandom(seed);
        state = new byte[members];
        incarnation = new int[members];
        order = new int[members];
        Arrays.setAll(order, i -> i);
        next = members;
        rides = 3 * (int) Math.ceil(Math.log10(members + 1));
        probeAt = net.now() + random.nextLong(period);
    }

    boolean isIn(int member) {
        return state[member] != DEAD;
    }

    long bytes() {
        return bytes;
    }

    private void say(int kind, int to, long number, int target) {
        List<int[]> news = new ArrayList<>();
        for (int i = Math.min(RIDERS, riders.size()); i > 0; i--) {
            int[] r = riders.pollFirst();
            news.add(new int[] {r[0], r[1], r[2]});
            if (--r[3] > 0) {
                riders.addLast(r);
            }
        }
        bytes += 75 + 20L * news.size();
        net.send(self, to, new SwimMessage(kind, self, number, target, news));
    }

    private void tell(int member, int what, int inc) {
        riders.removeIf(r -> r[0] == member);
        riders.addFirst(new int[] {member, what, inc, rides});
    }

    @Override
    public void tick(long now) {
        if (probing >= 0 && !answered && !helped && now - askedAt > period / 4) {
            helped = true;
            for (int i = 0; i < HELPERS; i++) {
                say(ASK, random.nextInt(state.length), probeNumber, probing);
            }
        }
        if (now >= probeAt) {
            probeAt = now + period;
            if (probing >= 0 && !answered && state[probing] == ALIVE) {
                set(now, probing, SUSPECT, incarnation[probing]);
            }
            probe(now);
        }
        for (Map.Entry<Integer, Long> s : Map.copyOf(suspectedAt).entrySet()) {
            if (now - s.getValue() > suspicion) {
                set(now, s.getKey(), DEAD, incarnation[s.getKey()]);
            }
        }
    }

    private void probe(long now) {
        probing = -1;
        for (int tries = 0; tries < order.length && probing < 0; tries++) {
            if (next >= order.length) {
                for (int i = order.length - 1; i > 0; i--) {
                    int j = random.nextInt(i + 1);
                    int swap = order[i];
                    order[i] = order[j];
                    order[j] = swap;
                }
                next = 0;
            }
            int candidate = order[next++];
            probing = candidate != self && state[candidate] != DEAD ? candidate : -1;
        }
        if (probing >= 0) {
            answered = false;
            helped = false;
            askedAt = now;
            probeNumber = ++numbers;
            say(PING, probing, probeNumber, probing);
        }
    }

    private void set(long now, int member, int what, int inc) {
        if (member == self) {
            if (what != ALIVE && inc >= incarnation[self]) {
                incarnation[self] = inc + 1;
                tell(self, ALIVE, incarnation[self]);
            }
            return;
        }
        boolean later = inc > incarnation[member];
        boolean same = inc == incarnation[member];
        boolean news = what == ALIVE
                ? later
                : what == SUSPECT ? later || same && state[member] == ALIVE : state[member] != DEAD && (later || same);
        if (!news) {
            return;
        }
        boolean was = isIn(member);
        incarnation[member] = inc;
        state[member] = (byte) what;
        suspectedAt.remove(member);
        if (what == SUSPECT) {
            suspectedAt.put(member, now);
        }
        tell(member, what, inc);
        if (was != isIn(member)) {
            verdict.put(self, member, was);
        }
    }

    @Override
    public void receive(long now, SwimMessage m) {
        m.news().forEach(n -> set(now, n[0], n[1], n[2]));
        if (state[m.from()] == DEAD) {
            tell(m.from(), DEAD, incarnation[m.from()]);
        }
        if (m.kind() == PING) {
            say(ACK, m.from(), m.number(), self);
        } else if (m.kind() == ASK) {
            long number = ++numbers;
            relayed.put(number, new int[] {m.from(), (int) m.number()});
            say(PING, m.target(), number, m.target());
        } else {
            int[] asker = relayed.remove(m.number());
            if (asker != null) {
                say(ACK, asker[0], asker[1], m.target());
            } else if (m.number() == probeNumber) {
                answered = true;
            }
        }
    }
}
