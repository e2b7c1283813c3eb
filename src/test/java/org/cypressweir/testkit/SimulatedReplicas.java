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

/** Harbours with disks and a network in made-up time, all drawn from one number. */
public final class SimulatedReplicas {

    private static final long TICK = 50_000;

    /** A harbour's process and disk. */
    public final class Harbour {
        final String address;
        ConsensusReplica copies;
        PersistentState disk;
        long life;
        boolean initial;
        private Effect.Write writing;
        /** Until when writes do not come back. */
        long stalledUntil;

        boolean full;

        Harbour(String address) {
            this.address = address;
        }

        public ConsensusReplica copies() {
            return copies;
        }

        public String address() {
            return address;
        }

        public PersistentState disk() {
            return disk;
        }

        public boolean up() {
            return copies != null;
        }
    }

    private record Event(long at, long number, Runnable work) {}

    private final SplittableRandom random;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>((a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.number, b.number));
    private final Map<String, Harbour> harbours = new TreeMap<>();
    /** What harbours that start from here on are told. */
    public List<String> seeds;

    private final Set<List<String>> cuts = new HashSet<>();
    private final ConsensusChecks checks = new ConsensusChecks();
    private final Map<Long, ProposalResult> verdicts = new LinkedHashMap<>();
    private final Set<String> rounds = new HashSet<>();
    private long now = 1_000_000_000;
    private long number;
    private long tickets;
    private long lives;
    /** How much the clocks of harbours that start from here on are behind. */
    public long behind;
    /** Hears of each message that is sent, whether it comes or not. */
    public Consumer<Map<String, Object>> sent = message -> {};
    /** Whom what is sent is weighed for, and how much it was. */
    public String weighed;

    public long bytes;
    public double loss;
    public double doubled;
    public long mostDelay = 2_000;
    public long mostWrite = 4_000;

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

    public Harbour harbour(int i) {
        return harbours.get("10.0.0." + i + ":7");
    }

    public List<Harbour> up() {
        return harbours.values().stream().filter(Harbour::up).toList();
    }

    /** How many rounds have been begun, as far as others were asked. */
    public int rounds() {
        return rounds.size();
    }

    private void after(long micros, Runnable work) {
        events.add(new Event(now + micros, number++, work));
    }

    /** A process starts, with what is on its disk. */
    public Harbour start(String address, boolean initial) {
        Harbour harbour = harbours.computeIfAbsent(address, Harbour::new);
        harbour.life = ++lives - behind;
        harbour.initial = initial;
        harbour.copies = new ConsensusReplica(
                ConsensusOptions.usual(), address, seeds, initial, harbour.disk, harbour.life, random.split(), now);
        checks.started(address);
        act(harbour, harbour.copies.start(now));
        long life = harbour.life;
        after(1 + random.nextLong(TICK), () -> tick(harbour, life));
        return harbour;
    }

    public Harbour start(int i) {
        return start("10.0.0." + i + ":7", false);
    }

    /** A process starts with a disk that it had before. */
    public Harbour start(int i, PersistentState disk) {
        harbour(i).disk = disk;
        return start(i);
    }

    /** An operator's word to begin with nothing; why it is refused, or null. */
    public String begin(Harbour harbour, Set<String> abandoned) {
        String why = harbour.copies.mayNotBegin(now, abandoned);
        if (why == null) {
            act(harbour, harbour.copies.beginAlone(now, 1_700_000_000_000L));
        }
        return why;
    }

    /** The process ends at once. A write that is not synced may be there or not. */
    public void crash(Harbour harbour) {
        if (harbour.writing != null && random.nextBoolean()) {
            harbour.disk = harbour.writing.change().on(harbour.disk);
        }
        harbour.writing = null;
        harbour.copies = null;
    }

    /** The process ends and the disk is lost. */
    public void wipe(Harbour harbour) {
        crash(harbour);
        harbour.disk = null;
    }

    public void stall(Harbour harbour, long micros) {
        harbour.stalledUntil = now + micros;
    }

    /** What the harbour's disk is about to write, or null. */
    public StorageUpdate writing(Harbour harbour) {
        return harbour.writing == null ? null : harbour.writing.change();
    }

