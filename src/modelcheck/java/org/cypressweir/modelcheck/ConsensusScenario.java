package org.cypressweir.modelcheck;

import java.util.List;

/** The situation in a {@link ConsensusModel} in which the two conflicting changes are submitted. */
enum ConsensusScenario {
    /** Three replicas have just been bootstrapped. */
    FIRST_START(3, 0, 1),
    /** The third replica has lost its disk and is about to learn the state from the others. */
    LEARNING(3, 0, 1),
    /** The third replica has lost its disk, and the voter with the old disk has been removed. */
    VOTER_REMOVED(3, 0, 1),
    /** As before, and the replica has been admitted again with its new disk. */
    VOTER_ADMITTED(3, 0, 1),
    /** A fourth replica waits to be admitted as a voter. */
    STANDBY(4, 0, 1),
    /** The fourth replica has replaced the third, which may return with its old disk. */
    REPLACED_VOTER_RETURNS(4, 0, 1),
    /** The second replica shuts down gracefully: it announces that it leaves, and stops after the handover. */
    GRACEFUL_SHUTDOWN(4, 0, 2);

    private final int machines;
    private final List<Integer> proposers;

    ConsensusScenario(int machines, int firstProposer, int secondProposer) {
        this.machines = machines;
        proposers = List.of(firstProposer, secondProposer);
    }

    /** How many replicas are started. */
    int machines() {
        return machines;
    }

    /** The replicas that the first and the second change are submitted to. */
    List<Integer> proposers() {
        return proposers;
    }
}
