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
 * Executes the effects that the consensus replica requests. Writes run on the disk executor and their results are
 * delivered on the event loop; everything else, and the replica itself, runs on the event loop only.
 */
final class ReplicaDriver {

    private static final Logger LOG = Logger.getLogger(ReplicaDriver.class);

    private final ConsensusReplica replica;
    private final Store store;
    private final ExecutorService diskExecutor;
    private final Executor eventLoop;
    private final LongSupplier clock;
    private final BiConsumer<String, Map<String, Object>> sender;
    private final Consumer<Effect.Publish> commitListener;
    private final ControllerStatistics statistics;
    private final Map<Long, Consumer<ProposalResult>> pending = new HashMap<>();
    private long lastProposalId;

    /**
     * @param clock in microseconds
     * @param sender takes the receiver's replica key and the message
     * @param commitListener takes each committed state
     * @param statistics counts the writes
     */
    ReplicaDriver(
            ConsensusReplica replica,
            Store store,
            ExecutorService diskExecutor,
            Executor eventLoop,
            LongSupplier clock,
            BiConsumer<String, Map<String, Object>> sender,
            Consumer<Effect.Publish> commitListener,
            ControllerStatistics statistics) {
        this.replica = replica;
        this.store = store;
        this.diskExecutor = diskExecutor;
        this.eventLoop = eventLoop;
        this.clock = clock;
        this.sender = sender;
        this.commitListener = commitListener;
        this.statistics = statistics;
    }

    ConsensusReplica replica() {
        return replica;
    }

    void start() {
        execute(replica.start(clock.getAsLong()));
    }

    void tick() {
        execute(replica.tick(clock.getAsLong()));
    }

    /** Starts with an empty state and abandons the given replicas; returns why that is rejected, or null. */
    String bootstrap(Set<String> abandoned) {
        String rejection = replica.bootstrapObstacle(clock.getAsLong(), abandoned);
        if (rejection == null) {
            execute(replica.bootstrap(clock.getAsLong(), System.currentTimeMillis()));
        }
        return rejection;
    }

    /** Begins a graceful shutdown; {@link ConsensusReplica#handedOver()} tells when it is done. */
    void shutDown() {
        execute(replica.leave(clock.getAsLong()));
    }

    void received(String from, Map<String, Object> message) {
        execute(replica.received(clock.getAsLong(), from, message));
    }

    /** Proposes a change; the callback is called once, by the deadline. */
    void submit(ConfigurationChange change, long deadlineMicros, Consumer<ProposalResult> callback) {
        long id = addPending(callback);
        execute(replica.submit(clock.getAsLong(), id, change, deadlineMicros));
    }

    /** Reads the configuration with linearizable consistency; the callback is called once, by the deadline. */
    void read(long deadlineMicros, Consumer<ProposalResult> callback) {
        long id = addPending(callback);
        execute(replica.read(clock.getAsLong(), id, deadlineMicros));
    }

    private long addPending(Consumer<ProposalResult> callback) {
        lastProposalId++;
        pending.put(lastProposalId, callback);
        return lastProposalId;
    }

    private void execute(List<Effect> effects) {
        for (Effect effect : effects) {
            if (effect instanceof Effect.Send send) {
                sender.accept(send.to(), send.message());
            } else if (effect instanceof Effect.Write write) {
                diskExecutor.execute(() -> write(write));
            } else if (effect instanceof Effect.Answer answer) {
                complete(answer);
            } else if (effect instanceof Effect.Publish commit) {
                commitListener.accept(commit);
            }
        }
    }

    private void complete(Effect.Answer answer) {
        Consumer<ProposalResult> callback = pending.remove(answer.proposalId());
        if (callback != null) {
            callback.accept(answer.result());
        }
    }

    /** Runs on the disk executor. */
    private void write(Effect.Write write) {
        long startedAt = clock.getAsLong();
        boolean written = tryWrite(write);
        long tookMicros = clock.getAsLong() - startedAt;
        eventLoop.execute(() -> {
            statistics.writeEnded(written, tookMicros);
            execute(replica.written(clock.getAsLong(), write.number(), written));
        });
    }

    private boolean tryWrite(Effect.Write write) {
        try {
            store.write(write.update());
            return true;
        } catch (IOException | RuntimeException e) {
            // Xodus throws unchecked exceptions of its own; the replica has to learn of every failure.
            LOG.warn("store write failed error=\"" + e.getMessage() + "\"");
            return false;
        }
    }
}
