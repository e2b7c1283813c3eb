package org.cypressweir.controlplane.consensus;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cypressweir.controlplane.configuration.Item;
import org.cypressweir.controlplane.consensus.ConsensusMessage.Accept;
import org.cypressweir.controlplane.consensus.ConsensusMessage.Accepted;
import org.cypressweir.controlplane.consensus.ConsensusMessage.BaseMismatch;
import org.cypressweir.controlplane.consensus.ConsensusMessage.Committed;
import org.cypressweir.controlplane.consensus.ConsensusMessage.FetchState;
import org.cypressweir.controlplane.consensus.ConsensusMessage.Heartbeat;
import org.cypressweir.controlplane.consensus.ConsensusMessage.JoinRequest;
import org.cypressweir.controlplane.consensus.ConsensusMessage.LearnRequest;
import org.cypressweir.controlplane.consensus.ConsensusMessage.LearnResponse;
import org.cypressweir.controlplane.consensus.ConsensusMessage.LeaveNotice;
import org.cypressweir.controlplane.consensus.ConsensusMessage.Prepare;
import org.cypressweir.controlplane.consensus.ConsensusMessage.Promise;
import org.cypressweir.controlplane.consensus.ConsensusMessage.Rejected;
import org.cypressweir.controlplane.consensus.ConsensusMessage.StateChunk;
import org.cypressweir.controlplane.consensus.ConsensusMessage.StateUnavailable;

/**
 * Converts consensus messages to maps ready for JSON and back. Stateless. The names of kinds and fields, and the
 * order of the fields, are fixed: replicas of different builds exchange messages.
 */
final class ConsensusMessageCodec {

    private static final String KIND = "t";

    private static final String PREPARE = "copies.prepare";
    private static final String PROMISE = "copies.promise";
    private static final String REJECTED = "copies.nack";
    private static final String ACCEPT = "copies.accept";
    private static final String ACCEPTED = "copies.accepted";
    private static final String BASE_MISMATCH = "copies.mismatch";
    private static final String COMMITTED = "copies.decided";
    private static final String HEARTBEAT = "copies.tell";
    private static final String LEARN_REQUEST = "copies.teach";
    private static final String LEARN_RESPONSE = "copies.told";
    private static final String FETCH_STATE = "copies.fetch";
    private static final String STATE_CHUNK = "copies.piece";
    private static final String STATE_UNAVAILABLE = "copies.gone";
    private static final String JOIN_REQUEST = "copies.admit";
    private static final String LEAVE_NOTICE = "copies.leave";

    private static final String RECIPIENT = "to";
    private static final String NUMBER = "b";
    private static final String ACCEPTED_NUMBER = "accepted";
    private static final String PROMISED_NUMBER = "promised";
    /** In promises and base mismatches; heartbeats and learn responses have {@link #KNOWN_COMMITTED_NUMBER}. */
    private static final String COMMITTED_NUMBER = "shown";

    private static final String KNOWN_COMMITTED_NUMBER = "decided";
    private static final String VOTERS = "crew";
    private static final String LEARNED_SECOND_HAND = "hearsay";
    private static final String BLANK = "forgetful";
    private static final String INCARNATION = "life";
    private static final String SEQUENCE = "number";
    private static final String REPLY_REQUESTED = "probe";
    private static final String ECHOED_INCARNATION = "echoLife";
    private static final String ECHOED_SEQUENCE = "echo";
    private static final String BASE = "base";
    private static final String FULL_SNAPSHOT = "whole";
    private static final String CHECKSUM = "sum";
    private static final String CHUNK = "part";
    private static final String CHUNK_COUNT = "parts";
    private static final String ITEMS = "items";
    private static final String TRANSFER = "ask";
    private static final String HELD_STATES = "has";
    /** The base of a {@link StateChunk}; empty for a full snapshot. */
    private static final String CHUNK_BASE = "from";

    private static final int MAX_LIST_SIZE = 1_000;

    private ConsensusMessageCodec() {}

    static Map<String, Object> encode(ConsensusMessage message) {
        Encoder encoder = new Encoder();
        message.deliver(null, encoder);
        return encoder.fields;
    }

