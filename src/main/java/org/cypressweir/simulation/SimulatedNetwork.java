package org.cypressweir.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * Processes that send each other datagrams, in made-up time: messages take a while, get lost, come twice or
 * out of order, pairs are cut in one direction or both, and processes stand still, die and start anew. What a
 * process is sent while it stands still waits for it, as in a socket's buffer.
 */
public final class SimulatedNetwork<M> {

    /** A process; it is called at least once a beat while it runs. */
    public interface Process<M> {
        void tick(long now);

        void receive(long now, M message);
    }

    /** Whether what one sends to another arrives. */
    public interface Partition {
        boolean lets(int from, int to);
    }

    /** What the network does to a datagram: parts of them, 0 to 1, and times in microseconds. */
    public record Weather(
            double lost, double doubled, double late, long lateMicros, long leastMicros, long mostMicros) {
        /** A quiet network of one site. */
        public static final Weather FAIR = new Weather(0, 0, 0, 0, 200, 2_000);

        /** The same with a part of all datagrams lost, and some doubled and late. */
        public static Weather losing(double part) {
            return new Weather(part, part / 4, part / 4, 300_000, 200, 5_000);
        }
    }

    /** Datagrams that wait for a process that stands still, at most. */
    private static final int BUFFER = 2_000;

    private static final class Place<M> {
        Process<M> process;
        long beat;
        /** Rises with each start, so that ticks of an earlier process are void. */
        int start;

        boolean stopped;
        final List<M> waiting = new ArrayList<>();
        long sent;
    }

    private record Event<M>(long at, long number, int place, int start, M message, Runnable task)
            implements Comparable<Event<M>> {
        @Override
        public int compareTo(Event<M> o) {
            return at != o.at ? Long.compare(at, o.at) : Long.compare(number, o.number);
        }
    }

    private final PriorityQueue<Event<M>> events = new PriorityQueue<>();
    private final List<Place<M>> places = new ArrayList<>();
    private final SplittableRandom random;
    private Weather weather = Weather.FAIR;
    private Partition cut = (from, to) -> true;
    private long now = 1_000_000;
    private long numbers;
    private long sent;

    public SimulatedNetwork(long seed) {
        random = new SplittableRandom(seed);
    }

    public long now() {
        return now;
    }

    /** Datagrams sent by all so far. */
    public long sent() {
        return sent;
    }

    public long sent(int place) {
        return places.get(place).sent;
    }

    public void weather(Weather next) {
        weather = next;
    }

    public void cut(Partition next) {
        cut = next;
    }

    /** A place for a process; its number. */
    public int place() {
        places.add(new Place<>());
        return places.size() - 1;
    }

    /** Runs a process at a place, in the stead of one that ran there. */
    public void start(int at, long beat, Process<M> process) {
        Place<M> place = places.get(at);
        place.process = process;
        place.beat = beat;
        place.start++;
        place.stopped = false;
        place.waiting.clear();
        add(now + random.nextLong(beat), at, place.start, null, null);
    }

    public void kill(int at) {
        Place<M> place = places.get(at);
        place.process = null;
        place.start++;
        place.waiting.clear();
    }

    public boolean runs(int at) {
        return places.get(at).process != null;
    }

    /** Stands still from now on, and hears nothing. */
    public void stop(int at) {
        places.get(at).stopped = true;
    }

    /** Goes on; what has come meanwhile is there, and its timers are late. */
    public void go(int at) {
        Place<M> place = places.get(at);
        if (!place.stopped || place.process == null) {
            return;
        }
        place.stopped = false;
        place.start++;
        boolean first = random.nextBoolean();
        if (first) {
            place.process.tick(now);
        }
        for (M m : List.copyOf(place.waiting)) {
            place.process.receive(now, m);
        }
        place.waiting.clear();
        add(now + (first ? place.beat : 0), at, place.start, null, null);
    }

    /** Runs something at a time. */
    public void at(long time, Runnable task) {
        add(time, -1, 0, null, task);
    }

    public void send(int from, int to, M message) {
        sent++;
        places.get(from).sent++;
        if (to < 0 || to >= places.size() || !cut.lets(from, to) || random.nextDouble() < weather.lost) {
            return;
        }
        deliver(to, message);
        if (random.nextDouble() < weather.doubled) {
            deliver(to, message);
        }
    }

    private void deliver(int to, M message) {
        long takes = weather.leastMicros + random.nextLong(1 + weather.mostMicros - weather.leastMicros);
        if (weather.late > 0 && random.nextDouble() < weather.late) {
            takes += random.nextLong(weather.lateMicros);
        }
        add(now + takes, to, -1, message, null);
    }

    private void add(long at, int place, int start, M message, Runnable task) {
        events.add(new Event<>(at, numbers++, place, start, message, task));
    }

    /** Plays up to this time. */
    public void run(long until) {
        while (!events.isEmpty() && events.peek().at <= until) {
            Event<M> e = events.poll();
            now = Math.max(now, e.at);
            if (e.task != null) {
                e.task.run();
                continue;
            }
            Place<M> place = places.get(e.place);
            if (place.process == null) {
                continue;
            }
            if (e.message != null) {
                if (!place.stopped) {
                    place.process.receive(now, e.message);
                } else if (place.waiting.size() < BUFFER) {
                    place.waiting.add(e.message);
                }
            } else if (e.start == place.start && !place.stopped) {
                place.process.tick(now);
                add(now + place.beat, e.place, place.start, null, null);
            }
        }
        now = Math.max(now, until);
    }
}
