package org.cypressweir.testkit;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.IntStream;

/**
 * Harbours and two pilots as processes, operators that send changes and read, clients whose calls may not be
 * repeated, and drawn faults: a process killed, stopped for a while, its folder emptied beneath it or after
 * its end, all killed at once, and in between cuts of its lines, one way or both, with another loss at the
 * join. Faults are paced by the calls that are answered, and a disk is lost only while all harbours count.
 */
public final class ControllerFaultScenario implements AutoCloseable {

    private static final int OPERATORS = 4;
    private static final int CALL_MILLIS = 2_500;
    private static final int MOST_PACE = 24;
    private static final int CLIENTS = 2;
    private static final List<String> PILOTS = List.of("p1", "p2");
    private static final String SETUP = "{'upsert':{'serviceTable':{'orders':{'healthPath':'/health',"
            + "'maxConnections':32,'configVersion':'r1'}},'routeTable':{'first':" + route("day.mesh") + "}}}";
    /** A cut lasts so long at most, in milliseconds. */
    private static final int MOST_CUT = Integer.getInteger("harbour.cut", 2_000);
    /** Whether orders are sent again long after they were acknowledged. */
    private static final boolean REPEATS = !"false".equals(System.getProperty("harbour.repeats"));

    private final SplittableRandom random;
    private final MeshFixture rig;
    private final List<String> harbours;
    private final OperatorChecks checks = new OperatorChecks();
    private final AtomicInteger ended = new AtomicInteger();
    private final AtomicLong versions = new AtomicLong();
    private final List<Thread> operators = new ArrayList<>();
    private final List<String> faults = new ArrayList<>();
    private final Queue<String> ids = new ConcurrentLinkedQueue<>();
    private final AtomicInteger served = new AtomicInteger();
    private volatile String wrongCall;
    private volatile String lastActed = "h1";
    private volatile boolean over;

    public ControllerFaultScenario(Path folder, int count, long seed) throws IOException, InterruptedException {
        random = new SplittableRandom(seed);
        harbours = IntStream.rangeClosed(1, count).mapToObj(i -> "h" + i).toList();
        rig = MeshFixture.withCuts(
                folder, count, PILOTS.stream().map(p -> "orders").toList());
        try {
            rig.order("h1", SETUP);
            rig.order("h1", OperatorChecks.order("t0", "k00", 1));
            rig.begun();
            for (String pilot : PILOTS) {
                rig.ready(pilot);
            }
            rig.patience(CALL_MILLIS);
        } catch (InterruptedException | AssertionError e) {
            rig.close();
            throw e;
        }
    }

    private static String route(String host) {
        return "{'hostname':'" + host + "','pathPrefix':'/','routeType':'non_idempotent','timeout':'2s',"
                + "'targetLatency':'1s','priority':1,'service':'orders','maxAttempts':3,"
                + "'publicAccess':true,'configVersion':'r1'}";
    }

