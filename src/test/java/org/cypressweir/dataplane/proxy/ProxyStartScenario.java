package org.cypressweir.dataplane.proxy;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.cypressweir.controlplane.consensus.ReplicatedState;
import org.cypressweir.testkit.SimulatedReplicas;
import org.cypressweir.testkit.SimulatedReplicas.Replica;

/**
 * Starts a proxy during random partitions, in simulated time: it receives versions of the configuration and asks
 * controllers to confirm them, over connections that delay messages. If it starts with a confirmed configuration, this
 * must contain all changes that were acknowledged before.
 */
public final class ProxyStartScenario {

    private static final long STEP_MICROS = 10_000;
    private static final long CONFIRMATION_TIMEOUT_MICROS = 3_000_000;
    private static final long MESSAGE_MARGIN_MICROS = 600_000;
    private static final int ALL_PARTITIONED = 4;

    private record DelayedMessage(long at, Runnable delivery) {}

    private final SplittableRandom random;
    private final SimulatedReplicas cluster;
    private final ReadinessGate gate = new ReadinessGate();
    private final List<DelayedMessage> messages = new ArrayList<>();
    private final List<Integer> reachable = new ArrayList<>();
    private final long maxDelayMicros;
    private ReplicatedState ownState;
    private long version;

    private ProxyStartScenario(long seed) {
        random = new SplittableRandom(seed);
        cluster = new SimulatedReplicas(seed, 3);
        maxDelayMicros = random.nextBoolean() ? random.nextLong(2_000_000) : 0;
    }

    /** Runs the given number of scenarios; returns the first violation, or null. */
    public static String firstViolation(int scenarios) {
        int confirmed = 0;
        for (long seed = 0; seed < scenarios; seed++) {
            ProxyStartScenario scenario = new ProxyStartScenario(seed);
            String violation = scenario.run();
            if (violation != null) {
                return "seed " + seed + ": " + violation;
            }
            confirmed += scenario.gate.isConfirmed() ? 1 : 0;
        }
        return confirmed * 4 > scenarios && confirmed < scenarios
                ? null
                : confirmed + " of " + scenarios + " start with a confirmed configuration";
    }

    private void submitChange() {
        Replica at = cluster.replica(1 + random.nextInt(3));
        cluster.submit(
                at,
                "{\"upsert\":{\"tenantTable\":{\"t\":{\"apiKeys\":[\"k\"],\"configVersion\":\"r" + ++version + "\"}}}}",
                850_000);
    }

    /** Partitions one of the three controllers at random, or none; returns its number, or 0 for none. */
    private int partition() {
        int partitioned = random.nextInt(4);
        int directions = 1 + random.nextInt(3);
        for (int i = 1; i <= 3 && partitioned > 0; i++) {
            if (i != partitioned && (directions & 1) != 0) {
                cluster.block(
                        cluster.replica(partitioned).address(),
                        cluster.replica(i).address());
            }
            if (i != partitioned && (directions & 2) != 0) {
                cluster.block(
                        cluster.replica(i).address(),
                        cluster.replica(partitioned).address());
            }
        }
        return partitioned;
    }

    /** Partitions all controllers from one another, and restarts one. */
    private void partitionAll() {
        for (int i = 1; i <= 3; i++) {
            for (int j = 1; j <= 3; j++) {
                cluster.block(cluster.replica(i).address(), cluster.replica(j).address());
            }
        }
        int restarted = 1 + random.nextInt(3);
        cluster.crash(cluster.replica(restarted));
        cluster.start(restarted);
        cluster.run(3_000_000);
    }

    private void send(Runnable delivery) {
        messages.add(new DelayedMessage(cluster.now() + maxDelayMicros + random.nextLong(STEP_MICROS), delivery));
    }

    private void query(int controller, long queriedAt) {
        send(() -> {
            Replica replica = cluster.replica(controller);
            ReplicatedState committed = replica.consensus().committed();
            long age = replica.consensus().confirmedAge(cluster.now());
            send(() -> {
                // The configuration arrives with the answer, later, or not at all for now.
                if (random.nextInt(3) > 0
                        && (ownState == null || committed.number().compareTo(ownState.number()) > 0)) {
                    ownState = committed;
                }
                gate.confirmationReceived(cluster.now(), "h" + controller, queriedAt, committed.number(), age);
            });
        });
    }

    private String run() {
        cluster.run(1_000_000);
        submitChange();
        cluster.run(1_000_000);
        int partitioned = partition();
        for (int i = random.nextInt(20); i >= 0; i--) {
            submitChange();
            cluster.run(random.nextLong(400_000));
        }
        if (partitioned > 0 && random.nextInt(3) == 0) {
            partitioned = ALL_PARTITIONED;
            partitionAll();
        }
        for (int i = 1; i <= 3; i++) {
            if (random.nextBoolean()) {
                reachable.add(i);
            }
        }
        return startProxy(partitioned);
    }

    private String startProxy(int partitioned) {
        long startedAt = cluster.now();
        long configuredSince = -1;
        while (cluster.now() < startedAt + CONFIRMATION_TIMEOUT_MICROS + MESSAGE_MARGIN_MICROS) {
            if (random.nextInt(8) == 0) {
                submitChange();
            }
            cluster.run(STEP_MICROS);
            long now = cluster.now();
            deliverMessages(now);
            if (gate.isQueryDue(now)) {
                reachable.forEach(controller -> query(controller, now));
            }
            configuredSince =
                    configuredSince < 0 && ownState != null && ownState.number().round() > 0 ? now : configuredSince;
            if (ownState != null && gate.mayStart(now, ownState.number(), CONFIRMATION_TIMEOUT_MICROS)) {
                return checkStart(now, configuredSince, startedAt, partitioned);
            }
        }
        return ownState == null
                        || ownState.number().round() == 0
                        || now() < configuredSince + CONFIRMATION_TIMEOUT_MICROS
                ? null
                : "never starts";
    }

    private void deliverMessages(long now) {
        for (DelayedMessage message : List.copyOf(messages)) {
            if (message.at <= now) {
                messages.remove(message);
                message.delivery.run();
            }
        }
    }

    private long now() {
        return cluster.now();
    }

    private String checkStart(long now, long configuredSince, long startedAt, int partitioned) {
        if (gate.isConfirmed()) {
            cluster.checks()
                    .confirmed("the proxy", now - ReadinessGate.MAX_CONTACT_AGE_MICROS, ownState.configuration());
        } else if (now < configuredSince + CONFIRMATION_TIMEOUT_MICROS) {
            return "starts after " + (now - configuredSince) + " us with an unconfirmed configuration";
        } else if (maxDelayMicros == 0
                && partitioned != ALL_PARTITIONED
                && reachable.stream().anyMatch(controller -> controller != partitioned)) {
            return "waits although it reaches a controller that is in contact with a majority";
        }
        return cluster.checks().violation();
    }
}
