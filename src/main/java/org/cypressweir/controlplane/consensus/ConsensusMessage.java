package org.cypressweir.controlplane.consensus;

import java.util.List;
import org.cypressweir.controlplane.configuration.Item;

/**
 * A message between two replicas, with one record for each kind. Immutable; {@link ConsensusMessageCodec} alone
 * knows its format on the wire.
 *
 * <p>{@link Prepare}, {@link Promise}, {@link Accept} and {@link Accepted} are the messages of Paxos ("Paxos
 * Made Simple", Lamport 2001); {@link Rejected} lets a proposer give up before its time-out. The others tell
 * learners what has been chosen, transfer state, and change the set of voters.
 */
sealed interface ConsensusMessage {

    /** Calls the handler's method for this kind of message. */
    void deliver(String from, Handler handler);

    /** Takes messages of every kind; the sender's replica key comes with each. */
    interface Handler {
        void onPrepare(String from, Prepare prepare);

        void onPromise(String from, Promise promise);

        void onRejected(String from, Rejected rejected);

        void onAccept(String from, Accept accept);

        void onAccepted(String from, Accepted accepted);

        void onBaseMismatch(String from, BaseMismatch mismatch);

        void onCommitted(String from, Committed committed);

        void onHeartbeat(String from, Heartbeat heartbeat);

        void onLearnRequest(String from, LearnRequest request);

        void onLearnResponse(String from, LearnResponse response);

        void onFetchState(String from, FetchState request);

        void onStateChunk(String from, StateChunk chunk);

        void onStateUnavailable(String from, StateUnavailable unavailable);

        void onJoinRequest(String from, JoinRequest request);

        void onLeaveNotice(String from, LeaveNotice notice);
    }

    /**
     * Phase 1a: asks for a promise. The recipient is a replica key, since another disk at the same address does
     * not hold the same promises; null in messages of earlier builds, which name none.
     */
    record Prepare(String recipient, ProposalNumber number) implements ConsensusMessage {
        @Override
        public void deliver(String from, Handler handler) {
            handler.onPrepare(from, this);
        }
    }

    /** Phase 1b: promises to accept nothing below that number, and names the highest state accepted so far. */
    record Promise(
            ProposalNumber number,
            ProposalNumber accepted,
            ProposalNumber committed,
            List<String> voters,
            boolean learnedSecondHand)
            implements ConsensusMessage {
        @Override
        public void deliver(String from, Handler handler) {
            handler.onPromise(from, this);
        }
    }

    /** Rejects a prepare or an accept, since a higher number has been promised. */
    record Rejected(ProposalNumber number, ProposalNumber promised) implements ConsensusMessage {
        @Override
        public void deliver(String from, Handler handler) {
            handler.onRejected(from, this);
        }
    }

    /**
     * Phase 2a: asks to accept a state: a full snapshot, or the items that differ from the base. Many items
     * are sent in several chunks. The checksum is that of the whole resulting state.
     */
    record Accept(
            String recipient,
            ProposalNumber number,
            ProposalNumber base,
            boolean fullSnapshot,
            long checksum,
            List<String> voters,
            long chunk,
            long chunkCount,
            List<Item> items)
            implements ConsensusMessage {
        @Override
        public void deliver(String from, Handler handler) {
            handler.onAccept(from, this);
        }
    }

    /** Phase 2b: the state of that number is durable here. */
    record Accepted(ProposalNumber number) implements ConsensusMessage {
        @Override
        public void deliver(String from, Handler handler) {
            handler.onAccepted(from, this);
        }
    }

    /**
     * Rejects an accept whose base is not held here, or which does not lead to the checksum that it names; names the
     * held states that could be a base instead.
     */
    record BaseMismatch(ProposalNumber number, ProposalNumber accepted, ProposalNumber committed)
            implements ConsensusMessage {
        @Override
        public void deliver(String from, Handler handler) {
            handler.onBaseMismatch(from, this);
        }
    }

    /** Tells learners that the state of that number has been chosen. */
    record Committed(ProposalNumber number) implements ConsensusMessage {
        @Override
        public void deliver(String from, Handler handler) {
            handler.onCommitted(from, this);
        }
    }

    /**
     * Tells peers at regular intervals what a replica has accepted and knows to be committed. A blank replica has
     * nothing on its disk yet. The peer echoes the sequence number with its own next heartbeat, which proves
     * contact; with replyRequested it answers at once.
     */
    record Heartbeat(
            long incarnation,
            ProposalNumber accepted,
            ProposalNumber committed,
            List<String> voters,
            boolean blank,
            boolean learnedSecondHand,
            long sequence,
            boolean replyRequested,
            long echoedIncarnation,
            long echoedSequence)
            implements ConsensusMessage {
        @Override
        public void deliver(String from, Handler handler) {
            handler.onHeartbeat(from, this);
        }
    }

    /** A blank replica asks for the state of its peers; the response repeats the asker's incarnation. */
    record LearnRequest(long incarnation) implements ConsensusMessage {
        @Override
        public void deliver(String from, Handler handler) {
            handler.onLearnRequest(from, this);
        }
    }

    /** Answers a {@link LearnRequest}. */
    record LearnResponse(
            long incarnation, ProposalNumber accepted, ProposalNumber committed, List<String> voters, boolean blank)
            implements ConsensusMessage {
        @Override
        public void deliver(String from, Handler handler) {
            handler.onLearnResponse(from, this);
        }
    }

    /** Asks for a chunk of a state, or of what changed since one of the states held by the asker. */
    record FetchState(ProposalNumber number, long transfer, long chunk, List<ProposalNumber> heldStates)
            implements ConsensusMessage {
        @Override
        public void deliver(String from, Handler handler) {
            handler.onFetchState(from, this);
        }
    }

    /** Answers a {@link FetchState}. The base is null where the chunks make up a full snapshot. */
    record StateChunk(
            ProposalNumber number,
            long transfer,
            ProposalNumber base,
            long checksum,
            long chunk,
            long chunkCount,
            List<String> voters,
            List<Item> items)
            implements ConsensusMessage {
        @Override
        public void deliver(String from, Handler handler) {
            handler.onStateChunk(from, this);
        }
    }

    /** Answers a {@link FetchState} for a state that is no longer cached. */
    record StateUnavailable(ProposalNumber number) implements ConsensusMessage {
        @Override
        public void deliver(String from, Handler handler) {
            handler.onStateUnavailable(from, this);
        }
    }

    /** Asks to be made a voter. */
    record JoinRequest(ProposalNumber accepted) implements ConsensusMessage {
        @Override
        public void deliver(String from, Handler handler) {
            handler.onJoinRequest(from, this);
        }
    }

    /** Says that the sender shuts down gracefully in this incarnation. */
    record LeaveNotice(long incarnation) implements ConsensusMessage {
        @Override
        public void deliver(String from, Handler handler) {
            handler.onLeaveNotice(from, this);
        }
    }
}
