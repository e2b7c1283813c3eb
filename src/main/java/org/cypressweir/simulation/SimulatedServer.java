package org.cypressweir.simulation;

import java.util.ArrayDeque;
import org.cypressweir.loadbalancing.LoadBalancer.LoadReport;
import org.cypressweir.loadbalancing.LoadBalancer.Result;

/**
 * A server: some cores, a queue in the order of arrival, work on a core and then a wait on others without
 * one. It turns away what finds its queue full, and drops what waits and was given up.
 */
final class SimulatedServer {

    /** Requests that may wait for each core. */
    private static final int QUEUE = 4;

    private static final long REPORT_EVERY = 200_000;

    /** One sending of a request, as the server sees it. */
    interface Job {
        long workMicros();

        long waitMicros();

        boolean abandoned();

        /** It begins to run. */
        void runs();

        void ends(Result result, LoadReport report);
    }

    final long id;
    final int cores;
    private final double speed;
    private final EventTimeline time;
    private final ArrayDeque<Job> queue = new ArrayDeque<>();
    private double slow = 1;
    private int busy;
    private double busyMicros;
    private long busySince;
    private long reportedAt;
    private double use;

    SimulatedServer(long id, int cores, double speed, EventTimeline time) {
        this.id = id;
        this.cores = cores;
        this.speed = speed;
        this.time = time;
        reportedAt = time.now();
        busySince = time.now();
    }

    /** Core seconds of work a second, at the yardstick's speed. */
    double capacity() {
        return cores * speed;
    }

    /** From now on work takes so many times as long. */
    void slow(double times) {
        slow = times;
    }

    void arrives(Job job) {
        if (job.abandoned()) {
            return;
        }
        if (busy < cores) {
            run(job);
        } else if (queue.size() < QUEUE * cores) {
            queue.add(job);
        } else {
            job.ends(Result.FULL, report());
        }
    }

    private void run(Job job) {
        count();
        busy++;
        job.runs();
        time.at(time.now() + (long) (job.workMicros() * slow / speed), () -> {
            count();
            busy--;
            time.at(time.now() + (long) (job.waitMicros() * slow), () -> job.ends(Result.SERVED, report()));
            for (Job next; busy < cores && (next = queue.poll()) != null; ) {
                if (!next.abandoned()) {
                    run(next);
                }
            }
        });
    }

    private void count() {
        busyMicros += busy * (double) (time.now() - busySince);
        busySince = time.now();
    }

    private LoadReport report() {
        count();
        long past = time.now() - reportedAt;
        if (past >= REPORT_EVERY) {
            use = busyMicros / (past * (double) cores);
            busyMicros = 0;
            reportedAt = time.now();
        }
        return new LoadReport(Double.NaN, Double.NaN, use, Double.NaN, Double.NaN, Double.NaN);
    }
}
