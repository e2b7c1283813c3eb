package org.cypressweir.controlplane.consensus;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/** What all parts of one harbour share: its name, the time of the input being worked on, and what to do. */
final class ReplicaContext {

    final ConsensusOptions plan;
    /** Where this harbour is spoken to, the number of its disk, and the member that they are. */
    final String address;

    final long disk;
    final String own;
    final long life;
    final SplittableRandom random;
    long now;
    /** Above all rounds that were seen. */
    long highestRound;

    final ChangeHistory history = new ChangeHistory();
    /** States that others hold whole, as each told last. */
    private final Map<String, List<ProposalNumber>> held = new HashMap<>();

    private List<Effect> effects = new ArrayList<>();

    ReplicaContext(ConsensusOptions plan, String address, long disk, long life, SplittableRandom random, long now) {
        this.plan = plan;
        this.address = address;
        this.disk = disk;
        own = ReplicaKey.of(address, disk);
        this.life = life;
        this.random = random;
        this.now = now;
    }

    void add(Effect effect) {
        effects.add(effect);
    }

    void holds(String harbour, ProposalNumber... states) {
        held.put(
                harbour,
                Arrays.stream(states)
                        .filter(s -> !s.equals(ProposalNumber.ZERO))
                        .toList());
    }

    List<ProposalNumber> held(String harbour) {
        return held.getOrDefault(harbour, List.of());
    }

    void send(String to, Map<String, Object> message) {
        if (!ReplicaKey.address(to).equals(address)) {
            effects.add(new Effect.Send(to, message));
        }
    }

    void answer(long ticket, ProposalResult verdict) {
        effects.add(new Effect.Answer(ticket, verdict));
    }

    void seen(ProposalNumber stamp) {
        highestRound = Math.max(highestRound, stamp.round());
    }

    long jitter(long most) {
        return most <= 0 ? 0 : random.nextLong(most);
    }

    List<Effect> take() {
        List<Effect> taken = effects;
        effects = new ArrayList<>();
        return taken;
    }
}