    /** What is wrong after so many faults, or null. Every other one is a cut. */
    public String run(int most) throws IOException, InterruptedException {
        for (int i = 0; i < OPERATORS + CLIENTS; i++) {
            SplittableRandom own = random.split();
            Thread thread = new Thread(i < OPERATORS ? () -> operate(own) : () -> call(own), "caller-" + i);
            thread.setDaemon(true);
            operators.add(thread);
            thread.start();
        }
        for (int i = 0; i < most && breach() == null; i++) {
            pace();
            String harbour = harbours.get(random.nextInt(harbours.size()));
            if (i % 2 == 0) {
                fault(harbour);
            } else {
                cuts(harbour);
            }
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
                RawHttpClient.Message answer = rig.read(harbour);
                if (answer.status() == 200) {
                    checks.read(least, answer.body());
                }
                return answer.status() == 200;
            });
        }
        rig.order(harbours.get(0), "{'upsert':{'routeTable':{'last':" + route("last.mesh") + "}}}");
        for (String pilot : PILOTS) {
            rig.await(
                    pilot + " has the last change",
                    () -> rig.request(pilot, "last.mesh", "/", null).status() == 200);
        }
        for (String id : ids) {
            ranOnce(id);
        }
        return breach();
    }

    private String breach() {
        return wrongCall == null ? checks.breach() : wrongCall;
    }

    private int ranOnce(String id) {
        int runs = PILOTS.stream().mapToInt(pilot -> rig.ship(pilot).runs(id)).sum();
        if (runs > 1) {
            wrongCall = "the call " + id + " has run " + runs + " times";
        }
        return runs;
    }

    /** A client: what it asks for may not be repeated, and its answer is its own. */
    private void call(SplittableRandom own) {
        while (!over) {
            String id = rig.id();
            ids.add(id);
            try {
                RawHttpClient.Message answer =
                        rig.request(PILOTS.get(own.nextInt(PILOTS.size())), "day.mesh", "/", null, id);
                if (answer.status() == 200) {
                    served.incrementAndGet();
                    if (ranOnce(id) != 1 || !answer.body().equals("ran of " + id)) {
                        wrongCall = id + " is answered: " + answer;
                    }
                }
            } catch (IOException e) {
                // No answer: it may have run, once.
            }
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(5));
        }
    }

    /** Cuts, one or two in a row, and at times another loss at the join. */
    private void cuts(String harbour) throws IOException, InterruptedException {
        ConnectionRelay relay = rig.relay();
        String one = harbour;
        for (int i = random.nextInt(2); i >= 0; i--) {
            List<String> everybody = new ArrayList<>(harbours);
            int whom = random.nextInt(6);
            if (whom == 0) {
                one = PILOTS.get(random.nextInt(PILOTS.size()));
            } else if (whom < 3) {
                one = lastActed;
            }
            if (random.nextBoolean()) {
                everybody.addAll(PILOTS);
            }
            ConnectionRelay.Way way = ConnectionRelay.Way.values()[1 + random.nextInt(4)];
            int direction = random.nextInt(3);
            int millis = random.nextInt(4) > 0 ? 0 : MOST_CUT / (1 + 3 * random.nextInt(2));
            faults.add(
                    "cut " + one + " " + way + " " + "<>=".charAt(direction) + " " + everybody.size() + " " + millis);
            relay.cut(
                    one,
                    everybody,
                    direction == 0 ? ConnectionRelay.Way.PASS : way,
                    direction == 1 ? ConnectionRelay.Way.PASS : way);
            long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
            do {
                pace();
            } while (System.nanoTime() < until);
            if (random.nextInt(4) == 0) {
                faults.add("killed");
                rig.kill(one);
                pace();
                rig.restart(one);
            }
            relay.join();
        }
        if (random.nextInt(3) == 0) {
            String cut = one;
            List<String> others = harbours.stream().filter(h -> !h.equals(cut)).toList();
            fault(others.get(random.nextInt(others.size())));
        }
    }

    /** Waits until some more calls have been answered, each of them soon after the one before. */
    private void pace() throws InterruptedException {
        int until = ended.get() + 1 + random.nextInt(MOST_PACE);
        for (int had = ended.get(); had < until; had = ended.get()) {
            int before = had;
            rig.await("a call is answered", () -> ended.get() > before);
        }
    }

    private void whole() throws InterruptedException {
        for (String harbour : harbours) {
            rig.await(harbour + " counts", () -> {
                return rig.state(harbour).body().contains("\"sick\":false")
                        && rig.firstAnswer(harbour).status() == 200;
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
                    RawHttpClient.Message answer = rig.read(harbour);
                    if (answer.status() == 200) {
                        checks.read(least, answer.body());
                    }
                } else if (REPEATS && own.nextInt(4) == 0) {
                    again(harbour, own);
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
        int status = rig.modify(harbour, order).status();
        checks.modified(order, status);
        if (status == 200) {
            lastActed = harbour;
        }
    }

    private void again(String harbour, SplittableRandom own) throws IOException {
        String order = checks.acknowledged(own.nextInt());
        if (order != null) {
            checks.again(order, rig.modify(harbour, order).status());
        }
    }

    @Override
    public String toString() {
        return checks + ", " + served + " of " + ids.size() + " calls served, " + rig.relay().resets
                + " resets, faults " + faults;
    }

    @Override
    public void close() throws IOException {
        over = true;
        rig.close();
    }
}
