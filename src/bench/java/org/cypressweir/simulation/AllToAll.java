package org.cypressweir.simulation;

import java.util.Arrays;

/** Heartbeats of all to all: each is out that was not heard for so long. Nobody relays anything. */
final class AllToAll implements SimulatedNetwork.Process<Integer> {

    private final SimulatedNetwork<Integer> net;
    private final int self;
    private final long period;
    private final long silence;
    private final PlainSwim.Verdict verdict;
    private final long[] heardAt;
    private final boolean[] out;
    private long sendAt;

    AllToAll(
            SimulatedNetwork<Integer> net,
            int self,
            int members,
            long period,
            long silence,
            long phase,
            PlainSwim.Verdict verdict) {
        this.net = net;
        this.self = self;
        this.period = period;
        this.silence = silence;
        this.verdict = verdict;
        heardAt = new long[members];
        Arrays.fill(heardAt, net.now());
        out = new boolean[members];
        sendAt = net.now() + phase;
    }

    boolean isIn(int member) {
        return !out[member];
    }

    @Override
    public void tick(long now) {
        if (now >= sendAt) {
            sendAt = now + period;
            for (int i = 0; i < heardAt.length; i++) {
                if (i != self) {
                    net.send(self, i, self);
                }
            }
        }
        for (int i = 0; i < heardAt.length; i++) {
            if (i != self && !out[i] && now - heardAt[i] > silence) {
                out[i] = true;
                verdict.put(self, i, true);
            }
        }
    }

    @Override
    public void receive(long now, Integer from) {
        heardAt[from] = now;
        if (out[from]) {
            out[from] = false;
            verdict.put(self, from, false);
        }
    }
}
