package org.cypressweir.testkit;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A client beside each sidecar process that asks at the admin socket whether the process holds a lease, and acts as
 * long as the response allows. The acts of all make one history by the machine's monotonic clock.
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
                    // Two incarnations of one name are two holders: the token tells them apart.
                    history.act(lease, SidecarProcesses.name(index), now, Long.parseLong(response[1]));
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

    /** Who has acted last within the last half second; empty for nobody. */
    public synchronized String holder() {
        return System.nanoTime() - lastAt < 500_000_000 ? last : "";
    }

    /** Whether somebody else than this one has acted in the last 100 milliseconds. */
    public synchronized boolean actsBesides(String name) {
        return System.nanoTime() - lastAt < 100_000_000 && !last.equals(name);
    }

    public synchronized long count() {
        return history.count();
    }

    public synchronized List<String> wrong() {
        return List.copyOf(history.wrong());
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
