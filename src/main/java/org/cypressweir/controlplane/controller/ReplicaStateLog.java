package org.cypressweir.controlplane.controller;

import java.util.List;
import org.cypressweir.controlplane.consensus.ConsensusReplica;
import org.jboss.logging.Logger;

/**
 * Logs what an operator follows while a replica recovers: a line for each change of its state, its vote, the voters and
 * the state of its disk. Used on the event loop only.
 */
final class ReplicaStateLog {

    private static final Logger LOG = Logger.getLogger(ReplicaStateLog.class);

    private boolean wasBlank;
    private boolean wasVoter;
    private boolean hadDiskFailed;
    private List<String> lastVoters = List.of();

    /**
     * Logs what has changed since the last call. The first call compares with a replica that is not blank, has no vote,
     * knows no voters and has a working disk.
     */
    void update(ConsensusReplica replica, long nowMicros) {
        logLearning(replica);
        logVoters(replica);
        logDisk(replica.diskFailed(nowMicros));
    }

    private void logLearning(ConsensusReplica replica) {
        boolean isBlank = replica.isBlank();
        if (isBlank && !wasBlank) {
            LOG.info("replica is blank and learns the committed state replica=" + replica.replicaKey());
        } else if (!isBlank && wasBlank) {
            LOG.info("replica has learned the committed state replica=" + replica.replicaKey() + " proposal="
                    + replica.committed().number());
        }
        wasBlank = isBlank;
    }

    private void logVoters(ConsensusReplica replica) {
        if (replica.isBlank()) {
            return;
        }
        List<String> voters = replica.voters();
        if (!voters.equals(lastVoters)) {
            LOG.info("voters changed voters=" + String.join(",", voters));
            lastVoters = List.copyOf(voters);
        }
        boolean isVoter = replica.isVoter();
        if (isVoter != wasVoter) {
            LOG.info((isVoter ? "replica votes" : "replica votes no longer") + " replica=" + replica.replicaKey());
            wasVoter = isVoter;
        }
    }

    private void logDisk(boolean hasFailed) {
        if (hasFailed != hadDiskFailed) {
            if (hasFailed) {
                LOG.warn("disk failed: changes and reads are rejected until it takes writes");
            } else {
                LOG.info("disk takes writes again");
            }
            hadDiskFailed = hasFailed;
        }
    }
}