    /**
     * Reads a message; empty for a kind that this build does not know.
     *
     * @throws IllegalArgumentException where a field is missing or malformed
     */
    static Optional<ConsensusMessage> decode(String kind, Map<String, Object> message) {
        return Optional.ofNullable(
                switch (kind) {
                    case PREPARE -> new Prepare(recipient(message), proposalNumber(message, NUMBER));
                    case PROMISE -> promise(message);
                    case REJECTED -> new Rejected(
                            proposalNumber(message, NUMBER), proposalNumber(message, PROMISED_NUMBER));
                    case ACCEPT -> accept(message);
                    case ACCEPTED -> new Accepted(proposalNumber(message, NUMBER));
                    case BASE_MISMATCH -> new BaseMismatch(
                            proposalNumber(message, NUMBER),
                            proposalNumber(message, ACCEPTED_NUMBER),
                            proposalNumber(message, COMMITTED_NUMBER));
                    case COMMITTED -> new Committed(proposalNumber(message, NUMBER));
                    case HEARTBEAT -> heartbeat(message);
                    case LEARN_REQUEST -> new LearnRequest(number(message, INCARNATION));
                    case LEARN_RESPONSE -> learnResponse(message);
                    case FETCH_STATE -> new FetchState(
                            proposalNumber(message, NUMBER),
                            number(message, TRANSFER),
                            number(message, CHUNK),
                            proposalNumbers(message, HELD_STATES));
                    case STATE_CHUNK -> stateChunk(message);
                    case STATE_UNAVAILABLE -> new StateUnavailable(proposalNumber(message, NUMBER));
                    case JOIN_REQUEST -> new JoinRequest(proposalNumber(message, ACCEPTED_NUMBER));
                    case LEAVE_NOTICE -> new LeaveNotice(number(message, INCARNATION));
                    default -> null;
                });
    }

    /** The kind that a message names, if it names one. */
    static Optional<String> kind(Map<String, Object> message) {
        return message.get(KIND) instanceof String kind ? Optional.of(kind) : Optional.empty();
    }

    private static Promise promise(Map<String, Object> message) {
        return new Promise(
                proposalNumber(message, NUMBER),
                proposalNumber(message, ACCEPTED_NUMBER),
                proposalNumber(message, COMMITTED_NUMBER),
                voters(message),
                flag(message, LEARNED_SECOND_HAND));
    }

    private static Accept accept(Map<String, Object> message) {
        boolean fullSnapshot = flag(message, FULL_SNAPSHOT);
        return new Accept(
                recipient(message),
                proposalNumber(message, NUMBER),
                proposalNumber(message, BASE),
                fullSnapshot,
                fullSnapshot ? numberOrZero(message, CHECKSUM) : number(message, CHECKSUM),
                nonEmptyVoters(message),
                number(message, CHUNK),
                number(message, CHUNK_COUNT),
                items(message));
    }

    private static Heartbeat heartbeat(Map<String, Object> message) {
        return new Heartbeat(
                number(message, INCARNATION),
                proposalNumber(message, ACCEPTED_NUMBER),
                proposalNumber(message, KNOWN_COMMITTED_NUMBER),
                voters(message),
                flag(message, BLANK),
                flag(message, LEARNED_SECOND_HAND),
                number(message, SEQUENCE),
                Boolean.TRUE.equals(message.get(REPLY_REQUESTED)),
                number(message, ECHOED_INCARNATION),
                number(message, ECHOED_SEQUENCE));
    }

    private static LearnResponse learnResponse(Map<String, Object> message) {
        return new LearnResponse(
                number(message, INCARNATION),
                proposalNumber(message, ACCEPTED_NUMBER),
                proposalNumber(message, KNOWN_COMMITTED_NUMBER),
                voters(message),
                flag(message, BLANK));
    }

