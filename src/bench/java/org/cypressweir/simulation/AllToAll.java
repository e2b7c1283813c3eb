package org.cypressweir.simulation;

import java.util.Arrays;

/** All-to-all heartbeats: a member is removed once its heartbeats have been missing for the time-out. No relaying. */
final class AllToAll implements SimulatedNetwork.Process<Integer> {

    private final SimulatedNetwork<Integer> network;
    private final int self;
    private final long periodMicros;
    private final long timeoutMicros;
    private final PlainSwim.StatusListener listener;
    private final long[] lastHeardAt;
    private final boolean[] isOut;
    private long nextSendAt;

    AllToAll(
            SimulatedNetwork<Integer> network,
            int self,
            int members,
            long periodMicros,
            long timeoutMicros,
            long initialDelayMicros,
            PlainSwim.StatusListener listener) {
        this.network = network;
        this.self = self;
        this.periodMicros = periodMicros;
        this.timeoutMicros = timeoutMicros;
        this.listener = listener;
        lastHeardAt = new long[members];
        Arrays.fill(lastHeardAt, network.now());
        isOut = new boolean[members];
        nextSendAt = network.now() + initialDelayMicros;
    }

    boolean isIn(int member) {
        return !isOut[member];
    }

    @Override
    public void tick(long now) {
        if (now >= nextSendAt) {
            nextSendAt = now + periodMicros;
            for (int i = 0; i < lastHeardAt.length; i++) {
                if (i != self) {
                    network.send(self, i, self);
                }
            }
        }
        for (int i = 0; i < lastHeardAt.length; i++) {
            if (i != self && !isOut[i] && now - lastHeardAt[i] > timeoutMicros) {
                isOut[i] = true;
                listener.statusChanged(self, i, true);
            }
        }
    }

    @Override
    public void receive(long now, Integer from) {
        lastHeardAt[from] = now;
        if (isOut[from]) {
            isOut[from] = false;
            listener.statusChanged(self, from, false);
        }
    }
}
