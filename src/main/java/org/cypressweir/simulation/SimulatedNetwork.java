package org.cypressweir.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * Datagram network between processes in simulated time (microseconds). Messages are delayed, lost, duplicated and
 * reordered; nodes can be partitioned in one or both directions; processes can be paused, killed and restarted.
 * Messages to a paused process are buffered, as in a socket buffer.
 */
public final class SimulatedNetwork<M> {

    /** A process; it is ticked at its tick interval while it runs. */
    public interface Process<M> {
        void tick(long now);

        void receive(long now, M message);
    }

    /** Decides whether messages from one node reach another. */
    public interface Partition {
        boolean delivers(int from, int to);
    }

    /** Loss, duplication and delay of datagrams; rates from 0 to 1, times in microseconds. */
    public record Conditions(
            double lossRate,
            double duplicateRate,
            double delayRate,
            long maxExtraDelayMicros,
            long minLatencyMicros,
            long maxLatencyMicros) {
        /** A network within one site, without loss. */
        public static final Conditions RELIABLE = new Conditions(0, 0, 0, 0, 200, 2_000);

        /**
         * Loses the given share of all datagrams; a quarter of that share is duplicated, and another quarter delayed.
         */
        public static Conditions lossy(double lossRate) {
            return new Conditions(lossRate, lossRate / 4, lossRate / 4, 300_000, 200, 5_000);
        }
    }

    /** Datagrams buffered for a paused process; further ones are lost. */
    private static final int MAX_BUFFERED_DATAGRAMS = 2_000;

    private static final class Node<M> {
        Process<M> process;
        long tickMicros;
        /** Incremented on each start, so that pending ticks of an earlier process are ignored. */
        int generation;

        boolean paused;
        final List<M> buffered = new ArrayList<>();
        long sent;
    }

    private record Event<M>(long at, long sequence, int node, int generation, M message, Runnable task)
            implements Comparable<Event<M>> {
        @Override
        public int compareTo(Event<M> other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(sequence, other.sequence);
        }
    }

    private final PriorityQueue<Event<M>> events = new PriorityQueue<>();
    private final List<Node<M>> nodes = new ArrayList<>();
    private final SplittableRandom random;
    private Conditions conditions = Conditions.RELIABLE;
    private Partition partition = (from, to) -> true;
    private long now = 1_000_000;
    private long nextSequence;
    private long sent;

    public SimulatedNetwork(long seed) {
        random = new SplittableRandom(seed);
    }

    public long now() {
        return now;
    }

    /** Number of datagrams sent by all nodes so far. */
    public long sent() {
        return sent;
    }

    public long sent(int node) {
        return nodes.get(node).sent;
    }

    public void setConditions(Conditions next) {
        conditions = next;
    }

    public void setPartition(Partition next) {
        partition = next;
    }

    /** Adds a node without a process and returns its index. */
    public int addNode() {
        nodes.add(new Node<>());
        return nodes.size() - 1;
    }

    /** Starts a process on a node, replacing the previous one. */
    public void start(int nodeId, long tickMicros, Process<M> process) {
        Node<M> node = nodes.get(nodeId);
        node.process = process;
        node.tickMicros = tickMicros;
        node.generation++;
        node.paused = false;
        node.buffered.clear();
        add(now + random.nextLong(tickMicros), nodeId, node.generation, null, null);
    }

    public void kill(int nodeId) {
        Node<M> node = nodes.get(nodeId);
        node.process = null;
        node.generation++;
        node.buffered.clear();
    }

    public boolean isRunning(int nodeId) {
        return nodes.get(nodeId).process != null;
    }

    /** Pauses the process: it is neither ticked nor does it receive messages. */
    public void pause(int nodeId) {
        nodes.get(nodeId).paused = true;
    }

    /** Resumes a paused process: it receives the buffered messages, and its timers fire late. */
    public void resume(int nodeId) {
        Node<M> node = nodes.get(nodeId);
        if (!node.paused || node.process == null) {
            return;
        }
        node.paused = false;
        node.generation++;
        boolean ticksFirst = random.nextBoolean();
        if (ticksFirst) {
            node.process.tick(now);
        }
        for (M message : List.copyOf(node.buffered)) {
            node.process.receive(now, message);
        }
        node.buffered.clear();
        add(now + (ticksFirst ? node.tickMicros : 0), nodeId, node.generation, null, null);
    }

    /** Runs a task at the given time. */
    public void schedule(long time, Runnable task) {
        add(time, -1, 0, null, task);
    }

    public void send(int from, int to, M message) {
        sent++;
        nodes.get(from).sent++;
        if (to < 0
                || to >= nodes.size()
                || !partition.delivers(from, to)
                || random.nextDouble() < conditions.lossRate) {
            return;
        }
        deliver(to, message);
        if (random.nextDouble() < conditions.duplicateRate) {
            deliver(to, message);
        }
    }

    private void deliver(int to, M message) {
        long latency = conditions.minLatencyMicros
                + random.nextLong(1 + conditions.maxLatencyMicros - conditions.minLatencyMicros);
        if (conditions.delayRate > 0 && random.nextDouble() < conditions.delayRate) {
            latency += random.nextLong(conditions.maxExtraDelayMicros);
        }
        add(now + latency, to, -1, message, null);
    }

    private void add(long at, int node, int generation, M message, Runnable task) {
        events.add(new Event<>(at, nextSequence++, node, generation, message, task));
    }

    /** Runs all events up to the given time. */
    public void run(long until) {
        while (!events.isEmpty() && events.peek().at <= until) {
            Event<M> event = events.poll();
            now = Math.max(now, event.at);
            if (event.task != null) {
                event.task.run();
                continue;
            }
            Node<M> node = nodes.get(event.node);
            if (node.process == null) {
                continue;
            }
            if (event.message != null) {
                if (!node.paused) {
                    node.process.receive(now, event.message);
                } else if (node.buffered.size() < MAX_BUFFERED_DATAGRAMS) {
                    node.buffered.add(event.message);
                }
            } else if (event.generation == node.generation && !node.paused) {
                node.process.tick(now);
                add(now + node.tickMicros, event.node, node.generation, null, null);
            }
        }
        now = Math.max(now, until);
    }
}
