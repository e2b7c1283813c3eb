package org.cypressweir.controlplane.consensus;

/**
 * Settings of consensus: times in microseconds, and how many items go into one message.
 *
 * @param requestIntervalMicros how often a replica asks to learn the state or to join
 * @param roundTimeoutMicros how long a phase of a proposal round may last
 * @param rejectedRoundTimeoutMicros how much longer a round may last once a voter has rejected it
 * @param recoveryDelayMicros how long it may be unknown whether the highest accepted state is committed,
 *     before a round finds out
 * @param unresponsiveAfterMicros after how long without a message a voter may be replaced
 * @param livenessTimeoutMicros after how long without a message a peer no longer counts towards a majority
 * @param catchUpDelayMicros how long a replica waits for a committed state before it fetches it
 * @param quorumContactTimeoutMicros after how long without answers from a majority contact counts as lost
 * @param probeTimeoutMicros how long a proposal waits for contact to be regained
 */
public record ConsensusOptions(
        long heartbeatIntervalMicros,
        long requestIntervalMicros,
        long resendAfterMicros,
        long roundTimeoutMicros,
        long rejectedRoundTimeoutMicros,
        long recoveryDelayMicros,
        long recoveryJitterMicros,
        long minBackoffMicros,
        long maxBackoffMicros,
        long writeTimeoutMicros,
        long writeRetryIntervalMicros,
        long unresponsiveAfterMicros,
        long livenessTimeoutMicros,
        long catchUpDelayMicros,
        int itemsPerChunk,
        long quorumContactTimeoutMicros,
        long probeIntervalMicros,
        long probeTimeoutMicros) {

    public static ConsensusOptions defaults() {
        return new ConsensusOptions(
                300_000, 500_000, 100_000, 500_000, 60_000, 500_000, 300_000, 5_000, 200_000, 400_000, 500_000,
                2_500_000, 1_000_000, 60_000, 200, 1_500_000, 40_000, 150_000);
    }
}
