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
 * The copy on this harbour's disk, as the one who promises and accepts. What it knows in memory is only what
 * has been written, so whatever is told of it is durable. Writes go one after the other; whether a write is
 * due is seen when its turn comes.
 */
final class Acceptor {

    private static final int MOST_WAITING = 256;

    /** A write that may be due: the change or null, what comes after it, and what comes if it is lost. */
    private record Task(Supplier<StorageUpdate> due, Runnable after, Runnable lost) {}

    private final ReplicaContext desk;
    private final Deque<Task> waiting = new ArrayDeque<>();
    private Task writing;
    private StorageUpdate change;
    private long number;
    private long begun;
    private boolean failed;
    /** Whether the disk may hold other items than are known here, after a write that failed. */
    private boolean unsure;

    private long retryAt;

    private boolean knowing;
    private ProposalNumber promised = ProposalNumber.ZERO;
    private boolean hearsay;
    private ReplicatedState state = new ReplicatedState(ProposalNumber.ZERO, List.of(), Configuration.EMPTY);

    Acceptor(ReplicaContext desk, PersistentState loaded) {
        this.desk = desk;
        if (loaded != null) {
            knowing = true;
            promised = loaded.promised();
            hearsay = loaded.hearsay();
            state = new ReplicatedState(loaded.accepted(), loaded.crew(), Configuration.of(loaded.items()));
            desk.seen(promised);
            desk.seen(state.stamp());
        }
    }

    /** Whether there is anything on the disk. */
    boolean knowing() {
        return knowing;
    }

    ProposalNumber promised() {
        return promised;
    }

    ProposalNumber accepted() {
        return state.stamp();
    }

    /** Whether what is accepted is no vote. */
    boolean hearsay() {
        return hearsay;
    }

    ReplicatedState state() {
        return state;
    }

    boolean sick() {
        return failed || writing != null && desk.now - begun >= desk.plan.writeMost();
    }

    /** Promises to take nothing below that stamp. */
    void promise(ProposalNumber stamp, Runnable yes, Consumer<ProposalNumber> no, Runnable lost) {
        desk.seen(stamp);
        enqueue(new Task(
                () -> {
                    if (promised.above(stamp)) {
                        no.accept(promised);
                        return null;
                    }
                    if (promised.equals(stamp)) {
                        yes.run();
                        return null;
                    }
                    return new StorageUpdate(stamp, null, null, List.of(), false);
                },
                yes,
                lost));
    }

    /** Takes a state: the whole of it, or what differs from the base. */
    void accept(
            ProposalNumber stamp,
            ProposalNumber base,
            boolean whole,
            List<String> crew,
            Collection<Item> items,
            Runnable yes,
            Consumer<ProposalNumber> no,
            Runnable mismatch,
            Runnable lost) {
        desk.seen(stamp);
        enqueue(new Task(
                () -> {
                    if (promised.above(stamp)) {
                        no.accept(promised);
                        return null;
                    }
                    if (state.stamp().equals(stamp)) {
                        yes.run();
                        return null;
                    }
                    if (!whole && !state.stamp().equals(base)) {
                        mismatch.run();
                        return null;
                    }
                    if (!whole && unsure) {
                        return new StorageUpdate(
                                stamp, stamp, crew, state.manifest().with(items).items(), true);
                    }
                    return new StorageUpdate(stamp, stamp, crew, List.copyOf(items), whole);
                },
                yes,
                lost));
    }

    /** Takes a state known decided, where no promise is in the way. */
    void adopt(ReplicatedState decided) {
        accept(
                decided.stamp(),
                decided.stamp(),
                true,
                decided.crew(),
                decided.manifest().items(),
                () -> {},
                higher -> {},
                () -> {},
                () -> {});
    }

    /** The first write on an empty disk: a decided state, and the number of the disk. */
    void begin(ReplicatedState first, Runnable after) {
        StorageUpdate change = new StorageUpdate(
                first.stamp(), first.stamp(), first.crew(), first.manifest().items(), true, desk.disk);
        desk.seen(first.stamp());
        enqueue(new Task(() -> knowing ? null : change, after, () -> {}));
    }

    private void enqueue(Task task) {
        if (failed || waiting.size() >= MOST_WAITING) {
            task.lost.run();
            return;
        }
        waiting.add(task);
        next();
    }

    private void next() {
        while (writing == null && !waiting.isEmpty()) {
            Task task = waiting.poll();
            StorageUpdate due = task.due.get();
            if (due != null) {
                write(task, due);
            }
        }
    }

    private void write(Task task, StorageUpdate due) {
        writing = task;
        change = due;
        begun = desk.now;
        desk.add(new Effect.Write(++number, due));
    }

    void written(long of, boolean ok) {
        if (writing == null || of != number) {
            return;
        }
        Task task = writing;
        writing = null;
        if (ok) {
            failed = false;
            take(change);
            task.after.run();
            next();
            return;
        }
        failed = true;
        unsure = true;
        retryAt = desk.now + desk.plan.retryWriteEvery();
        List<Task> lost = new ArrayList<>(waiting);
        waiting.clear();
        task.lost.run();
        lost.forEach(each -> each.lost.run());
    }

    private void take(StorageUpdate taken) {
        knowing = true;
        promised = taken.promised();
        if (taken.accepted() != null) {
            hearsay = taken.hearsay();
            Configuration manifest = taken.whole()
                    ? Configuration.of(taken.items())
                    : state.manifest().with(taken.items());
            if (!taken.whole()) {
                desk.history.step(state.stamp(), taken.accepted(), taken.items());
            }
            state = new ReplicatedState(taken.accepted(), taken.crew(), manifest);
        }
        if (taken.whole()) {
            unsure = false;
        }
    }

    /** After a failure, a small write tells whether the disk takes writes again. */
    void tick() {
        if (!failed || writing != null || desk.now < retryAt) {
            return;
        }
        if (knowing) {
            write(new Task(() -> null, () -> {}, () -> {}), new StorageUpdate(promised, null, null, List.of(), false));
        } else {
            failed = false;
        }
    }
}
