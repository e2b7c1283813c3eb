package org.cypressweir.testkit;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.cypressweir.common.transport.JsonCodec;
import org.cypressweir.controlplane.configuration.ConfigurationChange;
import org.cypressweir.controlplane.consensus.ConsensusOptions;
import org.cypressweir.controlplane.consensus.ConsensusReplica;
import org.cypressweir.controlplane.consensus.Effect;
import org.cypressweir.controlplane.consensus.PersistentState;
import org.cypressweir.controlplane.consensus.ProposalResult;
import org.cypressweir.controlplane.consensus.ReplicaKey;
import org.cypressweir.controlplane.consensus.StorageUpdate;

/**
 * Replicas with disks and a network in simulated time. Delays, losses and the outcomes of interrupted writes are
 * random, from one seed. Not thread-safe.
 */
public final class SimulatedReplicas {

    private static final long TICK = 50_000;

    /** A replica's process and disk. */
    public final class Replica {
        final String address;
        ConsensusReplica consensus;
        PersistentState disk;
        long incarnation;
        boolean initialStart;
        private Effect.Write writing;
        /** The time before which no write completes. */
        long stalledUntil;

        boolean diskFull;

        Replica(String address) {
            this.address = address;
        }

        public ConsensusReplica consensus() {
            return consensus;
        }

        public String address() {
            return address;
        }

        public PersistentState disk() {
            return disk;
        }

        public boolean isRunning() {
            return consensus != null;
        }
    }

    private record Event(long at, long number, Runnable work) {}

    private final SplittableRandom random;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>((a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.number, b.number));
    private final Map<String, Replica> replicas = new TreeMap<>();
    /** The seed nodes of replicas that are started from now on. */
    public List<String> seeds;

    private final Set<List<String>> blocked = new HashSet<>();
    private final ConsensusChecks checks = new ConsensusChecks();
    private final Map<Long, ProposalResult> results = new LinkedHashMap<>();
    private final Set<String> rounds = new HashSet<>();
    private long now = 1_000_000_000;
    private long number;
    private long proposalIds;
    private long incarnations;
    /** How far the clocks of replicas that are started from now on are behind, in microseconds. */
    public long clockBehindMicros;
    /** Called with each message that is sent, whether it arrives or not. */
    public Consumer<Map<String, Object>> onSent = message -> {};
    /** The address to which sent bytes are counted in {@link #countedBytes}. */
    public String countedAddress;

    public long countedBytes;
    public double lossProbability;
    public double duplicateProbability;
    public long maxDelayMicros = 2_000;
    public long maxWriteMicros = 4_000;

    public SimulatedReplicas(long seed, int count) {
        random = new SplittableRandom(seed);
        List<String> all = new ArrayList<>();
        for (int i = 1; i <= count; i++) {
            all.add("10.0.0." + i + ":7");
        }
        seeds = List.copyOf(all);
        all.forEach(a -> start(a, true));
    }

    public SplittableRandom random() {
        return random;
    }

    public long now() {
        return now;
    }

    public ConsensusChecks checks() {
        return checks;
    }

    public Replica replica(int i) {
        return replicas.get("10.0.0." + i + ":7");
    }

    public List<Replica> runningReplicas() {
        return replicas.values().stream().filter(Replica::isRunning).toList();
    }

    /** How many proposal rounds have sent a prepare message. */
    public int rounds() {
        return rounds.size();
    }

    private void after(long micros, Runnable work) {
        events.add(new Event(now + micros, number++, work));
    }

    /** Starts a replica with the current content of its disk. */
    public Replica start(String address, boolean initialStart) {
        Replica replica = replicas.computeIfAbsent(address, Replica::new);
        replica.incarnation = ++incarnations - clockBehindMicros;
        replica.initialStart = initialStart;
        replica.consensus = new ConsensusReplica(
                ConsensusOptions.defaults(),
                address,
                seeds,
                initialStart,
                replica.disk,
                replica.incarnation,
                random.split(),
                now);
        checks.started(address);
        perform(replica, replica.consensus.start(now));
        long incarnation = replica.incarnation;
        after(1 + random.nextLong(TICK), () -> tick(replica, incarnation));
        return replica;
    }

    public Replica start(int i) {
        return start("10.0.0." + i + ":7", false);
    }

    /** Starts a replica with this state on its disk. */
    public Replica start(int i, PersistentState disk) {
        replica(i).disk = disk;
        return start(i);
    }

    /** Bootstraps a replica on an operator's request; returns the reason if that is rejected, or null. */
    public String bootstrap(Replica replica, Set<String> abandoned) {
        String why = replica.consensus.bootstrapObstacle(now, abandoned);
        if (why == null) {
            perform(replica, replica.consensus.bootstrap(now, 1_700_000_000_000L));
        }
        return why;
    }

    /** Crashes a replica. A write in progress may or may not be on its disk. */
    public void crash(Replica replica) {
        if (replica.writing != null && random.nextBoolean()) {
            replica.disk = replica.writing.update().appliedTo(replica.disk);
        }
        replica.writing = null;
        replica.consensus = null;
    }