    private static StateChunk stateChunk(Map<String, Object> message) {
        boolean fullSnapshot = "".equals(message.get(CHUNK_BASE));
        return new StateChunk(
                proposalNumber(message, NUMBER),
                fullSnapshot ? numberOrZero(message, TRANSFER) : number(message, TRANSFER),
                fullSnapshot ? null : proposalNumber(message, CHUNK_BASE),
                number(message, CHECKSUM),
                number(message, CHUNK),
                number(message, CHUNK_COUNT),
                nonEmptyVoters(message),
                items(message));
    }

    /** Null if the field is absent: earlier builds name no recipient. */
    private static String recipient(Map<String, Object> message) {
        Object recipient = message.get(RECIPIENT);
        return recipient == null ? null : String.valueOf(recipient);
    }

    private static ProposalNumber proposalNumber(Map<String, Object> message, String name) {
        if (!(message.get(name) instanceof String text)) {
            throw malformed(name);
        }
        return ProposalNumber.of(text);
    }

    private static List<ProposalNumber> proposalNumbers(Map<String, Object> message, String name) {
        if (!(message.get(name) instanceof List<?> list) || list.size() > MAX_LIST_SIZE) {
            throw malformed(name);
        }
        return list.stream()
                .map(text -> ProposalNumber.of(String.valueOf(text)))
                .toList();
    }

    private static long number(Map<String, Object> message, String name) {
        if (!(message.get(name) instanceof Number number)) {
            throw malformed(name);
        }
        return number.longValue();
    }

    private static long numberOrZero(Map<String, Object> message, String name) {
        return message.get(name) instanceof Number number ? number.longValue() : 0;
    }

    private static boolean flag(Map<String, Object> message, String name) {
        if (!(message.get(name) instanceof Boolean flag)) {
            throw malformed(name);
        }
        return flag;
    }

    private static List<String> voters(Map<String, Object> message) {
        if (!(message.get(VOTERS) instanceof List<?> list)
                || list.size() > MAX_LIST_SIZE
                || !list.stream().allMatch(String.class::isInstance)) {
            throw malformed(VOTERS);
        }
        return list.stream().map(String.class::cast).distinct().sorted().toList();
    }

    private static List<String> nonEmptyVoters(Map<String, Object> message) {
        List<String> voters = voters(message);
        if (voters.isEmpty()) {
            throw malformed(VOTERS);
        }
        return voters;
    }

    private static List<Item> items(Map<String, Object> message) {
        if (!(message.get(ITEMS) instanceof List<?> list)) {
            throw malformed(ITEMS);
        }
        List<Item> items = new ArrayList<>();
        for (Object each : list) {
            if (!(each instanceof Map<?, ?> map)) {
                throw malformed(ITEMS);
            }
            items.add(Item.of(map));
        }
        return items;
    }

    private static IllegalArgumentException malformed(String field) {
        return new IllegalArgumentException("missing or malformed field: " + field);
    }

    /** Collects the fields of one message, in the order in which they go out. */
    private static final class Encoder implements ConsensusMessage.Handler {

        private final Map<String, Object> fields = new LinkedHashMap<>();

        private Encoder kind(String kind) {
            return with(KIND, kind);
        }

        private Encoder with(String name, Object value) {
            fields.put(name, value);
            return this;
        }

        private Encoder with(String name, ProposalNumber value) {
            return with(name, (Object) value.toString());
        }

        private Encoder withRecipient(String recipient) {
            return recipient == null ? this : with(RECIPIENT, recipient);
        }

        private Encoder withItems(List<Item> items) {
            return with(ITEMS, items.stream().map(Item::toMap).toList());
        }

        @Override
        public void onPrepare(String from, Prepare prepare) {
            kind(PREPARE).withRecipient(prepare.recipient()).with(NUMBER, prepare.number());
        }

        @Override
        public void onPromise(String from, Promise promise) {
            kind(PROMISE)
                    .with(NUMBER, promise.number())
                    .with(ACCEPTED_NUMBER, promise.accepted())
                    .with(COMMITTED_NUMBER, promise.committed())
                    .with(VOTERS, promise.voters())
                    .with(LEARNED_SECOND_HAND, promise.learnedSecondHand());
        }

        @Override
        public void onRejected(String from, Rejected rejected) {
            kind(REJECTED).with(NUMBER, rejected.number()).with(PROMISED_NUMBER, rejected.promised());
        }

