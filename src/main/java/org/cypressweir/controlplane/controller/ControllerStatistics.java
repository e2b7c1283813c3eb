package org.cypressweir.controlplane.controller;

import org.cypressweir.common.metrics.LatencyHistogram;
import org.cypressweir.controlplane.consensus.ProposalResult;

/** Counts of operators' calls and of writes to the store since the start. Used on the event loop only. */
final class ControllerStatistics {

    /** How an operator's call ended. */
    enum CallResult {
        COMMITTED,
        REJECTED,
        /** The outcome is unknown to the operator, who retries a change. */
        UNAVAILABLE;

        static CallResult of(ProposalResult result) {
            if (result instanceof ProposalResult.Committed || result instanceof ProposalResult.Read) {
                return COMMITTED;
            }
            return result instanceof ProposalResult.Rejected ? REJECTED : UNAVAILABLE;
        }
    }

    private final long[] changes = new long[CallResult.values().length];
    private final long[] reads = new long[CallResult.values().length];
    private final LatencyHistogram commitDurations = new LatencyHistogram();
    private final LatencyHistogram writeDurations = new LatencyHistogram();
    private long failedWrites;

    void changeEnded(ProposalResult result, long tookMicros) {
        CallResult kind = CallResult.of(result);
        changes[kind.ordinal()]++;
        if (kind == CallResult.COMMITTED) {
            commitDurations.record(tookMicros);
        }
    }

    /** A change that was rejected before it was proposed. */
    void changeMalformed() {
        changes[CallResult.REJECTED.ordinal()]++;
    }

    void readEnded(ProposalResult result) {
        reads[CallResult.of(result).ordinal()]++;
    }

    void writeEnded(boolean written, long tookMicros) {
        writeDurations.record(tookMicros);
        failedWrites += written ? 0 : 1;
    }

    long changes(CallResult result) {
        return changes[result.ordinal()];
    }

    long reads(CallResult result) {
        return reads[result.ordinal()];
    }

    /** From the arrival of a change that was committed to its acknowledgement. */
    LatencyHistogram commitDurations() {
        return commitDurations;
    }

    /** Of all writes to the store, each with its sync. */
    LatencyHistogram writeDurations() {
        return writeDurations;
    }

    long failedWrites() {
        return failedWrites;
    }
}
