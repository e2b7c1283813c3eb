package org.cypressweir.dataplane.quota;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * A fleet of proxies and controllers in simulated time that admits the requests of one tenant. Proxies can be
 * partitioned from the controllers or restarted, controllers can be restarted; admitted requests are counted.
 */
final class QuotaFleet {

    static final String TENANT = "acme";
    static final long SECOND = 1_000_000;
    private static final long STEP_MICROS = 1_000;
    private static final long TICK_MICROS = 50_000;
    private static final long SURPLUS_MICROS = 200_000;
    /** One-way delay of a message. */
    private static final long DELAY_MICROS = 600;
    /** A proxy considers its connections lost after this time without messages. */
    private static final long DISCONNECTED_AFTER_MICROS = 1_200_000;

    private static final double SLACK = 20;
    private static final long NEVER = Long.MAX_VALUE;

    /** A message in transit. */
    private record Event(long at, long number, Runnable task) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return at == other.at ? Long.compare(number, other.number) : Long.compare(at, other.at);
        }
    }

    private final class Controller {
        private final String name;
        private TokenPool pool;
        private long runsFrom;

        private Controller(String name) {
            this.name = name;
            start();
        }

        private void start() {
            pool = new TokenPool(SLACK);
            updateLimit();
        }

        private void updateLimit() {
            pool.update(Map.of(TENANT, limit), controllerCount);
        }

        private boolean isRunning() {
            return now >= runsFrom;
        }
    }

    private final class Proxy implements TokenRequester {
        private final int index;
        private QuotaGate gate;
        private long partitionedAt = NEVER;
        private long runsFrom;

        private Proxy(int index) {
            this.index = index;
            start();
        }

        private void start() {
            gate = new QuotaGate(this, random.split());
            gate.setProxyCount(now, proxyCount);
            gate.updateLimits(now, Map.of(TENANT, limit));
        }

        private boolean isRunning() {
            return now >= runsFrom;
        }

        private boolean isPartitioned() {
            return partitionedAt != NEVER;
        }

        @Override
        public List<String> controllers() {
            boolean isDisconnected = isPartitioned() && now - partitionedAt > DISCONNECTED_AFTER_MICROS;
            return controllers.stream()
                    .filter(controller -> !isDisconnected && controller.isRunning())
                    .map(controller -> controller.name)
                    .toList();
        }

        @Override
        public void requestTokens(String name, String tenant, int count) {
            QuotaGate asking = gate;
            Controller controller = controller(name);
            TokenPool asked = controller.pool;
            send(this, () -> {
                if (controller.pool == asked) {
                    int taken = asked.take(tenant, count);
                    send(this, () -> {
                        if (gate == asking) {
                            asking.tokensReceived(now, name, tenant, taken);
                        }
                    });
                }
            });
        }

        @Override
        public void giveTokens(String name, Map<String, Integer> tokensByTenant) {
            Controller controller = controller(name);
            TokenPool given = controller.pool;
            send(this, () -> {
                if (controller.pool == given) {
                    given.add(tokensByTenant);
                }
            });
        }
    }

    private final SplittableRandom random;
    private final List<Proxy> proxies = new ArrayList<>();
    private final List<Controller> controllers = new ArrayList<>();
    private final List<Long> admittedTimes = new ArrayList<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final int proxyCount;
    private final int controllerCount;
    private TenantLimit limit;
    private long now;
    private long lastEvent;
    /** Share of the demand that each proxy gets, in thousandths; null for equal shares. */
    private int[] demandThousandths;
    /** Requests per second of the tenant over the whole fleet. */
    double demandPerSecond;

    int requested;
    int admitted;

    QuotaFleet(long seed, int proxyCount, int controllerCount, double ratePerSecond, double burst) {
        random = new SplittableRandom(seed);
        this.proxyCount = proxyCount;
        this.controllerCount = controllerCount;
        limit = new TenantLimit(ratePerSecond, burst);
        for (int i = 0; i < controllerCount; i++) {
            controllers.add(new Controller("controller-" + i));
        }
        for (int i = 0; i < proxyCount; i++) {
            proxies.add(new Proxy(i));
        }
    }

    private Controller controller(String name) {
        return controllers.stream()
                .filter(controller -> controller.name.equals(name))
                .findFirst()
                .orElseThrow();
    }

    /** Delivers a message in either direction; it is lost if the proxy is partitioned by then. */
    private void send(Proxy proxy, Runnable delivery) {
        events.add(new Event(now + DELAY_MICROS, ++lastEvent, () -> {
            if (!proxy.isPartitioned()) {
                delivery.run();
            }
        }));
    }

    long now() {
        return now;
    }

    int size() {
        return proxyCount;
    }

    /** Cuts proxies off from all controllers until they are joined again. */
    void partition(int... indexes) {
        for (int index : indexes) {
            proxies.get(index).partitionedAt = now;
        }
    }

    void join(int... indexes) {
        for (int index : indexes) {
            proxies.get(index).partitionedAt = NEVER;
        }
    }

    /** Kills a proxy's process; the next one runs after the delay. */
    void restartProxy(int index, long delayMicros) {
        Proxy proxy = proxies.get(index);
        proxy.start();
        proxy.runsFrom = now + delayMicros;
    }

    void restartController(int index, long delayMicros) {
        controllers.get(index).start();
        controllers.get(index).runsFrom = now + delayMicros;
    }

    /** Sets a new limit at all proxies and controllers at once. */
    void setLimit(double ratePerSecond, double burst) {
        limit = new TenantLimit(ratePerSecond, burst);
        controllers.forEach(Controller::updateLimit);
        proxies.forEach(proxy -> proxy.gate.updateLimits(now, Map.of(TENANT, limit)));
    }

    /** Sets the share of the demand that each proxy gets, in thousandths. */
    void distribute(int... thousandths) {
        demandThousandths = thousandths;
    }

    /** Resets the counts of requests and admissions; the times of admissions are kept. */
    void resetCounts() {
        requested = 0;
        admitted = 0;
    }

    /** Runs until the given time, with requests at random moments; those at proxies that are down are ignored. */
    void runUntil(long until) {
        for (; now < until; now += STEP_MICROS) {
            while (!events.isEmpty() && events.peek().at <= now) {
                events.remove().task.run();
            }
            for (Proxy proxy : proxies) {
                runPeriodicTasks(proxy);
            }
            double expected = demandPerSecond * STEP_MICROS / SECOND;
            for (; random.nextDouble() < expected; expected--) {
                request(proxies.get(randomProxy()));
            }
        }
    }

    private int randomProxy() {
        if (demandThousandths == null) {
            return random.nextInt(proxyCount);
        }
        int proxy = 0;
        for (int left = random.nextInt(1000); left >= demandThousandths[proxy]; proxy++) {
            left -= demandThousandths[proxy];
        }
        return proxy;
    }

    private void runPeriodicTasks(Proxy proxy) {
        if (!proxy.isRunning()) {
            return;
        }
        if (now % TICK_MICROS == proxy.index * 7_000L % TICK_MICROS) {
            proxy.gate.tick(now);
        }
        if (now % SURPLUS_MICROS == proxy.index * 17_000L % SURPLUS_MICROS) {
            proxy.gate.giveSurplus(now);
        }
    }

    private void request(Proxy proxy) {
        if (!proxy.isRunning()) {
            return;
        }
        requested++;
        proxy.gate.admit(now, TENANT, limit, this::countAdmitted, retryAfterMicros -> {});
    }

    private void countAdmitted() {
        admitted++;
        admittedTimes.add(now);
    }

    /** The highest number of requests admitted within any time span of this length. */
    int mostAdmittedWithin(long lengthMicros) {
        int most = 0;
        for (int first = 0, last = 0; last < admittedTimes.size(); last++) {
            while (admittedTimes.get(last) - admittedTimes.get(first) >= lengthMicros) {
                first++;
            }
            most = Math.max(most, last - first + 1);
        }
        return most;
    }
}
