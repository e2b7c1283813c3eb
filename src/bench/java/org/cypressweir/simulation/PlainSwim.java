package org.cypressweir.simulation;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * SWIM (Das, Gupta and Motivala, 2002) with suspicion, as in the paper: each period one member is probed in shuffled
 * order, indirectly through three others if it does not respond, and removed a fixed time after it was suspected. A
 * member does not detect its own pauses, and one accuser is enough for a suspicion.
 */
final class PlainSwim implements SimulatedNetwork.Process<PlainSwim.SwimMessage> {

    /** A message: kind, sender, probe number, target, and piggybacked updates as member, state and incarnation. */
    record SwimMessage(int kind, int from, long number, int target, List<int[]> news) {}

    /** Listener for members that are removed or come back. */
    interface StatusListener {
        void statusChanged(int by, int member, boolean out);
    }

    private static final int PING = 0;
    private static final int ACK = 1;
    private static final int PING_REQUEST = 2;
    private static final int ALIVE = 0;
    private static final int SUSPECT = 1;
    private static final int DEAD = 2;
    private static final int INDIRECT_PROBES = 3;
    private static final int MAX_PIGGYBACKED_UPDATES = 8;

    private final SimulatedNetwork<SwimMessage> network;
    private final int self;
    private final long periodMicros;
    private final long suspicionMicros;
    private final SplittableRandom random;
    private final StatusListener listener;
    private final byte[] state;
    private final int[] incarnation;
    private final Map<Integer, Long> suspectedAt = new HashMap<>();
    private final ArrayDeque<int[]> updates = new ArrayDeque<>();
    private final Map<Long, int[]> relayedPings = new HashMap<>();
    private final int retransmissions;
    private final int[] order;
    private int next;
    private long nextProbeAt;
    private int probing = -1;
    private long probeNumber;
    private long probeSentAt;
    private boolean indirectProbesSent;
    private boolean isAcknowledged;
    private long lastNumber;
    private long bytes;

    PlainSwim(
            SimulatedNetwork<SwimMessage> network,
            int self,
            int members,
            long periodMicros,
            long suspicionMicros,
            long seed,
            StatusListener listener) {
        this.network = network;
        this.self = self;
        this.periodMicros = periodMicros;
        this.suspicionMicros = suspicionMicros;
        this.listener = listener;
        random = new SplittableRandom(seed);
        state = new byte[members];
        incarnation = new int[members];
        order = new int[members];
        Arrays.setAll(order, i -> i);
        next = members;
        retransmissions = 3 * (int) Math.ceil(Math.log10(members + 1));
        nextProbeAt = network.now() + random.nextLong(periodMicros);
    }

    boolean isIn(int member) {
        return state[member] != DEAD;
    }

    long bytes() {
        return bytes;
    }

    private void sendMessage(int kind, int to, long number, int target) {
        List<int[]> news = new ArrayList<>();
        for (int i = Math.min(MAX_PIGGYBACKED_UPDATES, updates.size()); i > 0; i--) {
            int[] r = updates.pollFirst();
            news.add(new int[] {r[0], r[1], r[2]});
            if (--r[3] > 0) {
                updates.addLast(r);
            }
        }
        bytes += 75 + 20L * news.size();
        network.send(self, to, new SwimMessage(kind, self, number, target, news));
    }

    private void enqueueUpdate(int member, int what, int inc) {
        updates.removeIf(r -> r[0] == member);
        updates.addFirst(new int[] {member, what, inc, retransmissions});
    }

    @Override
    public void tick(long now) {
        if (probing >= 0 && !isAcknowledged && !indirectProbesSent && now - probeSentAt > periodMicros / 4) {
            indirectProbesSent = true;
            for (int i = 0; i < INDIRECT_PROBES; i++) {
                sendMessage(PING_REQUEST, random.nextInt(state.length), probeNumber, probing);
            }
        }
        if (now >= nextProbeAt) {
            nextProbeAt = now + periodMicros;
            if (probing >= 0 && !isAcknowledged && state[probing] == ALIVE) {
                applyUpdate(now, probing, SUSPECT, incarnation[probing]);
            }
            probe(now);
        }
        for (Map.Entry<Integer, Long> s : Map.copyOf(suspectedAt).entrySet()) {
            if (now - s.getValue() > suspicionMicros) {
                applyUpdate(now, s.getKey(), DEAD, incarnation[s.getKey()]);
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
            isAcknowledged = false;
            indirectProbesSent = false;
            probeSentAt = now;
            probeNumber = ++lastNumber;
            sendMessage(PING, probing, probeNumber, probing);
        }
    }

    private void applyUpdate(long now, int member, int what, int inc) {
        if (member == self) {
            if (what != ALIVE && inc >= incarnation[self]) {
                incarnation[self] = inc + 1;
                enqueueUpdate(self, ALIVE, incarnation[self]);
            }
            return;
        }
        boolean isNewer = inc > incarnation[member];
        boolean isSameIncarnation = inc == incarnation[member];
        boolean news = what == ALIVE
                ? isNewer
                : what == SUSPECT
                        ? isNewer || isSameIncarnation && state[member] == ALIVE
                        : state[member] != DEAD && (isNewer || isSameIncarnation);
        if (!news) {
            return;
        }
        boolean wasIn = isIn(member);
        incarnation[member] = inc;
        state[member] = (byte) what;
        suspectedAt.remove(member);
        if (what == SUSPECT) {
            suspectedAt.put(member, now);
        }
        enqueueUpdate(member, what, inc);
        if (wasIn != isIn(member)) {
            listener.statusChanged(self, member, wasIn);
        }
    }

    @Override
    public void receive(long now, SwimMessage m) {
        m.news().forEach(n -> applyUpdate(now, n[0], n[1], n[2]));
        if (state[m.from()] == DEAD) {
            enqueueUpdate(m.from(), DEAD, incarnation[m.from()]);
        }
        if (m.kind() == PING) {
            sendMessage(ACK, m.from(), m.number(), self);
        } else if (m.kind() == PING_REQUEST) {
            long number = ++lastNumber;
            relayedPings.put(number, new int[] {m.from(), (int) m.number()});
            sendMessage(PING, m.target(), number, m.target());
        } else {
            int[] asker = relayedPings.remove(m.number());
            if (asker != null) {
                sendMessage(ACK, asker[0], asker[1], m.target());
            } else if (m.number() == probeNumber) {
                isAcknowledged = true;
            }
        }
    }
}
