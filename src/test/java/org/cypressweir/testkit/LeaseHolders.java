package org.cypressweir.testkit;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A client for each sidecar process that queries the admin socket whether the process holds a lease, and acts for as
 * long as the response allows. The acts of all clients form one history, ordered by the machine's monotonic clock.
 */
public final class LeaseHolders implements AutoCloseable {

    private final SidecarProcesses processes;
    private final String lease;
    private final LeaseHistory history = new LeaseHistory();
    private final List<Thread> threads = new ArrayList<>();
    private String last = "";
    private long lastAt;
    private volatile boolean closed;

    public LeaseHolders(SidecarProcesses processes, String lease) {
        this.processes = processes;
        this.lease = lease;
        for (int i = 0; i < processes.size(); i++) {
            int index = i;
            Thread thread = new Thread(
                    () -> {
                        while (!closed) {
                            ask(index);
                        }
                    },
                    "actor " + i);
            thread.setDaemon(true);
            thread.start();
            threads.add(thread);
        }
    }

    private void ask(int index) {
        long asked = System.nanoTime();
        String[] response = processes.ask(index, "LEASE " + lease).strip().split(" ");
        if (response.length == 3 && response[0].equals("YES")) {
            long until = asked + Long.parseLong(response[2]) * 1_000_000;
            synchronized (this) {
                long now = System.nanoTime();
                if (now < until) {
                    // Two incarnations of a process are two holders with the same name: the token tells them apart.
                    history.recordAct(lease, SidecarProcesses.name(index), now, Long.parseLong(response[1]));
                    last = SidecarProcesses.name(index);
                    lastAt = now;
                }
            }
        }
        try {
            TimeUnit.MILLISECONDS.sleep(5);
        } catch (InterruptedException e) {
            closed = true;
        }
    }

    /** The process that acted last, if that was within the last 500 ms; otherwise empty. */
    public synchronized String holder() {
        return System.nanoTime() - lastAt < 500_000_000 ? last : "";
    }

    /** Whether the last act was another process's and within the last 100 ms. */
    public synchronized boolean othersAct(String name) {
        return System.nanoTime() - lastAt < 100_000_000 && !last.equals(name);
    }

    public synchronized long count() {
        return history.count();
    }

    public synchronized List<String> violations() {
        return List.copyOf(history.violations());
    }

    @Override
    public void close() {
        closed = true;
        threads.forEach(Thread::interrupt);
        for (Thread thread : threads) {
            try {
                thread.join();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
