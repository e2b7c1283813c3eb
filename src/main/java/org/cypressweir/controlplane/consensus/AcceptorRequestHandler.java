package org.cypressweir.controlplane.consensus;

import java.util.Collection;
import java.util.List;
import org.cypressweir.controlplane.configuration.Item;

/**
 * The acceptor's side of both phases: answers prepare and accept messages of other proposers once the answer
 * is durable. A replica that is blank, or whose disk has failed, does not answer.
 */
final class AcceptorRequestHandler {

    private final ReplicaContext context;
    private final Acceptor acceptor;
    private final CommittedState committedState;
    private final SnapshotCache snapshots;
    private final ChunkAssembler chunks = new ChunkAssembler();

    AcceptorRequestHandler(
            ReplicaContext context, Acceptor acceptor, CommittedState committedState, SnapshotCache snapshots) {
        this.context = context;
        this.acceptor = acceptor;
        this.committedState = committedState;
        this.snapshots = snapshots;
    }

    /** Forgets chunks of senders that are not live. */
    void prune(Collection<String> live) {
        chunks.prune(live);
    }

    void prepare(String from, ConsensusMessage.Prepare prepare) {
        if (!isAddressedHere(prepare.recipient()) || !acceptor.initialized() || acceptor.diskFailed()) {
            return;
        }
        ProposalNumber number = prepare.number();
        acceptor.promise(
                number,
                new Acceptor.PromiseCallbacks(
                        () -> sendPromise(from, number), higher -> sendRejected(from, number, higher), () -> {}));
    }

    void accept(String from, ConsensusMessage.Accept accept) {
        if (!isAddressedHere(accept.recipient()) || !acceptor.initialized()) {
            return;
        }
        List<Item> items = chunks.take(
                from,
                accept.number(),
                accept.fullSnapshot() ? null : accept.base(),
                accept.chunk(),
                accept.chunkCount(),
                accept.items());
        if (items != null && !acceptor.diskFailed()) {
            acceptItems(from, accept, items);
        }
    }

    private void acceptItems(String from, ConsensusMessage.Accept accept, List<Item> items) {
        ProposalNumber number = accept.number();
        boolean fullSnapshot = accept.fullSnapshot();
        ProposalNumber base = accept.base();
        ReplicatedState committed = committedState.state();
        // A committed state that was learned but not accepted, because of a higher promise, is a valid base too.
        boolean onLearned = !fullSnapshot
                && base.equals(committed.number())
                && !base.equals(acceptor.accepted())
                && !base.equals(ProposalNumber.ZERO);
        ReplicatedState before = onLearned ? committed : acceptor.state();
        if (!fullSnapshot
                && base.equals(before.number())
                && before.configuration().with(items).checksum() != accept.checksum()) {
            sendBaseMismatch(from, number);
            return;
        }
        acceptor.accept(
                new Acceptor.AcceptRequest(
                        number,
                        base,
                        fullSnapshot || onLearned,
                        accept.voters(),
                        onLearned ? committed.configuration().with(items).items() : items),
                new Acceptor.AcceptCallbacks(
                        () -> context.send(from, new ConsensusMessage.Accepted(number)),
                        higher -> sendRejected(from, number, higher),
                        () -> sendBaseMismatch(from, number),
                        () -> {}));
    }

    /** Earlier builds name no recipient: their messages are meant for the disk of the very first start. */
    private boolean isAddressedHere(String recipient) {
        return context.ownKey.equals(recipient == null ? context.address : recipient);
    }

    private void sendPromise(String to, ProposalNumber number) {
        snapshots.keep(acceptor.state());
        context.send(
                to,
                new ConsensusMessage.Promise(
                        number,
                        acceptor.accepted(),
                        committedState.state().number(),
                        acceptor.state().voters(),
                        acceptor.learnedSecondHand()));
    }

    private void sendRejected(String to, ProposalNumber number, ProposalNumber promised) {
        context.send(to, new ConsensusMessage.Rejected(number, promised));
    }

    private void sendBaseMismatch(String to, ProposalNumber number) {
        context.send(
                to,
                new ConsensusMessage.BaseMismatch(
                        number, acceptor.accepted(), committedState.state().number()));
    }
}