    public void full(Harbour harbour, boolean full) {
        harbour.full = full;
    }

    public void cut(String from, String to) {
        cuts.add(List.of(from, to));
    }

    public void heal() {
        cuts.clear();
        loss = 0;
        doubled = 0;
    }

    private void tick(Harbour harbour, long life) {
        if (harbour.up() && harbour.life == life) {
            act(harbour, harbour.copies.tick(now));
            long age = harbour.copies.confirmedAge(now);
            if (age >= 0) {
                checks.confirmed(
                        harbour.address, now - age, harbour.copies.shown().manifest());
            }
            after(TICK, () -> tick(harbour, life));
        }
    }

    private void act(Harbour harbour, List<Effect> effects) {
        for (Effect effect : effects) {
            if (effect instanceof Effect.Send send) {
                send(harbour, send);
            } else if (effect instanceof Effect.Write write) {
                if (harbour.writing != null) {
                    throw new AssertionError("two writes at a time");
                }
                harbour.writing = write;
                long life = harbour.life;
                after(1 + random.nextLong(mostWrite), () -> written(harbour, life));
            } else if (effect instanceof Effect.Answer answer) {
                if (verdicts.put(answer.ticket(), answer.verdict()) != null) {
                    throw new AssertionError("answered twice: " + answer);
                }
                checks.answered(answer.ticket(), answer.verdict());
                checks.at(now);
            } else if (effect instanceof Effect.Show show) {
                checks.shown(harbour.address, show);
            }
        }
    }

    private void written(Harbour harbour, long life) {
        if (!harbour.up() || harbour.life != life) {
            return;
        }
        if (now < harbour.stalledUntil) {
            after(harbour.stalledUntil - now, () -> written(harbour, life));
            return;
        }
        Effect.Write write = harbour.writing;
        harbour.writing = null;
        boolean ok = !harbour.full;
        if (ok || random.nextInt(4) == 0) {
            harbour.disk = write.change().on(harbour.disk);
        }
        act(harbour, harbour.copies.written(now, write.number(), ok));
    }

    private void send(Harbour from, Effect.Send send) {
        Map<String, Object> message = JsonCopy.map(send.message());
        if (!String.valueOf(message.get("t")).startsWith("copies.")) {
            throw new AssertionError(message.toString());
        }
        sent.accept(send.message());
        if (message.get("t").equals("copies.prepare")) {
            rounds.add(String.valueOf(message.get("b")));
        }
        String member = from.copies.own();
        String address = ReplicaKey.address(send.to());
        if (address.equals(weighed)) {
            bytes += JsonCodec.bytes(send.message()).length;
        }
        int times = random.nextDouble() < loss ? 0 : random.nextDouble() < doubled ? 2 : 1;
        for (int i = 0; i < times; i++) {
            after(1 + random.nextLong(mostDelay), () -> {
                Harbour to = harbours.get(address);
                if (to != null && to.up() && !cuts.contains(List.of(from.address, address))) {
                    act(to, to.copies.received(now, member, message));
                }
            });
        }
    }

    /** An order goes to a harbour; the ticket, or -1 where nobody is there. */
    public long submit(Harbour harbour, String body, long patience) {
        if (!harbour.up()) {
            return -1;
        }
        ConfigurationChange order =
                ConfigurationChange.read(body.getBytes(StandardCharsets.UTF_8)).get();
        long ticket = ++tickets;
        checks.sent(ticket, order);
        act(harbour, harbour.copies.submit(now, ticket, order, now + patience));
        return ticket;
    }

    public long read(Harbour harbour, long patience) {
        if (!harbour.up()) {
            return -1;
        }
        long ticket = ++tickets;
        checks.sent(ticket, null);
        act(harbour, harbour.copies.read(now, ticket, now + patience));
        return ticket;
    }

    public ProposalResult verdict(long ticket) {
        return verdicts.get(ticket);
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

    /** Runs until that ticket is answered, for ten seconds at most. */
    public ProposalResult await(long ticket) {
        for (int i = 0; i < 10_000 && !verdicts.containsKey(ticket); i++) {
            run(1_000);
        }
        return verdicts.get(ticket);
    }
}
