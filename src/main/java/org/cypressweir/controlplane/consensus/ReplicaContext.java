package org.cypressweir.controlplane.consensus;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * What all parts of one replica share: its identity and options, the time of the call being worked on, and
 * the effects collected for the caller.
 */
final class ReplicaContext {

    final ConsensusOptions options;
    /** Where peers reach this replica, the number of its disk, and the replica key that both make up. */
    final String address;

    final long diskId;
    final String ownKey;
    final long incarnation;
    final SplittableRandom random;
    /** The time of the call being worked on, in microseconds. */
    long now;
    /** The highest round of any proposal number seen. */
    long highestRound;

    final ChangeHistory history = new ChangeHistory();
    /** For each replica, the states that it holds in full according to its last message. */
    private final Map<String, List<ProposalNumber>> heldStates = new HashMap<>();

    private List<Effect> effects = new ArrayList<>();

    ReplicaContext(
            ConsensusOptions options,
            String address,
            long diskId,
            long incarnation,
            SplittableRandom random,
            long now) {
        this.options = options;
        this.address = address;
        this.diskId = diskId;
        ownKey = ReplicaKey.of(address, diskId);
        this.incarnation = incarnation;
        this.random = random;
        this.now = now;
    }

    void addEffect(Effect effect) {
        effects.add(effect);
    }

    void rememberHeldStates(String replica, ProposalNumber... states) {
        heldStates.put(
                replica,
                Arrays.stream(states)
                        .filter(state -> !state.equals(ProposalNumber.ZERO))
                        .toList());
    }

    List<ProposalNumber> heldStates(String replica) {
        return heldStates.getOrDefault(replica, List.of());
    }

    /** Sends to an address or replica key; a message to this replica's own address is dropped. */
    void send(String to, ConsensusMessage message) {
        if (!ReplicaKey.address(to).equals(address)) {
            effects.add(new Effect.Send(to, ConsensusMessageCodec.encode(message)));
        }
    }

    void answer(long proposalId, ProposalResult result) {
        effects.add(new Effect.Answer(proposalId, result));
    }

    void observeNumber(ProposalNumber number) {
        highestRound = Math.max(highestRound, number.round());
    }

    /** A random time below the limit, in microseconds; 0 where the limit is not positive. */
    long jitter(long limitMicros) {
        return limitMicros <= 0 ? 0 : random.nextLong(limitMicros);
    }

    /** Hands over the effects collected since the last call. */
    List<Effect> takeEffects() {
        List<Effect> taken = effects;
        effects = new ArrayList<>();
        return taken;
    }
}
