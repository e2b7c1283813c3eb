package org.cypressweir.simulation;

import java.util.PriorityQueue;

/** Discrete-event scheduler with a simulated clock; events of the same time run in the order of scheduling. */
final class EventTimeline {

    private record Event(long at, long sequence, Runnable task) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(sequence, other.sequence);
        }
    }

    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private long now;
    private long nextSequence;

    EventTimeline(long now) {
        this.now = now;
    }

    /** Current simulated time in microseconds. */
    long now() {
        return now;
    }

    /** Schedules a task; a time in the past means now, after all events that are already due. */
    void schedule(long micros, Runnable task) {
        events.add(new Event(Math.max(now, micros), nextSequence++, task));
    }

    /** Runs all events due up to the given time and advances the clock to it. */
    void run(long until) {
        while (!events.isEmpty() && events.peek().at <= until) {
            Event next = events.poll();
            now = next.at;
            next.task.run();
        }
        now = until;
    }
}