        @Override
        public void onAccept(String from, Accept accept) {
            kind(ACCEPT)
                    .withRecipient(accept.recipient())
                    .with(NUMBER, accept.number())
                    .with(BASE, accept.base())
                    .with(FULL_SNAPSHOT, accept.fullSnapshot())
                    .with(CHECKSUM, accept.checksum())
                    .with(VOTERS, accept.voters())
                    .with(CHUNK, accept.chunk())
                    .with(CHUNK_COUNT, accept.chunkCount())
                    .withItems(accept.items());
        }

        @Override
        public void onAccepted(String from, Accepted accepted) {
            kind(ACCEPTED).with(NUMBER, accepted.number());
        }

        @Override
        public void onBaseMismatch(String from, BaseMismatch mismatch) {
            kind(BASE_MISMATCH)
                    .with(NUMBER, mismatch.number())
                    .with(ACCEPTED_NUMBER, mismatch.accepted())
                    .with(COMMITTED_NUMBER, mismatch.committed());
        }

        @Override
        public void onCommitted(String from, Committed committed) {
            kind(COMMITTED).with(NUMBER, committed.number());
        }

        @Override
        public void onHeartbeat(String from, Heartbeat heartbeat) {
            kind(HEARTBEAT)
                    .with(INCARNATION, heartbeat.incarnation())
                    .with(ACCEPTED_NUMBER, heartbeat.accepted())
                    .with(KNOWN_COMMITTED_NUMBER, heartbeat.committed())
                    .with(VOTERS, heartbeat.voters())
                    .with(BLANK, heartbeat.blank())
                    .with(LEARNED_SECOND_HAND, heartbeat.learnedSecondHand())
                    .with(SEQUENCE, heartbeat.sequence())
                    .with(REPLY_REQUESTED, heartbeat.replyRequested())
                    .with(ECHOED_INCARNATION, heartbeat.echoedIncarnation())
                    .with(ECHOED_SEQUENCE, heartbeat.echoedSequence());
        }

        @Override
        public void onLearnRequest(String from, LearnRequest request) {
            kind(LEARN_REQUEST).with(INCARNATION, request.incarnation());
        }

        @Override
        public void onLearnResponse(String from, LearnResponse response) {
            kind(LEARN_RESPONSE)
                    .with(INCARNATION, response.incarnation())
                    .with(ACCEPTED_NUMBER, response.accepted())
                    .with(KNOWN_COMMITTED_NUMBER, response.committed())
                    .with(VOTERS, response.voters())
                    .with(BLANK, response.blank());
        }

        @Override
        public void onFetchState(String from, FetchState request) {
            kind(FETCH_STATE)
                    .with(NUMBER, request.number())
                    .with(TRANSFER, request.transfer())
                    .with(CHUNK, request.chunk())
                    .with(
                            HELD_STATES,
                            request.heldStates().stream()
                                    .map(ProposalNumber::toString)
                                    .toList());
        }

        @Override
        public void onStateChunk(String from, StateChunk chunk) {
            kind(STATE_CHUNK)
                    .with(NUMBER, chunk.number())
                    .with(TRANSFER, chunk.transfer())
                    .with(CHUNK_BASE, chunk.base() == null ? "" : chunk.base().toString())
                    .with(CHECKSUM, chunk.checksum())
                    .with(CHUNK, chunk.chunk())
                    .with(CHUNK_COUNT, chunk.chunkCount())
                    .with(VOTERS, chunk.voters())
                    .withItems(chunk.items());
        }

        @Override
        public void onStateUnavailable(String from, StateUnavailable unavailable) {
            kind(STATE_UNAVAILABLE).with(NUMBER, unavailable.number());
        }

        @Override
        public void onJoinRequest(String from, JoinRequest request) {
            kind(JOIN_REQUEST).with(ACCEPTED_NUMBER, request.accepted());
        }

        @Override
        public void onLeaveNotice(String from, LeaveNotice notice) {
            kind(LEAVE_NOTICE).with(INCARNATION, notice.incarnation());
        }
    }
}
