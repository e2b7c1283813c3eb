package org.cypressweir.controlplane.consensus;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.cypressweir.controlplane.configuration.Configuration;
import org.cypressweir.controlplane.configuration.Item;

/**
 * The acceptor of Paxos: promises to accept nothing below a number, and accepts states. Its state in memory
 * changes only after a write has finished, so whatever it answers is durable. There is one write at a time, and
 * each request is evaluated when the writes before it have finished.
 */
final class Acceptor {

    private static final int MAX_WAITING = 256;

    /** The outcomes of a request for a promise. Exactly one of them is called. */
    record PromiseCallbacks(Runnable promised, Consumer<ProposalNumber> rejected, Runnable writeFailed) {}

    /** A state to be accepted: a full snapshot, or the items that differ from the base. */
    record AcceptRequest(
            ProposalNumber number,
            ProposalNumber base,
            boolean fullSnapshot,
            List<String> voters,
            Collection<Item> items) {}

    /** The outcomes of a request to accept. Exactly one of them is called. */
    record AcceptCallbacks(
            Runnable accepted, Consumer<ProposalNumber> rejected, Runnable baseMismatch, Runnable writeFailed) {

        private static final AcceptCallbacks NONE = new AcceptCallbacks(() -> {}, higher -> {}, () -> {}, () -> {});
    }

    /** A request: the update to write, or null if none is needed, and what to run when it is durable or has failed. */
    private record Task(Supplier<StorageUpdate> nextUpdate, Runnable onDurable, Runnable onFailure) {}

    private final ReplicaContext context;
    private final Deque<Task> waiting = new ArrayDeque<>();
    /** The write in flight; null if there is none. */
    private Task writing;

    private StorageUpdate update;
    private long writeNumber;
    private long writeStartedAt;
    private boolean writeFailed;
    /** Whether a failed write may have left other items on the disk than are known here. */
    private boolean diskUncertain;

    private long retryAt;

    private boolean initialized;
    private ProposalNumber promised = ProposalNumber.ZERO;
    private boolean learnedSecondHand;
    private ReplicatedState state = new ReplicatedState(ProposalNumber.ZERO, List.of(), Configuration.EMPTY);

    /** @param loadedOrNull what is on the disk, or null for an empty one */
    Acceptor(ReplicaContext context, PersistentState loadedOrNull) {
        this.context = context;
        if (loadedOrNull != null) {
            initialized = true;
            promised = loadedOrNull.promised();
            learnedSecondHand = loadedOrNull.learnedSecondHand();
            state = new ReplicatedState(
                    loadedOrNull.accepted(), loadedOrNull.voters(), Configuration.of(loadedOrNull.items()));
            context.observeNumber(promised);
            context.observeNumber(state.number());
        }
    }

    /** Whether there is anything on the disk. */
    boolean initialized() {
        return initialized;
    }

    /** The number of the accepted state. */
    ProposalNumber accepted() {
        return state.number();
    }

    /** Whether the accepted state was learned from others and is no vote, see {@link PersistentState}. */
    boolean learnedSecondHand() {
        return learnedSecondHand;
    }

    /** The accepted state. */
    ReplicatedState state() {
        return state;
    }

    /** Whether the last write failed, or a write has not finished in time. */
    boolean diskFailed() {
        return writeFailed || writing != null && context.now - writeStartedAt >= context.options.writeTimeoutMicros();
    }

    /** Promises to accept nothing below that number. */
    void promise(ProposalNumber number, PromiseCallbacks callbacks) {
        context.observeNumber(number);
        enqueue(new Task(() -> evaluate(number, callbacks), callbacks.promised(), callbacks.writeFailed()));
    }

    private StorageUpdate evaluate(ProposalNumber number, PromiseCallbacks callbacks) {
        if (promised.above(number)) {
            callbacks.rejected().accept(promised);
            return null;
        }
        if (promised.equals(number)) {
            callbacks.promised().run();
            return null;
        }
        return new StorageUpdate(number, null, null, List.of(), false);
    }