    /** Crashes a replica; its disk is lost. */
    public void wipe(Replica replica) {
        crash(replica);
        replica.disk = null;
    }

    public void stallDisk(Replica replica, long micros) {
        replica.stalledUntil = now + micros;
    }

    /** The write in progress of a replica's disk, or null. */
    public StorageUpdate writing(Replica replica) {
        return replica.writing == null ? null : replica.writing.update();
    }

    public void setDiskFull(Replica replica, boolean full) {
        replica.diskFull = full;
    }

    public void block(String from, String to) {
        blocked.add(List.of(from, to));
    }

    public void heal() {
        blocked.clear();
        lossProbability = 0;
        duplicateProbability = 0;
    }

    private void tick(Replica replica, long incarnation) {
        if (replica.isRunning() && replica.incarnation == incarnation) {
            perform(replica, replica.consensus.tick(now));
            long age = replica.consensus.confirmedAge(now);
            if (age >= 0) {
                checks.confirmed(
                        replica.address,
                        now - age,
                        replica.consensus.committed().configuration());
            }
            after(TICK, () -> tick(replica, incarnation));
        }
    }

    private void perform(Replica replica, List<Effect> effects) {
        for (Effect effect : effects) {
            if (effect instanceof Effect.Send send) {
                send(replica, send);
            } else if (effect instanceof Effect.Write write) {
                if (replica.writing != null) {
                    throw new AssertionError("two writes at a time");
                }
                replica.writing = write;
                long incarnation = replica.incarnation;
                after(1 + random.nextLong(maxWriteMicros), () -> written(replica, incarnation));
            } else if (effect instanceof Effect.Answer answer) {
                if (results.put(answer.proposalId(), answer.result()) != null) {
                    throw new AssertionError("answered twice: " + answer);
                }
                checks.answered(answer.proposalId(), answer.result());
                checks.timePassed(now);
            } else if (effect instanceof Effect.Publish show) {
                checks.published(replica.address, show);
            }
        }
    }

    private void written(Replica replica, long incarnation) {
        if (!replica.isRunning() || replica.incarnation != incarnation) {
            return;
        }
        if (now < replica.stalledUntil) {
            after(replica.stalledUntil - now, () -> written(replica, incarnation));
            return;
        }
        Effect.Write write = replica.writing;
        replica.writing = null;
        boolean ok = !replica.diskFull;
        if (ok || random.nextInt(4) == 0) {
            replica.disk = write.update().appliedTo(replica.disk);
        }
        perform(replica, replica.consensus.written(now, write.number(), ok));
    }

    private void send(Replica from, Effect.Send send) {
        Map<String, Object> message = JsonCopy.map(send.message());
        if (!String.valueOf(message.get("t")).startsWith("copies.")) {
            throw new AssertionError(message.toString());
        }
        onSent.accept(send.message());
        if (message.get("t").equals("copies.prepare")) {
            rounds.add(String.valueOf(message.get("b")));
        }
        String member = from.consensus.replicaKey();
        String address = ReplicaKey.address(send.to());
        if (address.equals(countedAddress)) {
            countedBytes += JsonCodec.bytes(send.message()).length;
        }
        int times = random.nextDouble() < lossProbability ? 0 : random.nextDouble() < duplicateProbability ? 2 : 1;
        for (int i = 0; i < times; i++) {
            after(1 + random.nextLong(maxDelayMicros), () -> {
                Replica to = replicas.get(address);
                if (to != null && to.isRunning() && !blocked.contains(List.of(from.address, address))) {
                    perform(to, to.consensus.received(now, member, message));
                }
            });
        }
    }

    /** Submits a change to a replica; returns its proposal id, or -1 if the replica is down. */
    public long submit(Replica replica, String body, long timeoutMicros) {
        if (!replica.isRunning()) {
            return -1;
        }
        ConfigurationChange change =
                ConfigurationChange.read(body.getBytes(StandardCharsets.UTF_8)).get();
        long proposalId = ++proposalIds;
        checks.submitted(proposalId, change);
        perform(replica, replica.consensus.submit(now, proposalId, change, now + timeoutMicros));
        return proposalId;
    }

    public long read(Replica replica, long timeoutMicros) {
        if (!replica.isRunning()) {
            return -1;
        }
        long proposalId = ++proposalIds;
        checks.submitted(proposalId, null);
        perform(replica, replica.consensus.read(now, proposalId, now + timeoutMicros));
        return proposalId;
    }

    public ProposalResult result(long proposalId) {
        return results.get(proposalId);
    }

    public void run(long micros) {
        long until = now + micros;
        while (!events.isEmpty() && events.peek().at <= until) {
            Event event = events.poll();
            now = event.at;
            event.work.run();
        }
        now = until;
    }

    /** Runs until a proposal is answered, for at most ten seconds of simulated time. */
    public ProposalResult await(long proposalId) {
        for (int i = 0; i < 10_000 && !results.containsKey(proposalId); i++) {
            run(1_000);
        }
        return results.get(proposalId);
    }
}
