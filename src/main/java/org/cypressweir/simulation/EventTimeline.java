package org.cypressweir.simulation;

import java.util.PriorityQueue;

/** Made-up time: one event after another, of equal times the one that was asked for first. */
final class EventTimeline {

    private record Event(long at, long order, Runnable task) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(order, other.order);
        }
    }

    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private long now;
    private long orders;

    EventTimeline(long now) {
        this.now = now;
    }

    /** Microseconds. */
    long now() {
        return now;
    }

    /** Runs a task then; at once but after all that is due already where that time is past. */
    void at(long micros, Runnable task) {
        events.add(new Event(Math.max(now, micros), orders++, task));
    }

    /** Runs all that is due until then. */
    void run(long until) {
        while (!events.isEmpty() && events.peek().at <= until) {
            Event next = events.poll();
            now = next.at;
            next.task.run();
        }
        now = until;
    }
}
