package larkbank.testkit;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.IntStream;

/**
 * Harbours as processes, operators that send changes and read, and drawn faults: a process killed, stopped
 * for a while, its folder emptied beneath it or after its end, all killed at once. Faults are paced by the
 * calls that are answered, and a disk is lost only while all harbours count.
 */
public final class HarbourDay implements AutoCloseable {

    private static final int OPERATORS = 4;
    private static final int CALL_MILLIS = 2_500;
    private static final int MOST_PACE = 24;

    private final SplittableRandom random;
    private final MeshRig rig;
    private final List<String> harbours;
    private final OperatorChecks checks = new OperatorChecks();
    private final AtomicInteger ended = new AtomicInteger();
    private final AtomicLong versions = new AtomicLong();
    private final List<Thread> operators = new ArrayList<>();
    private final List<String> faults = new ArrayList<>();
    private volatile boolean over;

    public HarbourDay(Path folder, int count, long seed) throws IOException, InterruptedException {
        random = new SplittableRandom(seed);
        harbours = IntStream.rangeClosed(1, count).mapToObj(i -> "h" + i).toList();
        rig = new MeshRig(folder, count, List.of());
        try {
            rig.order("h1", OperatorChecks.order("t0", "k00", 1));
            rig.begun();
            rig.patience(CALL_MILLIS);
        } catch (InterruptedException | AssertionError e) {
            rig.close();
            throw e;
        }
    }

    /** What is wrong after so many faults, or null. */
    public String run(int most) throws IOException, InterruptedException {
        for (int i = 0; i < OPERATORS; i++) {
            SplittableRandom own = random.split();
            Thread operator = new Thread(() -> operate(own), "operator-" + i);
            operator.setDaemon(true);
            operators.add(operator);
            operator.start();
        }
        for (int i = 0; i < most && checks.breach() == null; i++) {
            pace();
            fault(harbours.get(random.nextInt(harbours.size())));
        }
        pace();
        over = true;
        for (Thread operator : operators) {
            operator.join();
        }
        whole();
        for (String harbour : harbours) {
            Map<String, Long> least = checks.floor();
            rig.await(harbour + " reads", () -> {
                Http.Message answer = rig.read(harbour);
                if (answer.status() == 200) {
                    checks.read(least, answer.body());
                }
                return answer.status() == 200;
            });
        }
        return checks.breach();
    }

    /** Waits until some more calls have been answered. */
    private void pace() throws InterruptedException {
        int until = ended.get() + 1 + random.nextInt(MOST_PACE);
        rig.await("calls are answered", () -> ended.get() >= until);
    }

    private void whole() throws InterruptedException {
        for (String harbour : harbours) {
            rig.await(harbour + " counts", () -> {
                String state = rig.state(harbour).body();
                return state.contains("\"forgetful\":false") && state.contains("\"sick\":false");
            });
        }
    }

    private void fault(String harbour) throws IOException, InterruptedException {
        int which = random.nextInt(6);
        faults.add(which + harbour);
        switch (which) {
            case 0 -> {
                rig.kill(harbour);
                pace();
                rig.restart(harbour);
            }
            case 1 -> {
                rig.signal(harbour, "-STOP");
                pace();
                rig.signal(harbour, "-CONT");
            }
            case 2 -> {
                whole();
                rig.empty(harbour);
                pace();
                rig.kill(harbour);
                rig.empty(harbour);
                rig.restart(harbour);
                whole();
            }
            case 3 -> {
                whole();
                rig.kill(harbour);
                rig.empty(harbour);
                pace();
                rig.restart(harbour);
                whole();
            }
            case 4 -> {
                for (String each : harbours) {
                    rig.kill(each);
                }
                for (String each : harbours) {
                    rig.restart(each);
                }
            }
            default -> {
                whole();
                for (String each : harbours) {
                    rig.kill(each);
                }
                rig.empty(harbour);
                for (String each : harbours) {
                    rig.restart(each);
                }
                whole();
            }
        }
    }

    /** Sends one call after the other. Two operators often take one version for two contents. */
    private void operate(SplittableRandom own) {
        while (!over) {
            String harbour = harbours.get(own.nextInt(harbours.size()));
            try {
                if (own.nextInt(3) == 0) {
                    Map<String, Long> least = checks.floor();
                    Http.Message answer = rig.read(harbour);
                    if (answer.status() == 200) {
                        checks.read(least, answer.body());
                    }
                } else {
                    modify(harbour, own);
                }
                ended.incrementAndGet();
            } catch (IOException e) {
                // Nothing was told; another harbour may be there. Not at once, or it takes the processor.
                LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(2));
            }
        }
    }

    private void modify(String harbour, SplittableRandom own) throws IOException {
        long version = own.nextInt(3) == 0 ? Math.max(1, versions.get()) : versions.incrementAndGet();
        int tenant = own.nextInt(3);
        String order = OperatorChecks.order("t" + tenant, "k" + tenant + own.nextInt(1_000), version);
        checks.modified(order, rig.modify(harbour, order).status());
    }

    @Override
    public String toString() {
        return checks + ", faults " + faults;
    }

    @Override
    public void close() throws IOException {
        over = true;
        rig.close();
    }
}