    /** Accepts a state, unless a higher number has been promised. */
    void accept(AcceptRequest request, AcceptCallbacks callbacks) {
        context.observeNumber(request.number());
        enqueue(new Task(() -> evaluate(request, callbacks), callbacks.accepted(), callbacks.writeFailed()));
    }

    private StorageUpdate evaluate(AcceptRequest request, AcceptCallbacks callbacks) {
        ProposalNumber number = request.number();
        boolean fullSnapshot = request.fullSnapshot();
        if (promised.above(number)) {
            callbacks.rejected().accept(promised);
            return null;
        }
        if (state.number().equals(number)) {
            callbacks.accepted().run();
            return null;
        }
        if (!fullSnapshot && !state.number().equals(request.base())) {
            callbacks.baseMismatch().run();
            return null;
        }
        if (!fullSnapshot && diskUncertain) {
            List<Item> all = state.configuration().with(request.items()).items();
            return new StorageUpdate(number, number, request.voters(), all, true);
        }
        return new StorageUpdate(number, number, request.voters(), List.copyOf(request.items()), fullSnapshot);
    }

    /** Accepts a state known to be committed, unless a higher number has been promised. */
    void adopt(ReplicatedState committed) {
        accept(
                new AcceptRequest(
                        committed.number(),
                        committed.number(),
                        true,
                        committed.voters(),
                        committed.configuration().items()),
                AcceptCallbacks.NONE);
    }

    /** The first write on an empty disk: a committed state, and the number of the disk. */
    void initialize(ReplicatedState first, Runnable after) {
        StorageUpdate initial = new StorageUpdate(
                first.number(),
                first.number(),
                first.voters(),
                first.configuration().items(),
                true,
                context.diskId);
        context.observeNumber(first.number());
        enqueue(new Task(() -> initialized ? null : initial, after, () -> {}));
    }

    private void enqueue(Task task) {
        if (writeFailed || waiting.size() >= MAX_WAITING) {
            task.onFailure.run();
            return;
        }
        waiting.add(task);
        startNextWrite();
    }

    private void startNextWrite() {
        while (writing == null && !waiting.isEmpty()) {
            Task task = waiting.poll();
            StorageUpdate due = task.nextUpdate.get();
            if (due != null) {
                write(task, due);
            }
        }
    }

    private void write(Task task, StorageUpdate due) {
        writing = task;
        update = due;
        writeStartedAt = context.now;
        context.addEffect(new Effect.Write(++writeNumber, due));
    }

    /** Handles the end of a write. */
    void written(long number, boolean ok) {
        if (writing == null || number != writeNumber) {
            return;
        }
        Task task = writing;
        writing = null;
        if (ok) {
            writeFailed = false;
            apply(update);
            task.onDurable.run();
            startNextWrite();
        } else {
            failWrites(task);
        }
    }

    private void failWrites(Task failed) {
        writeFailed = true;
        diskUncertain = true;
        retryAt = context.now + context.options.writeRetryIntervalMicros();
        List<Task> dropped = new ArrayList<>(waiting);
        waiting.clear();
        failed.onFailure.run();
        dropped.forEach(task -> task.onFailure.run());
    }

    private void apply(StorageUpdate written) {
        initialized = true;
        promised = written.promised();
        if (written.accepted() != null) {
            learnedSecondHand = written.learnedSecondHand();
            Configuration configuration = written.fullSnapshot()
                    ? Configuration.of(written.items())
                    : state.configuration().with(written.items());
            if (!written.fullSnapshot()) {
                context.history.recordStep(state.number(), written.accepted(), written.items());
            }
            state = new ReplicatedState(written.accepted(), written.voters(), configuration);
        }
        if (written.fullSnapshot()) {
            diskUncertain = false;
        }
    }

    /** After a failure, tries a small write to find out whether the disk takes writes again. */
    void tick() {
        if (!writeFailed || writing != null || context.now < retryAt) {
            return;
        }
        if (initialized) {
            write(new Task(() -> null, () -> {}, () -> {}), new StorageUpdate(promised, null, null, List.of(), false));
        } else {
            writeFailed = false;
        }
    }
}
