package org.cypressweir.simulation;

import java.util.ArrayDeque;
import org.cypressweir.loadbalancing.LoadBalancer.LoadReport;
import org.cypressweir.loadbalancing.LoadBalancer.Result;

/**
 * Simulated server with several cores and a FIFO queue. A request works on a core, then waits on dependencies without
 * occupying one. Requests that find the queue full are rejected; queued requests that were abandoned are dropped.
 */
final class SimulatedServer {

    /** Queue capacity per core. */
    private static final int MAX_QUEUED_PER_CORE = 4;

    private static final long REPORT_INTERVAL_MICROS = 200_000;

    /** An attempt of a request, as the server sees it. */
    interface Job {
        long workMicros();

        long waitMicros();

        boolean abandoned();

        /** Called when the attempt starts to run on a core. */
        void started();

        void finished(Result result, LoadReport report);
    }

    final long id;
    final int cores;
    private final double speed;
    private final EventTimeline timeline;
    private final ArrayDeque<Job> queue = new ArrayDeque<>();
    private double slowdown = 1;
    private int busy;
    private double busyMicros;
    private long busySince;
    private long reportedAt;
    private double utilization;

    SimulatedServer(long id, int cores, double speed, EventTimeline timeline) {
        this.id = id;
        this.cores = cores;
        this.speed = speed;
        this.timeline = timeline;
        reportedAt = timeline.now();
        busySince = timeline.now();
    }

    /** Work per second, in core seconds of a reference core with speed 1. */
    double capacity() {
        return cores * speed;
    }

    /** Sets the factor by which work and waits take longer from now on. */
    void slowDown(double factor) {
        slowdown = factor;
    }

    void submit(Job job) {
        if (job.abandoned()) {
            return;
        }
        if (busy < cores) {
            run(job);
        } else if (queue.size() < MAX_QUEUED_PER_CORE * cores) {
            queue.add(job);
        } else {
            job.finished(Result.FULL, report());
        }
    }

    private void run(Job job) {
        accumulateBusyTime();
        busy++;
        job.started();
        timeline.schedule(timeline.now() + (long) (job.workMicros() * slowdown / speed), () -> {
            accumulateBusyTime();
            busy--;
            timeline.schedule(
                    timeline.now() + (long) (job.waitMicros() * slowdown), () -> job.finished(Result.SERVED, report()));
            for (Job next; busy < cores && (next = queue.poll()) != null; ) {
                if (!next.abandoned()) {
                    run(next);
                }
            }
        });
    }

    private void accumulateBusyTime() {
        busyMicros += busy * (double) (timeline.now() - busySince);
        busySince = timeline.now();
    }

    private LoadReport report() {
        accumulateBusyTime();
        long elapsed = timeline.now() - reportedAt;
        if (elapsed >= REPORT_INTERVAL_MICROS) {
            utilization = busyMicros / (elapsed * (double) cores);
            busyMicros = 0;
            reportedAt = timeline.now();
        }
        return new LoadReport(Double.NaN, Double.NaN, utilization, Double.NaN, Double.NaN, Double.NaN);
    }
}
