package org.cypressweir.controlplane.consensus;

/** Times, in microseconds, and how many items go into one message. */
public record ConsensusOptions(
        long tellEvery,
        long askEvery,
        long resendAfter,
        long roundMost,
        long afterNack,
        long settleAfter,
        long settleJitter,
        long backoffLeast,
        long backoffMost,
        long writeMost,
        long retryWriteEvery,
        long silentAfter,
        long liveWithin,
        long catchUpAfter,
        int pieceItems,
        long contactWithin,
        long probeEvery,
        long probeMost) {

    public static ConsensusOptions usual() {
        return new ConsensusOptions(
                300_000, 500_000, 100_000, 500_000, 60_000, 500_000, 300_000, 5_000, 200_000, 400_000, 500_000,
                2_500_000, 1_000_000, 60_000, 200, 1_500_000, 40_000, 150_000);
    }
}
