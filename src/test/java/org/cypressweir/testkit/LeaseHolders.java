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
    private final LeaseHistory acts = new LeaseHistory();
    private final List<Thread> threads = new ArrayList<>();
    private String last = "";
    private long lastAt;
    private volatile boolean over;

    public LeaseHolders(SidecarProcesses processes, String lease) {
        this.processes = processes;
        this.lease = lease;
        for (int i = 0; i < processes.size(); i++) {
            int who = i;
            Thread thread = new Thread(
                    () -> {
                        while (!over) {
                            ask(who);
                        }
                    },
                    "actor " + i);
            thread.setDaemon(true);
            thread.start();
            threads.add(thread);
        }
    }

    private void ask(int who) {
        long asked = System.nanoTime();
        String[] said = processes.ask(who, "LEASE " + lease).strip().split(" ");
        if (said.length == 3 && said[0].equals("YES")) {
            long until = asked + Long.parseLong(said[2]) * 1_000_000;
            synchronized (this) {
                long now = System.nanoTime();
                if (now < until) {
                    // Two incarnations of one name are two holders: the token tells them apart.
                    acts.act(lease, SidecarProcesses.name(who), now, Long.parseLong(said[1]));
                    last = SidecarProcesses.name(who);
                    lastAt = now;
                }
            }
        }
        try {
            TimeUnit.MILLISECONDS.sleep(5);
        } catch (InterruptedException e) {
            over = true;
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
        return acts.count();
    }

    public synchronized List<String> wrong() {
        return List.copyOf(acts.wrong());
    }

    @Override
    public void close() {
        over = true;
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
