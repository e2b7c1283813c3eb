package org.cypressweir.controlplane.controller;

import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.concurrent.ExecutorService;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.cypressweir.controlplane.configuration.ConfigurationChange;
import org.cypressweir.controlplane.consensus.ConsensusReplica;
import org.cypressweir.controlplane.consensus.Effect;
import org.cypressweir.controlplane.consensus.ProposalResult;
import org.cypressweir.controlplane.storage.Store;
import org.jboss.logging.Logger;

/**
 * Drives the copy of this harbour: what the core wants written goes to the disk's thread, what it wants sent
 * to the lines, verdicts to who waits for them. The core itself runs on the loop.
 */
final class ReplicaDriver {

    private static final Logger LOG = Logger.getLogger(ReplicaDriver.class);

    private final ConsensusReplica copies;
    private final Store store;
    private final ExecutorService disk;
    private final Executor loop;
    private final LongSupplier micros;
    private final BiConsumer<String, Map<String, Object>> send;
    private final Consumer<Effect.Show> shown;
    private final Map<Long, Consumer<ProposalResult>> waiting = new HashMap<>();
    private long tickets;

    ReplicaDriver(
            ConsensusReplica copies,
            Store store,
            ExecutorService disk,
            Executor loop,
            LongSupplier micros,
            BiConsumer<String, Map<String, Object>> send,
            Consumer<Effect.Show> shown) {
        this.copies = copies;
        this.store = store;
        this.disk = disk;
        this.loop = loop;
        this.micros = micros;
        this.send = send;
        this.shown = shown;
    }

    ConsensusReplica copies() {
        return copies;
    }

    void start() {
        act(copies.start(micros.getAsLong()));
    }

    void tick() {
        act(copies.tick(micros.getAsLong()));
    }

    /** Why not, or null where it begins. */
    String beginAlone(Set<String> abandoned) {
        String why = copies.bootstrapObstacle(micros.getAsLong(), abandoned);
        if (why == null) {
            act(copies.bootstrap(micros.getAsLong(), System.currentTimeMillis()));
        }
        return why;
    }

    void leave() {
        act(copies.leave(micros.getAsLong()));
    }

    void received(String from, Map<String, Object> message) {
        act(copies.received(micros.getAsLong(), from, message));
    }

    void submit(ConfigurationChange order, long deadline, Consumer<ProposalResult> then) {
        waiting.put(++tickets, then);
        act(copies.submit(micros.getAsLong(), tickets, order, deadline));
    }

    void read(long deadline, Consumer<ProposalResult> then) {
        waiting.put(++tickets, then);
        act(copies.read(micros.getAsLong(), tickets, deadline));
    }

    private void act(List<Effect> effects) {
        for (Effect effect : effects) {
            if (effect instanceof Effect.Send s) {
                send.accept(s.to(), s.message());
            } else if (effect instanceof Effect.Write w) {
                disk.execute(() -> write(w));
            } else if (effect instanceof Effect.Answer a) {
                Consumer<ProposalResult> then = waiting.remove(a.proposalId());
                if (then != null) {
                    then.accept(a.result());
                }
            } else if (effect instanceof Effect.Show s) {
                shown.accept(s);
            }
        }
    }

    private void write(Effect.Write write) {
        boolean done = false;
        try {
            store.write(write.change());
            done = true;
        } catch (IOException | RuntimeException e) {
            LOG.warn("A write failed: " + e.getMessage());
        }
        boolean ok = done;
        loop.execute(() -> act(copies.written(micros.getAsLong(), write.number(), ok)));
    }
}
