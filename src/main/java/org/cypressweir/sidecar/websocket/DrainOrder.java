package org.cypressweir.sidecar.websocket;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * In which order, and how fast, the tunnels of servers that leave are closed: first those without data for a
 * while, then those between two messages, the longest quiet first; as many a second as the other servers can
 * take back; at the last moment all the rest that is between messages, and what is within one as soon as it
 * ends.
 * No clock: it is asked what is due now.
 */
public final class DrainOrder<T extends DrainOrder.Leaver> {

    /** A tunnel, as far as its end is concerned. */
    public interface Leaver {
        /** Whether a message has begun on either side and not ended. */
        boolean inMessage();

        /** When the last data frame came, in microseconds. */
        long dataAt();
    }

    /** What is still within a message so long past the last moment is closed all the same. */
    static final long LONGEST_MESSAGE_MICROS = 5_000_000;

    private final long drainMicros;
    private final double rate;
    private final Map<T, Long> leaving = new LinkedHashMap<>();
    private double allowed;
    private long at;

    /**
     * For the servers of one pool.
     *
     * @param drainMicros from when a server was told to leave to its last moment
     * @param rate tunnels a second that each of the other servers can take
     */
    public DrainOrder(long drainMicros, double rate) {
        this.drainMicros = drainMicros;
        this.rate = rate;
    }

    /** The server of a tunnel leaves; since when. */
    public void leaves(T tunnel, long toldAt) {
        leaving.putIfAbsent(tunnel, toldAt);
    }

    /** It has ended, or its server stays after all. */
    public void stays(T tunnel) {
        leaving.remove(tunnel);
    }

    /** How many wait for their end. */
    public int size() {
        return leaving.size();
    }

    /**
     * Those to be closed now, in this order; with no other server there is nowhere to go before the last
     * moment.
     */
    public List<T> due(long now, double others) {
        double gained = rate * others * (now - at) / 1e6;
        // What was not used is not saved up, beyond the one that is next.
        allowed = at == 0 ? 1 : Math.min(Math.max(1, gained), allowed + gained);
        at = now;
        List<T> due = new ArrayList<>();
        List<T> waiting = new ArrayList<>();
        leaving.forEach((tunnel, toldAt) -> {
            long over = now - toldAt - drainMicros;
            if (over >= 0 && (!tunnel.inMessage() || over >= LONGEST_MESSAGE_MICROS)) {
                due.add(tunnel);
            } else if (!tunnel.inMessage()) {
                waiting.add(tunnel);
            }
        });
        // The longest quiet first puts the idle before all others.
        waiting.sort(Comparator.comparingLong(Leaver::dataAt));
        for (T tunnel : waiting) {
            if (allowed < 1 || others <= 0) {
                break;
            }
            allowed--;
            due.add(tunnel);
        }
        due.forEach(leaving::remove);
        return due;
    }
}
