package org.cypressweir.modelcheck;

/**
 * One thing that may happen in a {@link ConsensusModel} in place of its default step.
 *
 * @param target the position of a pending event, or the replica that fails
 */
record ConsensusDeviation(Kind kind, int target) {

    /** The kinds of deviations. Their order is part of the hash of a state. */
    enum Kind {
        /** A later message or write is delivered before the oldest. */
        REORDER,
        /** The oldest message or write is delayed. */
        DELAY,
        /** The oldest message is lost. */
        LOSE,
        /** The oldest message is delivered now and once more after a delay. */
        DUPLICATE,
        /** A replica restarts without the write that was pending. */
        POWER_FAILURE,
        /** A replica restarts after its pending write has reached the disk, but before it is notified. */
        POWER_FAILURE_AFTER_WRITE,
        /** A replica restarts with an empty disk. */
        DISK_LOSS,
        /** A replica is lost for good, and a new one with an empty disk starts at another address. */
        MACHINE_LOSS,
        /** The replaced replica starts with its old disk. */
        OLD_DISK_RETURNS,
        /** The leaving replica stops for good after its handover. */
        HANDED_OVER_STOPS
    }
}
